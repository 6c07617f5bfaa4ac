"""The loop that each deciding task runs."""

from __future__ import annotations

import logging
import typing

from peridothatch_wire import mailbox

logger = logging.getLogger(__name__)

Handler = typing.Callable[[typing.Any], None]


async def run(inbox: mailbox.Mailbox, handle: Handler) -> None:
    """Pass each message to ``handle``, one at a time, in order of arrival.

    ``handle`` must not wait: it runs one decision and posts its effects. A message that makes
    it raise is logged and skipped, so that one bad message does not stop the task.
    """
    while True:
        message = await mailbox.take(inbox)
        try:
            handle(message)
        except Exception:
            logger.exception("%s failed on %s", inbox.name, type(message).__name__)
