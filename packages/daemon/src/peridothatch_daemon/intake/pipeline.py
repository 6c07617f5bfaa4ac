"""The stages that a request passes: limits, authentication, validation, decision, answer."""

from __future__ import annotations

import dataclasses
import logging
import typing

import result
import starlette.requests
import starlette.responses

from peridothatch_core.model import verdict
from peridothatch_daemon.intake import authentication, bodies, call, limits, problem

logger = logging.getLogger(__name__)

VERDICT_HEADER = "Peridothatch-Verdict"
METHODS_WITHOUT_BODY = frozenset({"GET", "DELETE"})


def serve(
    state: call.State, endpoint: call.Endpoint
) -> typing.Callable[[starlette.requests.Request], typing.Awaitable[starlette.responses.Response]]:
    """Return the starlette handler that runs the stages for ``endpoint``."""

    async def handle(request: starlette.requests.Request) -> starlette.responses.Response:
        admitted = limits.admit(state)
        if isinstance(admitted, result.Err):
            return encode(problem.from_refusal(admitted.err_value))
        try:
            answered = await _answer(state, endpoint, request)
        except starlette.requests.ClientDisconnect:
            answered = result.Err(
                verdict.not_run(verdict.Code.INVALID, "the caller closed the connection")
            )
        except Exception:
            logger.exception("%s %s failed", endpoint.method, endpoint.path)
            answered = result.Err(_internal())
        finally:
            limits.release(state)
        if isinstance(answered, result.Err):
            return encode(problem.from_refusal(answered.err_value))
        return encode(answered.ok_value)

    return handle


def encode(answer: call.Answer) -> starlette.responses.Response:
    """Return the answer for HTTP, with its verdict."""
    headers = {**answer.headers, VERDICT_HEADER: answer.verdict.value}
    headers["Content-Type"] = answer.content_type
    return starlette.responses.Response(answer.body, answer.status, headers)


async def _answer(
    state: call.State, endpoint: call.Endpoint, request: starlette.requests.Request
) -> result.Result[call.Answer, verdict.Refusal]:
    caller = authentication.identify(request.headers, state.snapshot).and_then(
        lambda found: authentication.authorize(found, endpoint.role)
    )
    if isinstance(caller, result.Err):
        return caller
    received = call.Call(
        dict(request.path_params),
        dict(request.query_params),
        dict(request.headers),
        caller.ok_value,
    )
    if endpoint.method in METHODS_WITHOUT_BODY:
        return await endpoint.serve(state, received)
    body = await limits.receive(request, state.limits)
    if isinstance(body, result.Err):
        return body
    received = dataclasses.replace(received, body=body.ok_value)
    if endpoint.document is not None:
        document = bodies.validate(endpoint.document, body.ok_value)
        if isinstance(document, result.Err):
            return document
        received = dataclasses.replace(received, document=document.ok_value)
    return await endpoint.serve(state, received)


def _internal() -> verdict.Refusal:
    return verdict.Refusal(
        verdict.Verdict.MAY_HAVE_RUN,
        verdict.Code.INTERNAL,
        "an internal error; the log of this entry has the details",
    )
