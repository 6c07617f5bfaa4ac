"""Handles the worker's heartbeats, and closes the runs of a worker that has left or is silent."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.hold import exchange, incarnation, listing
from peridothatch_core.hold import state as states
from peridothatch_core.model import agents, steps, storeclock

KILL_MARGIN_MS = 1200
"""Longest time that a worker takes to kill its runs after their deadline."""


def handle_heartbeat(
    state: states.State, worker: agents.Worker, sequence: int, now: float
) -> bool:
    """Update the description of the worker from a heartbeat of its known incarnation.

    One of another incarnation waits until the worker's address has confirmed it. Start times do
    not tell which of two is the later one, because the time of day may have been set back.

    Returns
    -------
    bool
        Whether the heartbeat was used. One with a sequence number that is not higher than the last
        one, or with a service or data centre that the known incarnation does not have, is ignored.
    """
    known = state.worker
    if known is None or incarnation.identity(worker) != incarnation.identity(known):
        incarnation.add_candidate(state, states.ReceivedHeartbeat(worker, sequence, now))
        return False
    if (worker.service, worker.zone) != (known.service, known.zone):
        # Both are fixed for the lifetime of an incarnation.
        incarnation.observe_ignored(state, worker, "another service or data centre")
        return False
    if sequence <= state.sequence:
        return False
    _apply_heartbeat(state, states.ReceivedHeartbeat(worker, sequence, now), now)
    return True


def handle_identification(
    state: states.State, event: exchange.WorkerIdentified, now: float
) -> None:
    """Make a candidate that the worker's address has confirmed the known incarnation."""
    confirmed = incarnation.take_confirmed(state, event, now)
    if confirmed is None:
        return
    known = state.worker
    if known is not None and incarnation.identity(known) == incarnation.identity(confirmed.worker):
        # The row of an earlier process has named it meanwhile.
        handle_heartbeat(state, confirmed.worker, confirmed.sequence, now)
        return
    if known is not None:
        incarnation.replace(state, known, confirmed.worker, now)
    _apply_heartbeat(state, confirmed, now)


def _apply_heartbeat(state: states.State, heartbeat: states.ReceivedHeartbeat, now: float) -> None:
    worker, known = heartbeat.worker, state.worker
    state.sequence = heartbeat.sequence
    state.last_contact_at = now
    state.deregistered = False
    if worker.state is agents.WorkerState.DRAINING:
        leaves_at = heartbeat.received_at + worker.leaves_in_ms / 1000.0
        state.leaves_at = leaves_at if state.leaves_at is None else min(state.leaves_at, leaves_at)
    else:
        state.leaves_at = None
    if (
        known is None
        or not state.worker_seen
        or _published_description(worker) != _published_description(known)
    ):
        state.dirty = True
    state.worker = worker
    state.worker_seen = True


def handle_deregistration(state: states.State, instance: str) -> bool:
    """Mark the worker as deregistered; return whether the message names the known worker.

    The message may be late and a new incarnation may have the same id, so the runs are closed only
    when the worker's address refuses connections as well.
    """
    if state.worker is None or state.worker.instance != instance:
        return False
    state.deregistered = True
    state.worker = dataclasses.replace(state.worker, state=agents.WorkerState.ABSENT)
    _expect_next_heartbeat(state)
    state.dirty = True
    return True


def _expect_next_heartbeat(state: states.State) -> None:
    """Accept any number in the next heartbeat if a restart of the worker would not show in it."""
    if not states.worker_started_ms(state):
        state.sequence = -1


def update_reachability(state: states.State, listening: bool, now: float) -> bool:
    """Record whether the worker's address has a listener; return whether the worker is gone.

    A reclaimed worker sends no message when it leaves. It is taken for gone when it has announced
    its departure, the announced time has passed, it sends no heartbeats and its address refuses
    connections. A worker that has deregistered is gone once its address refuses connections.
    """
    state.no_listener_calls = 0 if listening else state.no_listener_calls + 1
    if listening or state.worker is None:
        return False
    departed = (
        state.leaves_at is not None
        and now >= state.leaves_at
        and now - state.last_contact_at >= states.DEPARTED_SILENCE_SECONDS
        and state.no_listener_calls >= states.DEPARTED_NO_LISTENER_CALLS
    )
    if not state.deregistered and not departed:
        return False
    _close_runs(state, "the worker has left", starts_may_arrive=True)
    state.deregistered = False
    state.leaves_at = None
    if state.worker.state is not agents.WorkerState.ABSENT:
        state.worker = dataclasses.replace(state.worker, state=agents.WorkerState.ABSENT)
        state.dirty = True
    return True


