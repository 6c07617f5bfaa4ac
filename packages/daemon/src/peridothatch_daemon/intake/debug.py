"""HTTP server of an agent for its state dump and metrics."""

from __future__ import annotations

import contextlib
import socket
import typing

import uvicorn
from starlette import applications, requests, responses, routing

from peridothatch_daemon.observe import dump, metrics
from peridothatch_wire import mailbox, task


class Server:
    """A running debug server."""

    __slots__ = ("_port", "_server", "_task")

    def __init__(self, server: uvicorn.Server, port: int, running: task.Task) -> None:
        self._server = server
        self._port = port
        self._task = running

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        return self._port


def start(
    host: str,
    port: int,
    identity: dict[str, typing.Any],
    tasks: dict[str, mailbox.Mailbox],
    instruments: metrics.Metrics,
) -> Server:
    """Serve ``/debug/state`` and ``/metrics`` of a process.

    Parameters
    ----------
    identity : dict
        Describes the process in the state dump.
    tasks : dict
        Mailboxes that take ``DumpState``, by task name.
    """

    async def state(_: requests.Request) -> responses.Response:
        return responses.JSONResponse(await dump.collect(identity, tasks))

    async def text(_: requests.Request) -> responses.Response:
        body = metrics.render(instruments, await dump.collect(identity, tasks))
        return responses.Response(body, media_type=metrics.CONTENT_TYPE)

    routes = [routing.Route("/debug/state", state), routing.Route("/metrics", text)]
    application = applications.Starlette(routes=routes)
    settings = uvicorn.Config(application, lifespan="off", log_config=None, access_log=False)
    server = uvicorn.Server(settings)
    # The socket listens from here on, so that connections queue until the server accepts them.
    listener = socket.create_server((host, port))
    running = task.start("debug http", _serve(server, listener))
    return Server(server, listener.getsockname()[1], running)


async def close(server: Server) -> None:
    """Finish the requests in progress, then stop."""
    server._server.should_exit = True
    await task.join(server._task)


async def _serve(server: uvicorn.Server, listener: socket.socket) -> None:
    # The process handles signals itself, so that its tasks are closed in order.
    server.capture_signals = contextlib.nullcontext  # type: ignore[method-assign]
    await server.serve([listener])
