"""The filter of an agent: one event in, the calls that follow from it out."""

from __future__ import annotations

import typing

from peridothatch_core.hold import exchange, lease, listing, orders, worker
from peridothatch_core.hold import state as states
from peridothatch_core.message import rows
from peridothatch_core.model import storeclock


def step(state: states.State, event: exchange.Event, now: float) -> list[exchange.Effect]:
    """Take one event over and return the calls that are due.

    Parameters
    ----------
    now : float
        Local clock in seconds; it counts the time of a suspended machine.
    """
    worker.awake(state, now)
    effects = list(_take(state, event, now))
    worker.silent(state, now)
    worker.lapse(state, now)
    effects.extend(orders.calls(state, now))
    effects.extend(lease.writes(state, now))
    return effects


def _take(
    state: states.State, event: exchange.Event, now: float
) -> typing.Iterator[exchange.Effect]:
    match event:
        case exchange.CheckedIn(described, sequence):
            worker.check_in(state, described, sequence, now)
        case exchange.Left(instance):
            worker.leave(state, instance)
        case exchange.OrdersLoaded(ordered, stops):
            orders.load(state, ordered)
            for key, order in stops.items():
                orders.stop(state, key, order)
        case exchange.OrderAdded(key, order):
            orders.add(state, key, order)
        case exchange.OrderRemoved(key):
            orders.remove(state, key)
        case exchange.StopAdded(key, order):
            orders.stop(state, key, order)
        case exchange.StartAnswered(key, outcome, reason):
            orders.started(state, key, outcome, reason, now)
        case exchange.StopAnswered(key, confirmed):
            orders.stopped(state, key, confirmed, now)
        case exchange.Looked(listed, no_listener):
            _looked(state, listed, now)
            worker.listens(state, not no_listener, now)
        case rows.Committed():
            storeclock.observe(state.clock, event.now_ms, event.asked_at, event.answered_at)
            yield from lease.wrote(state, event, now)
        case exchange.RowRead(read, row, version):
            if read:
                yield from lease.take_row(state, row, version, now)
            else:
                lease.read_failed(state, now)
        case exchange.StoreTime(now_ms, asked_at, answered_at):
            storeclock.observe(state.clock, now_ms, asked_at, answered_at)
        case exchange.Tick():
            pass


def _looked(state: states.State, listed: exchange.Listing | None, now: float) -> None:
    state.looking = False
    state.look_retry_at = now + states.LOOK_PAUSE_SECONDS
    if listed is None:
        state.look_retry_at = now + states.RETRY_SECONDS
        return
    known = state.worker
    if known is None or listed.instance != known.instance:
        return
    if listed.born_ms and listed.born_ms != known.born_ms:
        # A life that has not checked in yet; its check-in describes it.
        state.look_retry_at = now + states.RETRY_SECONDS
        return
    listing.take(state, listed)
    if state.ends:
        # The worker answers at once as long as it lists ends that it may not forget yet.
        state.look_retry_at = now + states.LISTED_PAUSE_SECONDS
