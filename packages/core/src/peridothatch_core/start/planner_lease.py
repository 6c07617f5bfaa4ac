"""Leader lease for planning one data centre, stored in the row ``planner/DC``."""

from __future__ import annotations

import dataclasses
import enum

RENEW_INTERVAL_SECONDS = 2.0
LEASE_DURATION_SECONDS = 6.0
CLOCK_DRIFT_FACTOR = 1.1
RENEW_ONLY_LIMIT_SECONDS = 7200.0
# Entries closer to the data centre contend first, so that its planner stays reachable when the
# link between regions fails.
PREFERENCE_DELAY_SECONDS = {"data_centre": 0.0, "region": 2.0, "other": 4.0}


class Mode(enum.StrEnum):
    """Authority of the entry as planner of the data centre."""

    FOLLOWING = "following"
    HOLDING = "holding"
    RENEW_ONLY = "renew_only"


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRow:
    """The row ``planner/DC``; an empty ``holder`` means that the lease was released."""

    holder: str
    epoch: int
    counter: int
    incarnation: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RowRead:
    """The row was read; ``row`` is ``None`` and ``version`` is 0 if it does not exist."""

    row: LeaseRow | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RowWritten:
    """The write sent at ``sent_at`` was applied and gave the row this version."""

    row: LeaseRow
    version: int
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class WriteFailed:
    """A write was not applied, or its outcome is unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fenced:
    """The store refused a transaction because the row has another epoch than this entry's."""


@dataclasses.dataclass(frozen=True, slots=True)
class Resign:
    """Release the lease, so that another entry need not wait for it to expire."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A timer fired."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRow:
    """Read the row."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRow:
    """Write the row, conditional on ``version``."""

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
        When the current version of the row was first read, on the monotonic clock, in seconds.
    contact_at : float
        When the last applied renewal was sent.
    acquired_at : float
        When the write that acquired the lease was sent.
    pending, pending_at : WriteRow or None, float
        The write with an unknown outcome, and when it was first sent.
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
    """Return the initial state of an entry, before it has read the row.

    Parameters
    ----------
    locality : str
        Where the entry is relative to the data centre: ``data_centre``, ``region`` or ``other``.
    """
    return State(entry_id, incarnation, PREFERENCE_DELAY_SECONDS[locality])


def mode(state: State, now: float) -> Mode:
    """Return the authority of the entry at ``now``.

    It depends on the time, so callers evaluate it at the moment of each decision.
    """
    if not state.held or now - state.contact_at >= RENEW_ONLY_LIMIT_SECONDS:
        return Mode.FOLLOWING
    if now - state.contact_at >= LEASE_DURATION_SECONDS or state.resigning:
        return Mode.RENEW_ONLY
    return Mode.HOLDING


def acts_as_planner(state: State, now: float) -> bool:
    """Return whether the entry performs actions for the data centre that need no fencing.

    It does so while it holds the lease, and when the lease has been vacant long enough for the
    entry to acquire it.
    """
    return mode(state, now) is Mode.HOLDING or (not state.held and _is_vacant(state, now))


def holder(state: State) -> str:
    """Return the last known holder of the lease, or ``""`` if there is none."""
    return state.row.holder if state.row else ""


def step(state: State, event: Event, now: float) -> list[Effect]:
    """Apply an event and return the reads and writes to perform."""
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
        # Resending an equal write keeps the time of the first one, which may be the one applied.
        state.pending, state.pending_at = write, now
    return [write]


def _is_vacant(state: State, now: float) -> bool:
    """Return whether this entry may acquire the lease, given its locality delay."""
    if state.resigning or state.version < 0:
        return False
    wait = state.delay_seconds
    if state.row is not None and state.row.holder:
        wait += LEASE_DURATION_SECONDS * CLOCK_DRIFT_FACTOR
    return now - state.seen_at >= wait


def _try_acquire(state: State, now: float) -> list[Effect]:
    # At most one write per renewal interval, whatever its outcome.
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
        # The answer to the pending write was lost, but the row shows that the write was applied.
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
