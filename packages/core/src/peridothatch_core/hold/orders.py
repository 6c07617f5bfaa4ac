"""Orders that appear and disappear in the store, and the calls that carry them out."""

from __future__ import annotations

import typing

from peridothatch_core.hold import exchange, listing
from peridothatch_core.hold import state as states
from peridothatch_core.model import agents, steps, storeclock

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

LONG_LIST_MS = 1000
"""Time that a list of runs may wait for an end; it also renews the worker's deadline."""

IDLE_LIST_MS = 2000
"""The same while nothing runs."""

STOPPING_LIST_MS = 100
"""The same while a stop may have barred a run that never began, which no end will tell."""


def load(
    state: states.State,
    orders: dict[exchange.RunKey, steps.Order],
    versions: dict[exchange.RunKey, int],
) -> None:
    """Take over all orders in the store, after the start or after the feed lost its history."""
    first = not state.loaded
    state.loaded = True
    for key, order in orders.items():
        add(state, key, order, versions.get(key, 0))
        if first:
            # An earlier process of this node may have sent the start.
            state.runs[key].unsure = True
    for key in list(state.runs):
        if key not in orders:
            remove(state, key)


def add(state: states.State, key: exchange.RunKey, order: steps.Order, version: int = 0) -> None:
    """Take over an order."""
    held = state.runs.get(key)
    if held is None:
        held = states.Held(order)
        state.runs[key] = held
    elif held.order is None:
        held.order = order
        held.stop_reason = ""
    held.order_version = version
    held.claimed = held.claimed or key in state.inherited_claims


def remove(state: states.State, key: exchange.RunKey) -> None:
    """Take over that the scheduler has withdrawn an order: its run is over or must end."""
    held = state.runs.get(key)
    if held is None or held.phase is states.Phase.ENDED:
        return
    held.order = None
    held.stop_reason = held.stop_reason or "the scheduler has closed the run"
    if held.phase is states.Phase.WAITING and not held.unsure and not held.calling:
        del state.runs[key]


def stop(state: states.State, key: exchange.RunKey) -> None:
    """Take over that a run is to stop.

    A stop without an order was written before the scheduler had heard of the run's end. The run
    must not get another end, which would hide how it ended.
    """
    held = state.runs.get(key)
    if held is None or held.order is None:
        state.obsolete_stops.add(key)
        state.dirty = True
    elif held.phase is not states.Phase.ENDED:
        held.stop_reason = held.stop_reason or "stopped by the scheduler"


def calls(state: states.State, now: float) -> Iterator[exchange.Effect]:
    """Yield the calls to the worker that are due."""
    if not state.registered or not state.loaded or state.worker is None:
        return
    yield from _list_runs(state, now)
    if not state.listed:
        return
    for key, held in list(state.runs.items()):
        if held.phase is states.Phase.ENDED or held.calling:
            continue
        _judge(state, held, now)
        if held.stop_reason:
            yield from _stop(state, key, held, now)
        elif held.phase is states.Phase.WAITING:
            yield from _start(state, key, held, now)


def started(
    state: states.State,
    key: exchange.RunKey,
    outcome: exchange.StartOutcome,
    reason: str,
    now: float,
) -> None:
    """Take over the worker's answer to a start."""
    held = state.runs.get(key)
    if held is None:
        return
    held.calling = False
    if held.phase is not states.Phase.WAITING:
        return
    match outcome:
        case exchange.StartOutcome.STARTED:
            held.phase = states.Phase.RUNNING
            held.confirmed_at = now
        case exchange.StartOutcome.REFUSED:
            held.stop_reason = held.stop_reason or f"the worker refused the start: {reason}"
        case exchange.StartOutcome.BUSY:
            held.retry_at = now + states.RETRY_SECONDS
        case exchange.StartOutcome.NO_ANSWER:
            held.unsure = True
            held.unanswered += 1
            if held.unanswered >= states.UNANSWERED_STARTS:
                held.stop_reason = held.stop_reason or "the worker has not answered the start"


