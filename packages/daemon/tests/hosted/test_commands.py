"""The process ends with a status when one of its tasks ends."""

import asyncio
import os
import signal
import types

import pytest

from peridothatch_daemon.hosted import commands
from peridothatch_wire import task

MACHINE = types.SimpleNamespace(node="side-1", stop_seconds=0.1)


class _Role:
    """A role whose process has one task, which runs ``body``."""

    def __init__(self, body):
        self.body = body
        self.closed = False
        self.running = None

    async def start(self, _):
        self.running = task.start("feed", self.body())

    def tasks(self, _):
        return (self.running,)

    async def close(self, _):
        self.closed = True
        await task.close(self.running)


async def _fail():
    raise RuntimeError("unexpected")


async def _return():
    await asyncio.sleep(0)


async def _wait():
    await asyncio.sleep(60)


@pytest.mark.parametrize("body", [_fail, _return])
async def test_a_process_ends_with_a_status_when_a_task_ends(body):
    # The process lived on without the task, and nothing showed it.
    role = _Role(body)
    status = await asyncio.wait_for(commands._serve(MACHINE, role.start, role), 10)
    assert (status, role.closed) == (commands.EXIT_TASK_ENDED, True)


async def test_a_process_that_is_told_to_stop_ends_without_an_error():
    role = _Role(_wait)
    asyncio.get_running_loop().call_later(0.2, os.kill, os.getpid(), signal.SIGTERM)
    status = await asyncio.wait_for(commands._serve(MACHINE, role.start, role), 10)
    assert (status, role.closed) == (0, True)
