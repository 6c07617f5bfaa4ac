"""An HTTP server of a process: a uvicorn server on a socket that the task owns."""

from __future__ import annotations

import contextlib
import dataclasses
import typing

import uvicorn

from peridothatch_wire import task

if typing.TYPE_CHECKING:
    import socket

IDLE_TIMEOUT_SECONDS = 30
"""Time after which an idle connection of a client is closed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """A running server."""

    server: uvicorn.Server
    serving: task.Task


async def start(name: str, listener: socket.socket, application: typing.Any) -> Server:
    """Serve an application on a listening socket, which the server then owns."""
    config = uvicorn.Config(
        application,
        http="httptools",
        loop="asyncio",
        lifespan="off",
        ws="none",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        timeout_keep_alive=IDLE_TIMEOUT_SECONDS,
        timeout_graceful_shutdown=2,
    )
    server = uvicorn.Server(config)
    # The process has its own signal handlers.
    server.capture_signals = contextlib.nullcontext  # type: ignore[method-assign]
    return Server(server, task.start(name, server.serve(sockets=[listener])))


async def close(server: Server) -> None:
    """Answer the requests in flight, then stop listening."""
    server.server.should_exit = True
    await task.join(server.serving)
