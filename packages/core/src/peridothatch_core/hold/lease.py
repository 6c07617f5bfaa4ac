"""Reads and writes of the agent's row: registration, lease renewal, claims and recorded ends."""

from __future__ import annotations

import dataclasses
import itertools
import typing

from peridothatch_core.hold import exchange
from peridothatch_core.hold import state as states
from peridothatch_core.message import rows
from peridothatch_core.model import agents, storeclock

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

ENDS_PER_WRITE = 22
"""Most ends recorded in one transaction; each takes up to three of its 100 entries."""

STOPS_PER_WRITE = 6
"""Most obsolete stops removed in one transaction; each takes one entry."""

CLAIMS_PER_WRITE = 20
"""Most orders claimed in one transaction; each takes one entry."""

RENEWAL_WAIT_SECONDS = 0.15
"""Time for which a renewal may wait for others to be combined with. An order that arrives
meanwhile is claimed after it."""


def due_effects(state: states.State, now: float) -> Iterator[exchange.Effect]:
    """Yield the read or write of the agent's row that is due, if any."""
    if state.row_call_pending or now < state.write_retry_at:
        return
    if not state.version and not state.registered and not state.clock.known:
        state.row_call_pending = True
        yield exchange.ReadRow()
        return
    due = now - state.renewed_at >= states.renew_interval_seconds(state)
    claims = _next_claims(state, now)
    if state.registered and not (due or state.dirty or state.ends or claims):
        return
    state.row_call_pending = True
    state.claims_in_flight = claims
    state.stops_in_flight = tuple(sorted(state.obsolete_stops)[:STOPS_PER_WRITE])
    state.dirty = False
    state.ends_in_flight = dict(itertools.islice(state.ends.items(), ENDS_PER_WRITE))
    yield exchange.WriteRow(
        _build_row(state, now),
        state.version,
        tuple(state.ends_in_flight.values()),
        state.renewal_requested,
        tuple((key, state.runs[key].order_version) for key in claims),
        state.stops_in_flight,
    )


def is_sharable(effect: exchange.WriteRow) -> bool:
    """Return whether a write may be combined with those of other agents.

    A write that claims orders fails when the leader withdraws one of them, and the others with it.
    """
    return not effect.claims


def may_wait_seconds(effect: exchange.WriteRow) -> float:
    """Return for how long a write may wait to be combined with those of other agents."""
    is_awaited = effect.claims or effect.ends or effect.answers_renewal_request
    return 0.0 if is_awaited else RENEWAL_WAIT_SECONDS


def is_own_write(state: states.State, row: agents.Agent) -> bool:
    """Return whether the agent's row, as it was read, is that of the latest write."""
    return state.registered and row.hold_until_ms == state.pending_until_ms


def handle_row_read(
    state: states.State, row: agents.Agent | None, version: int, now: float
) -> Iterator[exchange.Effect]:
    """Update the state from the agent's row as it was read."""
    state.row_call_pending = False
    if row is None:
        # The row does not exist, or can't be read and is replaced by the next write.
        state.version = version
        return
    if state.registered and row.fence > state.fence:
        yield exchange.Replaced(row.fence)
        return
    committed = is_own_write(state, row)
    state.version = version
    state.lapses = row.lapses
    if not state.registered:
        state.fence = row.fence
        state.inherited_until_ms = max(state.inherited_until_ms, row.hold_until_ms)
        state.inherited_reports |= {(report.task, report.attempt): report for report in row.runs}
        _inherit_claims(state, row)
        if state.worker is None:
            state.worker = row.worker
            state.last_contact_at = now
    state.hold_until_ms = row.hold_until_ms
    if committed:
        _confirm_claims(state)
        _discard_recorded_ends(state)


def handle_commit(
    state: states.State, done: rows.Committed, now: float
) -> Iterator[exchange.Effect]:
    """Update the state from the outcome of a write of the row."""
    state.row_call_pending = False
    state.refusals = state.refusals + 1 if done.busy else 0
    match done.outcome:
        case rows.Outcome.COMMITTED:
            state.version = done.version
            state.registered = True
            state.hold_until_ms = state.pending_until_ms
            state.renewed_at = done.asked_at
            # An entry lets renewals wait for each other, which is no sign of a busy store.
            relayed = done.relayed
            own_seconds = done.answered_at - done.asked_at
            state.commit_seconds = relayed.store_seconds if relayed else own_seconds
            _confirm_claims(state)
            _discard_recorded_ends(state)
        case rows.Outcome.NOT_DONE:
            _delay_retry(state, now)
        case rows.Outcome.UNKNOWN if not _has_records_in_flight(state):
            # The next renewal tells as much as reading the row back: it conflicts if this one has
            # been committed. During an outage that saves half of the calls, and after it the lease
            # is renewed one call earlier.
            _delay_retry(state, now)
        case _:
            # On a conflict another write came first; without an answer this one may have been
            # committed. Reading the row back tells which.
            if state.claims_in_flight:
                state.claim_retry_at = now + states.CLAIM_RETRY_DELAY_SECONDS
            state.dirty = True
            state.row_call_pending = True
            yield exchange.ReadRow()


