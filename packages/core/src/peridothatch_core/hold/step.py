"""The agent's filter: takes one event and returns the effects that follow from it."""

from __future__ import annotations

import typing

from peridothatch_core.hold import exchange, incarnation, lease, listing, orders, worker
from peridothatch_core.hold import state as states
from peridothatch_core.message import rows
from peridothatch_core.model import storeclock


def step(state: states.State, event: exchange.Event, now: float) -> list[exchange.Effect]:
    """Handle one event and return the effects that are due.

    Parameters
    ----------
    now : float
        Local clock in seconds; it goes on while the machine is suspended.
    """
    worker.detect_suspension(state, now)
    state.has_just_answered = False
    effects = list(_handle(state, event, now))
    worker.detect_silence(state, now)
    worker.close_expired_runs(state, now)
    effects.extend(incarnation.due_effects(state, now))
    effects.extend(orders.due_effects(state, now))
    effects.extend(lease.due_effects(state, now))
    return effects


def _handle(
    state: states.State, event: exchange.Event, now: float
) -> typing.Iterator[exchange.Effect]:
    match event:
        case exchange.Heartbeat(described, sequence):
            worker.handle_heartbeat(state, described, sequence, now)
        case exchange.Deregistered(instance):
            worker.handle_deregistration(state, instance)
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
            state.renewal_requested = waiting
        case exchange.StartAnswered(key, outcome, reason):
            orders.handle_start_answer(state, key, outcome, reason, now)
        case exchange.StopAnswered(key, confirmed):
            orders.handle_stop_answer(state, key, confirmed, now)
        case exchange.RunsListed(fence=int() as fence) if fence != state.fence:
            # Its place has been taken by a call with the current token.
            pass
        case exchange.RunsListed(listed, no_listener, concurrent):
            _runs_listed(state, listed, concurrent, now)
            worker.update_reachability(state, not no_listener, now)
        case exchange.WorkerIdentified():
            worker.handle_identification(state, event, now)
        case rows.Committed():
            storeclock.observe(state.clock, event.now_ms, event.asked_at, event.answered_at)
            yield from lease.handle_commit(state, event, now)
        case exchange.RowRead(read, row, version):
            if read:
                yield from lease.handle_row_read(state, row, version, now)
            else:
                lease.handle_read_failure(state, now)
        case exchange.StoreTime(now_ms, asked_at, answered_at):
            storeclock.observe(state.clock, now_ms, asked_at, answered_at)
            lease.handle_store_answer(state, asked_at, now)
        case exchange.Tick():
            pass


def _runs_listed(
    state: states.State, listed: exchange.Listing | None, concurrent: bool, now: float
) -> None:
    # A first failure is followed up at once: the worker may have restarted.
    is_first = state.incarnation_confirmed
    pause = states.MIN_LIST_INTERVAL_SECONDS if is_first else _list_delay(state, listed)
    if concurrent:
        call, state.concurrent_list_call = state.concurrent_list_call, None
        state.concurrent_list_retry_at = now + pause
    else:
        call, state.list_call = state.list_call, None
        state.list_retry_at = now + pause
    if listed is None or not _is_known_incarnation(state, listed):
        _handle_failed_list(state, listed, now)
    else:
        _confirm_incarnation(state, call, listed, now)
        listing.apply(state, listed)
        if not concurrent:
            state.list_retry_at = _next_list_at(state, call, listed, now)


def _next_list_at(
    state: states.State,
    call: exchange.ListRuns | None,
    listed: exchange.Listing,
    now: float,
) -> float:
    """Return when the next list call follows an answer of the known incarnation."""
    if states.has_ends_to_acknowledge(state):
        return now if state.has_just_answered else state.list_retry_at
    if state.ends or listed.unreadable_ends:
        # The worker answers at once while it has ends that are not recorded yet, so without this
        # delay the agent would call without pause.
        return now + states.UNRECORDED_LIST_INTERVAL_SECONDS
    # The next call waits for an end.
    is_answered_at_once = call is not None and not call.wait_ms
    return now if is_answered_at_once else state.list_retry_at


def _handle_failed_list(state: states.State, listed: exchange.Listing | None, now: float) -> None:
    """Handle a list call without an answer, or with that of another incarnation."""
    if state.incarnation_confirmed:
        states.lose_contact(state)
    if listed is not None and listed.instance == states.worker_instance(state):
        incarnation.handle_unknown_incarnation(state, now)


def _confirm_incarnation(
    state: states.State,
    call: exchange.ListRuns | None,
    listed: exchange.Listing,
    now: float,
) -> None:
    """Take note that the worker's known incarnation has answered a list call."""
    if not state.worker_clock_ms:
        # Until now it may have carried out calls with a deadline on an earlier clock.
        incarnation.extend_inherited_deadline(state, now)
    state.incarnation_confirmed = True
    state.has_just_answered = now - listed.asked_at <= states.ACKNOWLEDGE_WITHIN_SECONDS
    if call is not None:
        state.acknowledged_through = max(state.acknowledged_through, call.recorded_through)


def _list_delay(state: states.State, listed: exchange.Listing | None) -> float:
    unusable = listed is None or (
        states.worker_instance(state) == listed.instance
        and not _is_known_incarnation(state, listed)
    )
    return states.RETRY_DELAY_SECONDS if unusable else states.MIN_LIST_INTERVAL_SECONDS


def _is_known_incarnation(state: states.State, listed: exchange.Listing) -> bool:
    """Return whether a list comes from the known incarnation of the worker.

    A list from another incarnation is ignored until that one has sent a heartbeat.
    """
    known = state.worker
    if known is None or listed.instance != known.instance:
        return False
    return listed.started_ms == known.started_ms
