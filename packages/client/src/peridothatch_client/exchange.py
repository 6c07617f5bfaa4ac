"""Send one HTTP request to an entry and map the response to a verdict and an exit code."""

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
        Body that is sent as JSON when ``body`` is ``None``.
    extra_timeout_seconds : float
        Time added to the configured timeout, for requests that the entry holds open.
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
    """The outcome of a request; ``status`` is 0 if no HTTP response was received."""

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
        The user interrupted a ``GET`` request. Any other interrupted request is reported with the
        verdict ``may_have_run`` instead.
    """
    try:
        return asyncio.run(_send_async(target, request))
    except KeyboardInterrupt:
        if request.method == "GET":
            raise
        return Response(0, MAY_HAVE_RUN, detail="interrupted before a response was received")


def decode_json(response: Response) -> typing.Any:
    """Decode the body as JSON; return an empty mapping if it is not valid JSON."""
    try:
        return json.loads(response.body)
    except ValueError:
        return {}


def succeeded(response: Response) -> bool:
    """Return whether the request ran and its status is below 400."""
    return response.verdict == RAN and 200 <= response.status < 400


def exit_code(response: Response) -> ExitCode:
    """Map the verdict and the status of a response to an exit code."""
    if response.verdict == NOT_RUN:
        return ExitCode.NOT_RUN
    if response.verdict == MAY_HAVE_RUN:
        return ExitCode.MAY_HAVE_RUN
    return ExitCode.SUCCESS if succeeded(response) else ExitCode.FAILED


def error_message(response: Response) -> str:
    """Return the reason why a request failed or was rejected."""
    parsed = decode_json(response)
    detail = parsed.get("detail") if isinstance(parsed, dict) else None
    return response.detail or str(detail or f"the entry returned status {response.status}")


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
        return Response(0, NOT_RUN, detail=f"{target.address} is not a valid address")
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        return Response(0, NOT_RUN, detail=f"{target.address} cannot be reached")
    except TimeoutError:
        return Response(
            0,
            _verdict_without_response(request),
            detail=f"timed out waiting for a response from {target.address}",
        )
    except aiohttp.ClientError as error:
        # Leave out the error's message: it may contain the request headers and thus the token.
        detail = f"the connection to {target.address} was lost ({type(error).__name__})"
        return Response(0, _verdict_without_response(request), detail=detail)


def _verdict_without_response(request: Ask) -> str:
    """Return the verdict to assume without a response: only ``GET`` has no side effects."""
    return NOT_RUN if request.method == "GET" else MAY_HAVE_RUN
