"""What a worker's list of runs and ends means for the runs that the agent holds."""

from __future__ import annotations

from peridothatch_core.hold import exchange
from peridothatch_core.hold import state as states
from peridothatch_core.model import steps


def take(state: states.State, listing: exchange.Listing) -> None:
    """Take over a list of the current incarnation of the worker."""
    state.worker_clock_ms = listing.worker_clock_ms
    state.worker_clock_at = listing.answered_at
    state.heard_at = listing.answered_at
    if not state.worker_heard:
        state.worker_heard = True
        state.dirty = True
    if not state.loaded:
        return
    state.listed = True
    for ended in listing.ended:
        _take_end(state, ended)
    _forget_gaps(state)
    running = {(run.task, run.attempt): run for run in listing.running}
    for key, run in running.items():
        held = state.runs.get(key)
        if held is None:
            held = states.Held(None, stop_reason="no order asks for the run")
            state.runs[key] = held
        if held.phase is states.Phase.WAITING:
            held.phase = states.Phase.RUNNING
            held.confirmed_at = listing.answered_at
        held.listed = True
        held.percent = run.percent
        held.saved = run.saved or held.saved
    for key, held in list(state.runs.items()):
        if key not in running and held.phase is not states.Phase.ENDED:
            _missing(state, key, held, listing)


def record(
    state: states.State, key: exchange.RunKey, kind: steps.EndKind, saved: str, reason: str
) -> None:
    """Note an end that the worker does not list, for the next write."""
    held = state.runs[key]
    held.phase = states.Phase.ENDED
    if not saved and key in state.reports:
        saved = state.reports[key].saved
    held.end = steps.End(key[0], key[1], state.node, kind, saved, reason)
    if held.order is None:
        del state.runs[key]
        return
    state.own_ends -= 1
    state.ends[state.own_ends] = held.end


def _take_end(state: states.State, ended: exchange.ListedEnd) -> None:
    if ended.number <= state.recorded_through or ended.number in state.ends:
        return
    if ended.number in state.ignorable:
        return
    key = (ended.task, ended.attempt)
    held = state.runs.get(key)
    if held is None or held.order is None or held.phase is states.Phase.ENDED:
        # The scheduler has closed the run, or its end was recorded by an earlier write.
        state.ignorable.add(ended.number)
        if held is not None and held.order is None:
            del state.runs[key]
        return
    held.phase = states.Phase.ENDED
    held.end = steps.End(
        ended.task,
        ended.attempt,
        state.node,
        ended.kind,
        ended.saved or held.saved,
        held.stop_reason,
    )
    state.ends[ended.number] = held.end


def _forget_gaps(state: states.State) -> None:
    """Move ``recorded_through`` over ends that need no record."""
    while state.recorded_through + 1 in state.ignorable:
        state.recorded_through += 1
        state.ignorable.discard(state.recorded_through)


def _missing(
    state: states.State, key: exchange.RunKey, held: states.Held, listing: exchange.Listing
) -> None:
    """Decide on a run that the list contains neither as running nor as ended."""
    # A list may have been made before the start was confirmed.
    confirmed = held.phase is states.Phase.RUNNING and listing.asked_at > held.confirmed_at
    if confirmed and not held.stop_reason:
        held.stop_reason = "the worker no longer lists the run"
    if held.stopped_at is not None and listing.asked_at > held.stopped_at:
        ran = held.phase is states.Phase.RUNNING or key in state.reports
        kind = steps.EndKind.LOST if ran else steps.EndKind.REJECTED
        record(state, key, kind, held.saved, held.stop_reason)
