"""Leader election of the entries: claims, renewals and release of the lease in the store."""

from __future__ import annotations

import enum
import zlib

from peridothatch_core.message import rows
from peridothatch_core.model import storeclock, tables
from peridothatch_core.schedule import leadership
from peridothatch_core.schedule import state as core_state
from peridothatch_daemon.hosted import clock, log, records, schedule_state
from peridothatch_wire import mailbox

CLAIM_DELAY_ROUND_TRIPS = 8
"""Delay before a claim, in round trips to the store. The entry nearest to the store thus claims
first; as the leader it has the lowest latency."""

CLAIM_DELAY_SPREAD_MS = 40
"""Range over which the delay is spread among entries with equal round-trip times."""


class Purpose(enum.Enum):
    """Purpose of a write of the lease; the token of its transaction."""

    CLAIM = enum.auto()
    RENEW = enum.auto()
    RESIGN = enum.auto()


def claim_or_renew(state: schedule_state.State, now_ms: int) -> None:
    """Claim or renew the lease if that is due."""
    now = clock.now()
    own_leadership = state.leadership
    if own_leadership.sent_at is not None or now < own_leadership.retry_at:
        return
    if leadership.may_claim(own_leadership, now_ms, _claim_delay_ms(state)):
        _send_write(
            state,
            Purpose.CLAIM,
            leadership.claim_transaction(own_leadership, now_ms, records.encode),
            now,
        )
    elif (
        own_leadership.leading
        and now - own_leadership.renewed_at >= leadership.RENEW_INTERVAL_SECONDS
    ):
        _send_write(
            state,
            Purpose.RENEW,
            leadership.renewal_transaction(own_leadership, now_ms, records.encode),
            now,
        )


def handle_write_outcome(state: schedule_state.State, write: rows.Committed) -> bool:
    """Handle the outcome of a lease write; return whether this process has become the leader."""
    own_leadership = state.leadership
    sent_at = own_leadership.sent_at or 0.0
    own_leadership.sent_at = None
    committed = write.outcome is rows.Outcome.COMMITTED
    if not committed:
        own_leadership.retry_at = clock.now() + leadership.RETRY_DELAY_SECONDS
    match write.token:
        case Purpose.CLAIM if committed:
            leadership.become_leader(own_leadership, write.version, sent_at)
            _log_leading(state)
            return True
        case Purpose.RENEW if committed:
            own_leadership.renewed_at = sent_at
        case Purpose.RENEW if write.outcome is rows.Outcome.CONFLICT:
            _lose_leadership(state, "another entry has taken the epoch")
        case Purpose.RESIGN:
            if state.resign_reply is not None:
                mailbox.answer(state.resign_reply, committed)
        case _:
            log.event(
                "scheduler:lease_write_failed",
                purpose=write.token.name,
                outcome=write.outcome.name,
                reason=write.reason,
            )
    return _adopt_unacknowledged_claim(state)


def apply_rows(state: schedule_state.State, members: tuple[rows.Row, ...], now_ms: int) -> bool:
    """Apply the epoch and lease rows; return whether this process has become the leader.

    Parameters
    ----------
    now_ms : int
        Store time at which the rows were read.
    """
    for row in members:
        if row.value is None or row.key not in (tables.EPOCH_KEY.key, tables.LEASE_KEY.key):
            continue
        try:
            lease = records.decode_row(row)
        except ValueError as error:
            log.unreadable("leadership", row.key, str(error))
            lease = None
        if row.key == tables.LEASE_KEY.key:
            leadership.observe_lease(state.leadership, lease, row.version, now_ms)
        elif leadership.observe_epoch(state.leadership, lease, row.version):
            holder = lease.holder if lease else "another writer"
            _lose_leadership(state, f"{holder} has taken the epoch")
    return _adopt_unacknowledged_claim(state)


def resign(state: schedule_state.State, reply: mailbox.Reply) -> None:
    """Release the lease so that another entry can lead at once; the reply tells whether it did."""
    state.resign_reply = reply
    if not state.leadership.leading:
        mailbox.answer(reply, True)
        return
    state.leadership.leading = False
    resignation = leadership.resignation_transaction(state.leadership, records.encode)
    _send_write(state, Purpose.RESIGN, resignation, clock.now())


def _adopt_unacknowledged_claim(state: schedule_state.State) -> bool:
    """Become the leader if a claim of this process was committed but its response was lost."""
    if state.resign_reply is not None or not leadership.has_unacknowledged_claim(state.leadership):
        return False
    state.leadership.leading = True
    _log_leading(state)
    return True


def _log_leading(state: schedule_state.State) -> None:
    state.counters.claims += 1
    store_ms = storeclock.earliest_ms(state.clock, clock.now())
    log.event("scheduler:leading", epoch=state.leadership.epoch, store_ms=store_ms)


def _lose_leadership(state: schedule_state.State, reason: str) -> None:
    leadership.step_down(state.leadership)
    state.batches = []
    state.loading = False
    state.schedule = core_state.State(state.limits)
    log.event("scheduler:not_leading", epoch=state.leadership.epoch, reason=reason)


def _send_write(
    state: schedule_state.State, purpose: Purpose, transaction: rows.Transaction, now: float
) -> None:
    state.leadership.sent_at = now
    schedule_state.commit(state, purpose, transaction, leadership.WRITE_TIMEOUT_SECONDS)


def _claim_delay_ms(state: schedule_state.State) -> int:
    spread = zlib.crc32(state.leadership.holder_id.encode()) % CLAIM_DELAY_SPREAD_MS
    round_trip_ms = storeclock.uncertainty_ms(state.clock, clock.now())
    return int(CLAIM_DELAY_ROUND_TRIPS * round_trip_ms) + spread
