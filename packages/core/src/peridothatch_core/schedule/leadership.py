"""Leader election among the entries, by a lease in the store with an epoch as fencing token.

Lease times are measured by the store's clock. The epoch row changes only when the leader changes,
and every transaction of the leader is conditional on its version, so a leader that was paused or
partitioned cannot write after another process has taken over. The lease row is renewed often, by
a transaction of its own or in one that writes decisions. A takeover is conditional on both rows,
so it fails if the lease was renewed in the meantime. `lease_timing` decides how long a lease
lasts.
"""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.commit import latency as latencies
from peridothatch_core.message import rows
from peridothatch_core.model import tables
from peridothatch_core.schedule import lease_timing

RELEASED_UNTIL_MS = 0
"""End of a lease that its holder has released."""


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Value of the lease row and of the epoch row.

    Attributes
    ----------
    until_ms : int
        End of the lease in store time.
    write_ms : int
        Duration of the holder's slowest recent write, by which the other entries know how slow
        the store is; 0 if it is not known.
    """

    holder: str
    epoch: int
    until_ms: int
    write_ms: int = 0


@dataclasses.dataclass(slots=True)
class Leadership:
    """Leader election state of one entry.

    Attributes
    ----------
    holder_id : str
        Identifies this process as a lease holder. Unique for each process start, so that a
        restarted process counts as a different holder.
    leading : bool
        This process holds the current epoch.
    epoch : int
        Epoch of the newest known epoch row.
    epoch_holder : str
        Holder of that epoch; empty after this process has stepped down.
    claimed_epoch : int
        Epoch of the last claim by this process.
    epoch_version, lease_version : int
        Versions of the two rows; 0 while they do not exist.
    sent_at : float or None
        Local time in seconds at which the write in progress was sent.
    renewed_at : float
        Local time at which the last successful renewal was sent.
    retry_at : float
        Local time before which no other write is sent.
    until_ms : int
        Latest end of a lease that this process has written or tried to write.
    carried_at : float or None
        Local time at which decisions were sent that carry a renewal and have no answer yet.
    seen_ms : int
        Store time up to which the feed has delivered the lease row.
    lease_seen_ms : int
        Store time at which the newest version of the lease row was read first.
    latency : Latency
        Duration of this process's writes, and that stated in the lease row.
    """

    holder_id: str
    leading: bool = False
    lease: Lease | None = None
    epoch: int = 0
    epoch_holder: str = ""
    claimed_epoch: int = 0
    epoch_version: int = 0
    lease_version: int = 0
    sent_at: float | None = None
    renewed_at: float = -1e9
    retry_at: float = -1e9
    until_ms: int = 0
    carried_at: float | None = None
    seen_ms: int = 0
    lease_seen_ms: int = 0
    latency: latencies.Latency = dataclasses.field(default_factory=latencies.Latency)


def may_claim(state: Leadership, now_ms: int, claim_delay_ms: int) -> bool:
    """Return whether the lease can be claimed at store time ``now_ms``.

    Parameters
    ----------
    claim_delay_ms : int
        Additional delay that differs between entries, so that they do not claim simultaneously.

    Notes
    -----
    While writes are slow, a claim is also only sent once the feed has shown that the lease was
    not renewed, and some time after the last write of its holder was seen. A claim that would
    fail takes as much of the partition's time as one that does not.
    """
    if state.leading or state.sent_at is not None:
        return False
    if state.lease is None:
        return True
    ends_ms = state.lease.until_ms
    if latencies.is_slow(state.latency) and ends_ms != RELEASED_UNTIL_MS:
        if state.seen_ms <= ends_ms:
            return False
        ends_ms = max(ends_ms, state.lease_seen_ms + lease_timing.claim_grace_ms(state.latency))
    return now_ms > ends_ms + claim_delay_ms


def is_renewal_due(state: Leadership, now: float) -> bool:
    """Return whether a transaction of its own must renew the lease at local time ``now``.

    Decisions that carry a renewal replace it until they should have been answered.
    """
    if not state.leading or now - state.renewed_at < lease_timing.RENEW_INTERVAL_SECONDS:
        return False
    timeout = lease_timing.write_timeout_seconds(state.latency)
    return state.carried_at is None or now - state.carried_at >= timeout


def may_carry_renewal(state: Leadership, now: float) -> bool:
    """Return whether decisions that are sent at local time ``now`` renew the lease as well."""
    share = lease_timing.CARRY_SHARE * lease_timing.RENEW_INTERVAL_SECONDS
    return state.leading and now - state.renewed_at >= share


def claim_transaction(
    state: Leadership, now_ms: int, encode: typing.Callable[[typing.Any], bytes]
) -> rows.Transaction:
    """Return the transaction that claims the leadership."""
    state.claimed_epoch = state.epoch + 1
    state.until_ms = now_ms + lease_timing.lease_duration_ms(state.latency)
    lease = Lease(state.holder_id, state.claimed_epoch, state.until_ms, _write_ms(state))
    return rows.Transaction(
        (
            rows.Condition(tables.EPOCH_KEY, state.epoch_version),
            rows.Condition(tables.LEASE_KEY, state.lease_version),
        ),
        ((tables.EPOCH_KEY, encode(lease)), (tables.LEASE_KEY, encode(lease))),
    )


def renewal_transaction(
    state: Leadership, now_ms: int, encode: typing.Callable[[typing.Any], bytes]
) -> rows.Transaction:
    """Return the transaction that renews the lease; it never ends earlier than before."""
    until_ms = now_ms + lease_timing.lease_duration_ms(state.latency)
    state.until_ms = max(state.until_ms, until_ms)
    lease = Lease(state.holder_id, state.epoch, state.until_ms, _write_ms(state))
    return rows.Transaction(
        (rows.Condition(tables.EPOCH_KEY, state.epoch_version),),
        ((tables.LEASE_KEY, encode(lease)),),
    )


def carry_renewal(
    state: Leadership,
    decisions: rows.Transaction,
    now_ms: int,
    encode: typing.Callable[[typing.Any], bytes],
) -> rows.Transaction:
    """Return decisions, which are conditional on the epoch, with a renewal of the lease."""
    renewal = renewal_transaction(state, now_ms, encode)
    return rows.Transaction(decisions.conditions, (*decisions.writes, *renewal.writes))


def _write_ms(state: Leadership) -> int:
    return int(1000 * state.latency.seconds)


def resignation_transaction(
    state: Leadership, encode: typing.Callable[[typing.Any], bytes]
) -> rows.Transaction:
    """Return the transaction that ends the lease immediately."""
    lease = Lease(state.holder_id, state.epoch, RELEASED_UNTIL_MS, _write_ms(state))
    return rows.Transaction(
        (rows.Condition(tables.EPOCH_KEY, state.epoch_version),),
        ((tables.LEASE_KEY, encode(lease)),),
    )


def observe_epoch(state: Leadership, lease: Lease | None, version: int) -> bool:
    """Process a version of the epoch row; return whether it ends this process's leadership.

    Parameters
    ----------
    lease : Lease or None
        ``None`` if the row cannot be read. A claim then replaces it, with the next epoch that is
        known here.
    """
    if version <= state.epoch_version:
        return False
    state.epoch_version = version
    state.epoch = lease.epoch if lease else state.epoch
    state.epoch_holder = lease.holder if lease else ""
    lost = state.leading and state.epoch_holder != state.holder_id
    if lost:
        state.leading = False
    return lost


def has_unacknowledged_claim(state: Leadership) -> bool:
    """Return whether the newest epoch row is a claim by this process whose response was lost."""
    return state.epoch_holder == state.holder_id and not state.leading and state.sent_at is None


def observe_lease(state: Leadership, lease: Lease | None, version: int, now_ms: int) -> None:
    """Process a version of the lease row, read at store time ``now_ms``.

    A row that cannot be read, or that ends later than any lease, is not a lease: it is replaced
    by the next claim. A renewal that had no answer may be applied after later ones, so a lease
    keeps its latest known end unless its holder releases it.
    """
    if version <= state.lease_version:
        return
    state.lease_version = version
    state.lease_seen_ms = now_ms
    if lease is not None and not state.leading and lease.holder != state.holder_id:
        latencies.observe_stated(state.latency, lease.write_ms)
    longest = lease_timing.MAX_LEASE_DURATION_MS + lease_timing.LEASE_DURATION_MS
    if lease is None or lease.until_ms > now_ms + longest:
        state.lease = None
    elif not _is_late_renewal(state.lease, lease):
        state.lease = lease


def _is_late_renewal(known: Lease | None, lease: Lease) -> bool:
    """Return whether a row renews a lease to an earlier end than a known renewal."""
    return (
        known is not None
        and (known.holder, known.epoch) == (lease.holder, lease.epoch)
        and RELEASED_UNTIL_MS < lease.until_ms < known.until_ms
    )


def become_leader(state: Leadership, version: int, sent_at: float) -> bool:
    """Record a committed claim; return whether this process leads.

    The feed may have delivered its row earlier, or that of a later claim by another process.
    """
    if version < state.epoch_version:
        return False
    state.leading = True
    state.epoch = state.claimed_epoch
    state.epoch_holder = state.holder_id
    state.epoch_version = version
    state.renewed_at = sent_at
    return True


def step_down(state: Leadership) -> None:
    """Record that another process has claimed the epoch or that this process gives it up."""
    state.leading = False
    state.epoch_holder = ""
    state.carried_at = None
