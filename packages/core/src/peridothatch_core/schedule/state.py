"""What the scheduler knows of jobs and workers, and the changes that it has decided."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.model import steps, tables
from peridothatch_core.order import runtimes
from peridothatch_core.place import ejection
from peridothatch_core.schedule import speeds

if typing.TYPE_CHECKING:
    from peridothatch_core.message import rows
    from peridothatch_core.model import agents, desired
    from peridothatch_core.schedule import tickets

START_WINDOW_MS = 2000
"""Time in which an agent may begin to carry out an order. Shorter than the bounds on starts
after a take-out, a drain or a cancellation, so that no order outlives them."""

CONFIRMED_WITHIN_MS = 700
"""Age of an agent's renewal up to which a new leader gives it orders without asking. A process
takes at least as long to start and to lead."""

CONFIRM_MS = 500
"""Time for agents to renew when asked to: their feed, a write, and the feed of the members."""

SETTLE_MS = 300
"""Time for the feeds to bring what was written between the reads of two tables."""

RENEWED_WITHIN_MS = 3500
"""Longest time since the last renewal of an agent that gets new orders; agents renew every 2 s."""

CLAIM_MS = 800
"""Time after which an order is withdrawn that its agent has not claimed: its feed may have missed
the order for half a second. An order for a dead agent would wait for the end of its lease."""

CLAIM_WRITES = 4
"""The same in addition, in writes: the order, the claim, and the feeds that show them."""

LAPSE_MARGIN_MS = 1200
"""Time after a lease's end before its runs count as over: stopping takes up to the grace of a
kill, and the clocks' rates differ slightly."""

EJECTION = ejection.Policy(
    jobs_to_eject=2,
    window_seconds=20.0,
    probe_seconds=6.0,
    longest_probe_seconds=30.0,
    share=0.34,
)
"""Sized for runs of seconds: two different jobs that fail on a worker eject it, and a third of
the workers may be out at a time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of the installation.

    Attributes
    ----------
    retention_ms : int
        Time that the final state of a job stays readable.
    hold_ms : int
        Length of an agent's lease at its renewal.
    remote_factor : float
        How many times as long tasks take away from their data or spread over racks.
    """

    retention_ms: int = 120_000
    hold_ms: int = 9500
    remote_factor: float = 3.0


