"""HTTP client of the local worker: the tasks that share the session."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import time
import typing

import aiohttp
import pydantic

from peridothatch_core.model import worker
from peridothatch_core.start import member_state
from peridothatch_daemon import messages
from peridothatch_wire import mailbox, task

logger = logging.getLogger(__name__)

TASK_LEASE_SECONDS = 20.0
LONG_POLL_SECONDS = 2.0
REQUEST_TIMEOUT_SECONDS = 5.0
RETRY_DELAY_SECONDS = 0.5


class WorkerBody(pydantic.BaseModel):
    """Body of ``GET /v1/worker``."""

    model_config = pydantic.ConfigDict(extra="ignore")

    id: str
    incarnation: str
    accelerators: int = pydantic.Field(ge=0)
    cores: int = pydantic.Field(ge=0)
    memory_mb: int = pydantic.Field(ge=0)


class TaskBody(pydantic.BaseModel):
    """A task in the body of ``GET /v1/tasks``."""

    model_config = pydantic.ConfigDict(extra="ignore")

    id: str
    job: str
    run: int
    task: int
    state: typing.Literal["running", "succeeded", "failed", "stopped"]
    lease_remaining_seconds: float = 0.0
    result: str | None = None
    detail: str | None = None
    checkpoint: str | None = None
    accelerators: tuple[int, ...] = ()


class TasksBody(pydantic.BaseModel):
    """Body of ``GET /v1/tasks``."""

    model_config = pydantic.ConfigDict(extra="ignore")

    tasks: tuple[TaskBody, ...]
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Address and location of the worker."""

    url: str
    worker_id: str
    data_centre: str
    rack: str


@dataclasses.dataclass(frozen=True, slots=True)
class Client:
    """The running tasks and their session; send effects to ``inbox``."""

    inbox: mailbox.Mailbox
    session: aiohttp.ClientSession
    tasks: tuple[task.Task, ...]


def start(
    settings: Settings,
    members_inbox: mailbox.Mailbox,
    clock: typing.Callable[[], float] = time.monotonic,
) -> Client:
    """Start the tasks; needs a running event loop.

    Parameters
    ----------
    members_inbox : Mailbox
        Takes ``member_state.WorkerListed`` and ``member_state.StartRefused``.
    clock : callable
        The monotonic clock that the agent shares with the worker.
    """
    inbox = mailbox.create("worker client")
    session = aiohttp.ClientSession(
        settings.url, timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
    )
    return Client(
        inbox,
        session,
        (
            task.start("worker calls", _execute_effects(inbox, session, members_inbox, clock)),
            task.start(
                "worker listings", _report_listings(settings, session, members_inbox, clock)
            ),
        ),
    )


async def close(client: Client) -> None:
    """Stop the tasks and close the session."""
    for item in client.tasks:
        await task.close(item)
    await client.session.close()


def task_id(job: str, run: int, index: int) -> str:
    """Return the id under which the worker lists a task."""
    return f"{job}.{run}.{index}"


async def _execute_effects(
    inbox: mailbox.Mailbox,
    session: aiohttp.ClientSession,
    members_inbox: mailbox.Mailbox,
    clock: typing.Callable[[], float],
) -> None:
    """Carry out the effects of the members task batch by batch; renewals are sent together."""
    while True:
        batch = [await mailbox.take(inbox), *mailbox.take_available(inbox, 255)]
        renewals = [item for item in batch if isinstance(item, member_state.RenewTask)]
        calls = [
            _execute(session, members_inbox, item, clock)
            for item in batch
            if not isinstance(item, member_state.RenewTask | messages.DumpState)
        ]
        # Calls of a batch run concurrently. Calls for the same task either come in separate
        # batches or may run in any order, since a stop is repeated until the task has ended.
        await asyncio.gather(*calls, _renew_leases(session, renewals, clock))


async def _execute(
    session: aiohttp.ClientSession,
    members_inbox: mailbox.Mailbox,
    effect: member_state.Effect,
    clock: typing.Callable[[], float],
) -> None:
    try:
        match effect:
            case member_state.StartTask():
                await _start_task(session, members_inbox, effect, clock)
            case member_state.StopTask():
                path = f"/v1/tasks/{task_id(effect.job, effect.run, effect.task)}/stop"
                await _post(session, path, {"checkpoint": effect.checkpoint})
            case member_state.CheckpointTask():
                path = f"/v1/tasks/{task_id(effect.job, effect.run, effect.task)}/checkpoint"
                await _post(session, path, {})
            case member_state.ForgetTask():
                path = f"/v1/tasks/{task_id(effect.job, effect.run, effect.task)}"
                async with session.delete(path):
                    pass
    except (aiohttp.ClientError, TimeoutError) as error:
        # The next listing of the worker's tasks shows whether the call took effect.
        logger.warning("worker call %s failed: %s", type(effect).__name__, error)


