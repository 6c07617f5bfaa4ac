"""State of the scheduler: jobs, workers and the row changes still to be written."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.model import steps, tables
from peridothatch_core.place import ejection
from peridothatch_core.schedule import expected, learned, speed_tiers, speeds

if typing.TYPE_CHECKING:
    from peridothatch_core.message import rows
    from peridothatch_core.model import agents, desired
    from peridothatch_core.order import calibration
    from peridothatch_core.schedule import fit, spare, tickets

START_WINDOW_MS = 2000
"""Time within which an agent must start an ordered run.

It is shorter than the allowed delay between a data-centre take-out, a drain or a cancellation and
the last start, so a pending order cannot violate those limits.
"""

EVACUATION_MARGIN_MS = 500
"""Allowance for the difference between the clocks by which an order and its start are judged."""

MIN_EVACUATIONS_AGE_MS = 1500
"""Age of the known evacuations that is always accepted. A feed whose calls wait for news reaches
half of it in normal operation."""

TRUSTED_RENEWAL_AGE_MS = 700
"""Maximum age of a lease renewal that a new leader accepts without asking the agent again.

A process needs at least this long to start and become leader, so a younger renewal cannot predate
a power loss that also stopped the previous leader.
"""

CONFIRM_TIMEOUT_MS = 500
"""Time to wait for the renewals that a new leader requested.

It covers the agent's order feed, the write of the renewal and the feed of the members table.
"""

FEED_CATCH_UP_MS = 300
"""Time for the feeds to deliver rows written between the reads of the two tables."""

MAX_RENEWAL_AGE_MS = 3500
"""Maximum age of an agent's last renewal for it to receive orders; agents renew every 2 s."""

CLAIM_TIMEOUT_MS = 800
"""Time after which an order that its agent has not claimed is withdrawn.

An agent's feed may be half a second late. Without a withdrawal, an order for a dead agent would
stay open until the agent's lease lapses.
"""

CLAIM_TIMEOUT_WRITES = 4
"""Addition to ``CLAIM_TIMEOUT_MS`` in multiples of the write latency.

Counts the write of the order, the write of the claim, and the feed that delivers each of them.
"""

WRITE_LATENCY_DECAY = 0.8
"""Share of an earlier write latency that still counts after another write."""

LAPSE_MARGIN_MS = 1200
"""Delay between the end of a lease and the point at which its runs count as ended.

It covers the grace period of a kill and the drift between clocks.
"""

EJECTION_POLICY = ejection.Policy(
    jobs_to_eject=2,
    window_seconds=20.0,
    probe_seconds=6.0,
    longest_probe_seconds=30.0,
    share=0.34,
)
"""Ejection policy for runs that take seconds.

A worker is ejected after failures of two different jobs, and up to a third of the workers may be
ejected at a time.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits configured for the installation.

    Attributes
    ----------
    retention_ms : int
        Time for which the final state of a job remains readable.
    hold_ms : int
        Duration of an agent's lease, counted from its renewal.
    remote_factor : float
        Slowdown of tasks that run on another rack than their data, or of a gang spread over racks.
    partition_writes_per_second : float
        Transactions that the store applies in one partition, one after another.
    evacuate_ms : int
        Time within which the last run must start in a data centre that is taken out of service.
    reclaim_ms : int
        Time within which an urgent job within its customer's guarantee begins.
    """

    retention_ms: int = 120_000
    hold_ms: int = 9500
    remote_factor: float = 3.0
    partition_writes_per_second: float = 200.0
    evacuate_ms: int = 5000
    reclaim_ms: int = 3000


