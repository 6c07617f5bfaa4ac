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
class _GetDescription:
    """Request the worker's identity, incarnation and capacity."""


@dataclasses.dataclass(frozen=True, slots=True)
class _ListTasks:
    """Long poll for the tasks until the sequence differs from ``after``; None does not wait."""

    after: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class _RenewLeases:
    ids: tuple[str, ...]
    lease_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class _TaskOperation:
    """Operation on a single task: stop, checkpoint, throttle or forget."""

    id: str
    operation: str
    argument: typing.Any = None


@dataclasses.dataclass(frozen=True, slots=True)
class _RunSlices:
    """Timer message: run the next slice of each task."""


@dataclasses.dataclass(slots=True)
class _State:
    worker: tasks.Worker
    inbox: mailbox.Mailbox
    checkpoint_store: checkpoints.CheckpointStore
    mode: str = "up"
    slice_scheduled: bool = False
    deferred: list[tuple[typing.Any, mailbox.Reply | None]] = dataclasses.field(
        default_factory=list
    )
    waiters: list[tuple[int, mailbox.Reply]] = dataclasses.field(default_factory=list)


Answer = tuple[int, typing.Any]
ABORT_CONNECTION: Answer = (0, None)
NOT_FOUND: Answer = (404, {"reason": "no such task"})


async def start(worker: tasks.Worker, object_store: str, port: int = 0) -> server.RunningServer:
    """Serve a worker that stores its checkpoints in the object store at that URL."""
    inbox = mailbox.create(f"worker {worker.id}")
    checkpoint_store = checkpoints.start(object_store, inbox)
    state = _State(worker, inbox, checkpoint_store)
    state_owner = owner.start(
        "worker", lambda message, reply: _handle(state, message, reply), inbox
    )

    async def close() -> None:
        await owner.close(state_owner)
        await checkpoints.close(checkpoint_store)

    app = applications.Starlette(
        routes=_routes(state_owner), exception_handlers=server.EXCEPTION_HANDLERS
    )
    return await server.start(app, port, (close,))


def _routes(state_owner: owner.Owner) -> list[routing.Route]:
    async def describe(_request: requests.Request) -> responses.Response:
        return _response(await owner.ask(state_owner, _GetDescription()))

    async def put_task(request: requests.Request) -> responses.Response:
        body = await server.parse_body(request, TaskBody)
        fields = dict(body) | {
            "id": request.path_params["id"],
            "command": tuple(body.command),
            "accelerators": tuple(body.accelerators),
        }
        return _response(await owner.ask(state_owner, tasks.Spec(**fields)))

    async def list_tasks(request: requests.Request) -> responses.Response:
        try:
            wait = min(float(request.query_params.get("wait_seconds", 0)), MAX_WAIT_SECONDS)
            after = int(request.query_params.get("after", -1))
        except ValueError as error:
            raise server.BadRequestError(f"wait_seconds or after: {error}") from error
        if wait > 0:
            try:
                return _response(await owner.ask(state_owner, _ListTasks(after), wait))
            except TimeoutError:
                pass
        return _response(await owner.ask(state_owner, _ListTasks(None)))

    async def renew(request: requests.Request) -> responses.Response:
        body = await server.parse_body(request, LeasesBody)
        return _response(
            await owner.ask(state_owner, _RenewLeases(tuple(body.tasks), body.lease_seconds))
        )

    async def operate_on_task(request: requests.Request) -> responses.Response:
        operation = "forget" if request.method == "DELETE" else request.path_params["operation"]
        argument: typing.Any = None
        if operation == "stop":
            argument = (await server.parse_body(request, StopBody)).checkpoint
        elif operation == "throttle":
            argument = (await server.parse_body(request, ThrottleBody)).share
        message = _TaskOperation(request.path_params["id"], operation, argument)
        return _response(await owner.ask(state_owner, message))

    async def switch(request: requests.Request) -> responses.Response:
        return _response(
            await owner.ask(state_owner, await server.parse_body(request, SwitchesBody))
        )

    return [
        routing.Route("/v1/worker", describe, methods=["GET"]),
        routing.Route("/v1/tasks", list_tasks, methods=["GET"]),
        routing.Route("/v1/tasks/{id}", put_task, methods=["PUT"]),
        routing.Route("/v1/tasks/{id}", operate_on_task, methods=["DELETE"]),
        routing.Route("/v1/tasks/{id}/{operation}", operate_on_task, methods=["POST"]),
        routing.Route("/v1/leases", renew, methods=["POST"]),
        routing.Route("/switches", switch, methods=["POST"]),
    ]


