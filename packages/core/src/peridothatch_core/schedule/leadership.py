"""Leader election among the entries, by a lease in the store with an epoch as fencing token.

Lease times are measured by the store's clock. The epoch row changes only when the leader changes,
and every transaction of the leader is conditional on its version, so a leader that was paused or
partitioned cannot write after another process has taken over. The lease row is renewed often. A
takeover is conditional on both rows, so it fails if the lease was renewed in the meantime.
"""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.message import rows
from peridothatch_core.model import tables

LEASE_DURATION_MS = 1100
"""Duration of the lease.

After a leader fails, nothing starts until its lease ends. The duration tolerates a store that
responds 60 times slower than usual, and the loss of one renewal.
"""

RENEW_INTERVAL_SECONDS = 0.35
"""Interval between renewals."""

WRITE_TIMEOUT_SECONDS = 0.45
"""Timeout of a write of the lease, after which the next write replaces it."""

RETRY_DELAY_SECONDS = 0.1
"""Delay before the next write after a failed write of the lease."""

RELEASED_UNTIL_MS = 0
"""End of a lease that its holder has released."""


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Value of the lease row and of the epoch row; ``until_ms`` is store time."""

    holder: str
    epoch: int
    until_ms: int


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


def may_claim(state: Leadership, now_ms: int, claim_delay_ms: int) -> bool:
    """Return whether the lease can be claimed at store time ``now_ms``.

    Parameters
    ----------
    claim_delay_ms : int
        Additional delay that differs between entries, so that they do not claim simultaneously.
    """
    if state.leading or state.sent_at is not None:
        return False
    return state.lease is None or now_ms > state.lease.until_ms + claim_delay_ms


def claim_transaction(
    state: Leadership, now_ms: int, encode: typing.Callable[[typing.Any], bytes]
) -> rows.Transaction:
    """Return the transaction that claims the leadership."""
    state.claimed_epoch = state.epoch + 1
    lease = Lease(state.holder_id, state.claimed_epoch, now_ms + LEASE_DURATION_MS)
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
    """Return the transaction that renews the lease."""
    lease = Lease(state.holder_id, state.epoch, now_ms + LEASE_DURATION_MS)
    return rows.Transaction(
        (rows.Condition(tables.EPOCH_KEY, state.epoch_version),),
        ((tables.LEASE_KEY, encode(lease)),),
    )


def resignation_transaction(
    state: Leadership, encode: typing.Callable[[typing.Any], bytes]
) -> rows.Transaction:
    """Return the transaction that ends the lease immediately."""
    return rows.Transaction(
        (rows.Condition(tables.EPOCH_KEY, state.epoch_version),),
        ((tables.LEASE_KEY, encode(Lease(state.holder_id, state.epoch, RELEASED_UNTIL_MS))),),
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
    if lease is None or lease.until_ms > now_ms + 2 * LEASE_DURATION_MS:
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


def become_leader(state: Leadership, version: int, sent_at: float) -> None:
    """Record a committed claim; the feed may have delivered its row earlier."""
    state.leading = True
    state.epoch = state.claimed_epoch
    state.epoch_holder = state.holder_id
    state.epoch_version = version
    state.renewed_at = sent_at


def step_down(state: Leadership) -> None:
    """Record that another process has claimed the epoch or that this process gives it up."""
    state.leading = False
    state.epoch_holder = ""
