"""Task that follows the rows of the agents while its entry leads.

Answers a large fleet: each agent's row changes about once a second, and if each entry read all of
them, the traffic would grow with the product of both and fill the link between regions.
"""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_daemon.hosted import log, messages
from peridothatch_wire import mailbox, task

OpenFeed = typing.Callable[[int], typing.Awaitable[typing.Any]]
"""Starts a feed of the changes after a version of the store."""

CloseFeed = typing.Callable[[typing.Any], typing.Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class AgentRows:
    """The running task; its mailbox takes ``messages.FollowAgents``."""

    inbox: mailbox.Mailbox
    running: task.Task


def start(inbox: mailbox.Mailbox, open_feed: OpenFeed, close_feed: CloseFeed) -> AgentRows:
    """Start the task, which owns the feed."""
    return AgentRows(inbox, task.start("agent rows", _run(inbox, open_feed, close_feed)))


async def close(agent_rows: AgentRows) -> None:
    """Stop the task and its feed."""
    await task.close(agent_rows.running)


async def _run(inbox: mailbox.Mailbox, open_feed: OpenFeed, close_feed: CloseFeed) -> None:
    feed: typing.Any = None
    try:
        while True:
            match await mailbox.take(inbox):
                case messages.FollowAgents(after):
                    if feed is not None:
                        await close_feed(feed)
                    feed = None if after is None else await open_feed(after)
                    log.event("agent_rows:follow", after=after)
    finally:
        if feed is not None:
            await close_feed(feed)
