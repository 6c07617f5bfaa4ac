"""Draining of tasks before a process stops."""

from __future__ import annotations

import asyncio
import logging

from peridothatch_daemon import messages
from peridothatch_wire import mailbox

logger = logging.getLogger(__name__)


async def wait(inboxes: list[mailbox.Mailbox], timeout_seconds: float) -> bool:
    """Send ``Drain`` to tasks at the same time and wait until each has finished.

    Returns
    -------
    bool
        Whether all had finished within ``timeout_seconds``; a breach of ``graceful_stop`` is
        logged otherwise.
    """
    finished = await asyncio.gather(*(_wait_for(inbox, timeout_seconds) for inbox in inboxes))
    late = [inbox.name for inbox, done in zip(inboxes, finished, strict=True) if not done]
    if late:
        logger.error("stopped before these tasks had drained: %s", ", ".join(late))
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