@dataclasses.dataclass(slots=True)
class JobChange:
    """Pending row changes of one job.

    Attributes
    ----------
    save_job : bool
        The job's row has changed and must be written.
    delete_job : bool
        The job's row must be deleted.
    writes : list
        Other rows to write in the same transaction as the job's row, with their values as data
        classes, or ``None`` to delete the row.
    deferred_deletes : list of Key
        Rows that may be deleted in a transaction after the one that writes the job's row.
    conditions : list of Condition
        Row versions on which the transaction depends.
    """

    save_job: bool = False
    delete_job: bool = False
    writes: list[tuple[rows.Key, typing.Any]] = dataclasses.field(default_factory=list)
    deferred_deletes: list[rows.Key] = dataclasses.field(default_factory=list)
    conditions: list[rows.Condition] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A decision to be logged.

    Attributes
    ----------
    kind : str
        Kind of decision; part of the name of the log line.
    detail : str
        Reason for the decision, or its parameters.
    elapsed_ms : int or None
        Time since the run was ordered if the event is the end of a run, otherwise time since the
        job was submitted.
    forecast : Forecast or None
        Expected run time, if the event is the order of a run.
    """

    kind: str
    job: str
    task: str = ""
    attempt: int = 0
    node: str = ""
    detail: str = ""
    elapsed_ms: int | None = None
    forecast: calibration.Forecast | None = None


@dataclasses.dataclass(slots=True)
class State:
    """State of the scheduler.

    Attributes
    ----------
    job_versions, agent_versions : dict
        Versions of the rows of jobs (by id) and agents (by node).
    evacuated : frozenset of str or None
        Data centres that are out of service; ``None`` if they have not been read recently enough
        to order any run.
    cancelled : set
        Jobs whose cancellation is in the store but has not been processed.
    ends : dict
        Ends of runs that are in the store but have not been processed, by row key.
    used : dict
        Resources reserved by open runs, by node, as [cpu_millis, memory_mb, accelerators].
    runs : dict
        Open runs by node, as (job, progress, run).
    unreported : dict
        The same for runs that were closed before their ends were reported; see `unreported`.
    retry_at : dict
        Store time before which a task must not be retried, by job, occurrence, step and index.
    attempt_wait_since : dict
        Store time at which an attempt of a task began to wait for a worker on which it is likely
        to succeed, by job, occurrence, step and index.
    failed_nodes : dict
        Nodes on which tasks of a step failed, by job, occurrence and step.
    locality_wait_since : dict
        Store time at which a step began to wait for workers where it runs at full speed, by job,
        occurrence and step.
    wait_logged_at : dict
        Store time at which a waiting step was last logged, by job, occurrence and step.
    tickets : dict
        Tickets by job, occurrence and step, for queues that require them.
    ticket_requests : list of Request
        Ticket requests that are ready to be sent.
    claimed_runs : set of (str, int)
        Task and attempt of open runs that an agent's row has listed. Entries are kept until the
        run is closed: an agent's row no longer lists a run that has ended, and the feed may
        deliver the end of the run after that row.
    leaving_at_ms : dict
        Store time at which a draining worker leaves at the earliest, by node; see `departures`.
    broken_at_ms : dict
        Store time at which a gang was first seen to be broken, by job, occurrence,
        step and attempt.
    loaded_ms : int
        Store time at which all rows were last read.
    confirmations_requested_ms : int
        Store time at which agents were asked to renew after a takeover.
    unconfirmed : set of str
        Nodes that receive no orders because their agents have not written since this process
        became leader or since an order for them was withdrawn.
    renewal_requests : list of str
        Nodes whose agents are to be asked to renew their leases.
    write_latency_ms : float
        Duration of the slowest of the latest transactions; see `record_write_latency`.
    agents_seen_ms : int or None
        Store time up to which the agents' rows have been read; ``None`` before the first feed.
    nodes_without_claim : set of str
        Nodes with orders that their agents have not claimed, as of the current cycle.
    outlooks : dict
        What is expected of runs in the current cycle, by job, occurrence, step, index and
        attempt; see `spare`.
    is_paced : bool
        A job has been held back in the current cycle, because too many orders wait for a claim.
    written_alone : set of str
        Jobs that are written in transactions of their own; see `rejection`.
    suspended_until_ms : dict
        Store time until which nothing is decided for a job, by job id; see `rejection`.
    learned : Learned
        Run times and lasting speeds of workers, learned from finished work.
    reservations : dict
        Nodes on which work is being stopped for a step, one for each task, by job, occurrence and
        step; see `reservations`.
    reserved_targets : dict
        The same as candidates whose room is reserved in the current cycle.
    guaranteed_since_ms : dict
        Store time since which a job waits within its customer's guarantee, by job id; see
        `guaranteed_wait`.
    guaranteed_begun : set of str
        Jobs within their customer's guarantee whose first step has begun.
    health : Record
        Failures by worker and job, and the workers that are ejected.
    speeds : Speeds
        Measured speeds of the workers.
    changes : dict
        Pending row changes by job id.
    lapsing : dict
        Agents by node whose lease is being declared lapsed, with their new rows. The runs stay
        open until that write has committed.
    events : list of Event
        Decisions to be logged.
    """

    limits: Limits = Limits()
    jobs: dict[str, steps.Job] = dataclasses.field(default_factory=dict)
    job_versions: dict[str, int] = dataclasses.field(default_factory=dict)
    agents: dict[str, agents.Agent] = dataclasses.field(default_factory=dict)
    agent_versions: dict[str, int] = dataclasses.field(default_factory=dict)
    desired: desired.DesiredState | None = None
    evacuated: frozenset[str] | None = frozenset()
    cancelled: set[str] = dataclasses.field(default_factory=set)
    ends: dict[str, steps.End] = dataclasses.field(default_factory=dict)
    used: dict[str, list[int]] = dataclasses.field(default_factory=dict)
    runs: dict[str, list[tuple[steps.Job, steps.StepProgress, steps.Run]]] = dataclasses.field(
        default_factory=dict
    )
    unreported: dict[str, list[tuple[steps.Job, steps.StepProgress, steps.Run]]] = (
        dataclasses.field(default_factory=dict)
    )
    retry_at: dict[tuple[str, int, int, int], int] = dataclasses.field(default_factory=dict)
    attempt_wait_since: dict[tuple[str, int, int, int], int] = dataclasses.field(
        default_factory=dict
    )
    failed_nodes: dict[tuple[str, int, int], set[str]] = dataclasses.field(default_factory=dict)
    locality_wait_since: dict[tuple[str, int, int], int] = dataclasses.field(default_factory=dict)
    wait_logged_at: dict[tuple[str, int, int], int] = dataclasses.field(default_factory=dict)
    tickets: dict[tickets.StepKey, tickets.StepTickets] = dataclasses.field(default_factory=dict)
    ticket_requests: list[tickets.Request] = dataclasses.field(default_factory=list)
    claimed_runs: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    leaving_at_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    broken_at_ms: dict[tuple[str, int, int, int], int] = dataclasses.field(default_factory=dict)
    loaded_ms: int = 0
    confirmations_requested_ms: int = 0
    unconfirmed: set[str] = dataclasses.field(default_factory=set)
    renewal_requests: list[str] = dataclasses.field(default_factory=list)
    write_latency_ms: float = 0.0
    agents_seen_ms: int | None = None
    nodes_without_claim: set[str] = dataclasses.field(default_factory=set)
    outlooks: dict[tuple[str, int, int, int, int], spare.Outlook] = dataclasses.field(
        default_factory=dict
    )
    is_paced: bool = False
    written_alone: set[str] = dataclasses.field(default_factory=set)
    suspended_until_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    learned: learned.Learned = dataclasses.field(default_factory=learned.Learned)
    reservations: dict[tuple[str, int, int], tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    reserved_targets: dict[tuple[str, int, int], list[fit.Candidate]] = dataclasses.field(
        default_factory=dict
    )
    guaranteed_since_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    guaranteed_begun: set[str] = dataclasses.field(default_factory=set)
    health: ejection.Record = dataclasses.field(default_factory=ejection.Record)
    speeds: speeds.Speeds = dataclasses.field(default_factory=speeds.Speeds)
    speed_tiers: speed_tiers.Fleet = dataclasses.field(default_factory=speed_tiers.Fleet)
    changes: dict[str, JobChange] = dataclasses.field(default_factory=dict)
    lapsing: dict[str, agents.Agent] = dataclasses.field(default_factory=dict)
    events: list[Event] = dataclasses.field(default_factory=list)


def max_evacuations_age_ms(limits: Limits) -> int:
    """Return the age of the known evacuations up to which runs may be ordered.

    A run starts up to `START_WINDOW_MS` after its order, which may be in a data centre that was
    taken out of service just after the evacuations were read.
    """
    age_ms = limits.evacuate_ms - START_WINDOW_MS - EVACUATION_MARGIN_MS
    return max(MIN_EVACUATIONS_AGE_MS, age_ms)


def pending_change(state: State, job_id: str) -> JobChange:
    """Return the pending row changes of a job, creating them if there are none."""
    return state.changes.setdefault(job_id, JobChange())


def add_job(state: State, job: steps.Job, version: int) -> None:
    """Add a job that was read from its row, and its open runs."""
    state.jobs[job.id] = job
    state.job_versions[job.id] = version
    for progress in job.progress:
        for run in progress.runs:
            _update_usage(state, job, progress, run, 1)
        for run in progress.unreported:
            index_unreported(state, job, progress, run)


def index_unreported(
    state: State, job: steps.Job, progress: steps.StepProgress, run: steps.Run
) -> None:
    """Add a run to those whose ends the agent of its node has not reported."""
    state.unreported.setdefault(run.node, []).append((job, progress, run))


def update_agent(state: State, agent: agents.Agent, version: int) -> None:
    """Replace an agent by a newer version of its row."""
    if agent.node in state.agents:
        speeds.observe(state, state.agents[agent.node], agent)
    expected.observe_reports(state, agent)
    state.agents[agent.node] = agent
    state.agent_versions[agent.node] = version
    state.unconfirmed.discard(agent.node)
    state.claimed_runs.update(agent.claimed)
    state.claimed_runs.update((report.task, report.attempt) for report in agent.runs)


def request_confirmations(state: State, now_ms: int) -> None:
    """Ask agents to renew their leases, and withhold orders from those that have not.

    After a power loss, a row that looks recent may predate the failure of its agent, its worker
    and the previous leader. Rows younger than ``TRUSTED_RENEWAL_AGE_MS`` cannot, because no
    process could have become leader that soon after the failure.
    """
    state.unconfirmed = {
        node
        for node, agent in state.agents.items()
        if agent.hold_until_ms - state.limits.hold_ms < now_ms - TRUSTED_RENEWAL_AGE_MS
    }
    state.renewal_requests = sorted(state.unconfirmed)
    state.confirmations_requested_ms = now_ms


def awaits_confirmations(state: State, now_ms: int) -> bool:
    """Return whether requested renewals may still arrive and make more workers available."""
    return (
        bool(state.unconfirmed) and now_ms - state.confirmations_requested_ms < CONFIRM_TIMEOUT_MS
    )


def feeds_caught_up(state: State, now_ms: int) -> bool:
    """Return whether the feeds have delivered what the last read of all rows missed.

    The tables are read one after the other and therefore show different points in time.
    """
    return now_ms - state.loaded_ms >= FEED_CATCH_UP_MS


def forget_job(state: State, job: steps.Job) -> None:
    """Remove a job without open runs, and everything recorded for its steps."""
    state.jobs.pop(job.id, None)
    state.job_versions.pop(job.id, None)
    state.cancelled.discard(job.id)
    state.written_alone.discard(job.id)
    state.suspended_until_ms.pop(job.id, None)
    state.guaranteed_since_ms.pop(job.id, None)
    state.guaranteed_begun.discard(job.id)
    per_step = (
        state.failed_nodes,
        state.attempt_wait_since,
        state.locality_wait_since,
        state.wait_logged_at,
        state.broken_at_ms,
        state.reservations,
        state.retry_at,
        state.tickets,
    )
    for by_step in per_step:
        for key in [key for key in by_step if key[0] == job.id]:
            del by_step[key]


def record_write_latency(state: State, latency_ms: float) -> None:
    """Record the duration of a transaction.

    A slow one counts for some time: a quick write among slow ones says nothing about the claims
    that are still queued.
    """
    state.write_latency_ms = max(latency_ms, WRITE_LATENCY_DECAY * state.write_latency_ms)


def open_run(
    state: State, job: steps.Job, progress: steps.StepProgress, run: steps.Run, order: steps.Order
) -> None:
    """Add a run and write its order."""
    progress.runs.append(run)
    _update_usage(state, job, progress, run, 1)
    pending = pending_change(state, job.id)
    pending.save_job = True
    pending.writes.append((tables.order_key(run.node, order.task, run.attempt), order))
    demand = job.steps[progress.step].demand
    detail = (
        f"for {order.instance}, {demand.cpu_millis / 1000:g} cores, "
        f"{demand.accelerators} accelerators"
    )
    detail += ", checkpointing" if order.checkpointing else ""
    detail += ", resumed" if order.checkpoint else ""
    waited_ms = run.ordered_ms - job.submitted_ms
    forecast = expected.forecast(state, job, progress, run)
    state.events.append(
        Event("ordered", job.id, order.task, run.attempt, run.node, detail, waited_ms, forecast)
    )


def close_run(state: State, job: steps.Job, progress: steps.StepProgress, run: steps.Run) -> None:
    """Remove a run that has ended and release its resources."""
    progress.runs.remove(run)
    speeds.forget_run(state, job, progress, run)
    task = steps.task_name(job.id, progress.occurrence, progress.step, run.index)
    state.claimed_runs.discard((task, run.attempt))
    _update_usage(state, job, progress, run, -1)
    pending_change(state, job.id).save_job = True


def stop_run(
    state: State, job: steps.Job, progress: steps.StepProgress, run: steps.Run, reason: str
) -> None:
    """Order a run to stop; its resources stay reserved until its end is known."""
    if run.stopping:
        return
    run.stopping = True
    task = steps.task_name(job.id, progress.occurrence, progress.step, run.index)
    pending = pending_change(state, job.id)
    pending.save_job = True
    pending.writes.append(
        (tables.stop_key(run.node, task, run.attempt), _stop_order(job, task, run))
    )
    state.events.append(Event("stopping", job.id, task, run.attempt, run.node, reason))


def reserved_demand(step: steps.Step) -> tuple[int, int, int]:
    """Return the resources that a task reserves on a worker; filling tasks reserve no CPU."""
    demand = step.demand
    return 0 if step.fills else demand.cpu_millis, demand.memory_mb, demand.accelerators


def _stop_order(job: steps.Job, task: str, run: steps.Run) -> steps.Order:
    return steps.Order(job.id, task, run.attempt, "", 0, run.ordered_ms + START_WINDOW_MS)


def _update_usage(
    state: State,
    job: steps.Job,
    progress: steps.StepProgress,
    run: steps.Run,
    sign: int,
) -> None:
    used = state.used.setdefault(run.node, [0, 0, 0])
    for resource, amount in enumerate(reserved_demand(job.steps[progress.step])):
        used[resource] += sign * amount
    entries = state.runs.setdefault(run.node, [])
    if sign > 0:
        entries.append((job, progress, run))
    else:
        entries[:] = [entry for entry in entries if entry[2] is not run]
