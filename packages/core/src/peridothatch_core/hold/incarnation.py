"""Determines which incarnation of the worker runs at the worker's address.

Answers heartbeats of other writers. A heartbeat proves nothing about the runs of the known
incarnation, because anyone may send one that names another. Only the worker's address can tell
which incarnation runs there, so a heartbeat of another one is a candidate until it is confirmed.
"""

from __future__ import annotations

import typing

from peridothatch_core.hold import exchange, listing
from peridothatch_core.hold import state as states
from peridothatch_core.model import agents, steps, storeclock

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

MAX_CANDIDATES = 16
"""Most incarnations that wait to be confirmed. A worker that answers confirms or refutes one in a
few milliseconds."""


def identity(worker: agents.Worker) -> tuple[str, int]:
    """Return what tells an incarnation from all others."""
    return worker.instance, worker.started_ms


def add_candidate(state: states.State, candidate: states.ReceivedHeartbeat) -> None:
    """Keep a heartbeat until the worker's address has confirmed or refuted its incarnation."""
    key = identity(candidate.worker)
    earlier = state.candidates.get(key)
    if earlier is None and len(state.candidates) >= MAX_CANDIDATES:
        observe_ignored(state, candidate.worker, "too many others wait to be confirmed")
        return
    if earlier is None or candidate.sequence > earlier.sequence:
        state.candidates[key] = candidate
    if earlier is None and candidate.worker.instance == states.worker_instance(state):
        # Calls that were sent before may still be carried out, by this one if the worker has
        # restarted. It refuses them once it has seen the higher token of the next call.
        states.lose_contact(state)
        # A list call would carry a deadline on the clock of the known incarnation.
        state.list_retry_at = candidate.received_at + states.RETRY_DELAY_SECONDS


def due_effects(state: states.State, now: float) -> Iterator[exchange.IdentifyWorker]:
    """Yield the call that asks for a candidate, if one is due."""
    if not state.registered:
        return
    _drop_silent_candidates(state, now)
    if state.identification or not state.candidates or now < state.identification_retry_at:
        return
    instance, _ = next(iter(state.candidates))
    state.identification = exchange.IdentifyWorker(instance, state.fence)
    yield state.identification


def take_confirmed(
    state: states.State, event: exchange.WorkerIdentified, now: float
) -> states.ReceivedHeartbeat | None:
    """Remove the candidates that an answer refutes, and return the one that it confirms."""
    if event.fence != state.fence:
        # Its place has been taken by a call with the current token.
        return None
    state.identification = None
    keys = [key for key in state.candidates if key[0] == event.instance]
    if not event.answered:
        state.identification_retry_at = now + states.RETRY_DELAY_SECONDS
        for key in keys:
            # The next call asks for another instance, if there is one.
            state.candidates[key] = state.candidates.pop(key)
        return None
    current = (event.instance, event.started_ms)
    if current in keys and state.worker_clock_at > event.asked_at:
        # The known incarnation has answered since, so either of the two may be the later one.
        return None
    if not state.incarnation_confirmed:
        state.list_retry_at = min(state.list_retry_at, now)
    confirmed = None
    for key in keys:
        candidate = state.candidates.pop(key)
        if key == current:
            confirmed = candidate
        else:
            observe_ignored(state, candidate.worker, "the worker's address runs another one")
    return confirmed


def observe_ignored(state: states.State, worker: agents.Worker, reason: str) -> None:
    """Record that a heartbeat was ignored."""
    state.observations.append(
        exchange.HeartbeatIgnored(worker.instance, worker.started_ms, worker.service, reason)
    )


def _drop_silent_candidates(state: states.State, now: float) -> None:
    for key, candidate in list(state.candidates.items()):
        if now - candidate.received_at >= states.WORKER_TIMEOUT_SECONDS:
            del state.candidates[key]
            observe_ignored(state, candidate.worker, "the worker's address has not answered")


def replace(state: states.State, known: agents.Worker, worker: agents.Worker, now: float) -> None:
    """Reset the state of the worker's previous incarnation, which ended with all its runs.

    A start that was sent before this may have reached the new incarnation already, if it has the
    same id, and an unanswered one may still reach it. Runs that the previous incarnation has
    listed are recorded as lost at once. The next list shows which of the others the new
    incarnation runs; the rest are stopped and then recorded as lost.
    """
    _observe_change(state, known, worker)
    extend_inherited_deadline(state, now)
    reason = "the worker has started a new incarnation"
    for key, run in list(state.runs.items()):
        pending = run.may_have_started or run.call_pending
        if run.phase is states.Phase.WAITING and pending:
            run.stop_reason = run.stop_reason or reason
            run.may_have_started = True
            run.stop_confirmed_at = None
        elif run.phase is states.Phase.RUNNING and run.listed and not pending:
            listing.record_end(state, key, steps.EndKind.LOST, run.saved, reason)
        run.listed = False
    state.leaves_at = None
    state.list_retry_at = 0.0
    _discard_clock(state)
    states.lose_contact(state)
    state.recorded_through = 0
    state.acknowledged_through = 0
    state.skipped_ends.clear()
    # Ends of the previous incarnation are still recorded, but its numbers mean nothing any more.
    state.end_numbers.clear()


def _observe_change(state: states.State, known: agents.Worker, worker: agents.Worker) -> None:
    state.observations.append(
        exchange.IncarnationChanged(
            known.started_ms,
            worker.started_ms,
            state.recorded_through,
            tuple(state.ends),
            tuple(state.ends_in_flight),
            (state.list_call is not None) + (state.concurrent_list_call is not None),
        )
    )


def handle_unknown_incarnation(state: states.State, now: float) -> None:
    """Stop sending deadlines when a list shows a restart before the first heartbeat does.

    They would be on the clock of the previous incarnation.
    """
    if not state.worker_clock_ms:
        return
    extend_inherited_deadline(state, now)
    _discard_clock(state)


def extend_inherited_deadline(state: states.State, now: float) -> None:
    """Allow for calls that reached a new incarnation with a deadline on an earlier clock.

    The new incarnation shortens such a deadline to the longest that it grants.
    """
    granted_ms = state.lease_duration_ms + states.LEASE_MARGIN_MS
    latest_ms = storeclock.latest_ms(state.clock, now) + granted_ms
    state.inherited_until_ms = max(state.inherited_until_ms, latest_ms)


def _discard_clock(state: states.State) -> None:
    """Discard the clock of an incarnation that has ended, and the deadlines on it."""
    state.worker_clock_ms = 0
    state.latest_lease_end_ms = 0
    state.inherited_until_ms = max(state.inherited_until_ms, state.hold_until_ms)
