"""Specification: a gang starts all-or-nothing, and never while an earlier run may be alive.

The model has three agents, two planners with successive epochs, and one job with two members.
Time advances in ticks. Messages may be delayed, lost or duplicated, and the answer to a commit
may be lost. Agents and planners may pause, and the second planner may take over the lease, at any
moment.
"""

from __future__ import annotations

import typing

import minicheck

AGENTS = (0, 1, 2)
GANG_SIZE = 2
PLANNERS = (1, 2)
LEASE_TICKS = 2
# The planner waits longer than the lease, to allow for clock drift.
LEASE_WAIT_TICKS = LEASE_TICKS + 1
MAX_RUN = 2

GUARDS = {
    "start only after the commit": "start_is_committed",
    "start only when all have reserved": "whole_when_started",
    "commit is conditional on epoch and version": "start_is_committed",
    "agents refuse lower epochs": "one_run_at_a_time",
    "run again only after the lease lapsed": "one_run_at_a_time",
    "member stops when its lease lapses": "one_run_at_a_time",
    "resumed process checks its lease first": "one_run_at_a_time",
}


class Member(typing.NamedTuple):
    """State of one agent: its run and status, remaining lease ticks and highest epoch seen."""

    run: int = 0
    status: str = "none"
    lease: int = 0
    epoch: int = 1
    paused: int = 0


class Planner(typing.NamedTuple):
    """``phase`` is idle, reserving, committed, started, stopping or fenced.

    ``wait`` counts the ticks since it last renewed or started a member, and ``reserved`` holds
    the members that confirmed their reservation.
    """

    phase: str = "idle"
    run: int = 0
    wait: int = 0
    reserved: frozenset[int] = frozenset()


class State(typing.NamedTuple):
    """The job row in the store (epoch, run, placement), the processes and the start messages."""

    epoch: int = 1
    run: int = 0
    placed: frozenset[int] = frozenset()
    planners: tuple[Planner, ...] = (Planner(), Planner())
    members: tuple[Member, ...] = (Member(), Member(), Member())
    starts: frozenset[tuple[int, int, int]] = frozenset()
    violated: str = ""


def protocol(removed: frozenset[str] = frozenset()) -> minicheck.Protocol:
    """Return the specification without the guards in ``removed``."""
    return minicheck.Protocol(
        name="gang start",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(_transitions(State(*state), removed)),
        invariants={
            name: (lambda state, name=name: name not in state["violated"])
            for name in sorted(set(GUARDS.values()))
        },
    )


def _transitions(state: State, removed: frozenset[str]) -> typing.Iterator[tuple[str, State]]:
    if state.violated:
        return
    yield "tick", _tick(state, removed)
    if state.epoch == 1:
        yield "planner 2 takes the lease over", _take_over(state)
    for epoch in PLANNERS:
        yield from _planner(state, epoch, removed)
    for number in AGENTS:
        yield from _member(state, number, removed)


def _with_planner(state: State, epoch: int, **changes: typing.Any) -> State:
    planners = list(state.planners)
    planners[epoch - 1] = planners[epoch - 1]._replace(**changes)
    return state._replace(planners=tuple(planners))


def _with_member(state: State, number: int, **changes: typing.Any) -> State:
    members = list(state.members)
    members[number] = members[number]._replace(**changes)
    return state._replace(members=tuple(members))


def _is_gang_reserved(planner: Planner) -> bool:
    return len(planner.reserved) == GANG_SIZE


def _tick(state: State, removed: frozenset[str]) -> State:
    members = []
    for member in state.members:
        left = max(0, member.lease - 1)
        lapsed = left == 0 and "member stops when its lease lapses" not in removed
        if lapsed and not member.paused and member.status != "none":
            member = Member(epoch=member.epoch)
        members.append(member._replace(lease=left))
    planners = tuple(
        planner._replace(wait=min(LEASE_WAIT_TICKS, planner.wait + 1))
        for planner in state.planners
    )
    return state._replace(members=tuple(members), planners=planners)


def _take_over(state: State) -> State:
    # The new planner does not know when the old one last renewed a lease, so it waits from now on,
    # after it has made the agents reject the old epoch. It treats a committed run as running.
    phase = "stopping" if state.run else "idle"
    return _with_planner(
        state._replace(epoch=2), 2, phase=phase, run=state.run, wait=0, reserved=state.placed
    )


def _planner(
    state: State, epoch: int, removed: frozenset[str]
) -> typing.Iterator[tuple[str, State]]:
    planner = state.planners[epoch - 1]
    if epoch > state.epoch:
        return
    if planner.phase == "idle" and planner.run < MAX_RUN:
        yield (
            f"planner {epoch} reserves",
            _with_planner(
                state, epoch, phase="reserving", run=planner.run + 1, reserved=frozenset()
            ),
        )
    if planner.phase == "reserving":
        yield from _reserve(state, epoch, planner, removed)
        yield from _commit(state, epoch, planner, removed)
    if planner.phase == "committed":
        starts = {(epoch, planner.run, number) for number in planner.reserved}
        sent = state._replace(starts=state.starts | starts)
        yield f"planner {epoch} starts", _with_planner(sent, epoch, phase="started", wait=0)
    if planner.phase == "started":
        yield from _renew(state, epoch, planner, removed)
        yield (
            f"planner {epoch} finds a member missing",
            _with_planner(state, epoch, phase="stopping"),
        )
    if planner.phase == "stopping":
        yield from _requeue(state, epoch, planner, removed)


