"""State dump of a process, collected from its tasks."""

from __future__ import annotations

import asyncio
import typing

from peridothatch_daemon import messages
from peridothatch_wire import mailbox

TASK_TIMEOUT_SECONDS = 2.0


async def collect(
    identity: dict[str, typing.Any], tasks: dict[str, mailbox.Mailbox]
) -> dict[str, typing.Any]:
    """Ask each task for its state.

    Parameters
    ----------
    identity : dict
        Describes the process, such as by its id.
    tasks : dict
        Mailboxes by task name.

    Returns
    -------
    dict
        Plain JSON types; a task that does not answer in time is marked unavailable, with the
        length of its queue.
    """
    states = await asyncio.gather(*(_request_state(inbox) for inbox in tasks.values()))
    return {"process": identity, "tasks": dict(zip(tasks, states, strict=True))}


async def _request_state(inbox: mailbox.Mailbox) -> typing.Any:
    reply = mailbox.Reply()
    if not mailbox.post(inbox, messages.DumpState(reply)):
        return {"unavailable": "mailbox is full", "queued": inbox.depth}
    try:
        return await mailbox.wait(reply, TASK_TIMEOUT_SECONDS)
    except TimeoutError:
        return {"unavailable": "no answer in time", "queued": inbox.depth}
