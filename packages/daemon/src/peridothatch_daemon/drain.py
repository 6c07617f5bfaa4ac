"""Drains tasks before a process stops."""

from __future__ import annotations

import asyncio
import logging

from peridothatch_daemon import messages
from peridothatch_wire import mailbox

logger = logging.getLogger(__name__)


async def wait(inboxes: list[mailbox.Mailbox], timeout_seconds: float) -> bool:
    """Send ``Drain`` to all tasks concurrently and wait until each has finished its work.

    Returns
    -------
    bool
        Whether all tasks finished within ``timeout_seconds``. Otherwise the invariant
        ``graceful_stop`` is broken and the late tasks are logged.
    """
    finished = await asyncio.gather(*(_wait_for(inbox, timeout_seconds) for inbox in inboxes))
    late = [inbox.name for inbox, done in zip(inboxes, finished, strict=True) if not done]
    if late:
        logger.error("drain timeout: tasks still have work in flight: %s", ", ".join(late))
    return not late


async def _wait_for(inbox: mailbox.Mailbox, timeout_seconds: float) -> bool:
    reply = mailbox.Reply()
    if not mailbox.post(inbox, messages.Drain(reply)):
        return False
    try:
        await mailbox.wait(reply, timeout_seconds)
    except TimeoutError:
        return False
    return True
