"""Tasks with explicit start and close, and periodic timers."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import typing

from peridothatch_wire import mailbox

logger = logging.getLogger(__name__)

Body = typing.Coroutine[typing.Any, typing.Any, None]


class Task:
    """A running task."""

    __slots__ = ("_name", "_task")

    def __init__(self, name: str, task: asyncio.Task[None]) -> None:
        self._name = name
        self._task = task

    @property
    def name(self) -> str:
        """Name used in logs."""
        return self._name

    @property
    def running(self) -> bool:
        """Whether the task is still running."""
        return not self._task.done()


def start(name: str, body: Body, on_failure: typing.Callable[[], None] | None = None) -> Task:
    """Start ``body`` as a task; call ``on_failure`` if it raises an exception."""
    started = asyncio.create_task(body, name=name)

    def ended(done: asyncio.Task[None]) -> None:
        if done.cancelled() or done.exception() is None:
            return
        logger.error("task %s failed", name, exc_info=done.exception())
        if on_failure is not None:
            on_failure()

    started.add_done_callback(ended)
    return Task(name, started)


async def close(task: Task) -> None:
    """Cancel the task and wait until it has ended."""
    task._task.cancel()
    with contextlib.suppress(asyncio.CancelledError, Exception):
        await task._task


async def join(task: Task) -> None:
    """Wait until the task has ended, without cancelling it."""
    await asyncio.wait([task._task])


async def wait_any(tasks: typing.Iterable[Task]) -> None:
    """Wait until at least one of the tasks has ended."""
    await asyncio.wait([item._task for item in tasks], return_when=asyncio.FIRST_COMPLETED)


def failure(task: Task) -> BaseException | None:
    """Return the exception raised by the task; ``None`` if it raised none or is running."""
    if not task._task.done() or task._task.cancelled():
        return None
    return task._task.exception()


async def post_periodically(
    period_seconds: float, target: mailbox.Mailbox, message: typing.Any
) -> None:
    """Post ``message`` once per period; it is dropped if the mailbox is full."""
    while True:
        mailbox.post(target, message)
        await asyncio.sleep(period_seconds)
