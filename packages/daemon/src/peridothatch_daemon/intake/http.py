"""The task that owns the HTTP server."""

from __future__ import annotations

import contextlib
import dataclasses
import logging
import resource
import socket
import typing

import uvicorn

from peridothatch_core.connect import limits as connect_limits
from peridothatch_core.connect import pool
from peridothatch_daemon import messages
from peridothatch_daemon.intake import call, limits, protocol, routes
from peridothatch_wire import mailbox, task

logger = logging.getLogger(__name__)

BACKLOG = 512

BODY_MARGIN_SECONDS = 5.0
"""Time for the refusal of a late body to reach the caller before the connection closes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Listening address of the server, and the ids of the process.

    Attributes
    ----------
    port : int
        0 lets the system choose a port, which ``Server.port`` holds.
    certificate_path, key_path : str
        PEM files for TLS; without them the server speaks plain HTTP.
    """

    host: str
    port: int
    entry_id: str
    incarnation: str
    limits: call.Limits = dataclasses.field(default_factory=call.Limits)
    certificate_path: str = ""
    key_path: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """A running HTTP server.

    Attributes
    ----------
    inbox : Mailbox
        Takes ``ConfigChanged`` and ``Drain``.
    server_task : Task
        Runs uvicorn.
    control_task : Task
        Handles the messages of ``inbox``.
    """

    inbox: mailbox.Mailbox
    port: int
    drain_timeout_seconds: float
    uvicorn_server: uvicorn.Server
    server_task: task.Task
    control_task: task.Task


async def start(
    settings: Settings,
    ports: call.Ports,
    on_failure: typing.Callable[[], None] | None = None,
    inbox: mailbox.Mailbox | None = None,
) -> Server:
    """Bind the listener and start the server.

    Parameters
    ----------
    on_failure : callable or None
        Called when one of the tasks raises an exception.
    inbox : Mailbox or None
        Mailbox of the control task, if other tasks were given it beforehand.

    Raises
    ------
    OSError
        The address cannot be bound.
    """
    state = call.State(f"{settings.entry_id}.{settings.incarnation}", settings.limits, ports)
    listener = socket.create_server(
        (settings.host, settings.port), backlog=BACKLOG, reuse_port=False
    )
    server = uvicorn.Server(_server_config(settings, state))
    # The process handles signals itself, so that its tasks are closed in order.
    server.capture_signals = contextlib.nullcontext  # type: ignore[method-assign]
    inbox = inbox or mailbox.create("http")
    return Server(
        inbox,
        listener.getsockname()[1],
        settings.limits.drain_timeout_seconds,
        server,
        task.start("http server", server.serve(sockets=[listener]), on_failure),
        task.start("http", _run(inbox, state), on_failure),
    )


async def close(server: Server) -> None:
    """Finish the requests in progress, then stop; further calls have no effect."""
    if not server.control_task.running:
        return
    reply = mailbox.Reply()
    if mailbox.post(server.inbox, messages.Drain(reply)):
        with contextlib.suppress(TimeoutError):
            await mailbox.wait(reply, server.drain_timeout_seconds)
    server.uvicorn_server.should_exit = True
    await task.join(server.server_task)
    await task.close(server.control_task)


async def _run(inbox: mailbox.Mailbox, state: call.State) -> None:
    while True:
        message = await mailbox.take(inbox)
        match message:
            case messages.ConfigChanged(snapshot):
                state.snapshot = snapshot
            case messages.ConfigConfirmed():
                pass
            case messages.Drain(reply):
                state.draining = True
                # Without this, long polls would delay the shutdown by their remaining wait time.
                mailbox.post(state.ports.jobs, messages.EndLongPolls())
                state.drain_replies.append(reply)
                limits.answer_drain_replies(state)
            case _:
                logger.error(
                    "the http task cannot handle messages of type %s", type(message).__name__
                )


def _create_listener(bounds: call.Limits) -> protocol.Listener:
    """Return the limits of the connections, within the descriptors that the process may open."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    budget = connect_limits.derive_budget(bounds.max_memory_bytes, descriptors, 1)
    # Without a first byte a connection ends like one whose head is incomplete.
    of_one = connect_limits.Limits(
        head_bytes=bounds.max_header_bytes,
        head_seconds=bounds.header_timeout_seconds,
        first_byte_seconds=bounds.header_timeout_seconds,
        body_seconds=bounds.body_timeout_seconds + BODY_MARGIN_SECONDS,
        linger_seconds=bounds.linger_timeout_seconds,
        unread_seconds=bounds.send_timeout_seconds,
    )

    def report(reason: connect_limits.Reason, listener: str, address: str, detail: str) -> None:
        logger.debug("%s: closed connection of %s: %s %s", listener, address, reason, detail)

    return protocol.Listener("http", of_one, pool.Pool(budget), protocol.encode_problem, report)


def _server_config(settings: Settings, state: call.State) -> uvicorn.Config:
    return uvicorn.Config(
        routes.create_application(state),
        http=protocol.create_protocol(_create_listener(state.limits)),
        ssl_certfile=settings.certificate_path or None,
        ssl_keyfile=settings.key_path or None,
        log_config=None,
        access_log=False,
        lifespan="off",
        ws="none",
        server_header=False,
        proxy_headers=False,
        timeout_graceful_shutdown=int(state.limits.send_timeout_seconds),
    )
