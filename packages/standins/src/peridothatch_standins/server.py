"""HTTP server of the stand-ins, for use as a program or within a test."""

from __future__ import annotations

import asyncio
import dataclasses
import signal
import socket
import typing

import pydantic
import uvicorn
from starlette import requests, responses
from uvicorn.protocols.http import httptools_impl

from peridothatch_wire import task

if typing.TYPE_CHECKING:
    from starlette import applications, types

MAX_BODY_BYTES = 8 * 1024 * 1024
GRACEFUL_STOP_SECONDS = 5

ModelT = typing.TypeVar("ModelT", bound=pydantic.BaseModel)
Closer = typing.Callable[[], typing.Awaitable[None]]


class Body(pydantic.BaseModel):
    """Base class of request bodies; rejects unknown fields."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class BadRequestError(Exception):
    """Invalid request, answered with status 400 and the reason."""


@dataclasses.dataclass(slots=True)
class RunningServer:
    """A running HTTP server and what to close with it."""

    port: int
    server: uvicorn.Server
    serve_task: task.Task
    closers: tuple[Closer, ...]

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return f"http://127.0.0.1:{self.port}"


class _StandinProtocol(httptools_impl.HttpToolsProtocol):
    """HTTP protocol that limits connections and puts the transport into the scope.

    Injected faults use the transport to abort the connection.
    """

    max_connections = 0

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Accept a connection, or abort it if it exceeds the limit."""
        super().connection_made(transport)
        if 0 < self.max_connections < len(self.connections):
            transport.abort()

    def on_message_begin(self) -> None:
        """Add the transport to the scope of a new request."""
        super().on_message_begin()
        self.scope["transport"] = self.transport  # type: ignore[typeddict-unknown-key]


async def start(
    app: applications.Starlette,
    port: int = 0,
    closers: tuple[Closer, ...] = (),
    max_connections: int = 0,
) -> RunningServer:
    """Serve ``app`` on 127.0.0.1 and return once the socket listens.

    Port 0 selects a free port; ``max_connections`` 0 means no limit.
    """
    # asyncio sets TCP_NODELAY only on sockets that were created with IPPROTO_TCP. Without it, an
    # answer can wait up to 40 ms for a delayed acknowledgement.
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    config = uvicorn.Config(
        app,
        http=type("_Limited", (_StandinProtocol,), {"max_connections": max_connections}),
        lifespan="off",
        access_log=False,
        log_level="warning",
        timeout_graceful_shutdown=GRACEFUL_STOP_SECONDS,
    )
    listener.listen(config.backlog)
    server = uvicorn.Server(config)
    serving = task.start("serve", server.serve(sockets=[listener]))
    return RunningServer(listener.getsockname()[1], server, serving, closers)


async def close(running: RunningServer) -> None:
    """Shut down after the requests in flight have finished, then call the closers."""
    running.server.should_exit = True
    await task.join(running.serve_task)
    for closer in running.closers:
        await closer()


def run(create: typing.Callable[[], typing.Awaitable[RunningServer]]) -> None:
    """Run a stand-in until SIGTERM or SIGINT; print its URL once it is ready."""
    # uvicorn raises the signal again after its graceful shutdown. Ignoring it there makes the
    # exit status 0.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: None)
    asyncio.run(_serve(create))


async def _serve(create: typing.Callable[[], typing.Awaitable[RunningServer]]) -> None:
    running = await create()
    print(f"ready {running.url}", flush=True)
    await task.join(running.serve_task)
    await close(running)


async def parse_body(request: requests.Request, model: type[ModelT]) -> ModelT:
    """Read and validate the body of a request.

    Raises
    ------
    BadRequestError
        The body is too long or fails validation.
    """
    data = await read_body(request)
    try:
        return model.model_validate_json(data)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(part) for part in first["loc"])
        raise BadRequestError(f"{place}: {first['msg']}") from error


async def read_body(request: requests.Request) -> bytes:
    """Read the body of a request, up to ``MAX_BODY_BYTES``.

    Raises
    ------
    BadRequestError
        The body is too long.
    """
    data = b""
    async for part in request.stream():
        data += part
        if len(data) > MAX_BODY_BYTES:
            raise BadRequestError(f"body is longer than {MAX_BODY_BYTES} bytes")
    return data


async def answer_bad_request(_request: requests.Request, error: Exception) -> responses.Response:
    """Exception handler that answers ``BadRequestError`` with status 400."""
    return responses.JSONResponse({"reason": str(error)}, status_code=400)


EXCEPTION_HANDLERS: dict[typing.Any, typing.Any] = {BadRequestError: answer_bad_request}


class AbortedResponse(responses.Response):
    """Fault that aborts the connection without an answer."""

    async def __call__(
        self, scope: types.Scope, _receive: types.Receive, _send: types.Send
    ) -> None:
        """Abort the transport."""
        scope["transport"].abort()
        # The protocol learns of the lost connection in the next iteration of the event loop. If
        # this method returned earlier, uvicorn would answer with status 500.
        await asyncio.sleep(0)
        await asyncio.sleep(0)


class TruncatedResponse(responses.Response):
    """Fault that sends the full Content-Length but only half of the body."""

    async def __call__(
        self, scope: types.Scope, _receive: types.Receive, send: types.Send
    ) -> None:
        """Send the headers and the first half of the body, then close the transport."""
        await send(
            {
                "type": "http.response.start",
                "status": self.status_code,
                "headers": self.raw_headers,
            }
        )
        half = self.body[: len(self.body) // 2]
        await send({"type": "http.response.body", "body": half, "more_body": True})
        scope["transport"].close()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