def stopped(state: states.State, key: exchange.RunKey, confirmed: bool, now: float) -> None:
    """Take over the worker's answer to a stop."""
    held = state.runs.get(key)
    if held is None:
        return
    held.calling = False
    if confirmed:
        held.stopped_at = now
    else:
        held.retry_at = now + states.RETRY_SECONDS


def _list_runs(state: states.State, now: float) -> Iterator[exchange.Effect]:
    if state.worker is None:
        return
    if state.list_pending:
        yield from _list_beside(state, now)
        return
    if now < state.list_retry_at:
        return
    state.list_pending = True
    active = any(held.phase is not states.Phase.ENDED for held in state.runs.values())
    wait_ms = LONG_LIST_MS if active else IDLE_LIST_MS
    if not state.worker_clock_ms:
        wait_ms = 0
    elif _barred_unlisted(state):
        wait_ms = STOPPING_LIST_MS
    yield _list(state, now, wait_ms)


def _list_beside(state: states.State, now: float) -> Iterator[exchange.Effect]:
    """Ask for a list at once, where the list that waits for an end would tell too late."""
    if _barred_unlisted(state) and not state.beside_pending and now >= state.beside_retry_at:
        state.beside_pending = True
        yield _list(state, now, 0, concurrent=True)


def _barred_unlisted(state: states.State) -> bool:
    """Tell whether a list must show that a run that was barred has not begun."""
    return any(
        held.stopped_at is not None and held.phase is states.Phase.WAITING
        for held in state.runs.values()
    )


def _list(
    state: states.State, now: float, wait_ms: int, *, concurrent: bool = False
) -> exchange.ListRuns:
    return exchange.ListRuns(
        states.instance(state),
        states.lease_end_ms(state, now),
        state.fence,
        state.recorded_through,
        wait_ms,
        concurrent,
    )


def _judge(state: states.State, held: states.Held, now: float) -> None:
    """Decide whether a run must stop for a cause on this node."""
    worker = state.worker
    if held.stop_reason or held.order is None or worker is None:
        return
    if held.phase is states.Phase.WAITING:
        if worker.state is not agents.WorkerState.READY:
            held.stop_reason = f"the worker is {worker.state}"
        elif storeclock.latest_ms(state.clock, now) > held.order.start_by_ms and held.unsure:
            held.stop_reason = "the worker does not list the run, and it is too late to start it"
        elif storeclock.latest_ms(state.clock, now) > held.order.start_by_ms:
            earliest_ms = storeclock.earliest_ms(state.clock, now)
            held.stop_reason = (
                f"the order came too late to be started: it is good until "
                f"{held.order.start_by_ms}, and the store's time is between {earliest_ms} and "
                f"{storeclock.latest_ms(state.clock, now)}"
            )
        elif (held.order.instance, held.order.started_ms) != (worker.instance, worker.started_ms):
            held.stop_reason = "the order is for another incarnation of the worker"
        return
    leaves_soon = state.leaves_at is not None and (
        state.leaves_at - now < states.STOP_AHEAD_SECONDS
    )
    if leaves_soon and held.order.checkpointing:
        held.stop_reason = "the worker is about to leave"


def _start(
    state: states.State, key: exchange.RunKey, held: states.Held, now: float
) -> Iterator[exchange.Effect]:
    deadline = states.lease_end_ms(state, now)
    rest = states.lease_expires_at(state) - now
    if held.order is None or deadline is None or rest < states.START_REST_SECONDS:
        return
    if not held.claimed:
        held.claim_wanted = True
    elif now >= held.retry_at:
        held.calling = True
        yield exchange.Start(key, held.order, deadline, state.fence)


def _stop(
    state: states.State, key: exchange.RunKey, held: states.Held, now: float
) -> Iterator[exchange.Effect]:
    if held.phase is states.Phase.WAITING and not held.unsure:
        if held.order is None:
            del state.runs[key]
        else:
            listing.record(state, key, steps.EndKind.REJECTED, "", held.stop_reason)
        return
    if held.stopped_at is None and now >= held.retry_at:
        held.calling = True
        yield exchange.Stop(key, states.instance(state), state.fence)
