"""Builds the scheduler's state from the store: a full read after a takeover, then the feeds."""

from __future__ import annotations

import dataclasses

from peridothatch_core.message import rows
from peridothatch_core.model import storeclock, tables
from peridothatch_core.schedule import state as core_state
from peridothatch_daemon.hosted import (
    clock,
    log,
    messages,
    schedule_lease,
    schedule_rows,
    schedule_state,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Reload:
    """Read all rows again after a failed read, or after a write that the store rejects."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Read:
    """Token of the read of one table, with the number of the full read that it is a part of."""

    load: int
    table: str


def start_load(state: schedule_state.State) -> None:
    """Start reading all rows; no scheduling cycle runs until they have been read."""
    state.loading = True
    state.loads += 1
    state.load_due = False
    state.batches = []
    state.sending = False
    state.work_rows = None
    state.deferred_changes.clear()
    _read(state, tables.WORK_TABLE)


def _read(state: schedule_state.State, table: str) -> None:
    schedule_state.fetch(state, table, _Read(state.loads, table))


def handle_fetched(state: schedule_state.State, fetched: rows.Fetched) -> None:
    """Handle the rows of one table; the state is rebuilt when both tables have been read.

    An answer to an earlier full read is ignored. Its rows may be older than the last takeover.
    """
    if fetched.token.load != state.loads:
        return
    if not state.loading or not state.leadership.leading:
        state.loading = False
        return
    if fetched.rows is None:
        log.event("scheduler:load_failed", reason=fetched.reason)
        messages.post_later(state.inbox, Reload(), schedule_state.RETRY_DELAY_SECONDS)
        return
    if fetched.token.table == tables.WORK_TABLE:
        state.work_rows = fetched.rows
        state.loaded_version = fetched.version
        _read(state, tables.MEMBERS_TABLE)
        return
    schedule_lease.apply_rows(state, fetched.rows, fetched.now_ms)
    if state.leadership.leading and state.work_rows is not None:
        _rebuild_schedule(state, state.work_rows, fetched.rows)
        if not state.following:
            state.following = True
            state.schedule.agents_seen_ms = fetched.now_ms
            state.follow_agents(fetched.version)


def stop_following(state: schedule_state.State) -> None:
    """End the feed of the agents' rows when this process does not lead any longer."""
    if state.following and not state.leadership.leading:
        state.following = False
        state.follow_agents(None)


def _rebuild_schedule(
    state: schedule_state.State, work: tuple[rows.Row, ...], members: tuple[rows.Row, ...]
) -> None:
    previous = state.schedule
    fresh = core_state.State(
        state.limits,
        health=previous.health,
        failed_nodes=previous.failed_nodes,
        retry_at=previous.retry_at,
        locality_wait_since=previous.locality_wait_since,
        tickets=previous.tickets,
        speeds=previous.speeds,
        speed_tiers=previous.speed_tiers,
        learned=previous.learned,
        leaving_at_ms=previous.leaving_at_ms,
        # A new leader has not written yet; the lease row tells how slow the store is.
        write_latency_ms=max(previous.write_latency_ms, 1000.0 * state.leadership.latency.seconds),
        written_alone=previous.written_alone,
        suspended_until_ms=previous.suspended_until_ms,
        # The agents' rows are read after the work rows. An agent's row may no longer list a run
        # that has ended, while the end is not yet among the work rows.
        claimed_runs=previous.claimed_runs,
        reservations=previous.reservations,
        guaranteed_since_ms=previous.guaranteed_since_ms,
        guaranteed_begun=previous.guaranteed_begun,
        agents_seen_ms=previous.agents_seen_ms,
    )
    state.schedule = fresh
    for row in work:
        schedule_rows.apply_work_row(state.schedule, row)
    for row in members:
        schedule_rows.apply_agent_row(state.schedule, row)
    now_ms = storeclock.earliest_ms(state.clock, clock.now())
    fresh.loaded_ms = now_ms
    if state.confirmed_epoch != state.leadership.epoch:
        state.confirmed_epoch = state.leadership.epoch
        core_state.request_confirmations(state.schedule, now_ms)
    else:
        _keep_unconfirmed(previous, state.schedule)
    for table, row in state.deferred_changes:
        _apply_change(state, table, row)
    state.deferred_changes.clear()
    state.loading = False
    state.work_rows = None
    log.event(
        "scheduler:loaded",
        jobs=len(fresh.jobs),
        agents=len(fresh.agents),
        ends=len(fresh.ends),
        version=state.loaded_version,
    )


def _keep_unconfirmed(previous: core_state.State, fresh: core_state.State) -> None:
    """Keep agents unconfirmed if their rows have not changed since the previous read."""
    fresh.confirmations_requested_ms = previous.confirmations_requested_ms
    fresh.unconfirmed = {
        node
        for node in previous.unconfirmed
        if fresh.agent_versions.get(node) == previous.agent_versions.get(node)
    }


def apply_feed(state: schedule_state.State, message: rows.Snapshot | rows.Changes) -> None:
    """Apply the rows that a feed has delivered, and request a full read if that is necessary."""
    storeclock.observe(state.clock, message.now_ms, message.asked_at, message.answered_at)
    if message.table == tables.MEMBERS_TABLE and schedule_lease.apply_rows(
        state, message.rows, message.now_ms
    ):
        start_load(state)
    if not state.leadership.leading or (
        isinstance(message, rows.Snapshot) and message.prefix == tables.LEADER_PREFIX
    ):
        return
    if message.table == tables.MEMBERS_TABLE and message.now_ms:
        state.schedule.agents_seen_ms = message.now_ms
    if state.loading:
        state.deferred_changes.extend((message.table, row) for row in message.rows)
        return
    if isinstance(message, rows.Snapshot):
        state.load_due = True
        return
    for row in message.rows:
        _apply_change(state, message.table, row)


def _apply_change(state: schedule_state.State, table: str, row: rows.Row) -> None:
    if table == tables.MEMBERS_TABLE:
        schedule_rows.apply_agent_row(state.schedule, row)
        return
    job_id = schedule_rows.outdated_job(state.schedule, state.batches, row)
    if job_id is not None:
        # A write of this leader that had no answer may be applied after the full read that
        # followed it. Without its runs, their ends would be taken for obsolete and be deleted.
        state.load_due = True
        state.counters.job_rows_outdated += 1
        log.event(
            "scheduler:job_row_outdated",
            job=job_id,
            version=row.version,
            known_version=state.schedule.job_versions[job_id],
        )
    if row.value is not None and row.version > state.loaded_version:
        schedule_rows.apply_work_row(state.schedule, row)
