"""Feeds of the row store that an entry follows, and which task gets which rows."""

from __future__ import annotations

import typing

from peridothatch_core.model import tables
from peridothatch_daemon.hosted import agent_rows, clock, desired_feed, log, messages
from peridothatch_platform import operator, store
from peridothatch_wire import mailbox

if typing.TYPE_CHECKING:
    from peridothatch_core.message import rows
    from peridothatch_core.model import desired
    from peridothatch_platform import settings

AGENTS_POLL_INTERVAL_SECONDS = 0.25
"""Minimum interval between polls of the agents' rows. One of them changes every few milliseconds,
so the interval collects several changes into one response."""

LEADER_INTERVAL_SECONDS = 0.2
"""Interval between reads of the leadership's rows, which the leader renews every 0.35 s."""

ENTRIES_INTERVAL_SECONDS = 2.0
"""Interval between reads of the entries' rows, which change when an entry starts."""


async def follow_tables(
    machine: settings.Machine,
    reception_inbox: mailbox.Mailbox,
    scheduler_inbox: mailbox.Mailbox,
    forwarder_inbox: mailbox.Mailbox,
    grouping_inbox: mailbox.Mailbox,
) -> list[store.Feed]:
    """Follow the tables of the operator and the jobs, and the members but for the agents."""

    def decode(value: bytes) -> desired.DesiredState:
        return operator.decode_desired_state(value, log.unreadable)

    deliver_desired = desired_feed.filter_into(
        decode,
        operator.CONFIG_KEY,
        operator.evacuated_data_centre,
        (reception_inbox, scheduler_inbox, forwarder_inbox),
    )
    return [
        await store.follow(
            machine.store,
            store.OPERATOR_TABLE,
            clock.now,
            deliver_desired,
            log.feed_lost,
            log.feed_regained,
            log.unreadable,
        ),
        await store.follow(
            machine.store,
            tables.WORK_TABLE,
            clock.now,
            _deliver_to(reception_inbox, scheduler_inbox),
            _log_and_report(reception_inbox),
            log.feed_regained,
            log.unreadable,
        ),
        await _watch_members(
            machine,
            tables.LEADER_PREFIX,
            LEADER_INTERVAL_SECONDS,
            _deliver_to(scheduler_inbox, forwarder_inbox, grouping_inbox),
        ),
        await _watch_members(
            machine,
            tables.ENTRY_PREFIX,
            ENTRIES_INTERVAL_SECONDS,
            _deliver_to(forwarder_inbox),
        ),
    ]


async def _watch_members(
    machine: settings.Machine,
    prefix: str,
    interval_seconds: float,
    deliver: typing.Callable[[rows.Snapshot], None],
) -> store.Feed:
    """Read the rows of the members table with a prefix at an interval."""
    return await store.watch(
        machine.store,
        tables.MEMBERS_TABLE,
        prefix,
        clock.now,
        deliver,
        log.feed_lost,
        log.feed_regained,
        log.unreadable,
        interval_seconds,
    )


def start_agent_rows(
    machine: settings.Machine, inbox: mailbox.Mailbox, scheduler_inbox: mailbox.Mailbox
) -> agent_rows.AgentRows:
    """Start the task that follows the agents' rows for the scheduler while it leads."""

    async def open_feed(after: int) -> store.Feed:
        return await store.follow(
            machine.store,
            tables.MEMBERS_TABLE,
            clock.now,
            _deliver_to(scheduler_inbox),
            log.feed_lost,
            log.feed_regained,
            log.unreadable,
            AGENTS_POLL_INTERVAL_SECONDS,
            after,
        )

    return agent_rows.start(inbox, open_feed, store.unfollow)


def _deliver_to(
    *inboxes: mailbox.Mailbox,
) -> typing.Callable[[rows.Snapshot | rows.Changes], None]:
    def deliver(message: rows.Snapshot | rows.Changes) -> None:
        for inbox in inboxes:
            mailbox.post(inbox, message)

    return deliver


def _log_and_report(inbox: mailbox.Mailbox) -> typing.Callable[[str, str], None]:
    def on_lost(table: str, reason: str) -> None:
        log.feed_lost(table, reason)
        mailbox.post(inbox, messages.FeedFailed())

    return on_lost
