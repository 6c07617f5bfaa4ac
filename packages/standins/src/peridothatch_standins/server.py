"""Serving a stand-in over HTTP, as a program or inside a test."""

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
    """Base of all request bodies; unknown fields are errors."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class BadRequestError(Exception):
    """A request that cannot be served; the caller gets status 400 and the reason."""


@dataclasses.dataclass(slots=True)
class Running:
    """A stand-in that serves."""

    port: int
    server: uvicorn.Server
    serving: task.Task
    closers: tuple[Closer, ...]

    @property
    def url(self) -> str:
        """Base address."""
        return f"http://127.0.0.1:{self.port}"


class _Protocol(httptools_impl.HttpToolsProtocol):
    """HTTP protocol whose scope names the transport, so that a fault can cut the connection."""

    max_connections = 0

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Accept a connection; one over the limit is closed without an answer."""
        super().connection_made(transport)
        if 0 < self.max_connections < len(self.connections):
            transport.abort()

    def on_message_begin(self) -> None:
        """Start a request."""
        super().on_message_begin()
        self.scope["transport"] = self.transport  # type: ignore[typeddict-unknown-key]


async def start(
    app: applications.Starlette,
    port: int = 0,
    closers: tuple[Closer, ...] = (),
    max_connections: int = 0,
) -> Running:
    """Serve ``app`` on 127.0.0.1 and return when it accepts connections.

    Port 0 picks a free one; ``max_connections`` 0 sets no limit.
    """
    # asyncio sets TCP_NODELAY only on sockets that name their protocol; without it an answer
    # waits up to 40 ms for a delayed acknowledgement.
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    config = uvicorn.Config(
        app,
        http=type("_Limited", (_Protocol,), {"max_connections": max_connections}),
        lifespan="off",
        access_log=False,
        log_level="warning",
        timeout_graceful_shutdown=GRACEFUL_STOP_SECONDS,
    )
    listener.listen(config.backlog)
    server = uvicorn.Server(config)
    serving = task.start("serve", server.serve(sockets=[listener]))
    return Running(listener.getsockname()[1], server, serving, closers)


async def close(running: Running) -> None:
    """Finish the requests in flight and stop."""
    running.server.should_exit = True
    await task.join(running.serving)
    for closer in running.closers:
        await closer()


def run(create: typing.Callable[[], typing.Awaitable[Running]]) -> None:
    """Run a stand-in as a program until SIGTERM or SIGINT; print its address when it serves."""
    # uvicorn raises the signal again after its own graceful stop; the exit status must be 0.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: None)
    asyncio.run(_serve(create))


async def _serve(create: typing.Callable[[], typing.Awaitable[Running]]) -> None:
    running = await create()
    print(f"ready {running.url}", flush=True)
    await task.join(running.serving)
    await close(running)


async def parse(request: requests.Request, model: type[ModelT]) -> ModelT:
    """Return the validated body.

    Raises
    ------
    BadRequestError
        The body is too long or does not fit the model.
    """
    data = await body(request)
    try:
        return model.model_validate_json(data)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(part) for part in first["loc"])
        raise BadRequestError(f"{place}: {first['msg']}") from error


async def body(request: requests.Request) -> bytes:
    """Return the bytes of the body, at most ``MAX_BODY_BYTES``."""
    data = b""
    async for part in request.stream():
        data += part
        if len(data) > MAX_BODY_BYTES:
            raise BadRequestError(f"body is longer than {MAX_BODY_BYTES} bytes")
    return data


async def bad_request(_request: requests.Request, error: Exception) -> responses.Response:
    """Answer ``BadRequestError``."""
    return responses.JSONResponse({"reason": str(error)}, status_code=400)


HANDLERS: dict[typing.Any, typing.Any] = {BadRequestError: bad_request}


class Cut(responses.Response):
    """Close the connection without an answer."""

    async def __call__(
        self, scope: types.Scope, _receive: types.Receive, _send: types.Send
    ) -> None:
        """Abort the transport."""
        scope["transport"].abort()
        # The protocol notes the lost connection in the next turn of the loop; before that it
        # would answer with status 500.
        await asyncio.sleep(0)
        await asyncio.sleep(0)


class Truncated(responses.Response):
    """Announce the whole body, send half of it and close the connection."""

    async def __call__(
        self, scope: types.Scope, _receive: types.Receive, send: types.Send
    ) -> None:
        """Send the first half."""
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
