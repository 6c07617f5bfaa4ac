"""Agents and their workers, as stored in the row store."""

from __future__ import annotations

import dataclasses
import enum

from peridothatch_core.model import steps


class WorkerState(enum.StrEnum):
    """Whether a worker accepts tasks."""

    ABSENT = "absent"
    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """A worker as registered with the agent on its machine.

    Attributes
    ----------
    instance, started_ms : str, int
        Id of the worker, and the start time of its incarnation in milliseconds since
        1970-01-01 UTC. A new incarnation under the same id has no state of earlier ones.
    leaves_in_ms : int
        Minimum time until a draining worker shuts down.
    """

    instance: str
    started_ms: int
    service: str
    zone: str
    state: WorkerState
    capacity: steps.Demand
    kind: str = ""
    rack: str = ""
    leaves_in_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RunReport:
    """Status of a run on the worker as of the last renewal of the agent's lease.

    Attributes
    ----------
    saved : str
        Latest checkpoint; empty if there is none.
    percent : int
        Progress in percent; for a long-running task, its current rate as a share of the full
        rate.
    """

    task: str
    attempt: int
    saved: str
    percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class Agent:
    """State of an agent, as stored in its row.

    Attributes
    ----------
    node : str
        Machine that the agent runs on.
    fence : int
        Fencing token of the agent as of this renewal; increases with each start of its process,
        and by less with each incarnation of its worker (`hold.state.FENCES_PER_PROCESS`).
    lapses : int
        Number of times the scheduler has declared the agent's lease expired. Runs ordered
        before the last expiry have ended.
    hold_until_ms : int
        Store time until which the agent may keep runs active.
    worker : Worker or None
        The worker on the agent's machine; ``None`` until it registers.
    runs : tuple of RunReport
        Runs that the worker has confirmed as started.
    claimed : tuple of (str, int)
        Task and attempt of each order that the agent has claimed; it starts no other runs.
    """

    node: str
    zone: str
    fence: int
    lapses: int
    hold_until_ms: int
    worker: Worker | None = None
    runs: tuple[RunReport, ...] = ()
    claimed: tuple[tuple[str, int], ...] = ()


def find_run_report(agent: Agent, task: str, attempt: int) -> RunReport | None:
    """Return the agent's last report of a run, or ``None`` if it has not reported the run."""
    for found in agent.runs:
        if (found.task, found.attempt) == (task, attempt):
            return found
    return None
