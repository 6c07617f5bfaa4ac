"""Limits on requests in progress, headers and bodies."""

from __future__ import annotations

import asyncio
import typing

import result

from peridothatch_core.model import verdict
from peridothatch_wire import mailbox

if typing.TYPE_CHECKING:
    import starlette.requests

    from peridothatch_daemon.intake import call


def admit(state: call.State) -> result.Result[None, verdict.Refusal]:
    """Count a request as in progress, or refuse it during a drain or at the limit."""
    if state.draining:
        state.refused += 1
        return result.Err(
            verdict.not_run(verdict.Code.UNAVAILABLE, "this entry is shutting down; use another")
        )
    if state.in_progress >= state.limits.max_requests_in_progress:
        state.refused += 1
        return result.Err(
            verdict.not_run(
                verdict.Code.OVERLOADED,
                f"{state.in_progress} requests are in progress, which is the limit",
            )
        )
    state.in_progress += 1
    state.accepted += 1
    return result.Ok(None)


def release(state: call.State) -> None:
    """Count a request as no longer in progress."""
    state.in_progress -= 1
    answer_drain_replies(state)


def answer_drain_replies(state: call.State) -> None:
    """Answer pending ``Drain`` messages if no request is in progress."""
    if state.in_progress == 0:
        for reply in state.drain_replies:
            mailbox.answer(reply, True)
        state.drain_replies.clear()


def check_headers(
    request: starlette.requests.Request, limits: call.Limits
) -> result.Result[None, verdict.Refusal]:
    """Refuse a request whose headers and target exceed the size limit in total."""
    size = sum(len(name) + len(value) for name, value in request.headers.raw)
    size += len(request.url.path) + len(request.url.query)
    if size <= limits.max_header_bytes:
        return result.Ok(None)
    return result.Err(
        verdict.Refusal(
            verdict.Verdict.NOT_RUN,
            verdict.Code.TOO_LARGE,
            f"the headers have {size} bytes; at most {limits.max_header_bytes} are accepted",
            "headers",
            f"{size} bytes",
            f"at most {limits.max_header_bytes} bytes",
        )
    )


async def read_body(
    request: starlette.requests.Request, limits: call.Limits
) -> result.Result[bytes, verdict.Refusal]:
    """Return the whole body, or refuse one that is too large or arrives too slowly."""
    declared = request.headers.get("content-length", "0")
    if declared.isdecimal() and int(declared) > limits.max_body_bytes:
        return result.Err(_too_large(declared, limits))
    parts = []
    size = 0
    try:
        async with asyncio.timeout(limits.body_timeout_seconds):
            async for part in request.stream():
                size += len(part)
                if size > limits.max_body_bytes:
                    return result.Err(_too_large(f"more than {limits.max_body_bytes}", limits))
                parts.append(part)
    except TimeoutError:
        return result.Err(
            verdict.Refusal(
                verdict.Verdict.NOT_RUN,
                verdict.Code.DEADLINE,
                f"the body did not arrive within {limits.body_timeout_seconds:g} s",
                "body",
                f"{size} bytes so far",
                f"the whole body within {limits.body_timeout_seconds:g} s",
            )
        )
    return result.Ok(b"".join(parts))


def _too_large(size: typing.Any, limits: call.Limits) -> verdict.Refusal:
    return verdict.Refusal(
        verdict.Verdict.NOT_RUN,
        verdict.Code.TOO_LARGE,
        f"the body has {size} bytes; at most {limits.max_body_bytes} are accepted",
        "body",
        f"{size} bytes",
        f"at most {limits.max_body_bytes} bytes",
    )
