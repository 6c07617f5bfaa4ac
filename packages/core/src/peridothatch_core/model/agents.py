"""Agents and the workers beside them, as their rows in the store show them."""

from __future__ import annotations

import dataclasses
import enum

from peridothatch_core.model import steps


class WorkerState(enum.StrEnum):
    """Whether a worker takes work."""

    ABSENT = "absent"
    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """A worker as it announced itself to the agent beside it.

    Attributes
    ----------
    instance, started_ms : str, int
        Id of the worker, and the start of its incarnation since 1970-01-01 UTC; a new incarnation
        under an old id knows nothing of before.
    leaves_in_ms : int
        Least time until a draining worker leaves.
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
    """A run on the worker when the agent last renewed its lease.

    Attributes
    ----------
    saved : str
        Newest checkpoint; empty when there is none.
    percent : int
        Progress, or the share at which a long-running task works.
    """

    task: str
    attempt: int
    saved: str
    percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class Agent:
    """An agent's row.

    Attributes
    ----------
    node : str
        Machine that the agent runs on.
    fence : int
        Fencing token of the agent process; rises with each start.
    lapses : int
        How often the scheduler has declared the agent's lease lapsed; runs that were ordered
        before the last lapse are over.
    hold_until_ms : int
        Store time until which the agent may keep runs alive.
    worker : Worker or None
        The worker beside the agent, once it has announced itself.
    runs : tuple of RunReport
        Runs whose start the worker has confirmed.
    claimed : tuple of (str, int)
        Task and attempt of the orders that the agent has taken; it starts no other runs.
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
    """Return what an agent last reported of a run."""
    for found in agent.runs:
        if (found.task, found.attempt) == (task, attempt):
            return found
    return None
