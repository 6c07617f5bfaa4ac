"""HTTP front end of the stand-in for the transactional table service."""

from __future__ import annotations

import asyncio
import dataclasses
import time
import typing

import pydantic
import typer
from starlette import applications, requests, responses, routing

from peridothatch_standins import owner, rows, server

if typing.TYPE_CHECKING:
    from peridothatch_wire import mailbox

MAX_ITEMS = 10_000


class ConditionBody(server.Body):
    """Condition of a transaction; either ``version``, or ``field`` with ``equals``."""

    key: str
    version: int | None = pydantic.Field(None, ge=0)
    field: str | None = pydantic.Field(None, min_length=1)
    equals: pydantic.StrictStr | pydantic.StrictInt | None = None

    @pydantic.model_validator(mode="after")
    def _check(self) -> ConditionBody:
        by_version = self.version is not None and self.field is None and self.equals is None
        by_field = self.version is None and self.field is not None and self.equals is not None
        if not by_version and not by_field:
            raise ValueError("expected either version, or field with equals")
        return self


class WriteBody(server.Body):
    """Write of a transaction; a null ``value`` deletes the row."""

    key: str = pydantic.Field(min_length=1, max_length=1024)
    value: dict[str, typing.Any] | None


class TransactionBody(server.Body):
    """Body of ``POST /v1/transactions``."""

    id: str = pydantic.Field(min_length=1, max_length=256)
    conditions: list[ConditionBody] = pydantic.Field([], max_length=MAX_ITEMS)
    writes: list[WriteBody] = pydantic.Field([], max_length=MAX_ITEMS)


class ReadBody(server.Body):
    """Body of ``POST /v1/reads``."""

    keys: list[str] = pydantic.Field([], max_length=MAX_ITEMS)
    prefixes: list[str] = pydantic.Field([], max_length=MAX_ITEMS)


class SwitchesBody(server.Body):
    """Body of ``POST /switches``."""

    mode: typing.Literal["up", "down", "slow", "lose_answers"]
    delay_ms: int = pydantic.Field(0, ge=0, le=600_000)
    probability: float = pydantic.Field(1.0, ge=0, le=1)
    seed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _GetSwitches:
    """Request the switches and the numbers of reads and writes."""


@dataclasses.dataclass(frozen=True, slots=True)
class _RequestResult:
    """Result of a request; ``result`` is None if it was refused before it took effect."""

    result: typing.Any
    delivery: rows.Delivery


async def start(port: int = 0) -> server.RunningServer:
    """Serve a table service whose table is empty."""
    table = rows.Table()
    state_owner = owner.start("table", lambda message, reply: _handle(table, message, reply))

    async def transactions(request: requests.Request) -> responses.Response:
        body = await server.parse_body(request, TransactionBody)
        return await _deliver_result(
            await owner.ask(state_owner, _transaction(body)), _outcome_response
        )

    async def reads(request: requests.Request) -> responses.Response:
        body = await server.parse_body(request, ReadBody)
        wanted = rows.Read(tuple(body.keys), tuple(body.prefixes))
        return await _deliver_result(await owner.ask(state_owner, wanted), _rows_response)

    async def switch(request: requests.Request) -> responses.Response:
        message: typing.Any = _GetSwitches()
        if request.method == "POST":
            message = rows.Switches(**dict(await server.parse_body(request, SwitchesBody)))
        return responses.JSONResponse(await owner.ask(state_owner, message))

    routes = [
        routing.Route("/v1/transactions", transactions, methods=["POST"]),
        routing.Route("/v1/reads", reads, methods=["POST"]),
        routing.Route("/switches", switch, methods=["GET", "POST"]),
    ]
    app = applications.Starlette(routes=routes, exception_handlers=server.EXCEPTION_HANDLERS)
    return await server.start(app, port, (lambda: owner.close(state_owner),))


def _handle(table: rows.Table, message: typing.Any, reply: mailbox.Reply | None) -> None:
    if isinstance(message, rows.Switches):
        rows.set_switches(table, message)
    if isinstance(message, rows.Switches | _GetSwitches):
        counts = {"reads": table.reads, "writes": table.writes}
        owner.answer(reply, dataclasses.asdict(table.switches) | counts)
    elif rows.is_down(table):
        owner.answer(reply, _RequestResult(None, rows.Delivery(aborted=True)))
    elif isinstance(message, rows.Transaction):
        table.writes += 1
        outcome = rows.transact(table, message, time.monotonic())
        owner.answer(reply, _RequestResult(outcome, rows.plan_delivery(table, True)))
    elif isinstance(message, rows.Read):
        table.reads += 1
        found = rows.read(table, message)
        owner.answer(reply, _RequestResult(found, rows.plan_delivery(table, False)))


async def _deliver_result(
    request_result: _RequestResult, encode: typing.Callable[[typing.Any], responses.Response]
) -> responses.Response:
    if request_result.delivery.aborted:
        return server.AbortedResponse()
    await asyncio.sleep(request_result.delivery.delay_seconds)
    return encode(request_result.result)


def _transaction(body: TransactionBody) -> rows.Transaction:
    conditions = tuple(
        rows.Condition(item.key, item.version or 0)
        if item.field is None
        else rows.Condition(item.key, field=item.field, equals=item.equals)
        for item in body.conditions
    )
    writes = tuple(rows.Write(item.key, item.value) for item in body.writes)
    return rows.Transaction(body.id, conditions, writes)


def _outcome_response(outcome: rows.Outcome) -> responses.Response:
    if outcome.applied:
        return responses.JSONResponse({"applied": True, "versions": outcome.versions})
    failed = [
        {"key": key, "row": dataclasses.asdict(row) if row else None}
        for key, row in outcome.failed.items()
    ]
    return responses.JSONResponse({"applied": False, "failed": failed}, status_code=409)


def _rows_response(found: dict[str, rows.Row]) -> responses.Response:
    body = {key: dataclasses.asdict(row) for key, row in found.items()}
    return responses.JSONResponse({"rows": body})


def main(port: int = 0) -> None:
    """Serve a table service on 127.0.0.1."""
    server.run(lambda: start(port))


if __name__ == "__main__":
    typer.run(main)
