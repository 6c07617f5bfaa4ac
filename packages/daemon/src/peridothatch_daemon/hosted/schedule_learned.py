"""Reads what an earlier leader has learned after a takeover, and writes it from time to time."""

from __future__ import annotations

import dataclasses

from peridothatch_core.message import rows
from peridothatch_core.model import learned, storeclock, tables
from peridothatch_core.schedule import learned_rows
from peridothatch_daemon.hosted import clock, log, messages, records, schedule_state

RETRY_SECONDS = 1.0
"""Delay before a failed read is repeated; nothing waits for it."""

WRITE_TIMEOUT_SECONDS = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Read the learned rows in an epoch; also the token of the read."""

    epoch: int


def read_once(state: schedule_state.State) -> None:
    """Read the learned rows if that has not begun in this epoch; decisions do not wait for it."""
    epoch = state.leadership.epoch
    if state.leadership.leading and state.learned_epoch != epoch:
        state.learned_epoch = epoch
        read(state, Read(epoch))


def read(state: schedule_state.State, request: Read) -> None:
    """Read the learned rows, unless the epoch is over."""
    if state.leadership.leading and request.epoch == state.leadership.epoch:
        schedule_state.fetch(state, tables.LEARNED_TABLE, request)


def handle_fetched(state: schedule_state.State, request: Read, fetched: rows.Fetched) -> None:
    """Take over the learned rows; a row that is not usable is logged, skipped and deleted."""
    if not state.leadership.leading or request.epoch != state.leadership.epoch:
        return
    if fetched.rows is None:
        log.event("scheduler:learned_not_read", reason=fetched.reason)
        messages.post_later(state.inbox, request, RETRY_SECONDS)
        return
    found, odd_keys = _decode(fetched.rows)
    now_ms = storeclock.earliest_ms(state.clock, clock.now())
    learned_rows.apply_rows(state.schedule.learned, found, odd_keys, now_ms)
    log.event("scheduler:learned_read", rows=len(found), odd=len(odd_keys))


def _decode(
    fetched: tuple[rows.Row, ...],
) -> tuple[list[learned.RunTimes | learned.LastingSpeed], list[rows.Key]]:
    """Return the usable rows, and the keys of those that are not; other keys are left alone."""
    found: list[learned.RunTimes | learned.LastingSpeed] = []
    odd_keys = []
    for row in fetched:
        try:
            value = records.decode_row(row)
        except ValueError as error:
            log.unreadable("learned", row.key, str(error))
            odd_keys.append(rows.Key(row.table, row.key))
            continue
        if isinstance(value, learned.RunTimes | learned.LastingSpeed):
            found.append(value)
    return found, odd_keys


def write_if_idle(state: schedule_state.State, now_ms: int) -> None:
    """Write learned rows if that is due and no other write of the leader waits or is sent."""
    schedule = state.schedule
    if state.batches or state.sending or state.writing_learned:
        return
    if not state.leadership.leading or state.leadership.sent_at is not None:
        return
    if not learned_rows.is_due(schedule.learned, now_ms, schedule.write_latency_ms):
        return
    write = learned_rows.build_write(
        schedule.learned, state.leadership.epoch_version, now_ms, records.encode
    )
    if write is not None:
        state.writing_learned = True
        schedule_state.commit(state, write, write.transaction, WRITE_TIMEOUT_SECONDS)


def handle_write_outcome(
    state: schedule_state.State, write: learned_rows.Write, committed: rows.Committed
) -> None:
    """Handle the outcome of a write; one that failed is retried at the next interval."""
    state.writing_learned = False
    is_committed = committed.outcome is rows.Outcome.COMMITTED
    if not is_committed:
        log.event(
            "scheduler:learned_not_written",
            outcome=committed.outcome.name,
            reason=committed.reason,
        )
        state.counters.learned_not_written += 1
    if state.leadership.leading and write.epoch_version == state.leadership.epoch_version:
        learned_rows.record_outcome(state.schedule.learned, write, committed=is_committed)
