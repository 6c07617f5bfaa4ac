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
    """Return an object, or None if there is no such object."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """Delete an object; do nothing if there is no such object."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class List:
    """Return the keys with a prefix, sorted."""

    prefix: str


@dataclasses.dataclass(slots=True)
class Store:
    """Objects by key, and the fault mode."""

    objects: dict[str, bytes] = dataclasses.field(default_factory=dict)
    mode: str = "up"
    delay_ms: int = 0


def apply_operation(state: Store, message: Put | Get | Delete | List) -> typing.Any:
    """Apply an operation and return its result."""
    if isinstance(message, Put):
        state.objects[message.key] = message.data
        return None
    if isinstance(message, Get):
        return state.objects.get(message.key)
    if isinstance(message, Delete):
        state.objects.pop(message.key, None)
        return None
    return sorted(key for key in state.objects if key.startswith(message.prefix))


async def start(port: int = 0) -> server.RunningServer:
    """Serve an empty object store."""
    state = Store()
    state_owner = owner.start("objects", lambda message, reply: _handle(state, message, reply))

    async def serve_object(request: requests.Request) -> responses.Response:
        key = request.path_params["key"]
        if request.method == "PUT":
            message: typing.Any = Put(key, await server.read_body(request))
        else:
            message = Delete(key) if request.method == "DELETE" else Get(key)
        return await _deliver_result(state_owner, message, _object_response)

    async def list_objects(request: requests.Request) -> responses.Response:
        message = List(request.query_params.get("prefix", ""))
        return await _deliver_result(
            state_owner, message, lambda keys: responses.JSONResponse({"keys": keys})
        )

    async def switch(request: requests.Request) -> responses.Response:
        body = await server.parse_body(request, SwitchesBody)
        await owner.ask(state_owner, body)
        return responses.JSONResponse(body.model_dump())

    routes = [
        routing.Route("/v1/objects", list_objects, methods=["GET"]),
        routing.Route("/v1/objects/{key:path}", serve_object, methods=["PUT", "GET", "DELETE"]),
        routing.Route("/switches", switch, methods=["POST"]),
    ]
    app = applications.Starlette(routes=routes, exception_handlers=server.EXCEPTION_HANDLERS)
    return await server.start(app, port, (lambda: owner.close(state_owner),))


def _handle(state: Store, message: typing.Any, reply: mailbox.Reply | None) -> None:
    if isinstance(message, SwitchesBody):
        state.mode, state.delay_ms = message.mode, message.delay_ms
        owner.answer(reply, None)
    elif state.mode == "down":
        owner.answer(reply, (False, None, 0.0))
    else:
        delay = state.delay_ms / 1000 if state.mode == "slow" else 0.0
        owner.answer(reply, (True, apply_operation(state, message), delay))


async def _deliver_result(
    state_owner: owner.Owner,
    message: Put | Get | Delete | List,
    encode: typing.Callable[[typing.Any], responses.Response],
) -> responses.Response:
    served, outcome, delay_seconds = await owner.ask(state_owner, message)
    if not served:
        return server.AbortedResponse()
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
