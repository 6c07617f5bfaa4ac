"""Stand-in for a backend server."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import typing

import pydantic
import typer
from starlette import applications, requests, responses, routing

from peridothatch_standins import owner, server, serving
from peridothatch_wire import mailbox

# A crossed answer waits this long for a second request in flight to swap with.
CROSS_WAIT_SECONDS = 0.3


class OperationBody(server.Body):
    """Body of ``POST /v1/serve``."""

    operation: typing.Literal["echo", "notice", "slow"]
    notice: str = ""
    compound: str = ""
    text: str = ""
    delay_ms: int = pydantic.Field(0, ge=0, le=600_000)


class SwitchesBody(server.Body):
    """Body of ``POST /switches``."""

    mode: typing.Literal["up", "slow", "crossed", "truncated", "failing", "silent", "leaving"]
    delay_ms: int = pydantic.Field(0, ge=0, le=600_000)
    probability: float = pydantic.Field(1.0, ge=0, le=1)
    seed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Show:
    """Ask for the description, or for the deliveries."""

    deliveries: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Finish:
    """A request gave its slot back."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Answered:
    """The answer of one request, with the request's id."""

    request_id: str
    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _Cross:
    """Swap this answer with that of the next request that asks for the same."""

    answered: _Answered


@dataclasses.dataclass(frozen=True, slots=True)
class _Uncross:
    """No request came to swap with."""

    answered: _Answered


@dataclasses.dataclass(slots=True)
class _State:
    server: serving.Server
    crossing: tuple[_Answered, mailbox.Reply] | None = None


async def start(backend: serving.Server, port: int = 0) -> server.Running:
    """Serve a backend server."""
    state = _State(backend)
    holder = owner.start("backend", lambda message, reply: _handle(state, message, reply))
    app = applications.Starlette(
        routes=_routes(holder, backend), exception_handlers=server.HANDLERS
    )
    return await server.start(app, port, (lambda: owner.close(holder),), backend.connections)


def _routes(holder: owner.Owner, backend: serving.Server) -> list[routing.Route]:
    async def describe(_request: requests.Request) -> responses.Response:
        return responses.JSONResponse(await owner.ask(holder, _Show()))

    async def deliveries(_request: requests.Request) -> responses.Response:
        return responses.JSONResponse(await owner.ask(holder, _Show(deliveries=True)))

    async def switch(request: requests.Request) -> responses.Response:
        body = await server.parse(request, SwitchesBody)
        await owner.ask(holder, serving.Switches(**dict(body)))
        return responses.JSONResponse(body.model_dump())

    async def serve(request: requests.Request) -> responses.Response:
        request_id = request.headers.get("x-request-id", "")
        if not request_id:
            raise server.BadRequestError("header X-Request-Id is missing")
        body = await server.parse(request, OperationBody)
        operation = serving.Operation(**dict(body))
        plan = await owner.ask(holder, operation)
        if plan is None:
            return _response(_answered(request_id, 503, {"reason": "no free slot"}))
        try:
            return await _perform(holder, plan, request_id, serving.answer(backend, operation))
        finally:
            mailbox.post(holder.inbox, _Finish())

    return [
        routing.Route("/v1/server", describe, methods=["GET"]),
        routing.Route("/v1/serve", serve, methods=["POST"]),
        routing.Route("/v1/deliveries", deliveries, methods=["GET"]),
        routing.Route("/switches", switch, methods=["POST"]),
    ]


async def _perform(
    holder: owner.Owner, plan: serving.Plan, request_id: str, body: dict[str, str]
) -> responses.Response:
    await asyncio.sleep(plan.delay_seconds)
    answered = _answered(request_id, 200, body)
    if plan.fault == "silent":
        # The connection stays open until the caller gives up.
        await asyncio.sleep(600)
        return server.Cut()
    if plan.fault == "failing":
        return _response(_answered(request_id, 500, {"reason": "the operation failed"}))
    if plan.fault == "truncated":
        return server.Truncated(answered.body, headers={"X-Request-Id": request_id})
    if plan.fault == "crossed":
        try:
            answered = await owner.ask(holder, _Cross(answered), CROSS_WAIT_SECONDS)
        except TimeoutError:
            mailbox.post(holder.inbox, _Uncross(answered))
    return _response(answered)


def _handle(state: _State, message: typing.Any, reply: mailbox.Reply | None) -> None:
    if isinstance(message, serving.Operation):
        owner.answer(reply, serving.begin(state.server, message))
    elif isinstance(message, _Finish):
        serving.finish(state.server)
    elif isinstance(message, serving.Switches):
        serving.switch(state.server, message)
        owner.answer(reply, None)
    elif isinstance(message, _Cross) and reply is not None:
        _cross(state, message.answered, reply)
    elif isinstance(message, _Uncross):
        if state.crossing is not None and state.crossing[0] == message.answered:
            state.crossing = None
    else:
        show = _deliveries if message.deliveries else _description
        owner.answer(reply, show(state.server))


def _cross(state: _State, answered: _Answered, reply: mailbox.Reply) -> None:
    if state.crossing is None:
        state.crossing = (answered, reply)
        return
    other, waiting = state.crossing
    state.crossing = None
    mailbox.answer(waiting, answered)
    mailbox.answer(reply, other)


def _description(backend: serving.Server) -> dict[str, typing.Any]:
    return {
        "id": backend.id,
        "service": backend.service,
        "slots": backend.slots,
        "connections": backend.connections,
        "leaving": backend.switches.mode == "leaving",
    }


def _deliveries(backend: serving.Server) -> dict[str, typing.Any]:
    listed = [
        {"notice": notice, "compound": compound, "count": count}
        for (notice, compound), count in sorted(backend.deliveries.items())
    ]
    return {"deliveries": listed}


def _answered(request_id: str, status: int, body: dict[str, str]) -> _Answered:
    return _Answered(request_id, status, json.dumps(body).encode())


def _response(answered: _Answered) -> responses.Response:
    return responses.Response(
        answered.body,
        status_code=answered.status,
        headers={"X-Request-Id": answered.request_id},
        media_type="application/json",
    )


def main(
    id: str = typer.Option(...),  # noqa: A002
    service: str = typer.Option(...),
    port: int = 0,
    slots: int = 8,
    connections: int = 64,
) -> None:
    """Serve a backend server on 127.0.0.1."""
    backend = serving.Server(id, service, slots, connections)
    server.run(lambda: start(backend, port))


if __name__ == "__main__":
    typer.run(main)