def _reserve(
    state: State, epoch: int, planner: Planner, removed: frozenset[str]
) -> typing.Iterator[tuple[str, State]]:
    if len(planner.reserved) == GANG_SIZE:
        return
    for number in AGENTS:
        member = state.members[number]
        accepted = epoch >= member.epoch or "agents refuse lower epochs" in removed
        if member.paused or member.status != "none" or not accepted:
            continue
        reserved = _with_member(
            state, number, run=planner.run, status="reserved", lease=LEASE_TICKS,
            epoch=max(epoch, member.epoch),
        )  # fmt: skip
        yield (
            f"agent {number} reserves for planner {epoch}",
            _with_planner(reserved, epoch, reserved=planner.reserved | {number}),
        )


def _commit(
    state: State, epoch: int, planner: Planner, removed: frozenset[str]
) -> typing.Iterator[tuple[str, State]]:
    if not _is_gang_reserved(planner) and "start only when all have reserved" not in removed:
        return
    if "start only after the commit" in removed:
        yield f"planner {epoch} does not commit", _with_planner(state, epoch, phase="committed")
    refused = epoch != state.epoch or state.run >= planner.run
    if refused and "commit is conditional on epoch and version" not in removed:
        yield (
            f"commit of planner {epoch} is refused",
            _with_planner(state, epoch, phase="fenced", reserved=frozenset()),
        )
        return
    applied = state._replace(run=planner.run, placed=planner.reserved)
    yield f"planner {epoch} commits", _with_planner(applied, epoch, phase="committed")
    # After a lost answer the planner reads the row before it starts anything, which leads to the
    # state above.
    yield f"commit of planner {epoch} applies, answer lost", applied


def _renew(
    state: State, epoch: int, planner: Planner, removed: frozenset[str]
) -> typing.Iterator[tuple[str, State]]:
    for number in sorted(planner.reserved):
        member = state.members[number]
        accepted = epoch >= member.epoch or "agents refuse lower epochs" in removed
        if member.status == "running" and member.run == planner.run and accepted:
            if member.paused:
                continue
            renewed = _with_member(state, number, lease=LEASE_TICKS)
            yield f"planner {epoch} renews agent {number}", _with_planner(renewed, epoch, wait=0)


def _requeue(
    state: State, epoch: int, planner: Planner, removed: frozenset[str]
) -> typing.Iterator[tuple[str, State]]:
    for number in sorted(planner.reserved):
        member = state.members[number]
        if not member.paused and member.epoch < epoch:
            # After contact with the new planner the agent rejects the old one.
            contact = _with_member(state, number, epoch=epoch)
            yield f"agent {number} learns epoch {epoch}", _with_planner(contact, epoch, wait=0)
        if not member.paused and member.status != "none" and member.run <= planner.run:
            stopped = _with_member(state, number, run=0, status="none", epoch=epoch)
            yield f"agent {number} stops for planner {epoch}", stopped
    # The old planner may still renew an agent that has not been contacted under this epoch, so
    # the planner waits for all of them. (The renew-only limit, which would also end the wait, is
    # not modelled.)
    all_contacted = all(state.members[number].epoch >= epoch for number in planner.reserved)
    lapsed = planner.wait >= LEASE_WAIT_TICKS and all_contacted
    if lapsed or "run again only after the lease lapsed" in removed:
        yield f"planner {epoch} requeues the job", _with_planner(state, epoch, phase="idle")


def _member(
    state: State, number: int, removed: frozenset[str]
) -> typing.Iterator[tuple[str, State]]:
    member = state.members[number]
    if member.paused:
        yield from _resume(state, number, removed)
        return
    if member.status != "none":
        yield f"agent {number} pauses", _with_member(state, number, paused=1)
    for epoch, run, target in state.starts:
        if target != number:
            continue
        reserved = member.status == "reserved" and member.run == run
        accepted = epoch >= member.epoch or "agents refuse lower epochs" in removed
        if reserved and accepted:
            yield (
                f"agent {number} starts run {run} of planner {epoch}",
                _start_member(state, number, run),
            )


def _start_member(state: State, number: int, run: int) -> State:
    started = _with_member(state, number, status="running", lease=LEASE_TICKS)
    violated = set()
    others = [item for index, item in enumerate(state.members) if index != number]
    # A paused member executes nothing, and checks its lease when it resumes.
    if any(item.status == "running" and item.run != run and not item.paused for item in others):
        violated.add("one_run_at_a_time")
    if state.run < run:
        violated.add("start_is_committed")
    if not any(
        planner.run >= run and len(planner.reserved) == GANG_SIZE for planner in state.planners
    ):
        violated.add("whole_when_started")
    return started._replace(violated=" ".join(sorted(violated)))


def _resume(
    state: State, number: int, removed: frozenset[str]
) -> typing.Iterator[tuple[str, State]]:
    member = state.members[number]
    lapsed = member.lease == 0 and "resumed process checks its lease first" not in removed
    if lapsed and "member stops when its lease lapses" not in removed:
        yield (
            f"agent {number} resumes and stops",
            _with_member(state, number, run=0, status="none", paused=0),
        )
        return
    resumed = _with_member(state, number, paused=0)
    others = [item for index, item in enumerate(state.members) if index != number]
    overlaps = any(
        item.status == "running" and item.run != member.run and not item.paused for item in others
    )
    if member.status == "running" and overlaps:
        resumed = resumed._replace(violated="one_run_at_a_time")
    yield f"agent {number} resumes", resumed
