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
CONNECT_TIMEOUT_SECONDS = 5.0


class ExitCode(enum.IntEnum):
    """Exit codes of the program."""

    SUCCESS = 0
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
    extra_timeout_seconds : float
        How much longer than usual the answer may take.
    """

    method: str
    path: str
    query: Mapping[str, str] = dataclasses.field(default_factory=dict)
    document: typing.Any = None
    body: bytes | None = None
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    extra_timeout_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """What came of a request; ``status`` is 0 when no answer came."""

    status: int
    verdict: str
    body: bytes = b""
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)
    detail: str = ""


def send(target: settings.Settings, request: Ask) -> Response:
    """Send a request and wait for its response.

    Raises
    ------
    KeyboardInterrupt
        The user interrupted a read; an interrupted change is a response that may have run.
    """
    try:
        return asyncio.run(_send_async(target, request))
    except KeyboardInterrupt:
        if request.method == "GET":
            raise
        return Response(0, MAY_HAVE_RUN, detail="interrupted before the answer came")


def decode_json(response: Response) -> typing.Any:
    """Return the JSON value of an answer; an empty mapping when it is not JSON."""
    try:
        return json.loads(response.body)
    except ValueError:
        return {}


def succeeded(response: Response) -> bool:
    """Return whether the entry did what was asked."""
    return response.verdict == RAN and 200 <= response.status < 400


def exit_code(response: Response) -> ExitCode:
    """Return the exit code for a response."""
    if response.verdict == NOT_RUN:
        return ExitCode.NOT_RUN
    if response.verdict == MAY_HAVE_RUN:
        return ExitCode.MAY_HAVE_RUN
    return ExitCode.SUCCESS if succeeded(response) else ExitCode.FAILED


def error_message(response: Response) -> str:
    """Return why a request was refused."""
    parsed = decode_json(response)
    detail = parsed.get("detail") if isinstance(parsed, dict) else None
    return response.detail or str(detail or f"the entry answered with status {response.status}")


async def _send_async(target: settings.Settings, request: Ask) -> Response:
    headers = {**request.headers}
    if target.token:
        headers["Authorization"] = f"Bearer {target.token}"
    body = request.body
    if body is None and request.document is not None:
        body = json.dumps(request.document).encode()
        headers["Content-Type"] = "application/json"
    timeout = aiohttp.ClientTimeout(
        total=target.timeout_seconds + request.extra_timeout_seconds,
        sock_connect=CONNECT_TIMEOUT_SECONDS,
    )
    try:
        async with aiohttp.ClientSession(timeout=timeout) as client:
            async with client.request(
                request.method,
                target.address + request.path,
                params=request.query,
                data=body,
                headers=headers,
                allow_redirects=False,
            ) as response:
                content = await response.read()
                verdict = response.headers.get(VERDICT_HEADER, _verdict_without_response(request))
                return Response(response.status, verdict, content, dict(response.headers))
    except aiohttp.InvalidURL:
        return Response(0, NOT_RUN, detail=f"{target.address} is not the address of an entry")
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        return Response(0, NOT_RUN, detail=f"{target.address} cannot be reached")
    except TimeoutError:
        return Response(
            0,
            _verdict_without_response(request),
            detail=f"no answer from {target.address} in time",
        )
    except aiohttp.ClientError as error:
        # The error's own text may quote the request with its headers.
        detail = f"the connection to {target.address} was lost ({type(error).__name__})"
        return Response(0, _verdict_without_response(request), detail=detail)


def _verdict_without_response(request: Ask) -> str:
    """Return the verdict without an answer: only a read is known to have done nothing."""
    return NOT_RUN if request.method == "GET" else MAY_HAVE_RUN