def detect_suspension(state: states.State, now: float) -> None:
    """Record an event, so that a suspension of the agent is not taken for a silent worker.

    Runs that ended during the suspension would otherwise be closed as lost and run again.
    """
    if state.last_event_at and now - state.last_event_at > states.SUSPENSION_SECONDS:
        state.last_contact_at = max(state.last_contact_at, now)
    state.last_event_at = now


def detect_silence(state: states.State, now: float) -> bool:
    """Mark the worker absent after its timeout; return whether its state has changed."""
    worker = state.worker
    if worker is None or worker.state is agents.WorkerState.ABSENT:
        return False
    if now - state.last_contact_at < states.WORKER_TIMEOUT_SECONDS:
        return False
    state.worker = dataclasses.replace(worker, state=agents.WorkerState.ABSENT)
    _expect_next_heartbeat(state)
    state.dirty = True
    return True


def close_expired_runs(state: states.State, now: float) -> None:
    """Close the runs of a silent worker once all their deadlines have certainly passed."""
    worker = state.worker
    if worker is None or worker.state is not agents.WorkerState.ABSENT:
        return
    if now - state.last_contact_at >= states.WORKER_TIMEOUT_SECONDS and _deadlines_passed(
        state, now
    ):
        _close_runs(
            state, "the worker is silent and its deadline has passed", starts_may_arrive=False
        )


def _deadlines_passed(state: states.State, now: float) -> bool:
    """Return whether all deadlines have passed, even on the slowest clock of the worker.

    Deadlines that an earlier process sent, or that an earlier incarnation received, came before
    the end of the lease at that time.
    """
    inherited_ms = state.inherited_until_ms + KILL_MARGIN_MS
    if storeclock.earliest_ms(state.clock, now) <= inherited_ms:
        return False
    elapsed_ms = 1000 * states.MIN_CLOCK_RATE * (now - state.worker_clock_at)
    reached_ms = state.worker_clock_ms + elapsed_ms
    return not state.latest_lease_end_ms or reached_ms > state.latest_lease_end_ms + KILL_MARGIN_MS


def _published_description(worker: agents.Worker) -> tuple[typing.Any, ...]:
    """Return the part of the description whose changes are published at once.

    The time until a departure is left out, because it changes with each heartbeat.
    """
    return (*dataclasses.astuple(dataclasses.replace(worker, leaves_in_ms=0)),)


def _close_runs(state: states.State, reason: str, *, starts_may_arrive: bool) -> None:
    """Record the ends of all open runs.

    Parameters
    ----------
    starts_may_arrive : bool
        An unanswered start may still be carried out, so its run is stopped first. It is false
        once the deadlines have passed, because the worker refuses a start after its deadline.
    """
    for key, run in list(state.runs.items()):
        if run.phase is states.Phase.ENDED:
            continue
        if starts_may_arrive and _start_may_arrive(run):
            run.stop_reason = run.stop_reason or reason
            run.may_have_started = True
            run.stop_confirmed_at = None
            continue
        ran = run.phase is states.Phase.RUNNING or key in state.inherited_reports
        kind = steps.EndKind.LOST if ran else steps.EndKind.REJECTED
        listing.record_end(state, key, kind, run.saved, reason)


def _start_may_arrive(run: states.TrackedRun) -> bool:
    """Return whether a start of the run may still be carried out.

    A run that a second start began may have a first one that was not answered.
    """
    if run.phase is states.Phase.WAITING:
        return run.may_have_started or run.call_pending
    return run.unanswered_starts > 0