def handle_read_failure(state: states.State, now: float) -> None:
    """Schedule another access after a failed read of the row."""
    state.row_call_pending = False
    _delay_retry(state, now)


def handle_store_answer(state: states.State, asked_at: float, now: float) -> None:
    """Retry a failed write at once when the store has answered another request since.

    A partition that is too full for writes still answers reads.
    """
    if asked_at > state.write_failed_at and not state.refusals:
        state.write_retry_at = min(state.write_retry_at, now)


def _delay_retry(state: states.State, now: float) -> None:
    state.dirty = True
    state.write_failed_at = now
    delay = states.refused_retry_seconds(state) if state.refusals else states.RETRY_DELAY_SECONDS
    state.write_retry_at = now + delay


def _has_records_in_flight(state: states.State) -> bool:
    """Return whether the pending write does more than renew the lease."""
    return bool(state.claims_in_flight or state.stops_in_flight or state.ends_in_flight)


def _build_row(state: states.State, now: float) -> agents.Agent:
    if not state.registered:
        # The tokens between are those that earlier processes may have used without a write.
        processes = state.fence // states.FENCES_PER_PROCESS
        state.fence = (processes + 1) * states.FENCES_PER_PROCESS
    until = storeclock.latest_ms(state.clock, now) + state.lease_duration_ms
    state.pending_until_ms = max(until, state.pending_until_ms + 1)
    reports = {} if state.runs_listed else dict(state.inherited_reports)
    for key, run in state.runs.items():
        if run.phase is states.Phase.RUNNING:
            reports[key] = agents.RunReport(key[0], key[1], run.saved, run.percent)
    return agents.Agent(
        state.node,
        state.zone,
        state.fence,
        state.lapses,
        state.pending_until_ms,
        _advertised_worker(state),
        tuple(reports.values()),
        _claimed_keys(state),
    )


def _next_claims(state: states.State, now: float) -> tuple[exchange.RunKey, ...]:
    """Return the orders that the next write will claim."""
    if not state.registered or now < state.claim_retry_at:
        return ()
    wanted = [
        key
        for key, run in state.runs.items()
        if run.needs_claim
        and not run.claimed
        and not run.stop_reason
        and run.order is not None
        and run.phase is states.Phase.WAITING
    ]
    return tuple(wanted[:CLAIMS_PER_WRITE])


def _claimed_keys(state: states.State) -> tuple[exchange.RunKey, ...]:
    """Return the orders that the agent's row lists as claimed."""
    claimed = {
        key
        for key, run in state.runs.items()
        if run.claimed and run.phase is not states.Phase.ENDED
    }
    if not state.runs_listed:
        # Until the worker has listed its runs, those of an earlier process may still be alive.
        claimed |= state.inherited_claims
    return tuple(sorted(claimed | set(state.claims_in_flight)))


def _inherit_claims(state: states.State, row: agents.Agent) -> None:
    """Keep the claims of orders that an earlier process of this node may have started."""
    state.inherited_claims = {(report.task, report.attempt) for report in row.runs}
    state.inherited_claims.update(row.claimed)
    for key in state.inherited_claims & state.runs.keys():
        state.runs[key].claimed = True


def _confirm_claims(state: states.State) -> None:
    """Mark the orders of a committed write as claimed, so that their runs may start."""
    state.obsolete_stops.difference_update(state.stops_in_flight)
    state.stops_in_flight = ()
    for key in state.claims_in_flight:
        run = state.runs.get(key)
        if run is not None:
            run.claimed = True
    state.claims_in_flight = ()


def _advertised_worker(state: states.State) -> agents.Worker | None:
    """Return the description of the worker to publish in the row.

    A description that comes from an earlier process of this node may be of an incarnation that
    has ended, so the worker is published as absent until it has answered this process.
    """
    if state.worker is None or state.worker_seen:
        return state.worker
    return dataclasses.replace(state.worker, state=agents.WorkerState.ABSENT)


def _discard_recorded_ends(state: states.State) -> None:
    """Drop the ends that a committed write recorded, and advance ``recorded_through``."""
    state.list_retry_at = 0.0
    for key in state.ends_in_flight:
        state.ends.pop(key, None)
        run = state.runs.pop(key, None)
        if run is not None and run.order is not None:
            state.recorded_runs[key] = None
        number = state.end_numbers.pop(key, None)
        if number is not None:
            state.skipped_ends.add(number)
    state.ends_in_flight = {}
    while len(state.recorded_runs) > states.MAX_RECORDED_RUNS:
        del state.recorded_runs[next(iter(state.recorded_runs))]
    while state.recorded_through + 1 in state.skipped_ends:
        state.recorded_through += 1
        state.skipped_ends.discard(state.recorded_through)
