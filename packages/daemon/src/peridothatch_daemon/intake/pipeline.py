"""The stages of a request: limits, authentication, validation, handler, response."""

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
METHODS_WITH_BODY = frozenset({"POST", "PUT"})
PUBLIC_CALLER = call.Caller("", is_operator=False)

RequestHandler = typing.Callable[
    [starlette.requests.Request], typing.Awaitable[starlette.responses.Response]
]


def create_handler(state: call.State, endpoint: call.Endpoint) -> RequestHandler:
    """Return the starlette handler that runs all stages for ``endpoint``."""

    async def handle(request: starlette.requests.Request) -> starlette.responses.Response:
        admitted = limits.admit(state)
        if isinstance(admitted, result.Err):
            return encode_response(problem.from_refusal(admitted.err_value))
        try:
            return encode_response(await _process(state, endpoint, request))
        except starlette.requests.ClientDisconnect:
            disconnected = verdict.not_run(
                verdict.Code.INVALID, "the caller closed the connection"
            )
            return encode_response(problem.from_refusal(disconnected))
        except Exception:
            logger.exception("%s %s failed", endpoint.method, endpoint.path)
            return encode_response(problem.from_refusal(_internal_error()))
        finally:
            limits.release(state)

    return handle


def encode_response(answer: call.Answer) -> starlette.responses.Response:
    """Encode an answer for HTTP, with its verdict in a header."""
    headers = {**answer.headers, VERDICT_HEADER: answer.verdict.value}
    headers["Content-Type"] = answer.content_type
    return starlette.responses.Response(answer.body, answer.status, headers)


async def _process(
    state: call.State, endpoint: call.Endpoint, request: starlette.requests.Request
) -> call.Answer:
    received = await _validate_request(state, endpoint, request)
    if isinstance(received, result.Err):
        return problem.from_refusal(received.err_value, _http_status(received.err_value))
    answered = await endpoint.serve(state, received.ok_value)
    if isinstance(answered, result.Err):
        return problem.from_refusal(answered.err_value)
    return answered.ok_value


async def _validate_request(
    state: call.State, endpoint: call.Endpoint, request: starlette.requests.Request
) -> result.Result[call.Call, verdict.Refusal]:
    """Run the stages before the endpoint's handler, which all refuse with ``not_run``."""
    checked_headers = limits.check_headers(request, state.limits)
    if isinstance(checked_headers, result.Err):
        return checked_headers
    caller = _authenticate(state, endpoint, request)
    if isinstance(caller, result.Err):
        return caller
    query = bodies.parse_query(request.query_params.multi_items(), endpoint.parameters)
    if isinstance(query, result.Err):
        return query
    received = call.Call(
        dict(request.path_params), query.ok_value, dict(request.headers), caller.ok_value
    )
    if endpoint.method not in METHODS_WITH_BODY:
        return result.Ok(received)
    body = await limits.read_body(request, state.limits)
    if isinstance(body, result.Err):
        return body
    received = dataclasses.replace(received, body=body.ok_value)
    if endpoint.document is None:
        return result.Ok(received)
    return bodies.validate(endpoint.document, body.ok_value).map(
        lambda document: dataclasses.replace(received, document=document)
    )


def _authenticate(
    state: call.State, endpoint: call.Endpoint, request: starlette.requests.Request
) -> result.Result[call.Caller, verdict.Refusal]:
    if endpoint.role is call.Role.PUBLIC:
        return result.Ok(PUBLIC_CALLER)
    return authentication.authenticate(request.headers, state.snapshot).and_then(
        lambda found: authentication.authorize(found, endpoint.role)
    )


def _http_status(refusal: verdict.Refusal) -> int:
    """Return a more specific HTTP status than that of the refusal's code, or 0."""
    if refusal.field == "headers":
        return 431
    if refusal.code is verdict.Code.DEADLINE:
        return 408
    return 0


def _internal_error() -> verdict.Refusal:
    return verdict.Refusal(
        verdict.Verdict.MAY_HAVE_RUN,
        verdict.Code.INTERNAL,
        "an internal error; the log of this entry has the details",
    )
