"""The leadership of an entry: claims, renewals, and what the rows say of it."""

from __future__ import annotations

import enum
import zlib

from peridothatch_core.message import rows
from peridothatch_core.model import storeclock, tables
from peridothatch_core.schedule import leadership, state
from peridothatch_daemon.hosted import clock, log, records, schedule_state
from peridothatch_wire import mailbox

PATIENCE_ROUND_TRIPS = 8
"""Wait before a claim, in round trips to the store: the nearest entry claims first, since it
schedules with the least delay."""

PATIENCE_SPREAD_MS = 40
"""Spread of the wait among entries that are equally near."""


class Purpose(enum.Enum):
    """What a write of the lease was for."""

    CLAIM = enum.auto()
    RENEW = enum.auto()
    RESIGN = enum.auto()


def write_due(own: schedule_state.State, now_ms: int) -> None:
    """Claim or renew the lease when that is due."""
    now = clock.now()
    holder = own.leadership
    if holder.sent_at is not None or now < holder.retry_at:
        return
    if leadership.may_claim(holder, now_ms, _patience_ms(own)):
        _send(
            own, Purpose.CLAIM, leadership.claim_transaction(holder, now_ms, records.encode), now
        )
    elif holder.leading and now - holder.renewed_at >= leadership.RENEW_INTERVAL_SECONDS:
        _send(
            own, Purpose.RENEW, leadership.renewal_transaction(holder, now_ms, records.encode), now
        )


def answered(own: schedule_state.State, done: rows.Committed) -> bool:
    """Take over the outcome of a write of the lease; return whether this process now leads."""
    holder = own.leadership
    sent_at = holder.sent_at or 0.0
    holder.sent_at = None
    committed = done.outcome is rows.Outcome.COMMITTED
    if not committed:
        holder.retry_at = clock.now() + leadership.RETRY_DELAY_SECONDS
    match done.token:
        case Purpose.CLAIM if committed:
            leadership.become_leader(holder, done.version, sent_at)
            _log_leading(own)
            return True
        case Purpose.RENEW if committed:
            holder.renewed_at = sent_at
        case Purpose.RENEW if done.outcome is rows.Outcome.CONFLICT:
            _lose(own, "another entry has taken the epoch")
        case Purpose.RESIGN:
            if own.resigning is not None:
                mailbox.answer(own.resigning, committed)
        case _:
            log.event(
                "scheduler:lease_write_failed",
                purpose=done.token.name,
                outcome=done.outcome.name,
                reason=done.reason,
            )
    return _take_unanswered(own)


def observe(own: schedule_state.State, members: tuple[rows.Row, ...]) -> bool:
    """Take the rows of the leadership over; return whether this process now leads."""
    for row in members:
        if row.value is None or row.key not in (tables.EPOCH_KEY.key, tables.LEASE_KEY.key):
            continue
        lease = records.decode(records.LEASE, row.value)
        if row.key == tables.LEASE_KEY.key:
            leadership.observe_lease(own.leadership, lease, row.version)
        elif leadership.observe_epoch(own.leadership, lease, row.version):
            _lose(own, f"{lease.holder} has taken the epoch")
    return _take_unanswered(own)


def resign(own: schedule_state.State, reply: mailbox.Reply) -> None:
    """End the lease, so that another entry can lead at once; the reply tells whether it did."""
    own.resigning = reply
    if not own.leadership.leading:
        mailbox.answer(reply, True)
        return
    own.leadership.leading = False
    resignation = leadership.resignation_transaction(own.leadership, records.encode)
    _send(own, Purpose.RESIGN, resignation, clock.now())


def _take_unanswered(own: schedule_state.State) -> bool:
    """Lead by an own claim that has committed although its answer was lost."""
    if own.resigning is not None or not leadership.has_unacknowledged_claim(own.leadership):
        return False
    own.leadership.leading = True
    _log_leading(own)
    return True


def _log_leading(own: schedule_state.State) -> None:
    own.counters.claims += 1
    store_ms = storeclock.earliest_ms(own.clock, clock.now())
    log.event("scheduler:leading", epoch=own.leadership.epoch, store_ms=store_ms)


def _lose(own: schedule_state.State, reason: str) -> None:
    leadership.step_down(own.leadership)
    own.batches = []
    own.loading = False
    own.schedule = state.State(own.limits)
    log.event("scheduler:not_leading", epoch=own.leadership.epoch, reason=reason)


def _send(
    own: schedule_state.State, purpose: Purpose, transaction: rows.Transaction, now: float
) -> None:
    own.leadership.sent_at = now
    schedule_state.commit(own, purpose, transaction, leadership.WRITE_TIMEOUT_SECONDS)


def _patience_ms(own: schedule_state.State) -> int:
    spread = zlib.crc32(own.leadership.holder_id.encode()) % PATIENCE_SPREAD_MS
    round_trip_ms = storeclock.uncertainty_ms(own.clock, clock.now())
    return int(PATIENCE_ROUND_TRIPS * round_trip_ms) + spread
