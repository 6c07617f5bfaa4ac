"""Tracks the orders and stops in the store and issues the calls that carry them out."""

from __future__ import annotations

import typing

from peridothatch_core.hold import exchange, listing
from peridothatch_core.hold import state as states
from peridothatch_core.model import agents, steps, storeclock

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

ACTIVE_LIST_WAIT_MS = 1000
"""Longest time that a list call waits for an end while runs are open. Each list call also renews
the worker's deadline."""

IDLE_LIST_WAIT_MS = 2000
"""Longest wait of a list call while no run is open."""

STOPPING_LIST_WAIT_MS = 100
"""Longest wait of a list call while a stop was confirmed for a run that may never have started.
The worker lists no end for such a run, so the call must return without one."""


def load(
    state: states.State,
    orders: dict[exchange.RunKey, steps.Order],
    versions: dict[exchange.RunKey, int],
) -> None:
    """Replace all orders, after the start of the process or when the feed has lost its history."""
    first = not state.orders_loaded
    state.orders_loaded = True
    for key, order in orders.items():
        add(state, key, order, versions.get(key, 0))
        if first:
            # An earlier process of this node may have sent the start already.
            state.runs[key].may_have_started = True
    for key in [*state.runs, *state.recorded_runs]:
        if key not in orders:
            remove(state, key)


def add(state: states.State, key: exchange.RunKey, order: steps.Order, version: int = 0) -> None:
    """Track an order, unless this process has recorded the end of its run.

    Such an order was read before the write that removed it. A second end of its run would
    overwrite the first one.
    """
    if key in state.recorded_runs:
        return
    run = state.runs.get(key)
    if run is None:
        run = states.TrackedRun(order)
        state.runs[key] = run
    elif run.order is None:
        run.order = order
        run.stop_reason = ""
    run.order_version = version
    run.claimed = run.claimed or key in state.inherited_claims


def remove(state: states.State, key: exchange.RunKey) -> None:
    """Handle an order that was removed: its run has ended or must be stopped."""
    state.recorded_runs.pop(key, None)
    run = state.runs.get(key)
    if run is None:
        return
    run.order = None
    if run.phase is states.Phase.ENDED:
        return
    run.stop_reason = run.stop_reason or "the scheduler has closed the run"
    if run.phase is states.Phase.WAITING and not run.may_have_started and not run.call_pending:
        del state.runs[key]


def stop(state: states.State, key: exchange.RunKey) -> None:
    """Mark a run to be stopped.

    A stop without an order was written before the scheduler had read the run's end, because the
    order is removed together with the recorded end. Such a stop is only removed: a second end
    would overwrite the first one, and the scheduler would run the task again.
    """
    run = state.runs.get(key)
    if run is None or run.order is None:
        state.obsolete_stops.add(key)
        state.dirty = True
    elif run.phase is not states.Phase.ENDED:
        run.stop_reason = run.stop_reason or "stopped by the scheduler"


def due_effects(state: states.State, now: float) -> Iterator[exchange.Effect]:
    """Yield the calls to the worker that are due."""
    if not state.registered or not state.orders_loaded or state.worker is None:
        return
    yield from _list_runs(state, now)
    if not state.runs_listed:
        return
    for key, run in list(state.runs.items()):
        if run.phase is states.Phase.ENDED or run.call_pending:
            continue
        _check_stop_conditions(state, run, now)
        if run.stop_reason:
            yield from _stop(state, key, run, now)
        elif run.phase is states.Phase.WAITING:
            yield from _start(state, key, run, now)


def handle_start_answer(
    state: states.State,
    key: exchange.RunKey,
    outcome: exchange.StartOutcome,
    reason: str,
    now: float,
) -> None:
    """Update a run from the worker's answer to its start."""
    run = state.runs.get(key)
    if run is None:
        return
    run.call_pending = False
    if run.phase is not states.Phase.WAITING:
        return
    match outcome:
        case exchange.StartOutcome.STARTED:
            run.phase = states.Phase.RUNNING
            run.start_confirmed_at = now
        case exchange.StartOutcome.REFUSED:
            run.stop_reason = run.stop_reason or f"the worker refused the start: {reason}"
        case exchange.StartOutcome.BUSY | exchange.StartOutcome.OUTDATED:
            run.retry_at = now + states.RETRY_DELAY_SECONDS
        case exchange.StartOutcome.NO_ANSWER:
            run.may_have_started = True
            run.unanswered_starts += 1
            if run.unanswered_starts >= states.MAX_UNANSWERED_STARTS:
                run.stop_reason = run.stop_reason or "the worker has not answered the start"


def handle_stop_answer(
    state: states.State, key: exchange.RunKey, confirmed: bool, now: float
) -> None:
    """Update a run from the worker's answer to its stop."""
    run = state.runs.get(key)
    if run is None:
        return
    run.call_pending = False
    if confirmed:
        run.stop_confirmed_at = now
    else:
        run.retry_at = now + states.RETRY_DELAY_SECONDS


def _list_runs(state: states.State, now: float) -> Iterator[exchange.Effect]:
    if state.worker is None:
        return
    if state.list_call is not None:
        yield from _list_concurrently(state, now)
        return
    if now < state.list_retry_at:
        return
    state.list_call = _build_list_call(state, now, _list_wait_ms(state))
    yield state.list_call


