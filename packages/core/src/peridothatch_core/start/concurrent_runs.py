"""Detects jobs with members of two runs reported as running at the same time."""

from __future__ import annotations

import collections
import dataclasses
import typing

if typing.TYPE_CHECKING:
    from peridothatch_core.message import link

RUNNING = "running"

Member = tuple[str, int, int]
"""Job id, run number and task index."""


@dataclasses.dataclass(slots=True)
class State:
    """Running members as reported by the connected agents.

    Attributes
    ----------
    reported : dict
        Running members of each connected agent.
    runs : dict
        Number of running members in each run, by job.
    breaches : int
        Number of times that a run was first reported while another run of the job was running.
    """

    reported: dict[str, set[Member]] = dataclasses.field(default_factory=dict)
    runs: dict[str, collections.Counter[int]] = dataclasses.field(default_factory=dict)
    breaches: int = 0


def record_announcement(state: State, agent_id: str, members: tuple[link.Member, ...]) -> None:
    """Replace the members that an agent reported before."""
    running = {_key(item) for item in members if item.state == RUNNING}
    for gone in state.reported.get(agent_id, set()) - running:
        _remove(state, agent_id, gone)
    for new in sorted(running - state.reported.get(agent_id, set())):
        _add(state, agent_id, new)


def record_change(state: State, agent_id: str, member: link.Member) -> None:
    """Record a change of a member's state."""
    if member.state == RUNNING:
        _add(state, agent_id, _key(member))
    else:
        _remove(state, agent_id, _key(member))


def record_disconnect(state: State, agent_id: str) -> None:
    """Discard the reports of a disconnected agent, which announces all members on reconnection."""
    for member in tuple(state.reported.get(agent_id, ())):
        _remove(state, agent_id, member)
    state.reported.pop(agent_id, None)


def reset(state: State) -> None:
    """Discard all reports but keep the count of breaches."""
    state.reported.clear()
    state.runs.clear()


def _key(member: link.Member) -> Member:
    return member.job, member.run, member.cell.task


def _add(state: State, agent_id: str, member: Member) -> None:
    reported = state.reported.setdefault(agent_id, set())
    if member in reported:
        return
    reported.add(member)
    job_id, run, _ = member
    runs = state.runs.setdefault(job_id, collections.Counter())
    if runs and not runs[run]:
        state.breaches += 1
    runs[run] += 1


def _remove(state: State, agent_id: str, member: Member) -> None:
    reported = state.reported.get(agent_id, set())
    if member not in reported:
        return
    reported.remove(member)
    job_id, run, _ = member
    runs = state.runs[job_id]
    runs[run] -= 1
    if not runs[run]:
        del runs[run]
    if not runs:
        del state.runs[job_id]
