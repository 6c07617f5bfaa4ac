"""Runs HTTP applications in uvicorn servers, each on its own listening socket."""

from __future__ import annotations

import contextlib
import dataclasses
import socket
import typing

import uvicorn
from starlette import requests

from peridothatch_daemon.intake import protocol
from peridothatch_wire import task

if typing.TYPE_CHECKING:
    from peridothatch_daemon.hosted import connections

BACKLOG = 512
"""Number of connections that may wait to be accepted on each socket."""


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """A uvicorn server and the task that runs it."""

    server: uvicorn.Server
    serving: task.Task


async def start(
    name: str,
    listener: socket.socket,
    application: typing.Any,
    connected: connections.Connections,
    encode: protocol.Encode,
) -> Server:
    """Start serving an application on a listening socket, which the server takes ownership of.

    Parameters
    ----------
    connected : Connections
        Limits, budget and counters of the connections of all servers of the process.
    encode : callable
        Encodes the refusal of a request that the application does not see.
    """
    bounded = protocol.Listener(name, connected.limits, connected.pool, encode, connected.report)
    config = uvicorn.Config(
        _end_at_disconnect(application),
        http=protocol.create_protocol(bounded),
        loop="asyncio",
        lifespan="off",
        ws="none",
        log_config=None,
        access_log=False,
        server_header=False,
        date_header=False,
        proxy_headers=False,
        backlog=connected.pool.budget.accept_batch,
        timeout_graceful_shutdown=2,
    )
    # Head and body of an answer are written separately. Sockets of ``socket.create_server`` do not
    # name their protocol, so asyncio does not set this option.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    server = uvicorn.Server(config)
    # ``commands`` installs the signal handlers of the process; uvicorn must not replace them.
    server.capture_signals = contextlib.nullcontext  # type: ignore[method-assign]
    return Server(server, task.start(name, _serve(server, listener)))


async def close(server: Server) -> None:
    """Stop accepting connections and wait for the requests in progress."""
    server.server.should_exit = True
    await task.join(server.serving)


async def _serve(server: uvicorn.Server, listener: socket.socket) -> None:
    """Serve with the backlog of the listener.

    The event loop accepts as many connections at once as the backlog that it sets, so the backlog
    is raised again after the start.
    """
    start_up = server.startup

    async def start_and_raise_backlog(sockets: list[socket.socket] | None = None) -> None:
        await start_up(sockets=sockets)
        listener.listen(BACKLOG)

    server.startup = start_and_raise_backlog  # type: ignore[method-assign]
    await server.serve(sockets=[listener])


def _end_at_disconnect(application: typing.Any) -> typing.Any:
    """Return the application without the exception for a client that is gone.

    uvicorn writes a traceback for each exception, so that clients could fill the log.
    """

    async def run(scope: typing.Any, receive: typing.Any, send: typing.Any) -> None:
        with contextlib.suppress(requests.ClientDisconnect):
            await application(scope, receive, send)

    return run
