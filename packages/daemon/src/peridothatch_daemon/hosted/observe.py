"""HTTP application that serves the metrics and a state dump of the process."""

from __future__ import annotations

import asyncio
import typing

import orjson
from starlette import applications, requests, responses, routing

from peridothatch_daemon import messages
from peridothatch_daemon.observe import metrics
from peridothatch_wire import mailbox

DUMP_TIMEOUT_SECONDS = 1.0
"""Timeout for a task to return its state."""


def application(
    identity: dict[str, typing.Any],
    tasks: dict[str, mailbox.Mailbox],
    exported: metrics.Metrics,
    internal_routes: typing.Sequence[routing.Route] = (),
) -> applications.Starlette:
    """Return the application with ``/metrics`` and ``/debug/state``.

    Parameters
    ----------
    identity : dict
        Node, data centre and role of the process, for the state dump.
    tasks : dict
        Mailboxes by task name; each task answers ``messages.DumpState``.
    internal_routes : sequence of Route
        Further routes for other processes of the system; callers do not reach this address.
    """

    async def collect() -> dict[str, typing.Any]:
        states = await asyncio.gather(*(_dump_task(inbox) for inbox in tasks.values()))
        return {"process": identity, "tasks": dict(zip(tasks, states, strict=True))}

    async def show_metrics(_: requests.Request) -> responses.Response:
        text = metrics.render(exported, await collect())
        return responses.Response(text, media_type=metrics.CONTENT_TYPE)

    async def show_state(_: requests.Request) -> responses.Response:
        body = orjson.dumps(await collect(), default=str)
        return responses.Response(body, media_type="application/json")

    return applications.Starlette(
        routes=[
            routing.Route("/metrics", show_metrics),
            routing.Route("/debug/state", show_state),
            *internal_routes,
        ]
    )


async def _dump_task(inbox: mailbox.Mailbox) -> typing.Any:
    reply = mailbox.Reply()
    if not mailbox.post(inbox, messages.DumpState(reply)):
        return {"unavailable": "mailbox is full", "queued": inbox.depth}
    try:
        return await mailbox.wait(reply, DUMP_TIMEOUT_SECONDS)
    except TimeoutError:
        return {"unavailable": "no answer in time", "queued": inbox.depth}
