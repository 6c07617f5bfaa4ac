"""One HTTP exchange with an entry, and what it means for the caller."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import json
import typing

import aiohttp

if typing.TYPE_CHECKING:
    from collections.abc import Mapping

    from peridothatch_client import settings

VERDICT_HEADER = "Peridothatch-Verdict"
RAN = "ran"
NOT_RUN = "not_run"
MAY_HAVE_RUN = "may_have_run"
CONNECT_SECONDS = 5.0


class Exit(enum.IntEnum):
    """Exit codes of the program."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    NOT_RUN = 3
    MAY_HAVE_RUN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A request to an entry.

    Attributes
    ----------
    document : object or None
        Sent as JSON when ``body`` is ``None``.
    wait_seconds : float
        How much longer than usual the answer may take.
    """

    method: str
    path: str
    query: Mapping[str, str] = dataclasses.field(default_factory=dict)
    document: typing.Any = None
    body: bytes | None = None
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    wait_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What came of a request; ``status`` is 0 when no answer came."""

    status: int
    verdict: str
    body: bytes = b""
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    detail: str = ""


def send(target: settings.Settings, ask: Ask) -> Reply:
    """Send a request and wait for its answer.

    Raises
    ------
    KeyboardInterrupt
        The user interrupted a read; an interrupted change is a reply that may have run.
    """
    try:
        return asyncio.run(_send(target, ask))
    except KeyboardInterrupt:
        if ask.method == "GET":
            raise
        return Reply(0, MAY_HAVE_RUN, detail="interrupted before the answer came")


def document(reply: Reply) -> typing.Any:
    """Return the JSON value of an answer; an empty mapping when it is not JSON."""
    try:
        return json.loads(reply.body)
    except ValueError:
        return {}


def done(reply: Reply) -> bool:
    """Return whether the entry did what was asked."""
    return reply.verdict == RAN and 200 <= reply.status < 400


def exit_code(reply: Reply) -> Exit:
    """Return the exit code for an answer."""
    if reply.verdict == NOT_RUN:
        return Exit.NOT_RUN
    if reply.verdict == MAY_HAVE_RUN:
        return Exit.MAY_HAVE_RUN
    return Exit.DONE if done(reply) else Exit.FAILED


def explanation(reply: Reply) -> str:
    """Return why a request was refused."""
    found = document(reply)
    told = found.get("detail") if isinstance(found, dict) else None
    return reply.detail or str(told or f"the entry answered with status {reply.status}")


async def _send(target: settings.Settings, ask: Ask) -> Reply:
    headers = {**ask.headers}
    if target.token:
        headers["Authorization"] = f"Bearer {target.token}"
    body = ask.body
    if body is None and ask.document is not None:
        body = json.dumps(ask.document).encode()
        headers["Content-Type"] = "application/json"
    timeout = aiohttp.ClientTimeout(
        total=target.timeout_seconds + ask.wait_seconds, sock_connect=CONNECT_SECONDS
    )
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.request(
                ask.method,
                target.address + ask.path,
                params=ask.query,
                data=body,
                headers=headers,
                allow_redirects=False,
            ) as answer:
                content = await answer.read()
                verdict = answer.headers.get(VERDICT_HEADER, _unknown(ask))
                return Reply(answer.status, verdict, content, dict(answer.headers))
    except aiohttp.InvalidURL:
        return Reply(0, NOT_RUN, detail=f"{target.address} is not the address of an entry")
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        return Reply(0, NOT_RUN, detail=f"{target.address} cannot be reached")
    except TimeoutError:
        return Reply(0, _unknown(ask), detail=f"no answer from {target.address} in time")
    except aiohttp.ClientError as error:
        # The error's own text may quote the request with its headers.
        lost = f"the connection to {target.address} was lost ({type(error).__name__})"
        return Reply(0, _unknown(ask), detail=lost)


def _unknown(ask: Ask) -> str:
    """Return the verdict without an answer: only a read is known to have done nothing."""
    return NOT_RUN if ask.method == "GET" else MAY_HAVE_RUN
