"""The message loop that all tasks of the pipeline run."""

from __future__ import annotations

import logging
import typing

from peridothatch_wire import mailbox

logger = logging.getLogger(__name__)

Handler = typing.Callable[[typing.Any], None]


async def run(inbox: mailbox.Mailbox, handle: Handler) -> None:
    """Pass each message to ``handle``, one at a time, in order of arrival.

    ``handle`` must not block: it runs one decision and posts the effects. An exception is
    logged and the message skipped, so that one invalid message does not stop the task.
    """
    while True:
        message = await mailbox.take(inbox)
        try:
            handle(message)
        except Exception:
            logger.exception(
                "task %s: unhandled exception while processing %s",
                inbox.name,
                type(message).__name__,
            )
