"""Which entry schedules: a lease in the store, measured by the store's clock, with an epoch.

The epoch row changes only when the leader changes, and every transaction of the leader has its
version as a condition. A leader that was paused or cut off therefore writes nothing once
another has taken over, whatever it believes. The lease row is renewed often; both rows are
conditions of a takeover, so that a renewal in between voids it.
"""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.message import rows
from peridothatch_core.model import tables

LEASE_DURATION_MS = 1100
"""Length of the lease. After the loss of a leader nothing starts before it ends; it outlasts a
store that answers 60 times as slowly as usual, and one renewal that is lost."""

RENEW_INTERVAL_SECONDS = 0.35
"""Time between renewals."""

WRITE_TIMEOUT_SECONDS = 0.45
"""Wait for the answer to a write of the lease; the next one is sent in its place then."""

RETRY_DELAY_SECONDS = 0.1
"""Pause after a write of the lease that failed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Value of the lease row; ``until_ms`` is store time."""

    holder: str
    epoch: int
    until_ms: int


@dataclasses.dataclass(slots=True)
class Leadership:
    """What one entry knows of the leadership.

    Attributes
    ----------
    holder_id : str
        Unique for each process start, so that a restarted process is another holder.
    leading : bool
        This process holds the epoch.
    epoch : int
        Epoch of the newest row that is known.
    epoch_holder : str
        Who took it; empty once this process knows that another has.
    claimed_epoch : int
        Epoch of the own last claim.
    epoch_version, lease_version : int
        Versions of the two rows; 0 while they do not exist.
    sent_at : float or None
        When the write that is under way was sent, in local seconds.
    renewed_at : float
        When the last successful renewal was sent.
    retry_at : float
        When the next write may be sent.
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


def may_claim(state: Leadership, now_ms: int, patience_ms: int) -> bool:
    """Tell whether the lease is free at store time ``now_ms``.

    Parameters
    ----------
    patience_ms : int
        Extra wait, different for each entry, so that they do not all claim at once.
    """
    if state.leading or state.sent_at is not None:
        return False
    return state.lease is None or now_ms > state.lease.until_ms + patience_ms


def claim_transaction(
    state: Leadership, now_ms: int, encode: typing.Callable[[typing.Any], bytes]
) -> rows.Transaction:
    """Return the transaction that takes the leadership over."""
    state.claimed_epoch = state.epoch + 1
    lease = Lease(state.holder_id, state.claimed_epoch, now_ms + LEASE_DURATION_MS)
    return rows.Transaction(
        (
            rows.Condition(tables.EPOCH, state.epoch_version),
            rows.Condition(tables.LEASE, state.lease_version),
        ),
        ((tables.EPOCH, encode(lease)), (tables.LEASE, encode(lease))),
    )


def renewal_transaction(
    state: Leadership, now_ms: int, encode: typing.Callable[[typing.Any], bytes]
) -> rows.Transaction:
    """Return the transaction that renews the lease."""
    lease = Lease(state.holder_id, state.epoch, now_ms + LEASE_DURATION_MS)
    return rows.Transaction(
        (rows.Condition(tables.EPOCH, state.epoch_version),), ((tables.LEASE, encode(lease)),)
    )


def resignation_transaction(
    state: Leadership, encode: typing.Callable[[typing.Any], bytes]
) -> rows.Transaction:
    """Return the transaction that ends the lease at once."""
    return rows.Transaction(
        (rows.Condition(tables.EPOCH, state.epoch_version),),
        ((tables.LEASE, encode(Lease(state.holder_id, state.epoch, 0))),),
    )


def observe_epoch(state: Leadership, lease: Lease, version: int) -> bool:
    """Take the epoch row over; return whether this process has just lost the leadership."""
    if version <= state.epoch_version:
        return False
    state.epoch_version = version
    state.epoch = lease.epoch
    state.epoch_holder = lease.holder
    lost = state.leading and lease.holder != state.holder_id
    if lost:
        state.leading = False
    return lost


def has_unacknowledged_claim(state: Leadership) -> bool:
    """Tell whether the newest epoch row is an own claim that has no answer any more."""
    return state.epoch_holder == state.holder_id and not state.leading and state.sent_at is None


def observe_lease(state: Leadership, lease: Lease, version: int) -> None:
    """Take the lease row over."""
    if version > state.lease_version:
        state.lease_version = version
        state.lease = lease


def become_leader(state: Leadership, version: int, sent_at: float) -> None:
    """Record that the claim has committed; its row may have been observed before."""
    state.leading = True
    state.epoch = state.claimed_epoch
    state.epoch_holder = state.holder_id
    state.epoch_version = version
    state.renewed_at = sent_at


def step_down(state: Leadership) -> None:
    """Record that another process has taken the epoch, or that this one gives it up."""
    state.leading = False
    state.epoch_holder = ""
