"""Specification: a keyed non-idempotent request runs at most once; ``not_run`` is never false.

The model has two entries that receive the same call, because the caller retries, and two agents,
each with a backend server. Messages may be delayed, lost or duplicated, an agent may restart and
lose its state, and the answer of the store to a claim may be lost.
"""

from __future__ import annotations

import typing

import minicheck

ENTRIES = (0, 1)
AGENTS = (0, 1)

GUARDS = {
    "claim the key first": "at_most_once",
    "send again only after not_run": "at_most_once",
    "agent remembers ids": "at_most_once",
    "query leaves a tombstone": "true_not_run",
    "another incarnation has forgotten": "true_not_run",
}


class Entry(typing.NamedTuple):
    """``phase`` is idle, claiming, claimed, sent, querying, or a final verdict.

    ``agent`` and ``incarnation`` identify the receiver of the request, and ``sends`` counts the
    dispatches.
    """

    phase: str = "idle"
    agent: int = -1
    incarnation: int = 0
    sends: int = 0


class Agent(typing.NamedTuple):
    """``record`` is unknown, running, done or tombstone; ``incarnation`` counts restarts."""

    record: str = "unknown"
    incarnation: int = 0


class State(typing.NamedTuple):
    """``in_flight`` holds dispatches as (entry, agent); each may be delivered repeatedly."""

    claim: int = -1
    entries: tuple[Entry, ...] = (Entry(), Entry())
    agents: tuple[Agent, ...] = (Agent(), Agent())
    in_flight: frozenset[tuple[int, int]] = frozenset()
    runs: int = 0
    reported_not_run: int = 0


def protocol(removed: frozenset[str] = frozenset()) -> minicheck.Protocol:
    """Return the specification without the guards in ``removed``."""
    return minicheck.Protocol(
        name="request",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(_transitions(State(*state), removed)),
        invariants={
            "at_most_once": lambda state: state["runs"] <= 1,
            # Only the entry that holds the claim can have run the request.
            "true_not_run": lambda state: not (state["reported_not_run"] and state["runs"]),
        },
    )


def _transitions(state: State, removed: frozenset[str]) -> typing.Iterator[tuple[str, State]]:
    for number in ENTRIES:
        yield from _claim(state, number, removed)
        yield from _send(state, number)
        yield from _receive(state, number, removed)
    for number in AGENTS:
        yield from _agent(state, number, removed)


def _with_entry(state: State, number: int, **changes: typing.Any) -> State:
    entries = list(state.entries)
    entries[number] = entries[number]._replace(**changes)
    return state._replace(entries=tuple(entries))


def _with_agent(state: State, number: int, **changes: typing.Any) -> State:
    agents = list(state.agents)
    agents[number] = agents[number]._replace(**changes)
    return state._replace(agents=tuple(agents))


def _claim(
    state: State, number: int, removed: frozenset[str]
) -> typing.Iterator[tuple[str, State]]:
    phase = state.entries[number].phase
    if phase == "idle":
        yield f"caller calls entry {number}", _with_entry(state, number, phase="claiming")
    if phase != "claiming":
        return
    if "claim the key first" in removed:
        yield f"entry {number} skips the claim", _with_entry(state, number, phase="claimed")
        return
    if state.claim < 0:
        applied = state._replace(claim=number)
        yield f"claim of {number} applies", _with_entry(applied, number, phase="claimed")
        # The answer is lost: the claim is stored, and this entry sends nothing.
        yield f"claim of {number}: answer lost", _with_entry(applied, number, phase="not_sent")
    elif state.claim != number:
        # The other call may have run, so this one reports an unknown outcome.
        yield f"claim of {number} conflicts", _with_entry(state, number, phase="may_have_run")


def _send(state: State, number: int) -> typing.Iterator[tuple[str, State]]:
    entry = state.entries[number]
    if entry.phase != "claimed" or entry.sends >= len(AGENTS):
        return
    for agent in AGENTS:
        if agent == entry.agent:
            continue
        sent = _with_entry(
            state, number, phase="sent", agent=agent, sends=entry.sends + 1,
            incarnation=state.agents[agent].incarnation,
        )  # fmt: skip
        yield (
            f"entry {number} sends to agent {agent}",
            sent._replace(in_flight=state.in_flight | {(number, agent)}),
        )


def _receive(
    state: State, number: int, removed: frozenset[str]
) -> typing.Iterator[tuple[str, State]]:
    entry = state.entries[number]
    if entry.phase == "sent":
        yield f"connection of entry {number} is lost", _with_entry(state, number, phase="querying")
    if entry.phase not in ("sent", "querying"):
        return
    agent = state.agents[entry.agent]
    if agent.incarnation != entry.incarnation and (
        "another incarnation has forgotten" not in removed
    ):
        if entry.phase == "querying":
            yield from _report_unknown_outcome(state, number, removed)
        return
    if agent.record == "done":
        yield f"entry {number} gets the answer", _with_entry(state, number, phase="ran")
    if agent.record == "unknown" and entry.phase == "querying":
        queried = state
        if "query leaves a tombstone" not in removed:
            queried = _with_agent(state, entry.agent, record="tombstone")
        yield from _not_run(queried, number)
    if agent.record == "tombstone" and entry.phase == "querying":
        yield from _not_run(state, number)


def _report_unknown_outcome(
    state: State, number: int, removed: frozenset[str]
) -> typing.Iterator[tuple[str, State]]:
    yield f"entry {number}: may have run", _with_entry(state, number, phase="may_have_run")
    if "send again only after not_run" in removed:
        yield f"entry {number} sends again", _with_entry(state, number, phase="claimed")


def _not_run(state: State, number: int) -> typing.Iterator[tuple[str, State]]:
    yield f"entry {number} may send again", _with_entry(state, number, phase="claimed")
    reported = _with_entry(state, number, phase="not_run")
    yield f"entry {number} reports not run", reported._replace(reported_not_run=1)


def _agent(
    state: State, number: int, removed: frozenset[str]
) -> typing.Iterator[tuple[str, State]]:
    agent = state.agents[number]
    arriving = any(target == number for _, target in state.in_flight)
    known = agent.record != "unknown" and "agent remembers ids" not in removed
    # A delivered dispatch stays in flight, because it may be delivered twice. A connection
    # belongs to one incarnation, so a restart loses the dispatches sent before it.
    if arriving and not known and state.runs < 2 and agent.record != "tombstone":
        yield (
            f"agent {number} forwards the request",
            _with_agent(state, number, record="running")._replace(runs=state.runs + 1),
        )
    if agent.record == "running":
        yield (
            f"backend server of agent {number} answers",
            _with_agent(state, number, record="done"),
        )
    if agent.incarnation == 0:
        lost = frozenset(item for item in state.in_flight if item[1] != number)
        restarted = _with_agent(state, number, record="unknown", incarnation=1)
        yield f"agent {number} restarts", restarted._replace(in_flight=lost)
