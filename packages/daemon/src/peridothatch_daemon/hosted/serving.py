"""Runs HTTP applications in uvicorn servers, each on its own listening socket."""

from __future__ import annotations

import contextlib
import dataclasses
import typing

import uvicorn

from peridothatch_wire import task

if typing.TYPE_CHECKING:
    import socket

IDLE_TIMEOUT_SECONDS = 30
"""Time after which an idle client connection is closed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """A uvicorn server and the task that runs it."""

    server: uvicorn.Server
    serving: task.Task


async def start(name: str, listener: socket.socket, application: typing.Any) -> Server:
    """Start serving an application on a listening socket, which the server takes ownership of."""
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
    # ``commands`` installs the signal handlers of the process; uvicorn must not replace them.
    server.capture_signals = contextlib.nullcontext  # type: ignore[method-assign]
    return Server(server, task.start(name, server.serve(sockets=[listener])))


async def close(server: Server) -> None:
    """Stop accepting connections and wait for the requests in progress."""
    server.server.should_exit = True
    await task.join(server.serving)