def _list_wait_ms(state: states.State) -> int:
    """Return how long the next list call may wait for an end.

    A call does not wait while it finds out which incarnation answers, or acknowledges ends. The
    worker might otherwise apply the acknowledgement when the call returns, after a restart.
    """
    if not state.incarnation_confirmed or states.has_ends_to_acknowledge(state):
        return 0
    if _stop_awaits_list(state):
        return STOPPING_LIST_WAIT_MS
    active = any(run.phase is not states.Phase.ENDED for run in state.runs.values())
    return ACTIVE_LIST_WAIT_MS if active else IDLE_LIST_WAIT_MS


def _acknowledged_number(state: states.State) -> int:
    """Return the number up to which a list call acknowledges ends, or 0 for none.

    Only an incarnation that has just answered gets an acknowledgement. Another one would forget
    its own ends by the numbers of this one.
    """
    may_acknowledge = state.has_just_answered and states.has_ends_to_acknowledge(state)
    return state.recorded_through if may_acknowledge else 0


def _list_concurrently(state: states.State, now: float) -> Iterator[exchange.Effect]:
    """Request a list without a wait while another list call is waiting for an end.

    It tells without delay whether a run whose stop was confirmed has started, and extends a
    deadline that would pass before the next list call.
    """
    open_runs = any(run.phase is not states.Phase.ENDED for run in state.runs.values())
    if (
        (_stop_awaits_list(state) or (open_runs and states.must_extend_deadline(state, now)))
        and state.concurrent_list_call is None
        and now >= state.concurrent_list_retry_at
    ):
        state.concurrent_list_call = _build_list_call(state, now, 0, concurrent=True)
        yield state.concurrent_list_call


def _stop_awaits_list(state: states.State) -> bool:
    """Return whether a list is needed to tell if a stopped run has ever started."""
    return any(
        run.stop_confirmed_at is not None and run.phase is states.Phase.WAITING
        for run in state.runs.values()
    )


def _build_list_call(
    state: states.State, now: float, wait_ms: int, *, concurrent: bool = False
) -> exchange.ListRuns:
    return exchange.ListRuns(
        states.worker_instance(state),
        states.lease_end_ms(state, now),
        state.fence,
        0 if wait_ms else _acknowledged_number(state),
        wait_ms,
        concurrent,
    )


def _check_lease_end(state: states.State, run: states.TrackedRun, now: float) -> None:
    """Stop a run before the lease ends if the worker may have been granted a later deadline."""
    may_outlive_lease = state.inherited_until_ms > state.hold_until_ms
    left_seconds = states.lease_expires_at(state) - now
    if may_outlive_lease and left_seconds < states.LEASE_STOP_LEAD_SECONDS:
        run.stop_reason = run.stop_reason or "the worker might not end the run with the lease"


def _check_stop_conditions(state: states.State, run: states.TrackedRun, now: float) -> None:
    """Set the stop reason of a run that cannot start or go on for a cause on this node."""
    worker = state.worker
    if run.stop_reason or run.order is None or worker is None:
        return
    if run.phase is states.Phase.WAITING:
        if worker.state is not agents.WorkerState.READY:
            run.stop_reason = f"the worker is {worker.state}"
        elif (
            storeclock.latest_ms(state.clock, now) > run.order.start_by_ms and run.may_have_started
        ):
            run.stop_reason = "the worker does not list the run, and it is too late to start it"
        elif storeclock.latest_ms(state.clock, now) > run.order.start_by_ms:
            earliest_ms = storeclock.earliest_ms(state.clock, now)
            run.stop_reason = (
                f"the order came too late to be started: it is good until "
                f"{run.order.start_by_ms}, and the store's time is between {earliest_ms} and "
                f"{storeclock.latest_ms(state.clock, now)}"
            )
        elif (run.order.instance, run.order.started_ms) != (worker.instance, worker.started_ms):
            run.stop_reason = "the order is for another incarnation of the worker"
        return
    leaves_soon = state.leaves_at is not None and (
        state.leaves_at - now < states.DRAIN_STOP_LEAD_SECONDS
    )
    if leaves_soon and run.order.checkpointing:
        run.stop_reason = "the worker is about to leave"
    _check_lease_end(state, run, now)


def _start(
    state: states.State, key: exchange.RunKey, run: states.TrackedRun, now: float
) -> Iterator[exchange.Effect]:
    deadline = states.lease_end_ms(state, now)
    remaining_seconds = states.lease_expires_at(state) - now
    if (
        run.order is None
        or deadline is None
        or remaining_seconds < states.MIN_LEASE_FOR_START_SECONDS
    ):
        return
    if not run.claimed:
        run.needs_claim = True
    elif now >= run.retry_at and state.incarnation_confirmed:
        run.call_pending = True
        yield exchange.Start(key, run.order, deadline, state.fence)


def _stop(
    state: states.State, key: exchange.RunKey, run: states.TrackedRun, now: float
) -> Iterator[exchange.Effect]:
    if run.phase is states.Phase.WAITING and not run.may_have_started:
        if run.order is None:
            del state.runs[key]
        else:
            listing.record_end(state, key, steps.EndKind.REJECTED, "", run.stop_reason)
        return
    if run.stop_confirmed_at is None and now >= run.retry_at:
        run.call_pending = True
        yield exchange.Stop(key, states.worker_instance(state), state.fence)