def _response(answer: Answer) -> responses.Response:
    status, body = answer
    return responses.JSONResponse(body, status_code=status) if status else server.AbortedResponse()


def _handle(state: _State, message: typing.Any, reply: mailbox.Reply | None) -> None:
    if isinstance(message, SwitchesBody):
        _set_mode(state, message.mode)
        owner.answer(reply, (200, {"mode": state.mode}))
    elif state.mode == "paused":
        # Messages queue up while the VM is paused and are handled when it resumes. The clock
        # advances during the pause, so leases may have expired by then.
        state.deferred.append((message, reply))
    elif state.mode == "vanished":
        owner.answer(reply, ABORT_CONNECTION)
    else:
        _dispatch(state, message, reply)
    _answer_waiters(state)
    if (
        not state.slice_scheduled
        and state.mode != "paused"
        and tasks.has_running_task(state.worker)
    ):
        state.slice_scheduled = True
        loop = asyncio.get_running_loop()
        loop.call_later(SLICE_PERIOD_SECONDS, mailbox.post, state.inbox, _RunSlices())


def _set_mode(state: _State, mode: str) -> None:
    state.mode = mode
    state.worker.fail_all = mode == "fail_all"
    if mode == "vanished":
        tasks.reset(state.worker, secrets.token_hex(8))
    deferred, state.deferred = state.deferred, []
    for message, reply in deferred:
        _handle(state, message, reply)


def _dispatch(state: _State, message: typing.Any, reply: mailbox.Reply | None) -> None:
    worker, now = state.worker, time.monotonic()
    if isinstance(message, _RunSlices):
        state.slice_scheduled = False
        tasks.advance(worker, now, time.monotonic)
    elif isinstance(message, checkpoints.Loaded):
        tasks.resume_from_checkpoint(worker, message.task, message.work)
    elif isinstance(message, checkpoints.Saved):
        tasks.record_saved_checkpoint(worker, message.task, message.key)
    elif (
        isinstance(message, _ListTasks) and message.after == worker.sequence and reply is not None
    ):
        state.waiters.append((message.after, reply))
    else:
        owner.answer(reply, _answer(state, message, now))


def _answer(state: _State, message: typing.Any, now: float) -> Answer:
    worker = state.worker
    tasks.stop_expired_tasks(worker, now)
    if isinstance(message, _GetDescription):
        return 200, _description(worker, now)
    if isinstance(message, tasks.Spec):
        reason, effects = tasks.start(worker, message, now)
        checkpoints.send(state.checkpoint_store, effects)
        return (409, {"reason": reason}) if reason else (200, {"id": message.id})
    if isinstance(message, _RenewLeases):
        return 200, {"tasks": tasks.renew(worker, message.ids, message.lease_seconds, now)}
    if isinstance(message, _TaskOperation):
        return _apply_task_operation(state, message)
    return 200, _listing(worker, now)


def _apply_task_operation(state: _State, message: _TaskOperation) -> Answer:
    if message.id not in state.worker.tasks:
        return NOT_FOUND
    if message.operation == "stop":
        checkpoints.send(
            state.checkpoint_store, tasks.stop(state.worker, message.id, message.argument)
        )
    elif message.operation == "checkpoint":
        checkpoints.send(state.checkpoint_store, tasks.checkpoint(state.worker, message.id))
    elif message.operation == "throttle":
        tasks.throttle(state.worker, message.id, message.argument)
    elif message.operation != "forget":
        return 404, {"reason": "no such operation"}
    elif not tasks.forget(state.worker, message.id):
        return 409, {"reason": "the task runs"}
    return 200, {"id": message.id}


def _answer_waiters(state: _State) -> None:
    replies = [reply for after, reply in state.waiters if after != state.worker.sequence]
    if replies:
        state.waiters = [item for item in state.waiters if item[0] == state.worker.sequence]
        listing = _listing(state.worker, time.monotonic())
        for reply in replies:
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
