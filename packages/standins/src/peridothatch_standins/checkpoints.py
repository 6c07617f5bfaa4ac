"""Actor that reads and writes the checkpoints of a worker in the object store."""

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

MAX_ATTEMPTS = 5
INITIAL_BACKOFF_SECONDS = 0.1
ATTEMPT_TIMEOUT_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Loaded:
    """Result of a read; ``work`` is None if the checkpoint is absent or unreadable."""

    task: str
    work: commands.Work | None


@dataclasses.dataclass(frozen=True, slots=True)
class Saved:
    """Result of a write; ``key`` is empty if the write failed."""

    task: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class CheckpointStore:
    """Handle to the running actor: its mailbox and its task."""

    inbox: mailbox.Mailbox
    running: task.Task


def start(object_store: str, reply_to: mailbox.Mailbox) -> CheckpointStore:
    """Start the actor; it posts ``Loaded`` and ``Saved`` to ``reply_to``."""
    inbox = mailbox.create("checkpoints")
    return CheckpointStore(inbox, task.start("checkpoints", _run(object_store, inbox, reply_to)))


async def close(store: CheckpointStore) -> None:
    """Cancel the task and wait until it has ended."""
    await task.close(store.running)


def send(
    store: CheckpointStore, effects: list[tasks.LoadCheckpoint | tasks.SaveCheckpoint]
) -> None:
    """Queue reads and writes of checkpoints."""
    for effect in effects:
        mailbox.post(store.inbox, effect)


async def _run(url: str, inbox: mailbox.Mailbox, reply_to: mailbox.Mailbox) -> None:
    timeout = aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_SECONDS)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            effect = await mailbox.take(inbox)
            if isinstance(effect, tasks.LoadCheckpoint):
                data = await _request_with_retries(
                    session, "GET", _object_url(url, effect.key), None
                )
                await mailbox.put(reply_to, Loaded(effect.task, _decode(data)))
            else:
                body = json.dumps(dataclasses.asdict(effect.work)).encode()
                written = await _request_with_retries(
                    session, "PUT", _object_url(url, effect.key), body
                )
                key = effect.key if written is not None else ""
                await mailbox.put(reply_to, Saved(effect.task, key))


def _object_url(url: str, key: str) -> str:
    return f"{url}/v1/objects/{urllib.parse.quote(key)}"


async def _request_with_retries(
    session: aiohttp.ClientSession, method: str, address: str, data: bytes | None
) -> bytes | None:
    """Return the body of the response, or None on an error status or after the last attempt."""
    for attempt in range(MAX_ATTEMPTS):
        try:
            async with session.request(method, address, data=data) as response:
                body = await response.read()
                return body if response.status < 300 else None
        except (aiohttp.ClientError, TimeoutError) as error:
            logger.warning("object store request failed: %s %s: %r", method, address, error)
            await asyncio.sleep(INITIAL_BACKOFF_SECONDS * 2**attempt)
    return None


def _decode(data: bytes | None) -> commands.Work | None:
    if data is None:
        return None
    try:
        fields: dict[str, typing.Any] = json.loads(data)
        return commands.Work(float(fields["done"]), float(fields["total"]), str(fields["partial"]))
    except (ValueError, KeyError, TypeError):
        return None
