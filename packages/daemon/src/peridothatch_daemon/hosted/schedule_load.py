"""What the scheduler knows of the store's rows: a read after a takeover, then the feeds."""

from __future__ import annotations

import dataclasses

from peridothatch_core.message import rows
from peridothatch_core.model import storeclock, tables
from peridothatch_core.schedule import state
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
    """Read the rows again."""


def load(own: schedule_state.State) -> None:
    """Read all rows anew; decisions wait until they are there."""
    own.loading = True
    own.batches = []
    own.sending = False
    own.work = None
    own.missed.clear()
    schedule_state.fetch(own, tables.WORK_TABLE)


def fetched(own: schedule_state.State, done: rows.Fetched) -> None:
    """Take over a table that was read."""
    if not own.loading or not own.leadership.leading:
        own.loading = False
        return
    if done.rows is None:
        log.event("scheduler:load_failed", reason=done.reason)
        messages.later(own.inbox, Reload(), schedule_state.RETRY_SECONDS)
        return
    if done.token == tables.WORK_TABLE:
        own.work = done.rows
        schedule_state.fetch(own, tables.MEMBERS_TABLE)
        return
    schedule_lease.observe(own, done.rows)
    if own.leadership.leading and own.work is not None:
        _build(own, own.work, done.rows)


def _build(
    own: schedule_state.State, work: tuple[rows.Row, ...], members: tuple[rows.Row, ...]
) -> None:
    old = own.schedule
    fresh = state.State(
        own.limits,
        health=old.health,
        failed_nodes=old.failed_nodes,
        retry_at=old.retry_at,
        locality_wait_since=old.locality_wait_since,
        tickets=old.tickets,
        speeds=old.speeds,
        runtimes=old.runtimes,
        write_latency_ms=old.write_latency_ms,
        # The rows of the agents may be newer than those of the jobs, and no longer name a run
        # whose end is not among the latter.
        claimed_runs=old.claimed_runs,
    )
    own.schedule = fresh
    # The members were read later, so their versions say nothing about the work.
    own.floor = max((row.version for row in work), default=0)
    for row in work:
        schedule_rows.take_work(own.schedule, row)
    for row in members:
        schedule_rows.take_agent(own.schedule, row)
    now_ms = storeclock.earliest_ms(own.clock, clock.now())
    fresh.loaded_ms = now_ms
    if own.confirmed_epoch != own.leadership.epoch:
        own.confirmed_epoch = own.leadership.epoch
        state.request_confirmations(own.schedule, now_ms)
    else:
        _keep_unconfirmed(old, own.schedule)
    for table, row in own.missed:
        _take_change(own, table, row)
    own.missed.clear()
    own.loading = False
    own.work = None
    log.event(
        "scheduler:loaded",
        jobs=len(fresh.jobs),
        agents=len(fresh.agents),
        ends=len(fresh.ends),
        version=own.floor,
    )


def _keep_unconfirmed(old: state.State, fresh: state.State) -> None:
    """Keep waiting for the agents whose rows are still those of the read before."""
    fresh.confirmations_requested_ms = old.confirmations_requested_ms
    fresh.unconfirmed = {
        node
        for node in old.unconfirmed
        if fresh.agent_versions.get(node) == old.agent_versions.get(node)
    }


def follow(own: schedule_state.State, message: rows.Snapshot | rows.Changes) -> None:
    """Take over what a feed has brought."""
    storeclock.observe(own.clock, message.now_ms, message.asked_at, message.answered_at)
    if message.table == tables.MEMBERS_TABLE and schedule_lease.observe(own, message.rows):
        load(own)
    if not own.leadership.leading:
        return
    if own.loading:
        own.missed.extend((message.table, row) for row in message.rows)
        return
    if isinstance(message, rows.Snapshot):
        load(own)
        return
    for row in message.rows:
        _take_change(own, message.table, row)


def _take_change(own: schedule_state.State, table: str, row: rows.Row) -> None:
    if table == tables.MEMBERS_TABLE:
        schedule_rows.take_agent(own.schedule, row)
    elif row.value is not None and row.version > own.floor:
        schedule_rows.take_work(own.schedule, row)
