"""The task of a worker that owns its session to the object store."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import logging
import typing
import urllib.parse

import aiohttp

from peridothatch_standins import commands, tasks
from peridothatch_wire import mailbox, task

logger = logging.getLogger(__name__)

ATTEMPTS = 5
FIRST_DELAY_SECONDS = 0.1
ATTEMPT_TIMEOUT_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Loaded:
    """A checkpoint was read; ``work`` is None when it is absent or cannot be read."""

    task: str
    work: commands.Work | None


@dataclasses.dataclass(frozen=True, slots=True)
class Saved:
    """A checkpoint was written under ``key``; empty when it could not be written."""

    task: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Handle:
    """The running task and its mailbox."""

    inbox: mailbox.Mailbox
    running: task.Task


def start(object_store: str, reply_to: mailbox.Mailbox) -> Handle:
    """Start the task; ``Loaded`` and ``Saved`` go to ``reply_to``."""
    inbox = mailbox.create("checkpoints")
    return Handle(inbox, task.start("checkpoints", _run(object_store, inbox, reply_to)))


async def close(handle: Handle) -> None:
    """Stop the task."""
    await task.close(handle.running)


def send(handle: Handle, effects: list[tasks.Load | tasks.Save]) -> None:
    """Queue reads and writes."""
    for effect in effects:
        mailbox.post(handle.inbox, effect)


async def _run(url: str, inbox: mailbox.Mailbox, reply_to: mailbox.Mailbox) -> None:
    timeout = aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_SECONDS)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            effect = await mailbox.take(inbox)
            if isinstance(effect, tasks.Load):
                data = await _retry(session, "GET", _address(url, effect.key), None)
                await mailbox.put(reply_to, Loaded(effect.task, _decode(data)))
            else:
                body = json.dumps(dataclasses.asdict(effect.work)).encode()
                written = await _retry(session, "PUT", _address(url, effect.key), body)
                key = effect.key if written is not None else ""
                await mailbox.put(reply_to, Saved(effect.task, key))


def _address(url: str, key: str) -> str:
    return f"{url}/v1/objects/{urllib.parse.quote(key)}"


async def _retry(
    session: aiohttp.ClientSession, method: str, address: str, data: bytes | None
) -> bytes | None:
    """Return the answer's body, or None when there is none after the last attempt."""
    for attempt in range(ATTEMPTS):
        try:
            async with session.request(method, address, data=data) as response:
                body = await response.read()
                return body if response.status < 300 else None
        except (aiohttp.ClientError, TimeoutError) as error:
            logger.warning("object store: %s %s: %r", method, address, error)
            await asyncio.sleep(FIRST_DELAY_SECONDS * 2**attempt)
    return None


def _decode(data: bytes | None) -> commands.Work | None:
    if data is None:
        return None
    try:
        fields: dict[str, typing.Any] = json.loads(data)
        return commands.Work(float(fields["done"]), float(fields["total"]), str(fields["partial"]))
    except (ValueError, KeyError, TypeError):
        return None
