"""The agent's row: registration, renewal of the lease, and the record of ends."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.hold import exchange
from peridothatch_core.hold import state as states
from peridothatch_core.message import rows
from peridothatch_core.model import agents, storeclock

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

ENDS_PER_WRITE = 22
"""Ends recorded in one transaction; each takes up to three of its 100 entries."""

STOPS_PER_WRITE = 6
"""Needless stops removed in one transaction; each takes one entry."""

CLAIMS_PER_WRITE = 20
"""Orders claimed in one transaction; each takes one entry."""


def writes(state: states.State, now: float) -> Iterator[exchange.Effect]:
    """Yield the write or read of the row that is due."""
    if state.writing or now < state.write_retry_at:
        return
    if not state.version and not state.registered and not state.clock.known:
        state.writing = True
        yield exchange.ReadRow()
        return
    due = now - state.renewed_at >= states.RENEW_SECONDS
    claims = _claims(state, now)
    if state.registered and not (due or state.dirty or state.ends or claims):
        return
    state.writing = True
    state.written_claims = claims
    state.written_stops = tuple(sorted(state.obsolete_stops)[:STOPS_PER_WRITE])
    state.dirty = False
    state.ends_in_flight = dict(sorted(state.ends.items(), reverse=True)[-ENDS_PER_WRITE:])
    yield exchange.WriteRow(
        _next_row(state, now),
        state.version,
        tuple(state.ends_in_flight.values()),
        state.renewal_asked,
        tuple((key, state.runs[key].order_version) for key in claims),
        state.written_stops,
    )


def take_row(
    state: states.State, row: agents.Agent | None, version: int, now: float
) -> Iterator[exchange.Effect]:
    """Take over the row as it was read."""
    state.writing = False
    if row is None:
        state.version = 0
        return
    if state.registered and row.fence > state.fence:
        yield exchange.Replaced(row.fence)
        return
    committed = state.registered and row.hold_until_ms == state.wanted_until_ms
    state.version = version
    state.lapses = row.lapses
    if not state.registered:
        state.fence = row.fence
        state.inherited_until_ms = max(state.inherited_until_ms, row.hold_until_ms)
        state.reports |= {(report.task, report.attempt): report for report in row.runs}
        _inherit_claims(state, row)
        if state.worker is None:
            state.worker = row.worker
            state.heard_at = now
    state.hold_until_ms = row.hold_until_ms
    if committed:
        _take_claims(state)
        _forget_written(state)


def wrote(state: states.State, done: rows.Committed, now: float) -> Iterator[exchange.Effect]:
    """Take over the outcome of a write of the row."""
    state.writing = False
    match done.outcome:
        case rows.Outcome.COMMITTED:
            state.version = done.version
            state.registered = True
            state.hold_until_ms = state.wanted_until_ms
            state.renewed_at = done.asked_at
            _take_claims(state)
            _forget_written(state)
        case rows.Outcome.NOT_DONE:
            state.dirty = True
            state.write_retry_at = now + states.RETRY_SECONDS
        case _:
            # Another write came between, or the answer was lost: the row tells which.
            if state.written_claims:
                state.claims_from = now + states.CLAIM_PAUSE_SECONDS
            state.dirty = True
            state.writing = True
            yield exchange.ReadRow()


def read_failed(state: states.State, now: float) -> None:
    """Note that the row could not be read."""
    state.writing = False
    state.write_retry_at = now + states.RETRY_SECONDS


def _next_row(state: states.State, now: float) -> agents.Agent:
    if not state.registered:
        state.fence += 1
    until = storeclock.latest_ms(state.clock, now) + state.hold_ms
    state.wanted_until_ms = max(until, state.wanted_until_ms + 1)
    reports = {} if state.listed else dict(state.reports)
    for key, held in state.runs.items():
        if held.phase is states.Phase.RUNNING:
            reports[key] = agents.RunReport(key[0], key[1], held.saved, held.percent)
    return agents.Agent(
        state.node,
        state.zone,
        state.fence,
        state.lapses,
        state.wanted_until_ms,
        _known_worker(state),
        tuple(reports.values()),
        _claimed(state),
    )


def _claims(state: states.State, now: float) -> tuple[exchange.RunKey, ...]:
    """Return the orders that the next write claims."""
    if not state.registered or now < state.claims_from:
        return ()
    wanted = [
        key
        for key, held in state.runs.items()
        if held.claim_wanted
        and not held.claimed
        and not held.stop_reason
        and held.order is not None
        and held.phase is states.Phase.WAITING
    ]
    return tuple(wanted[:CLAIMS_PER_WRITE])


def _claimed(state: states.State) -> tuple[exchange.RunKey, ...]:
    """Return the orders that the agent's row names as claimed."""
    claimed = {
        key
        for key, held in state.runs.items()
        if held.claimed and held.phase is not states.Phase.ENDED
    }
    if not state.listed:
        # What became of the runs of an earlier process is not known yet.
        claimed |= state.inherited_claims
    return tuple(sorted(claimed | set(state.written_claims)))


def _inherit_claims(state: states.State, row: agents.Agent) -> None:
    """Take over what an earlier process of this node may have started."""
    state.inherited_claims = {(report.task, report.attempt) for report in row.runs}
    state.inherited_claims.update(row.claimed)
    for key in state.inherited_claims & state.runs.keys():
        state.runs[key].claimed = True


def _take_claims(state: states.State) -> None:
    """Note that the claims of a write are in the store, so that the runs may start."""
    state.obsolete_stops.difference_update(state.written_stops)
    state.written_stops = ()
    for key in state.written_claims:
        held = state.runs.get(key)
        if held is not None:
            held.claimed = True
    state.written_claims = ()


def _known_worker(state: states.State) -> agents.Worker | None:
    """Return the worker as it may be used now.

    What an earlier process of this node knew may have ended with it, so such a worker takes no
    work until it has been heard from.
    """
    if state.worker is None or state.worker_heard:
        return state.worker
    return dataclasses.replace(state.worker, state=agents.WorkerState.ABSENT)


def _forget_written(state: states.State) -> None:
    """Drop ends that are in the store, so that the worker may forget them as well."""
    state.list_retry_at = 0.0
    for number, end in state.ends_in_flight.items():
        state.ends.pop(number, None)
        state.runs.pop((end.task, end.attempt), None)
        if number > 0:
            state.ignorable.add(number)
    state.ends_in_flight = {}
    while state.recorded_through + 1 in state.ignorable:
        state.recorded_through += 1
        state.ignorable.discard(state.recorded_through)
