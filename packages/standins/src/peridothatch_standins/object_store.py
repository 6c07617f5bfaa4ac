"""Stand-in for the object store."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

import pydantic
import typer
from starlette import applications, requests, responses, routing

from peridothatch_standins import owner, server

if typing.TYPE_CHECKING:
    from peridothatch_wire import mailbox


class SwitchesBody(server.Body):
    """Body of ``POST /switches``."""

    mode: typing.Literal["up", "down", "slow"]
    delay_ms: int = pydantic.Field(0, ge=0, le=600_000)


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Store an object."""

    key: str
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Get:
    """Return an object, or None."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """Delete an object; an absent one is no error."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class List:
    """Return the keys with a prefix, in order."""

    prefix: str


@dataclasses.dataclass(slots=True)
class Objects:
    """Objects by key, and the mode."""

    objects: dict[str, bytes] = dataclasses.field(default_factory=dict)
    mode: str = "up"
    delay_ms: int = 0


def step(state: Objects, message: Put | Get | Delete | List) -> typing.Any:
    """Serve one operation."""
    if isinstance(message, Put):
        state.objects[message.key] = message.data
        return None
    if isinstance(message, Get):
        return state.objects.get(message.key)
    if isinstance(message, Delete):
        state.objects.pop(message.key, None)
        return None
    return sorted(key for key in state.objects if key.startswith(message.prefix))


async def start(port: int = 0) -> server.Running:
    """Serve an empty object store."""
    state = Objects()
    holder = owner.start("objects", lambda message, reply: _handle(state, message, reply))

    async def one(request: requests.Request) -> responses.Response:
        key = request.path_params["key"]
        if request.method == "PUT":
            message: typing.Any = Put(key, await server.body(request))
        else:
            message = Delete(key) if request.method == "DELETE" else Get(key)
        return await _deliver(holder, message, _object_response)

    async def many(request: requests.Request) -> responses.Response:
        message = List(request.query_params.get("prefix", ""))
        return await _deliver(holder, message, lambda keys: responses.JSONResponse({"keys": keys}))

    async def switch(request: requests.Request) -> responses.Response:
        body = await server.parse(request, SwitchesBody)
        await owner.ask(holder, body)
        return responses.JSONResponse(body.model_dump())

    routes = [
        routing.Route("/v1/objects", many, methods=["GET"]),
        routing.Route("/v1/objects/{key:path}", one, methods=["PUT", "GET", "DELETE"]),
        routing.Route("/switches", switch, methods=["POST"]),
    ]
    app = applications.Starlette(routes=routes, exception_handlers=server.HANDLERS)
    return await server.start(app, port, (lambda: owner.close(holder),))


def _handle(state: Objects, message: typing.Any, reply: mailbox.Reply | None) -> None:
    if isinstance(message, SwitchesBody):
        state.mode, state.delay_ms = message.mode, message.delay_ms
        owner.answer(reply, None)
    elif state.mode == "down":
        owner.answer(reply, (False, None, 0.0))
    else:
        delay = state.delay_ms / 1000 if state.mode == "slow" else 0.0
        owner.answer(reply, (True, step(state, message), delay))


async def _deliver(
    holder: owner.Owner,
    message: Put | Get | Delete | List,
    encode: typing.Callable[[typing.Any], responses.Response],
) -> responses.Response:
    served, outcome, delay_seconds = await owner.ask(holder, message)
    if not served:
        return server.Cut()
    await asyncio.sleep(delay_seconds)
    if isinstance(message, Get) and outcome is None:
        return responses.JSONResponse({"reason": "no such object"}, status_code=404)
    return encode(outcome)


def _object_response(data: bytes | None) -> responses.Response:
    if data is None:
        return responses.Response(status_code=204)
    return responses.Response(data, media_type="application/octet-stream")


def main(port: int = 0) -> None:
    """Serve an object store on 127.0.0.1."""
    server.run(lambda: start(port))


if __name__ == "__main__":
    typer.run(main)