async def _post(session: aiohttp.ClientSession, path: str, body: dict[str, typing.Any]) -> None:
    async with session.post(path, json=body) as response:
        if response.status >= 400 and response.status != 404:
            logger.warning("worker answered POST %s with status %d", path, response.status)


async def _start_task(
    session: aiohttp.ClientSession,
    members_inbox: mailbox.Mailbox,
    effect: member_state.StartTask,
    clock: typing.Callable[[], float],
) -> None:
    lease = _lease_seconds(effect.lease_until, clock())
    body = {
        "job": effect.job,
        "run": effect.run,
        "task": effect.cell.task,
        "command": list(effect.command),
        "accelerators": list(effect.cell.accelerators),
        "lease_seconds": lease,
        "not_after_monotonic_seconds": effect.not_after,
        "checkpoint": effect.checkpoint,
    }
    path = f"/v1/tasks/{task_id(effect.job, effect.run, effect.cell.task)}"
    # Not retried: a second attempt could be refused although the first took effect, and the start
    # would then be reported as refused.
    async with session.put(path, json=body) as response:
        if 400 <= response.status < 500:
            text = (await response.text())[:200]
            refusal = member_state.StartRefused(effect.job, effect.run, effect.cell.task, text)
            await mailbox.put(members_inbox, refusal)


async def _renew_leases(
    session: aiohttp.ClientSession,
    renewals: list[member_state.RenewTask],
    clock: typing.Callable[[], float],
) -> None:
    """Renew task leases; a task lease never outlasts the lease of its gang."""
    now = clock()
    full = [item for item in renewals if item.lease_until - now >= TASK_LEASE_SECONDS]
    partial = [item for item in renewals if 0 < item.lease_until - now < TASK_LEASE_SECONDS]
    groups = [([item], _lease_seconds(item.lease_until, now)) for item in partial]
    if full:
        groups.append((full, TASK_LEASE_SECONDS))
    for items, seconds in groups:
        ids = [task_id(item.job, item.run, item.task) for item in items]
        try:
            await _post(session, "/v1/leases", {"tasks": ids, "lease_seconds": seconds})
        except (aiohttp.ClientError, TimeoutError) as error:
            logger.warning("renewal of %d task leases failed: %s", len(ids), error)


def _lease_seconds(lease_until: float, now: float) -> float:
    return max(0.0, min(TASK_LEASE_SECONDS, lease_until - now))


async def _report_listings(
    settings: Settings,
    session: aiohttp.ClientSession,
    members_inbox: mailbox.Mailbox,
    clock: typing.Callable[[], float],
) -> None:
    """Post the worker's listing after each long poll, which returns early when a state changes."""
    after = -1
    while True:
        try:
            listing, after = await _fetch_listing(settings, session, after, clock)
            await mailbox.put(members_inbox, listing)
        except (aiohttp.ClientError, TimeoutError, pydantic.ValidationError) as error:
            logger.warning("listing the tasks of worker %s failed: %s", settings.worker_id, error)
            after = -1
            await asyncio.sleep(RETRY_DELAY_SECONDS)


async def _fetch_listing(
    settings: Settings,
    session: aiohttp.ClientSession,
    after: int,
    clock: typing.Callable[[], float],
) -> tuple[member_state.WorkerListed, int]:
    sent_at = clock()
    async with session.get("/v1/worker") as response:
        response.raise_for_status()
        body = WorkerBody.model_validate_json(await response.read())
    params = {} if after < 0 else {"wait_seconds": str(LONG_POLL_SECONDS), "after": str(after)}
    timeout = aiohttp.ClientTimeout(total=LONG_POLL_SECONDS + REQUEST_TIMEOUT_SECONDS)
    async with session.get("/v1/tasks", params=params, timeout=timeout) as response:
        response.raise_for_status()
        tasks = TasksBody.model_validate_json(await response.read())
    description = worker.Worker(
        settings.worker_id,
        settings.data_centre,
        settings.rack,
        body.accelerators,
        body.cores,
        body.memory_mb,
        body.incarnation,
    )
    states = tuple(_to_task_status(item) for item in tasks.tasks)
    return member_state.WorkerListed(description, states, sent_at), tasks.sequence


def _to_task_status(item: TaskBody) -> member_state.TaskStatus:
    return member_state.TaskStatus(
        item.job,
        item.run,
        item.task,
        item.state,
        item.lease_remaining_seconds,
        item.accelerators,
        item.detail or "",
        item.result or "",
        item.checkpoint or "",
    )
