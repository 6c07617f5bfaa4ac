"""Lease on the planning of one data centre, held through the row ``planner/DC``."""

from __future__ import annotations

import dataclasses
import enum

RENEW_INTERVAL_SECONDS = 2.0
LEASE_DURATION_SECONDS = 6.0
CLOCK_DRIFT_FACTOR = 1.1
RENEW_ONLY_LIMIT_SECONDS = 7200.0
# Entries near the data centre contend first, so that its planner survives a cut region link.
PREFERENCE_DELAY_SECONDS = {"data_centre": 0.0, "region": 2.0, "other": 4.0}


class Mode(enum.StrEnum):
    """What the entry may do as planner of the data centre."""

    FOLLOWING = "following"
    HOLDING = "holding"
    RENEW_ONLY = "renew_only"


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRow:
    """The row ``planner/DC``; an empty holder has given the lease up."""

    holder: str
    epoch: int
    counter: int
    incarnation: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RowRead:
    """The row was read; ``row`` is ``None`` and ``version`` 0 when it is absent."""

    row: LeaseRow | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RowWritten:
    """The row that was sent at ``sent_at`` was written with this version."""

    row: LeaseRow
    version: int
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class WriteFailed:
    """A write did not apply, or nobody knows whether it did."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fenced:
    """The store refused a transaction because the epoch in the row is not ours."""


@dataclasses.dataclass(frozen=True, slots=True)
class Resign:
    """Release the lease, so that another entry need not wait for it to lapse."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A timer fired."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRow:
    """Read the row."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRow:
    """Write the row on condition that it still has ``version``."""

    row: LeaseRow
    version: int


Event = RowRead | RowWritten | WriteFailed | Fenced | Resign | Tick
Effect = ReadRow | WriteRow


@dataclasses.dataclass(slots=True)
class State:
    """One entry's view of the lease.

    Attributes
    ----------
    seen_at : float
        When the row was first seen with its present version, on the monotonic clock, in seconds.
    contact_at : float
        When the last renewal that applied was sent.
    acquired_at : float
        When the write that took the lease was sent.
    pending, pending_at : WriteRow or None, float
        The write whose outcome is not known, and when it was first sent.
    """

    entry_id: str
    incarnation: str
    delay_seconds: float
    row: LeaseRow | None = None
    version: int = -1
    seen_at: float = 0.0
    held: bool = False
    epoch: int = 0
    contact_at: float = 0.0
    acquired_at: float = 0.0
    read_sent_at: float = float("-inf")
    write_sent_at: float = float("-inf")
    resigning: bool = False
    pending: WriteRow | None = None
    pending_at: float = 0.0
    takeovers: int = 0
    losses: int = 0


def create(entry_id: str, incarnation: str, locality: str) -> State:
    """Return the state of an entry that has not read the row.

    Parameters
    ----------
    locality : str
        ``data_centre``, ``region`` or ``other``, relative to the data centre.
    """
    return State(entry_id, incarnation, PREFERENCE_DELAY_SECONDS[locality])


def mode(state: State, now: float) -> Mode:
    """Return what the entry may do at ``now``; the moment of the decision counts."""
    if not state.held or now - state.contact_at >= RENEW_ONLY_LIMIT_SECONDS:
        return Mode.FOLLOWING
    if now - state.contact_at >= LEASE_DURATION_SECONDS or state.resigning:
        return Mode.RENEW_ONLY
    return Mode.HOLDING


def acts_as_planner(state: State, now: float) -> bool:
    """Return whether the entry acts for the data centre in what needs no fencing.

    It does while it holds the lease, and when the lease has been vacant for so long that it
    would take it.
    """
    return mode(state, now) is Mode.HOLDING or (not state.held and _is_vacant(state, now))


def holder(state: State) -> str:
    """Return the entry that holds the lease as far as this entry knows."""
    return state.row.holder if state.row else ""


def step(state: State, event: Event, now: float) -> list[Effect]:
    """Apply one event and return what to read or write."""
    match event:
        case RowRead():
            return _row_read(state, event, now)
        case RowWritten():
            return _written(state, event, now)
        case WriteFailed():
            return _read(state, now)
        case Fenced():
            _step_down(state)
            return _read(state, now)
        case Resign():
            state.resigning = True
            return _renew(state, now) if state.held else []
        case Tick():
            return _tick(state, now)
    return []


def _tick(state: State, now: float) -> list[Effect]:
    if state.held and now - state.contact_at >= RENEW_ONLY_LIMIT_SECONDS:
        _step_down(state)
    if state.held and now - state.write_sent_at >= RENEW_INTERVAL_SECONDS:
        return _renew(state, now)
    if not state.held and now - state.read_sent_at >= RENEW_INTERVAL_SECONDS:
        return _read(state, now)
    return _try_acquire(state, now)


def _read(state: State, now: float) -> list[Effect]:
    state.read_sent_at = now
    return [ReadRow()]


def _renew(state: State, now: float) -> list[Effect]:
    kept = "" if state.resigning else state.entry_id
    row = LeaseRow(kept, state.epoch, state.row.counter + 1, state.incarnation)
    return _write(state, row, now)


def _write(state: State, row: LeaseRow, now: float) -> list[Effect]:
    state.write_sent_at = now
    write = WriteRow(row, state.version)
    if write != state.pending:
        # When equal writes are sent twice, the first may be the one that applied.
        state.pending, state.pending_at = write, now
    return [write]


def _is_vacant(state: State, now: float) -> bool:
    """Return whether this entry may take the lease, after its delay by locality."""
    if state.resigning or state.version < 0:
        return False
    wait = state.delay_seconds
    if state.row is not None and state.row.holder:
        wait += LEASE_DURATION_SECONDS * CLOCK_DRIFT_FACTOR
    return now - state.seen_at >= wait


def _try_acquire(state: State, now: float) -> list[Effect]:
    # One write per renewal period, whatever becomes of it.
    if (
        state.held
        or not _is_vacant(state, now)
        or now - state.write_sent_at < RENEW_INTERVAL_SECONDS
    ):
        return []
    epoch = state.row.epoch + 1 if state.row else 1
    return _write(state, LeaseRow(state.entry_id, epoch, 0, state.incarnation), now)


def _row_read(state: State, event: RowRead, now: float) -> list[Effect]:
    if event.version < state.version:
        return []
    pending = state.pending
    if pending and event.version == pending.version + 1 and event.row == pending.row:
        # The answer to our write was lost; the row shows that it applied.
        return _written(state, RowWritten(pending.row, event.version, state.pending_at), now)
    if event.version != state.version:
        state.row, state.version, state.seen_at = event.row, event.version, now
    if state.held and (event.row is None or event.row.epoch != state.epoch):
        _step_down(state)
    return _try_acquire(state, now)


def _written(state: State, event: RowWritten, now: float) -> list[Effect]:
    if event.version <= state.version:
        return []
    state.row, state.version, state.seen_at, state.pending = event.row, event.version, now, None
    if event.row.holder != state.entry_id:
        _step_down(state)
        return []
    if not state.held or state.epoch != event.row.epoch:
        state.takeovers += 1
        state.acquired_at = event.sent_at
    state.held = True
    state.epoch = event.row.epoch
    state.contact_at = max(state.contact_at, event.sent_at)
    return []


def _step_down(state: State) -> None:
    if state.held:
        state.losses += 1
    state.held = False
