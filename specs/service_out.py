"""Specification: no task starts in a data centre after it was taken out of service.

The model has one store, one planner, and one agent with its worker. Time advances in ticks. Every
message may be lost or delayed without bound; a network partition and a store outage are modelled
as messages that never arrive. The agent may pause between its check and the call to the worker.
"""

from __future__ import annotations

import typing

import minicheck

# Validity of a proof in ticks: one more than is needed for each message to be a tick late.
PROOF_TICKS = 3
ABSENT = PROOF_TICKS + 1

# Maps each guard to the invariant that must fail without it.
GUARDS = {
    "age counts from when the read was sent": "no_start_after_out",
    "age counts from t0 of the heartbeat": "no_start_after_out",
    "agent checks the proof": "no_start_after_out",
    "worker checks not_after": "no_start_after_out",
    "lower revisions are ignored": "config_monotonic",
}


class State(typing.NamedTuple):
    """Ages are in ticks; ``ABSENT`` means that the item does not exist or has expired.

    ``read`` is a store read in flight: its age, and its value or -1 until the store has processed
    it. ``proof`` is the planner's proof, ``heartbeat`` a heartbeat in flight and ``ack`` its
    answer (in service, proof age when sent, age of ``t0``). ``agent_proof`` is the age of the
    agent's proof, and ``sent_proof`` that of the proof in a start on its way to the worker.
    """

    in_service: int = 1
    ticks_out: int = 0
    read: tuple[int, int] = (ABSENT, -1)
    proof: tuple[int, int] = (ABSENT, 0)
    heartbeat: int = ABSENT
    ack: tuple[int, int, int] = (0, ABSENT, ABSENT)
    agent_revision: int = 0
    agent_proof: int = ABSENT
    sent_proof: int = ABSENT
    late_start: int = 0
    reverted: int = 0


def protocol(removed: frozenset[str] = frozenset()) -> minicheck.Protocol:
    """Return the specification without the guards in ``removed``."""
    return minicheck.Protocol(
        name="service out",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(_transitions(State(*state), removed)),
        invariants={
            "no_start_after_out": lambda state: not state["late_start"],
            "config_monotonic": lambda state: not state["reverted"],
        },
    )


def _transitions(state: State, removed: frozenset[str]) -> typing.Iterator[tuple[str, State]]:
    yield "tick", _tick(state)
    if state.in_service:
        yield "operator takes the data centre out", state._replace(in_service=0, ticks_out=0)
    yield from _planner(state, removed)
    yield from _agent(state, removed)
    yield from _worker(state, removed)


def _age(age: int) -> int:
    return min(ABSENT, age + 1)


def _tick(state: State) -> State:
    in_service, proof_age, heartbeat_age = state.ack
    return state._replace(
        ticks_out=0 if state.in_service else _age(state.ticks_out),
        read=(_age(state.read[0]), state.read[1]) if state.read[0] < ABSENT else (ABSENT, -1),
        proof=(_age(state.proof[0]), state.proof[1]),
        heartbeat=_age(state.heartbeat),
        ack=(in_service, proof_age, _age(heartbeat_age)),
        agent_proof=_age(state.agent_proof),
        sent_proof=_age(state.sent_proof),
    )


def _planner(state: State, removed: frozenset[str]) -> typing.Iterator[tuple[str, State]]:
    if state.read[0] == ABSENT:
        yield "planner sends a read", state._replace(read=(0, -1))
    elif state.read[1] < 0:
        yield "store answers the read", state._replace(read=(state.read[0], state.in_service))
    else:
        age = state.read[0] if "age counts from when the read was sent" not in removed else 0
        done = state._replace(read=(ABSENT, -1))
        yield "planner gets the answer", done._replace(proof=(age, state.read[1]))
    if state.heartbeat < ABSENT:
        answer = (state.proof[1], state.proof[0], state.heartbeat)
        yield "planner answers the heartbeat", state._replace(heartbeat=ABSENT, ack=answer)


def _agent(state: State, removed: frozenset[str]) -> typing.Iterator[tuple[str, State]]:
    if state.heartbeat == ABSENT:
        yield "agent sends a heartbeat", state._replace(heartbeat=0)
    in_service, proof_age, heartbeat_age = state.ack
    if proof_age < ABSENT or heartbeat_age < ABSENT:
        yield from _receive_ack(state, removed, in_service, proof_age, heartbeat_age)
    checked = state.agent_proof <= PROOF_TICKS or "agent checks the proof" in removed
    if checked and state.sent_proof == ABSENT and state.agent_revision == 0:
        sent_proof = min(state.agent_proof, PROOF_TICKS)
        yield "agent sends a start to the worker", state._replace(sent_proof=sent_proof)


def _receive_ack(
    state: State, removed: frozenset[str], in_service: int, proof_age: int, heartbeat_age: int
) -> typing.Iterator[tuple[str, State]]:
    transit_age = heartbeat_age if "age counts from t0 of the heartbeat" not in removed else 0
    total = min(ABSENT, proof_age + transit_age)
    revision = 0 if in_service else 1
    if revision < state.agent_revision and "lower revisions are ignored" not in removed:
        # The message stays in flight, because it may be delivered again.
        return
    new_proof = total if in_service else ABSENT
    yield (
        "agent gets the answer",
        state._replace(
            agent_proof=min(new_proof, state.agent_proof) if in_service else ABSENT,
            agent_revision=revision,
            reverted=max(state.reverted, int(revision < state.agent_revision)),
        ),
    )


def _worker(state: State, removed: frozenset[str]) -> typing.Iterator[tuple[str, State]]:
    if state.sent_proof < ABSENT or "worker checks not_after" in removed:
        late = not state.in_service and state.ticks_out > PROOF_TICKS
        if state.sent_proof < ABSENT or state.agent_proof < ABSENT or late:
            yield (
                "worker starts the task",
                state._replace(sent_proof=ABSENT, late_start=max(state.late_start, int(late))),
            )