@dataclasses.dataclass(slots=True)
class Change:
    """Rows that change together with one job's row.

    Attributes
    ----------
    save : bool
        The job's own row has changed.
    drop : bool
        The job's own row is removed.
    writes : list
        Other rows with their new values as data classes, or ``None`` to delete.
    spare : list of Key
        Rows that may be deleted later than the job's row is written.
    conditions : list of Condition
        Rows that must be as they were seen.
    """

    save: bool = False
    drop: bool = False
    writes: list[tuple[rows.Key, typing.Any]] = dataclasses.field(default_factory=list)
    spare: list[rows.Key] = dataclasses.field(default_factory=list)
    conditions: list[rows.Condition] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A decision, for the log.

    Attributes
    ----------
    kind : str
        What was decided.
    detail : str
        What it hung on.
    elapsed_ms : int or None
        Time since the job's submission, or since the run's order for the end of a run.
    """

    kind: str
    job: str
    task: str = ""
    attempt: int = 0
    node: str = ""
    detail: str = ""
    elapsed_ms: int | None = None


@dataclasses.dataclass(slots=True)
class State:
    """State of the scheduler.

    Attributes
    ----------
    job_versions, agent_versions : dict
        Versions of the rows of jobs (by id) and agents (by node).
    cancelled : set
        Jobs whose cancellation is in the store and not yet carried out.
    ends : dict
        Ends in the store that are not yet taken over, by row key.
    used : dict
        Demand of the open runs by node, as [cpu_millis, memory_mb, accelerators].
    runs : dict
        Open runs by node, as (job, progress, run).
    retry_at : dict
        Store time before which a task is not started again, by job, occurrence, step and index.
    cautious_since : dict
        Store time since which the last attempt of a task waits, by job, occurrence, step and
        index.
    locality_wait_since : dict
        Store time since which a step waits for a place at full speed.
    noted_at : dict
        Store time at which it was last logged that a step waits.
    tickets : dict
        Tickets by job, occurrence and step; only of queues that need them.
    ticket_requests : list of Request
        Requests for tickets that have been decided on.
    claimed_runs : set of (str, int)
        Task and attempt of open runs that an agent's row has named. A run that has just ended is
        no longer named, and its end may be heard of later.
    loaded_ms : int
        Store time at which all rows were last read.
    confirmations_requested_ms : int
        Store time at which agents were asked to renew after a takeover.
    unconfirmed : set of str
        Nodes whose agents have not written since this process took the lead, or since an order
        for them was withdrawn; they get no orders.
    write_latency_ms : float
        Time that the newest transaction of decisions took.
    renewals : list of str
        Nodes whose agents are to be asked to renew their leases now.
    runtimes : History
        Run times learnt by customer and queue.
    failed_nodes : dict
        Nodes on which tasks of a step failed, by job, occurrence and step.
    """

    limits: Limits = Limits()
    jobs: dict[str, steps.Job] = dataclasses.field(default_factory=dict)
    job_versions: dict[str, int] = dataclasses.field(default_factory=dict)
    agents: dict[str, agents.Agent] = dataclasses.field(default_factory=dict)
    agent_versions: dict[str, int] = dataclasses.field(default_factory=dict)
    desired: desired.DesiredState | None = None
    evacuated: frozenset[str] = frozenset()
    cancelled: set[str] = dataclasses.field(default_factory=set)
    ends: dict[str, steps.End] = dataclasses.field(default_factory=dict)
    used: dict[str, list[int]] = dataclasses.field(default_factory=dict)
    runs: dict[str, list[tuple[steps.Job, steps.StepProgress, steps.Run]]] = dataclasses.field(
        default_factory=dict
    )
    retry_at: dict[tuple[str, int, int, int], int] = dataclasses.field(default_factory=dict)
    cautious_since: dict[tuple[str, int, int, int], int] = dataclasses.field(default_factory=dict)
    failed_nodes: dict[tuple[str, int, int], set[str]] = dataclasses.field(default_factory=dict)
    locality_wait_since: dict[tuple[str, int, int], int] = dataclasses.field(default_factory=dict)
    noted_at: dict[tuple[str, int, int], int] = dataclasses.field(default_factory=dict)
    tickets: dict[tickets.StepKey, tickets.StepTickets] = dataclasses.field(default_factory=dict)
    ticket_requests: list[tickets.Request] = dataclasses.field(default_factory=list)
    claimed_runs: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    loaded_ms: int = 0
    confirmations_requested_ms: int = 0
    unconfirmed: set[str] = dataclasses.field(default_factory=set)
    renewals: list[str] = dataclasses.field(default_factory=list)
    write_latency_ms: float = 0.0
    runtimes: runtimes.History = dataclasses.field(default_factory=runtimes.History)
    health: ejection.Record = dataclasses.field(default_factory=ejection.Record)
    speeds: speeds.Speeds = dataclasses.field(default_factory=speeds.Speeds)
    changes: dict[str, Change] = dataclasses.field(default_factory=dict)
    lapsing: dict[str, agents.Agent] = dataclasses.field(default_factory=dict)
    events: list[Event] = dataclasses.field(default_factory=list)


def change(state: State, job_id: str) -> Change:
    """Return the open change of a job."""
    return state.changes.setdefault(job_id, Change())


def add_job(state: State, job: steps.Job, version: int) -> None:
    """Take a job over from its row."""
    state.jobs[job.id] = job
    state.job_versions[job.id] = version
    for progress in job.progress:
        for run in progress.runs:
            _index(state, job, progress, run, 1)


def update_agent(state: State, agent: agents.Agent, version: int) -> None:
    """Take over a newer row of an agent."""
    if agent.node in state.agents:
        speeds.observe(state, state.agents[agent.node], agent)
    state.agents[agent.node] = agent
    state.agent_versions[agent.node] = version
    state.unconfirmed.discard(agent.node)
    state.claimed_runs.update(agent.claimed)
    state.claimed_runs.update((report.task, report.attempt) for report in agent.runs)


def request_confirmations(state: State, now_ms: int) -> None:
    """Ask agents to renew, and give orders only to those that have.

    A row that looks recent may be from before a loss of power that ended its agent, its worker
    and the former leader together; one that is younger than a leader can be after such a loss is
    not.
    """
    state.unconfirmed = {
        node
        for node, agent in state.agents.items()
        if agent.hold_until_ms - state.limits.hold_ms < now_ms - CONFIRMED_WITHIN_MS
    }
    state.renewals = sorted(state.unconfirmed)
    state.confirmations_requested_ms = now_ms


def awaits_agents(state: State, now_ms: int) -> bool:
    """Tell whether agents that were asked to renew may still answer, so that room may appear."""
    return bool(state.unconfirmed) and now_ms - state.confirmations_requested_ms < CONFIRM_MS


def settled(state: State, now_ms: int) -> bool:
    """Tell whether feeds have completed the last read, whose tables are of different moments."""
    return now_ms - state.loaded_ms >= SETTLE_MS


def forget_job(state: State, job: steps.Job) -> None:
    """Forget a job that has no open runs."""
    state.jobs.pop(job.id, None)
    state.job_versions.pop(job.id, None)
    state.cancelled.discard(job.id)
    per_step = (
        state.failed_nodes,
        state.cautious_since,
        state.locality_wait_since,
        state.noted_at,
        state.retry_at,
        state.tickets,
    )
    for by_step in per_step:
        for key in [key for key in by_step if key[0] == job.id]:
            del by_step[key]


def open_run(
    state: State, job: steps.Job, progress: steps.StepProgress, run: steps.Run, order: steps.Order
) -> None:
    """Record a run and its order."""
    progress.runs.append(run)
    _index(state, job, progress, run, 1)
    pending = change(state, job.id)
    pending.save = True
    pending.writes.append((tables.order(run.node, order.task, run.attempt), order))
    demand = job.steps[progress.step].demand
    detail = (
        f"for {order.instance}, {demand.cpu_millis / 1000:g} cores, "
        f"{demand.accelerators} accelerators"
    )
    detail += ", checkpointing" if order.checkpointing else ""
    detail += ", resumed" if order.checkpoint else ""
    waited_ms = run.ordered_ms - job.submitted_ms
    state.events.append(
        Event("ordered", job.id, order.task, run.attempt, run.node, detail, waited_ms)
    )


def close_run(state: State, job: steps.Job, progress: steps.StepProgress, run: steps.Run) -> None:
    """Remove a run that is over and free its room."""
    progress.runs.remove(run)
    speeds.forget_run(state, job, progress, run)
    task = steps.task_name(job.id, progress.occurrence, progress.step, run.index)
    state.claimed_runs.discard((task, run.attempt))
    _index(state, job, progress, run, -1)
    change(state, job.id).save = True


def stop_run(
    state: State, job: steps.Job, progress: steps.StepProgress, run: steps.Run, reason: str
) -> None:
    """Order a run to stop; it keeps its room until its end is known."""
    if run.stopping:
        return
    run.stopping = True
    task = steps.task_name(job.id, progress.occurrence, progress.step, run.index)
    pending = change(state, job.id)
    pending.save = True
    pending.writes.append((tables.stop(run.node, task, run.attempt), _order(job, task, run)))
    state.events.append(Event("stopping", job.id, task, run.attempt, run.node, reason))


def counted(step: steps.Step) -> tuple[int, int, int]:
    """Return what a task takes of a worker, without the processor demand of filling tasks."""
    demand = step.demand
    return 0 if step.fills else demand.cpu_millis, demand.memory_mb, demand.accelerators


def _order(job: steps.Job, task: str, run: steps.Run) -> steps.Order:
    return steps.Order(job.id, task, run.attempt, "", 0, run.ordered_ms + START_WINDOW_MS)


def _index(
    state: State,
    job: steps.Job,
    progress: steps.StepProgress,
    run: steps.Run,
    sign: int,
) -> None:
    used = state.used.setdefault(run.node, [0, 0, 0])
    for place, amount in enumerate(counted(job.steps[progress.step])):
        used[place] += sign * amount
    entries = state.runs.setdefault(run.node, [])
    if sign > 0:
        entries.append((job, progress, run))
    else:
        entries[:] = [entry for entry in entries if entry[2] is not run]
