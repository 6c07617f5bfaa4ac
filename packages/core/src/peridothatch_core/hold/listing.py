"""Applies a worker's list of runs and ends to the runs that the agent tracks."""

from __future__ import annotations

from peridothatch_core.hold import exchange
from peridothatch_core.hold import state as states
from peridothatch_core.model import steps


def apply(state: states.State, listing: exchange.Listing) -> None:
    """Apply a list from the current incarnation of the worker."""
    state.worker_clock_ms = listing.worker_clock_ms
    state.worker_clock_at = listing.answered_at
    state.last_contact_at = listing.answered_at
    if not state.worker_seen:
        state.worker_seen = True
        state.dirty = True
    if not state.orders_loaded:
        return
    state.runs_listed = True
    missing = _missing_runs(state, listing)
    if not (listing.unreadable_ends and any(map(_may_have_run, missing.values()))):
        _skip_missing_ends(state, listing)
    for ended in listing.ended:
        _apply_end(state, ended)
    _advance_recorded_through(state)
    running = {(listed.task, listed.attempt): listed for listed in listing.running}
    for key, listed in running.items():
        run = state.runs.get(key)
        if run is None:
            run = states.TrackedRun(None, stop_reason="no order asks for the run")
            state.runs[key] = run
        if run.phase is states.Phase.WAITING:
            run.phase = states.Phase.RUNNING
            run.start_confirmed_at = listing.answered_at
        run.listed = True
        run.percent = listed.percent
        run.saved = listed.saved or run.saved
    for key, run in missing.items():
        _check_missing_run(state, key, run, listing)


def _missing_runs(
    state: states.State, listing: exchange.Listing
) -> dict[exchange.RunKey, states.TrackedRun]:
    """Return the open runs that the list names neither as running nor as ended."""
    named = {(listed.task, listed.attempt) for listed in (*listing.running, *listing.ended)}
    return {
        key: run
        for key, run in state.runs.items()
        if key not in named and run.phase is not states.Phase.ENDED
    }


def _may_have_run(run: states.TrackedRun) -> bool:
    return run.phase is states.Phase.RUNNING or run.may_have_started or run.call_pending


def record_end(
    state: states.State, key: exchange.RunKey, kind: steps.EndKind, saved: str, reason: str
) -> None:
    """Queue an end that the worker does not list for the next write of the row."""
    run = state.runs[key]
    run.phase = states.Phase.ENDED
    if not saved and key in state.inherited_reports:
        saved = state.inherited_reports[key].saved
    run.end = steps.End(key[0], key[1], state.node, kind, saved, reason)
    if run.order is None:
        del state.runs[key]
        return
    state.ends[key] = run.end


def _apply_end(state: states.State, ended: exchange.ListedEnd) -> None:
    if ended.number <= state.recorded_through or ended.number in state.skipped_ends:
        return
    key = (ended.task, ended.attempt)
    if state.end_numbers.get(key) == ended.number:
        return
    run = state.runs.get(key)
    if run is None or run.order is None or run.phase is states.Phase.ENDED:
        # The scheduler has closed the run, or an earlier write has recorded its end.
        state.skipped_ends.add(ended.number)
        state.observations.append(
            exchange.EndsPassedOver(
                states.worker_started_ms(state), ended.number, ended.number, key, ended.kind
            )
        )
        if run is not None and run.order is None:
            del state.runs[key]
        return
    run.phase = states.Phase.ENDED
    run.end = steps.End(
        ended.task,
        ended.attempt,
        state.node,
        ended.kind,
        ended.saved or run.saved,
        run.stop_reason,
    )
    state.ends[key] = run.end
    state.end_numbers[key] = ended.number


def _skip_missing_ends(state: states.State, listing: exchange.Listing) -> None:
    """Advance ``recorded_through`` to the first end that the list has.

    The worker lists all ends that are not recorded in order, so the numbers before the first one
    belong to no end that can be read.
    """
    numbers = [ended.number for ended in listing.ended if ended.number > state.recorded_through]
    waiting = state.end_numbers.values()
    first = min([*numbers, *waiting, *state.skipped_ends], default=None)
    if numbers and first is not None and first - 1 > state.recorded_through:
        state.observations.append(
            exchange.EndsPassedOver(
                states.worker_started_ms(state), state.recorded_through + 1, first - 1
            )
        )
        state.recorded_through = first - 1


def _advance_recorded_through(state: states.State) -> None:
    """Advance ``recorded_through`` past the ends that need no record."""
    while state.recorded_through + 1 in state.skipped_ends:
        state.recorded_through += 1
        state.skipped_ends.discard(state.recorded_through)


def _check_missing_run(
    state: states.State, key: exchange.RunKey, run: states.TrackedRun, listing: exchange.Listing
) -> None:
    """Stop or close a run that the list names neither as running nor as ended."""
    if len(listing.ended) + listing.unreadable_ends >= exchange.ENDS_PER_LIST:
        # Its end may come in a later list.
        return
    # A list that was requested before the start was confirmed may lack the run.
    confirmed = run.phase is states.Phase.RUNNING and listing.asked_at > run.start_confirmed_at
    # An end that cannot be read may be that of the run, so it is closed only if it was stopped.
    if confirmed and not run.stop_reason and not listing.unreadable_ends:
        run.stop_reason = "the worker no longer lists the run"
        state.observations.append(
            exchange.RunDisappeared(key, states.worker_started_ms(state), state.recorded_through)
        )
    if run.stop_confirmed_at is not None and listing.asked_at > run.stop_confirmed_at:
        ran = run.phase is states.Phase.RUNNING or key in state.inherited_reports
        kind = steps.EndKind.LOST if ran else steps.EndKind.REJECTED
        record_end(state, key, kind, run.saved, run.stop_reason)
