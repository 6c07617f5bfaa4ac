"""Stand-in for a worker VM."""

from __future__ import annotations

import asyncio
import dataclasses
import secrets
import time
import typing

import pydantic
import typer
from starlette import applications, requests, responses, routing

from peridothatch_standins import checkpoints, owner, server, tasks
from peridothatch_wire import mailbox

SLICE_PERIOD_SECONDS = 0.02
MAX_WAIT_SECONDS = 60.0


class TaskBody(server.Body):
    """Body of ``PUT /v1/tasks/ID``."""

    job: str
    run: int
    task: int
    command: list[str] = pydantic.Field(min_length=1, max_length=64)
    accelerators: list[int] = []
    lease_seconds: float = pydantic.Field(gt=0)
    not_after_monotonic_seconds: float
    checkpoint: str = ""


class LeasesBody(server.Body):
    """Body of ``POST /v1/leases``."""

    tasks: list[str]
    lease_seconds: float = pydantic.Field(gt=0)


class StopBody(server.Body):
    """Body of ``POST /v1/tasks/ID/stop``."""

    checkpoint: bool = False


class ThrottleBody(server.Body):
    """Body of ``POST /v1/tasks/ID/throttle``."""

    share: float = pydantic.Field(ge=0, le=1)


class SwitchesBody(server.Body):
    """Body of ``POST /switches``."""

    mode: typing.Literal["up", "fail_all", "paused", "vanished"]


@dataclasses.dataclass(frozen=True, slots=True)
class _Describe:
    """Ask what the worker offers."""


@dataclasses.dataclass(frozen=True, slots=True)
class _List:
    """Ask for the tasks once the sequence differs from ``after``; None asks at once."""

    after: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class _Renew:
    ids: tuple[str, ...]
    lease_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class _OnTask:
    """An operation on one known task: stop, checkpoint, throttle or forget."""

    id: str
    operation: str
    argument: typing.Any = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Advance:
    """Timer: run the next slice."""


@dataclasses.dataclass(slots=True)
class _State:
    worker: tasks.Worker
    inbox: mailbox.Mailbox
    objects: checkpoints.Handle
    mode: str = "up"
    scheduled: bool = False
    held: list[tuple[typing.Any, mailbox.Reply | None]] = dataclasses.field(default_factory=list)
    waiters: list[tuple[int, mailbox.Reply]] = dataclasses.field(default_factory=list)


Answer = tuple[int, typing.Any]
CUT: Answer = (0, None)
NOT_FOUND: Answer = (404, {"reason": "no such task"})


async def start(worker: tasks.Worker, object_store: str, port: int = 0) -> server.Running:
    """Serve a worker that keeps its checkpoints in ``object_store``."""
    inbox = mailbox.create(f"worker {worker.id}")
    objects = checkpoints.start(object_store, inbox)
    state = _State(worker, inbox, objects)
    holder = owner.start("worker", lambda message, reply: _handle(state, message, reply), inbox)

    async def close() -> None:
        await owner.close(holder)
        await checkpoints.close(objects)

    app = applications.Starlette(routes=_routes(holder), exception_handlers=server.HANDLERS)
    return await server.start(app, port, (close,))


def _routes(holder: owner.Owner) -> list[routing.Route]:
    async def describe(_request: requests.Request) -> responses.Response:
        return _response(await owner.ask(holder, _Describe()))

    async def put_task(request: requests.Request) -> responses.Response:
        body = await server.parse(request, TaskBody)
        fields = dict(body) | {
            "id": request.path_params["id"],
            "command": tuple(body.command),
            "accelerators": tuple(body.accelerators),
        }
        return _response(await owner.ask(holder, tasks.Spec(**fields)))

    async def list_tasks(request: requests.Request) -> responses.Response:
        try:
            wait = min(float(request.query_params.get("wait_seconds", 0)), MAX_WAIT_SECONDS)
            after = int(request.query_params.get("after", -1))
        except ValueError as error:
            raise server.BadRequestError(f"wait_seconds or after: {error}") from error
        if wait > 0:
            try:
                return _response(await owner.ask(holder, _List(after), wait))
            except TimeoutError:
                pass
        return _response(await owner.ask(holder, _List(None)))

    async def renew(request: requests.Request) -> responses.Response:
        body = await server.parse(request, LeasesBody)
        return _response(await owner.ask(holder, _Renew(tuple(body.tasks), body.lease_seconds)))

    async def on_task(request: requests.Request) -> responses.Response:
        operation = "forget" if request.method == "DELETE" else request.path_params["operation"]
        argument: typing.Any = None
        if operation == "stop":
            argument = (await server.parse(request, StopBody)).checkpoint
        elif operation == "throttle":
            argument = (await server.parse(request, ThrottleBody)).share
        message = _OnTask(request.path_params["id"], operation, argument)
        return _response(await owner.ask(holder, message))

    async def switch(request: requests.Request) -> responses.Response:
        return _response(await owner.ask(holder, await server.parse(request, SwitchesBody)))

    return [
        routing.Route("/v1/worker", describe, methods=["GET"]),
        routing.Route("/v1/tasks", list_tasks, methods=["GET"]),
        routing.Route("/v1/tasks/{id}", put_task, methods=["PUT"]),
        routing.Route("/v1/tasks/{id}", on_task, methods=["DELETE"]),
        routing.Route("/v1/tasks/{id}/{operation}", on_task, methods=["POST"]),
        routing.Route("/v1/leases", renew, methods=["POST"]),
        routing.Route("/switches", switch, methods=["POST"]),
    ]


