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
        case exchange.Heartbeat(described, sequence):
            worker.heartbeat(state, described, sequence, now)
        case exchange.Deregistered(instance):
            worker.deregister(state, instance)
        case exchange.OrdersLoaded(ordered, stops, versions):
            orders.load(state, ordered, versions)
            for key in stops:
                orders.stop(state, key)
        case exchange.OrderAdded(key, order, version):
            orders.add(state, key, order, version)
        case exchange.OrderRemoved(key):
            orders.remove(state, key)
        case exchange.StopAdded(key):
            orders.stop(state, key)
        case exchange.RenewalRequested(waiting):
            state.dirty = state.dirty or waiting
            state.renewal_asked = waiting
        case exchange.StartAnswered(key, outcome, reason):
            orders.started(state, key, outcome, reason, now)
        case exchange.StopAnswered(key, confirmed):
            orders.stopped(state, key, confirmed, now)
        case exchange.RunsListed(listed, no_listener, concurrent):
            _runs_listed(state, listed, concurrent, now)
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


def _runs_listed(
    state: states.State, listed: exchange.Listing | None, concurrent: bool, now: float
) -> None:
    pause = _list_pause(state, listed)
    if concurrent:
        state.beside_pending = False
        state.beside_retry_at = now + pause
    else:
        state.list_pending = False
        state.list_retry_at = now + pause
    if listed is not None and _of_worker(state, listed):
        listing.take(state, listed)
        if state.ends and not concurrent:
            # The worker answers at once as long as it lists ends that it may not forget yet.
            state.list_retry_at = now + states.LISTED_PAUSE_SECONDS


def _list_pause(state: states.State, listed: exchange.Listing | None) -> float:
    unusable = listed is None or (
        states.instance(state) == listed.instance and not _of_worker(state, listed)
    )
    return states.RETRY_SECONDS if unusable else states.LIST_PAUSE_SECONDS


def _of_worker(state: states.State, listed: exchange.Listing) -> bool:
    """Tell whether a list is of the incarnation of the worker that is known.

    Another one that has sent no heartbeat yet is described by its heartbeat.
    """
    known = state.worker
    if known is None or listed.instance != known.instance:
        return False
    return not listed.started_ms or listed.started_ms == known.started_ms
