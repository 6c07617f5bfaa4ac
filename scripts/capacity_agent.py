"""Processor time of an agent against the gang members on its worker."""

from __future__ import annotations

import capacity_fit

from peridothatch_core.message import link
from peridothatch_core.model import worker
from peridothatch_core.start import gang_member, member_state

SIZES = (0, 8, 22, 64)
TIMES = 200
WORKER = worker.Worker("w", "dc", "r", 8, 64, 262_144, "v1")


def listing(held: int) -> member_state.WorkerListed:
    """Return a worker's task list with one running task of each gang."""
    tasks = tuple(
        member_state.TaskStatus(f"entry-dc.8f3a21c4.{index}", 1, 0, "running", 20.0)
        for index in range(held)
    )
    return member_state.WorkerListed(WORKER, tasks, 104.0)


def build(held: int) -> member_state.State:
    """Return an agent whose worker runs ``held`` members, connected to three entries."""
    state = gang_member.create("w", 100.0)
    gang_member.step(state, listing(held), 104.0)
    for entry in ("e1", "e2", "e3"):
        gang_member.step(state, member_state.EntryOpened(entry), 104.0)
    if len(state.runs) != held:
        raise RuntimeError(f"the agent holds {len(state.held)} members; expected {held}")
    return state


def series() -> list[capacity_fit.Series]:
    """Return the costs against the members held."""
    steps = {
        "agent tick": lambda _held: member_state.Tick(),
        "agent tick with heartbeat to 3 entries": lambda _held: member_state.Tick(True),
        "agent heartbeat answer that renews all": _acknowledged,
        "agent list of the worker's tasks": listing,
    }
    found = []
    for name, make_event in steps.items():
        points = []
        for held in SIZES:
            state, event = build(held), make_event(held)
            cost = capacity_fit.microseconds(
                lambda state=state, event=event: gang_member.step(state, event, 104.5), TIMES
            )
            points.append((held, cost))
        found.append(capacity_fit.Series(name, "members", "µs", tuple(points)))
    memory = tuple((held, capacity_fit.kibibytes(lambda held=held: build(held))) for held in SIZES)
    found.append(capacity_fit.Series("agent memory of members", "members", "KiB", memory))
    return found


def _acknowledged(held: int) -> member_state.FromEntry:
    renewed = tuple(link.GangRef(f"entry-dc.8f3a21c4.{index}", 1) for index in range(held))
    ack = link.HeartbeatAck(104.2, True, 0.1, 1, 1, True, renewed)
    return member_state.FromEntry("e1", ack)