def _response(answer: Answer) -> responses.Response:
    status, body = answer
    return responses.JSONResponse(body, status_code=status) if status else server.Cut()


def _handle(state: _State, message: typing.Any, reply: mailbox.Reply | None) -> None:
    if isinstance(message, SwitchesBody):
        _switch(state, message.mode)
        owner.answer(reply, (200, {"mode": state.mode}))
    elif state.mode == "paused":
        # A paused VM finds these messages when it goes on; its clock has moved meanwhile.
        state.held.append((message, reply))
    elif state.mode == "vanished":
        owner.answer(reply, CUT)
    else:
        _serve(state, message, reply)
    _notify(state)
    if not state.scheduled and state.mode != "paused" and tasks.running(state.worker):
        state.scheduled = True
        loop = asyncio.get_running_loop()
        loop.call_later(SLICE_PERIOD_SECONDS, mailbox.post, state.inbox, _Advance())


def _switch(state: _State, mode: str) -> None:
    state.mode = mode
    state.worker.fail_all = mode == "fail_all"
    if mode == "vanished":
        tasks.restart(state.worker, secrets.token_hex(8))
    held, state.held = state.held, []
    for message, reply in held:
        _handle(state, message, reply)


def _serve(state: _State, message: typing.Any, reply: mailbox.Reply | None) -> None:
    worker, now = state.worker, time.monotonic()
    if isinstance(message, _Advance):
        state.scheduled = False
        tasks.advance(worker, now, time.monotonic)
    elif isinstance(message, checkpoints.Loaded):
        tasks.loaded(worker, message.task, message.work)
    elif isinstance(message, checkpoints.Saved):
        tasks.saved(worker, message.task, message.key)
    elif isinstance(message, _List) and message.after == worker.sequence and reply is not None:
        state.waiters.append((message.after, reply))
    else:
        owner.answer(reply, _answer(state, message, now))


def _answer(state: _State, message: typing.Any, now: float) -> Answer:
    worker = state.worker
    tasks.lapse(worker, now)
    if isinstance(message, _Describe):
        return 200, _description(worker, now)
    if isinstance(message, tasks.Spec):
        reason, effects = tasks.start(worker, message, now)
        checkpoints.send(state.objects, effects)
        return (409, {"reason": reason}) if reason else (200, {"id": message.id})
    if isinstance(message, _Renew):
        return 200, {"tasks": tasks.renew(worker, message.ids, message.lease_seconds, now)}
    if isinstance(message, _OnTask):
        return _on_task(state, message)
    return 200, _listing(worker, now)


def _on_task(state: _State, message: _OnTask) -> Answer:
    if message.id not in state.worker.tasks:
        return NOT_FOUND
    if message.operation == "stop":
        checkpoints.send(state.objects, tasks.stop(state.worker, message.id, message.argument))
    elif message.operation == "checkpoint":
        checkpoints.send(state.objects, tasks.checkpoint(state.worker, message.id))
    elif message.operation == "throttle":
        tasks.throttle(state.worker, message.id, message.argument)
    elif message.operation != "forget":
        return 404, {"reason": "no such operation"}
    elif not tasks.forget(state.worker, message.id):
        return 409, {"reason": "the task runs"}
    return 200, {"id": message.id}


def _notify(state: _State) -> None:
    due = [reply for after, reply in state.waiters if after != state.worker.sequence]
    if due:
        state.waiters = [item for item in state.waiters if item[0] == state.worker.sequence]
        listing = _listing(state.worker, time.monotonic())
        for reply in due:
            mailbox.answer(reply, (200, listing))


def _description(worker: tasks.Worker, now: float) -> dict[str, typing.Any]:
    return {
        "id": worker.id,
        "incarnation": worker.incarnation,
        "accelerators": worker.accelerators,
        "cores": worker.cores,
        "memory_mb": worker.memory_mb,
        "monotonic_seconds": now,
    }


def _listing(worker: tasks.Worker, now: float) -> dict[str, typing.Any]:
    listed = [
        {
            "id": task.spec.id,
            "job": task.spec.job,
            "run": task.spec.run,
            "task": task.spec.task,
            "state": task.state,
            "lease_remaining_seconds": max(0.0, task.lease_until - now),
            "progress": task.progress,
            "result": task.result,
            "detail": task.detail,
            "checkpoint": task.checkpoint,
            "accelerators": list(task.spec.accelerators),
            "command": list(task.spec.command),
        }
        for task in worker.tasks.values()
    ]
    incarnation = worker.incarnation
    return {"tasks": listed, "sequence": worker.sequence, "incarnation": incarnation}


def main(
    id: str = typer.Option(...),  # noqa: A002
    object_store_url: str = typer.Option(..., "--object-store"),
    port: int = 0,
    accelerators: int = 8,
    cores: int = 64,
    memory_mb: int = 262144,
) -> None:
    """Serve a worker on 127.0.0.1."""
    worker = tasks.Worker(id, secrets.token_hex(8), accelerators, cores, memory_mb)
    server.run(lambda: start(worker, object_store_url, port))


if __name__ == "__main__":
    typer.run(main)
