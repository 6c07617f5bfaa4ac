"""Leader election of the entries: claims, renewals and release of the lease in the store."""

from __future__ import annotations

import dataclasses
import enum
import typing

from peridothatch_core.commit import latency
from peridothatch_core.message import rows
from peridothatch_core.model import storeclock, tables
from peridothatch_core.schedule import leadership, lease_timing
from peridothatch_core.schedule import state as core_state
from peridothatch_daemon.hosted import clock, log, messages, records, schedule_state
from peridothatch_wire import mailbox

if typing.TYPE_CHECKING:
    from peridothatch_core.schedule import writes

CLAIM_DELAY_ROUND_TRIPS = 8
"""Delay before a claim, in round trips to the store. The entry nearest to the store thus claims
first; as the leader it has the lowest latency."""

COMMIT_TIMEOUT_SECONDS = 1.5
"""Timeout of a transaction of decisions. It covers the second for which a transaction may wait in
the partition."""


@dataclasses.dataclass(frozen=True, slots=True)
class Resignation:
    """Repeat the write that ends the lease."""


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
    elif leadership.is_renewal_due(own_leadership, now):
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
    _record(state, write)
    if not committed:
        own_leadership.retry_at = clock.now() + _retry_seconds(own_leadership, write.token)
    match write.token:
        case Purpose.CLAIM if committed:
            if leadership.become_leader(own_leadership, write.version, sent_at):
                _log_leading(state)
                return True
        case Purpose.RENEW if committed:
            own_leadership.renewed_at = max(own_leadership.renewed_at, sent_at)
        case Purpose.RENEW if write.outcome is rows.Outcome.CONFLICT:
            _lose_leadership(state, "another entry has taken the epoch")
        case Purpose.RESIGN if write.busy:
            messages.post_later(
                state.inbox, Resignation(), _retry_seconds(own_leadership, Purpose.RESIGN)
            )
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
    state.leadership.seen_ms = max(state.leadership.seen_ms, now_ms)
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
    send_resignation(state)


def send_resignation(state: schedule_state.State) -> None:
    """Write the end of the lease; repeated while the store refuses it."""
    resignation = leadership.resignation_transaction(state.leadership, records.encode)
    _send_write(state, Purpose.RESIGN, resignation, clock.now())


def send_batch(state: schedule_state.State, batch: writes.Batch) -> None:
    """Send decisions, with a renewal of the lease if one is due soon."""
    now = clock.now()
    transaction = batch.transaction
    batch.renewal_sent_at = None
    if leadership.may_carry_renewal(state.leadership, now):
        batch.renewal_sent_at = state.leadership.carried_at = now
        now_ms = storeclock.earliest_ms(state.clock, now)
        transaction = leadership.carry_renewal(
            state.leadership, transaction, now_ms, records.encode
        )
    schedule_state.commit(state, batch, transaction, COMMIT_TIMEOUT_SECONDS)


def handle_batch_outcome(
    state: schedule_state.State, batch: writes.Batch, committed: rows.Committed
) -> None:
    """Record how long decisions took, and the renewal that they carried, if any."""
    own_leadership = state.leadership
    _record(state, committed)
    if batch.renewal_sent_at is None:
        return
    if own_leadership.carried_at == batch.renewal_sent_at:
        own_leadership.carried_at = None
    if committed.outcome is rows.Outcome.COMMITTED:
        own_leadership.renewed_at = max(own_leadership.renewed_at, batch.renewal_sent_at)
        state.counters.renewals_carried += 1


def resend_seconds(state: schedule_state.State) -> float:
    """Return the delay before decisions that the store has refused are sent again."""
    own_leadership = state.leadership
    return lease_timing.resend_seconds(own_leadership.latency, own_leadership.holder_id)


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
    timeout = lease_timing.write_timeout_seconds(state.leadership.latency)
    schedule_state.commit(state, purpose, transaction, timeout)


def _record(state: schedule_state.State, committed: rows.Committed) -> None:
    """Record how long a write took, and report one that the full partition has refused."""
    latency.record(state.leadership.latency, committed)
    if committed.busy and state.leadership.leading:
        state.report_refused()


def _retry_seconds(own_leadership: leadership.Leadership, purpose: Purpose) -> float:
    delay = (
        lease_timing.claim_retry_seconds
        if purpose is Purpose.CLAIM
        else lease_timing.renew_retry_seconds
    )
    return delay(own_leadership.latency, own_leadership.holder_id)


def _claim_delay_ms(state: schedule_state.State) -> int:
    own_leadership = state.leadership
    spread = lease_timing.claim_spread_ms(
        own_leadership.latency, own_leadership.holder_id, own_leadership.epoch
    )
    round_trip_ms = storeclock.uncertainty_ms(state.clock, clock.now())
    return int(CLAIM_DELAY_ROUND_TRIPS * round_trip_ms) + spread
