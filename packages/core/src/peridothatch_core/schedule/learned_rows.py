"""Which learned rows a leader writes, and what it takes over from an earlier leader.

Handles the loss of a leader: run times and speeds are known to the next one, except for the runs
since the last write. The rows are written seldom, in one small transaction at a time.
"""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.commit import limits
from peridothatch_core.message import rows
from peridothatch_core.model import learned, tables
from peridothatch_core.order import expectations

if typing.TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from peridothatch_core.schedule import learned as learned_state
    from peridothatch_core.schedule import writes

WRITE_INTERVAL_MS = 10_000
"""Interval between two writes; a takeover loses the runs of about this time."""

MAX_UNSAVED_RUNS = 500
"""Number of runs after which the rows are written before the interval has passed."""

MIN_WRITE_INTERVAL_MS = 2_000
"""Least interval between two writes, whatever the number of runs."""

MAX_WRITE_ROWS = 64
"""Maximum number of rows in one write; the store allows 100 entries in a transaction."""

MAX_WRITE_BYTES = 16_000
"""Maximum size of one write, which takes 26 ms on a link of 5 Mbit/s."""

MAX_WRITE_LATENCY_MS = 100.0
"""Duration of the leader's other writes above which no learned rows are written.

The store is then busy, and what has been learned can wait.
"""

MAX_SPEEDS = 1024
"""Maximum number of workers whose speeds are stored; those with the largest weights are."""

MIN_BIN_WEIGHT = 0.001
"""Least weight of a bin that is stored."""

SPEED_STEP = 0.05
"""Change of the logarithm of a speed that is worth a write."""

WEIGHT_RATIO = 1.5
"""Ratio of the weights of a speed that is worth a write."""


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """One transaction of learned rows, and what it saves.

    Attributes
    ----------
    series : tuple of (str, str)
        Customer and queue of the run times that are written or deleted.
    speeds : tuple of LastingSpeed
        Speeds that are written.
    deleted_keys : tuple of Key
        Rows that are deleted because they are not usable or their worker is gone.
    runs : int
        Number of runs that had ended since the previous write.
    """

    transaction: rows.Transaction
    epoch_version: int
    series: tuple[tuple[str, str], ...]
    speeds: tuple[learned.LastingSpeed, ...]
    deleted_keys: tuple[rows.Key, ...]
    runs: int


def apply_rows(
    state: learned_state.Learned,
    found: Iterable[learned.RunTimes | learned.LastingSpeed],
    odd_keys: Iterable[rows.Key],
    now_ms: int,
) -> None:
    """Take over the rows of an earlier leader; rows that are not usable will be deleted."""
    state.odd_keys.update(dict.fromkeys(odd_keys))
    for row in found:
        if isinstance(row, learned.RunTimes):
            bins = dict(row.bins)
            expectations.restore(state.history, row.customer, row.queue, bins)
            if (row.customer, row.queue) not in state.history.series:
                state.odd_keys[tables.run_times_key(row.customer, row.queue)] = None
        else:
            state.saved_speeds[row.node] = row
            state.speeds.setdefault(row.node, row)
    state.is_read = True
    state.written_ms = now_ms


def is_due(state: learned_state.Learned, now_ms: int, write_latency_ms: float) -> bool:
    """Return whether learned rows may be written now."""
    if not state.is_read or write_latency_ms > MAX_WRITE_LATENCY_MS:
        return False
    waited_ms = now_ms - state.written_ms
    if waited_ms < MIN_WRITE_INTERVAL_MS:
        return False
    return waited_ms >= WRITE_INTERVAL_MS or state.unsaved_runs >= MAX_UNSAVED_RUNS


def build_write(
    state: learned_state.Learned, epoch_version: int, now_ms: int, encode: writes.Encode
) -> Write | None:
    """Return the next write, or ``None`` if nothing has changed.

    What does not fit waits for the next interval.
    """
    state.written_ms = now_ms
    changed = {key: (key, None) for key in state.odd_keys}
    changed |= dict(_changed_speeds(state))
    changed |= dict(_changed_run_times(state))
    values: dict[rows.Key, bytes | None] = {}
    size_bytes = 0
    for key, (_, value) in changed.items():
        encoded = None if value is None else encode(value)
        size_bytes += limits.estimate_bytes(rows.Transaction((), ((key, encoded),)))
        if len(values) == MAX_WRITE_ROWS or (values and size_bytes > MAX_WRITE_BYTES):
            break
        values[key] = encoded
    if not values:
        return None
    written = [changed[key][0] for key in values]
    return _take(state, epoch_version, tuple(values.items()), written)


def record_outcome(state: learned_state.Learned, write: Write, *, committed: bool) -> None:
    """Record the outcome of a write; what may not have been written waits for the next one."""
    if committed:
        state.saved_speeds.update({speed.node: speed for speed in write.speeds})
        return
    state.unsaved_runs += write.runs
    state.history.unsaved.update(dict.fromkeys(write.series))
    state.odd_keys.update(dict.fromkeys(write.deleted_keys))


_Saved = rows.Key | learned.LastingSpeed | tuple[str, str]
"""What a row stands for: a row to delete, a speed, or the run times of a customer in a queue."""

_Change = tuple[rows.Key, tuple[_Saved, learned.RunTimes | learned.LastingSpeed | None]]


def _changed_speeds(state: learned_state.Learned) -> Iterator[_Change]:
    heaviest = sorted(state.speeds.values(), key=lambda speed: speed.weight, reverse=True)
    kept = {speed.node: speed for speed in heaviest[:MAX_SPEEDS]}
    for node in state.saved_speeds.keys() - kept.keys():
        yield tables.speed_key(node), (tables.speed_key(node), None)
    for node, speed in kept.items():
        saved = state.saved_speeds.get(node)
        if saved is None or _differs(saved, speed):
            yield tables.speed_key(node), (speed, speed)


def _differs(saved: learned.LastingSpeed, speed: learned.LastingSpeed) -> bool:
    low, high = sorted((saved.weight, speed.weight))
    return (
        saved.started_ms != speed.started_ms
        or abs(saved.log_ratio - speed.log_ratio) >= SPEED_STEP
        or high > WEIGHT_RATIO * low
    )


def _changed_run_times(state: learned_state.Learned) -> Iterator[_Change]:
    for customer, queue in state.history.unsaved:
        series = state.history.series.get((customer, queue))
        value = None
        if series is not None:
            bins = sorted(expectations.summarize(series).items())
            kept = tuple((i, round(weight, 4)) for i, weight in bins if weight >= MIN_BIN_WEIGHT)
            value = learned.RunTimes(customer, queue, kept)
        yield tables.run_times_key(customer, queue), ((customer, queue), value)


def _take(
    state: learned_state.Learned,
    epoch_version: int,
    values: tuple[tuple[rows.Key, bytes | None], ...],
    written: list[_Saved],
) -> Write:
    """Return the write of some rows, and remove them from those that wait."""
    series = tuple(item for item in written if isinstance(item, tuple))
    deleted = tuple(item for item in written if isinstance(item, rows.Key))
    for pair in series:
        del state.history.unsaved[pair]
    for key, _ in values:
        state.odd_keys.pop(key, None)
    for key in deleted:
        state.saved_speeds.pop(key.key.removeprefix(tables.SPEED_PREFIX), None)
    runs, state.unsaved_runs = state.unsaved_runs, 0
    transaction = rows.Transaction((rows.Condition(tables.EPOCH_KEY, epoch_version),), values)
    return Write(
        transaction,
        epoch_version,
        series,
        tuple(item for item in written if isinstance(item, learned.LastingSpeed)),
        deleted,
        runs,
    )
