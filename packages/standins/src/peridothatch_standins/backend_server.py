"""HTTP front end of the stand-in for a backend server."""

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

# A response in mode "crossed" waits this long for a concurrent request to swap with.
SWAP_TIMEOUT_SECONDS = 0.3


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
class _Query:
    """Request the description, or the deliveries when ``deliveries`` is set."""

    deliveries: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _ReleaseSlot:
    """Release the slot of a finished request."""


@dataclasses.dataclass(frozen=True, slots=True)
class _PreparedResponse:
    """Response to a request, with the id of that request."""

    request_id: str
    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _RequestSwap:
    """Swap this response with that of the next request that also asks for a swap."""

    response: _PreparedResponse


@dataclasses.dataclass(frozen=True, slots=True)
class _CancelSwap:
    """Withdraw a swap that timed out for lack of a second request."""

    response: _PreparedResponse


@dataclasses.dataclass(slots=True)
class _State:
    server: serving.Server
    pending_swap: tuple[_PreparedResponse, mailbox.Reply] | None = None


async def start(backend: serving.Server, port: int = 0) -> server.RunningServer:
    """Serve a backend server."""
    state = _State(backend)
    state_owner = owner.start("backend", lambda message, reply: _handle(state, message, reply))
    app = applications.Starlette(
        routes=_routes(state_owner, backend), exception_handlers=server.EXCEPTION_HANDLERS
    )
    return await server.start(app, port, (lambda: owner.close(state_owner),), backend.connections)


def _routes(state_owner: owner.Owner, backend: serving.Server) -> list[routing.Route]:
    async def describe(_request: requests.Request) -> responses.Response:
        return responses.JSONResponse(await owner.ask(state_owner, _Query()))

    async def deliveries(_request: requests.Request) -> responses.Response:
        return responses.JSONResponse(await owner.ask(state_owner, _Query(deliveries=True)))

    async def switch(request: requests.Request) -> responses.Response:
        body = await server.parse_body(request, SwitchesBody)
        await owner.ask(state_owner, serving.Switches(**dict(body)))
        return responses.JSONResponse(body.model_dump())

    async def serve(request: requests.Request) -> responses.Response:
        request_id = request.headers.get("x-request-id", "")
        if not request_id:
            raise server.BadRequestError("header X-Request-Id is missing")
        body = await server.parse_body(request, OperationBody)
        operation = serving.Operation(**dict(body))
        plan = await owner.ask(state_owner, operation)
        if plan is None:
            return _response(_prepare_response(request_id, 503, {"reason": "no free slot"}))
        try:
            return await _perform(
                state_owner, plan, request_id, serving.response_body(backend, operation)
            )
        finally:
            mailbox.post(state_owner.inbox, _ReleaseSlot())

    return [
        routing.Route("/v1/server", describe, methods=["GET"]),
        routing.Route("/v1/serve", serve, methods=["POST"]),
        routing.Route("/v1/deliveries", deliveries, methods=["GET"]),
        routing.Route("/switches", switch, methods=["POST"]),
    ]


async def _perform(
    state_owner: owner.Owner, plan: serving.ResponsePlan, request_id: str, body: dict[str, str]
) -> responses.Response:
    await asyncio.sleep(plan.delay_seconds)
    prepared = _prepare_response(request_id, 200, body)
    if plan.fault == "silent":
        # The connection stays open without an answer, so that the caller has to time out.
        await asyncio.sleep(600)
        return server.AbortedResponse()
    if plan.fault == "failing":
        return _response(_prepare_response(request_id, 500, {"reason": "the operation failed"}))
    if plan.fault == "truncated":
        return server.TruncatedResponse(prepared.body, headers={"X-Request-Id": request_id})
    if plan.fault == "crossed":
        try:
            prepared = await owner.ask(state_owner, _RequestSwap(prepared), SWAP_TIMEOUT_SECONDS)
        except TimeoutError:
            mailbox.post(state_owner.inbox, _CancelSwap(prepared))
    return _response(prepared)


def _handle(state: _State, message: typing.Any, reply: mailbox.Reply | None) -> None:
    if isinstance(message, serving.Operation):
        owner.answer(reply, serving.start_operation(state.server, message))
    elif isinstance(message, _ReleaseSlot):
        serving.release_slot(state.server)
    elif isinstance(message, serving.Switches):
        serving.set_switches(state.server, message)
        owner.answer(reply, None)
    elif isinstance(message, _RequestSwap) and reply is not None:
        _swap_responses(state, message.response, reply)
    elif isinstance(message, _CancelSwap):
        if state.pending_swap is not None and state.pending_swap[0] == message.response:
            state.pending_swap = None
    else:
        show = _deliveries if message.deliveries else _description
        owner.answer(reply, show(state.server))


def _swap_responses(state: _State, prepared: _PreparedResponse, reply: mailbox.Reply) -> None:
    if state.pending_swap is None:
        state.pending_swap = (prepared, reply)
        return
    other, other_reply = state.pending_swap
    state.pending_swap = None
    mailbox.answer(other_reply, prepared)
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


def _prepare_response(request_id: str, status: int, body: dict[str, str]) -> _PreparedResponse:
    return _PreparedResponse(request_id, status, json.dumps(body).encode())


def _response(prepared: _PreparedResponse) -> responses.Response:
    return responses.Response(
        prepared.body,
        status_code=prepared.status,
        headers={"X-Request-Id": prepared.request_id},
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
