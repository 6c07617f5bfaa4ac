"""Specification: a task runs at most once at a time on the users' platform.

The model has one task with an order for worker A. The leader may reassign the task to worker B
once A's run is certain to have ended, and may withdraw the order while A's agent has not claimed
it. A's agent writes a promise to the store that bounds how long its runs may live. Claims,
renewals and starts may be delayed or lost, and so may their answers. The worker may start a new
incarnation under the same id, without any state of the previous one. A start in flight to the old
incarnation is lost; one that is sent later reaches the new incarnation before the agent knows of
it. Time advances in ticks.

A renewal that is applied after the lapse is harmless, because the order has expired by then. The
condition on the agent's row is a second safeguard, which is not modelled.
"""

from __future__ import annotations

import typing

import minicheck

HOLD_TICKS = 2
START_TICKS = 1

# Maps each guard to the invariant that must fail without it.
GUARDS = {
    "deadlines end with the known promise": "one_run_at_a_time",
    "the worker rejects a start after its deadline": "one_run_at_a_time",
    "an unanswered start is barred before it is abandoned": "one_run_at_a_time",
    "the leader waits for the promise to pass": "one_run_at_a_time",
    "an order is started only within its window": "one_run_at_a_time",
    "a run is barred on a new incarnation before it counts as lost": "one_run_at_a_time",
    "a start needs a claim in the store": "one_run_at_a_time",
    "only an unclaimed order is withdrawn": "one_run_at_a_time",
    "a withdrawn order cannot be claimed": "one_run_at_a_time",
}


class State(typing.NamedTuple):
    """State of the store, the agent and worker of A, and the messages; times are remaining ticks.

    ``window`` is the time in which the agent may send the start. ``claim``, ``renewal`` and
    ``start`` are messages in flight; ``start_until`` is the deadline that the start carries.
    ``claimed`` and ``promise`` are values in the store, ``claim_known`` and ``promise_known``
    the agent's copies. ``withdrawn`` means that the leader has deleted the order. ``deadline``
    is kept by the worker, and ``run_a`` and ``run_b`` are the runs. ``stopped`` means that the
    worker has confirmed a stop, and ``barred`` that its current incarnation remembers it.
    ``rejected`` means that the agent has recorded an end. ``restarted`` means that the worker
    has started a new incarnation, and ``restart_known`` that the agent knows.
    """

    window: int = START_TICKS
    claim: int = 0
    claimed: int = 0
    claim_known: int = 0
    withdrawn: int = 0
    promise: int = HOLD_TICKS
    promise_known: int = HOLD_TICKS
    renewal: int = 0
    start: int = 0
    start_until: int = 0
    deadline: int = 0
    run_a: int = 0
    stopped: int = 0
    barred: int = 0
    restarted: int = 0
    restart_known: int = 0
    rejected: int = 0
    lapsed: int = 0
    run_b: int = 0


def protocol(removed: frozenset[str] = frozenset()) -> minicheck.Protocol:
    """Return the specification without the guards in ``removed``."""
    return minicheck.Protocol(
        name="hosted run",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(_transitions(State(*state), removed)),
        invariants={"one_run_at_a_time": lambda state: not (state["run_a"] and state["run_b"])},
    )


def _transitions(state: State, removed: frozenset[str]) -> typing.Iterator[tuple[str, State]]:
    yield "tick", _tick(state)
    yield from _renewal(state)
    yield from _claim(state, removed)
    yield from _agent(state, removed)
    yield from _worker(state, removed)
    yield from _leader(state, removed)


def _tick(state: State) -> State:
    deadline = max(0, state.deadline - 1)
    return state._replace(
        window=max(0, state.window - 1),
        promise=max(0, state.promise - 1),
        promise_known=max(0, state.promise_known - 1),
        start_until=max(0, state.start_until - 1),
        deadline=deadline,
        run_a=state.run_a if deadline else 0,
    )


def _renewal(state: State) -> typing.Iterator[tuple[str, State]]:
    if not state.renewal:
        yield "agent sends a renewal", state._replace(renewal=1)
        return
    yield "renewal is lost", state._replace(renewal=0)
    renewed = state._replace(promise=HOLD_TICKS, renewal=0)
    yield "store applies the renewal", renewed._replace(promise_known=HOLD_TICKS)
    yield "store applies the renewal, its answer is lost", renewed


def _claim(state: State, removed: frozenset[str]) -> typing.Iterator[tuple[str, State]]:
    if not state.claim:
        if state.window and not state.claim_known:
            yield "agent sends a claim", state._replace(claim=1)
        return
    yield "claim is lost", state._replace(claim=0)
    if state.withdrawn and "a withdrawn order cannot be claimed" not in removed:
        return
    applied = state._replace(claim=0, claimed=1)
    yield "store applies the claim", applied._replace(claim_known=1)
    yield "store applies the claim, its answer is lost", applied


def _agent(state: State, removed: frozenset[str]) -> typing.Iterator[tuple[str, State]]:
    start_deadline = state.promise_known
    if start_deadline and "deadlines end with the known promise" in removed:
        start_deadline += 1
    may_start = state.window or "an order is started only within its window" in removed
    may_start = may_start and (
        state.claim_known or "a start needs a claim in the store" in removed
    )
    if start_deadline and may_start and not state.stopped and not state.rejected:
        yield "agent sends a start", state._replace(start=1, start_until=start_deadline)
    if start_deadline and state.run_a:
        yield (
            "agent extends the deadline",
            state._replace(deadline=max(state.deadline, start_deadline)),
        )
    if state.rejected:
        return
    if state.restarted and not state.restart_known:
        lost = "a run is barred on a new incarnation before it counts as lost" in removed
        yield (
            "agent learns of the new incarnation",
            state._replace(restart_known=1, rejected=int(lost)),
        )
    if "an unanswered start is barred before it is abandoned" in removed:
        if not state.run_a:
            yield "agent abandons the start", state._replace(rejected=1)
    elif not state.stopped:
        yield "agent stops the run", state._replace(stopped=1, barred=1, run_a=0)
    else:
        yield "agent abandons the start", state._replace(rejected=1)


def _worker(state: State, removed: frozenset[str]) -> typing.Iterator[tuple[str, State]]:
    if not state.restarted:
        yield (
            "worker starts a new incarnation",
            state._replace(restarted=1, run_a=0, barred=0, deadline=0, start=0),
        )
    if not state.start:
        return
    yield "start is lost", state._replace(start=0)
    late = not state.start_until and "the worker rejects a start after its deadline" not in removed
    if not state.barred and not late:
        until = max(state.deadline, state.start_until, 1)
        started = state._replace(run_a=1, deadline=until)
        yield "worker begins the run", started._replace(start=0)
        yield "worker begins the run, the start arrives again", started


def _leader(state: State, removed: frozenset[str]) -> typing.Iterator[tuple[str, State]]:
    expired = not state.promise or "the leader waits for the promise to pass" in removed
    if expired and not state.lapsed:
        yield "leader declares the lease lapsed", state._replace(lapsed=1)
    withdrawable = not state.claimed or "only an unclaimed order is withdrawn" in removed
    if withdrawable and not state.withdrawn:
        yield "leader withdraws the order", state._replace(withdrawn=1)
    if (state.lapsed or state.rejected or state.withdrawn) and not state.run_b:
        yield "leader starts the task on B", state._replace(run_b=1)
