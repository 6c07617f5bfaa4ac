"""Counters of the tasks of an entry or agent, exported as metrics under the field names."""

from __future__ import annotations

import dataclasses

from peridothatch_core.schedule import guaranteed_wait


@dataclasses.dataclass(slots=True)
class Reception:
    """Counters of the task that answers callers."""

    calls_accepted: int = 0
    calls_refused: int = 0
    calls_unclear: int = 0


@dataclasses.dataclass(slots=True)
class Peers:
    """Counters of the task that forwards calls to other entries."""

    calls_passed_on: int = 0
    calls_not_passed_on: int = 0


@dataclasses.dataclass(slots=True)
class Grouping:
    """Counters of the task that commits transactions of agents in groups."""

    groups_committed: int = 0
    transactions_grouped: int = 0
    groups_split: int = 0
    groups_held: int = 0
    groups_refused: int = 0
    commits_expired: int = 0
    commits_redirected: int = 0


@dataclasses.dataclass(slots=True)
class CommitRoute:
    """Counters of the task that sends an agent's transactions."""

    commits_direct: int = 0
    commits_relayed: int = 0
    commits_refused: int = 0


@dataclasses.dataclass(slots=True)
class Connections:
    """Counters of refused and closed connections; ``limits.Reason`` has the same names."""

    head_bytes: int = 0
    head_lines: int = 0
    head_time: int = 0
    framing_bytes: int = 0
    body_time: int = 0
    body_after_answer: int = 0
    unread_time: int = 0
    idle_time: int = 0
    malformed: int = 0
    error: int = 0
    budget_connections: int = 0
    budget_address: int = 0
    budget_memory: int = 0


@dataclasses.dataclass(slots=True)
class Scheduler:
    """Counters of the scheduler task."""

    claims: int = 0
    renewals_carried: int = 0
    runs_ordered: int = 0
    runs_stopped: int = 0
    preemptions: int = 0
    preemptions_on_slack: int = 0
    runs_done: int = 0
    runs_failed: int = 0
    runs_lost: int = 0
    orders_withdrawn: int = 0
    leases_lapsed: int = 0
    writes_unclear: int = 0
    writes_rejected: int = 0
    ends_unmatched: int = 0
    ends_late: int = 0
    job_rows_outdated: int = 0
    learned_not_written: int = 0
    guarantees_exceeded: int = 0
    guaranteed_begun: int = 0
    guaranteed_begun_late: int = 0


@dataclasses.dataclass(slots=True)
class Supervisor:
    """Counters of the task that supervises the worker's runs."""

    starts_confirmed: int = 0
    starts_refused: int = 0
    starts_unanswered: int = 0
    stops_unanswered: int = 0
    writes_failed: int = 0
    renewals_late: int = 0
    leases_expired: int = 0
    incarnations_changed: int = 0
    ends_passed_over: int = 0
    runs_disappeared: int = 0
    heartbeats_ignored: int = 0


def count_decision(scheduler: Scheduler, kind: str) -> None:
    """Increment the counter for a scheduling event of the given kind."""
    match kind:
        case "ordered":
            scheduler.runs_ordered += 1
        case "stopping":
            scheduler.runs_stopped += 1
        case "preempting":
            scheduler.preemptions += 1
        case "preempting on slack":
            scheduler.preemptions_on_slack += 1
        case "ended done":
            scheduler.runs_done += 1
        case "ended failed":
            scheduler.runs_failed += 1
        case "ended withdrawn":
            scheduler.orders_withdrawn += 1
        case guaranteed_wait.EXCEEDED:
            scheduler.guarantees_exceeded += 1
        case guaranteed_wait.BEGUN:
            scheduler.guaranteed_begun += 1
        case guaranteed_wait.BEGUN_LATE:
            scheduler.guaranteed_begun_late += 1
        case "unmatched end":
            scheduler.ends_unmatched += 1
        case "late end":
            scheduler.ends_late += 1
        case _ if kind.startswith("ended"):
            scheduler.runs_lost += 1
