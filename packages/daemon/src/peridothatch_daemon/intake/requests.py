"""Endpoints for requests to backend servers."""

from __future__ import annotations

import dataclasses
import typing

import result

from peridothatch_core.model import request, verdict
from peridothatch_daemon import messages
from peridothatch_daemon.intake import ask, authentication, call, problem
from peridothatch_daemon.observe import actions

# The dispatch task replies at the deadline; the margin covers the delay in its mailbox.
REPLY_MARGIN_SECONDS = 1.0
MAX_KEY_LENGTH = 200
CUSTOMER_HEADER = "Peridothatch-Customer"
DEADLINE_HEADER = "Peridothatch-Deadline-Ms"
IDEMPOTENT_HEADER = "Peridothatch-Idempotent"
KEY_HEADER = "Idempotency-Key"


async def submit(
    state: call.State, received: call.Call
) -> result.Result[call.Answer, verdict.Refusal]:
    """Send a request to a backend server of the service and return its answer."""
    built = _build_request(state, received)
    if isinstance(built, result.Err):
        return built
    key = idempotency_key(received)
    if isinstance(key, result.Err):
        return key
    submitted = built.ok_value
    fields = {
        "request": submitted.id,
        "customer": submitted.customer,
        "service": submitted.service,
    }
    with actions.begin("request", **fields) as action:
        traced = dataclasses.replace(submitted, trace=actions.serialize(action))
        outcome = await ask.ask(
            state.ports.requests,
            lambda reply: messages.SubmitRequest(traced, key.ok_value, reply),
            submitted.budget_seconds + REPLY_MARGIN_SECONDS,
            verdict.Verdict.MAY_HAVE_RUN,
        )
        answer = _to_answer(outcome)
        action.add_success_fields(verdict=answer.verdict.value, status=answer.status)
    return result.Ok(with_headers(answer, {"Peridothatch-Request-Id": submitted.id}))


def _to_answer(outcome: result.Result[request.Answer, verdict.Refusal]) -> call.Answer:
    if isinstance(outcome, result.Err):
        return problem.from_refusal(outcome.err_value)
    return from_backend_answer(outcome.ok_value)


async def find(
    state: call.State, received: call.Call
) -> result.Result[call.Answer, verdict.Refusal]:
    """Return the answer of an earlier request."""
    customer = "" if received.caller.is_operator else received.caller.name
    outcome = await ask.ask(
        state.ports.requests,
        lambda reply: messages.FindRequest(received.path["id"], customer, reply),
        state.limits.reply_timeout_seconds,
        verdict.Verdict.MAY_HAVE_RUN,
    )
    return outcome.map(from_backend_answer)


def from_backend_answer(answer: request.Answer) -> call.Answer:
    """Return the backend server's answer, or a problem document when there is none."""
    if answer.verdict is verdict.Verdict.RAN and answer.status:
        return call.Answer(
            answer.status,
            answer.body,
            answer.content_type,
            headers={"Peridothatch-Request-Id": answer.request_id},
        )
    code = verdict.Code.UNAVAILABLE
    if answer.verdict is not verdict.Verdict.NOT_RUN:
        code = verdict.Code.BACKEND_FAILED
    detail = answer.detail or "no whole answer of a backend server"
    refused = problem.from_refusal(verdict.Refusal(answer.verdict, code, detail))
    return with_headers(refused, {"Peridothatch-Request-Id": answer.request_id})


def with_headers(answer: call.Answer, headers: dict[str, str]) -> call.Answer:
    """Return a copy of the answer with additional headers."""
    return call.Answer(
        answer.status,
        answer.body,
        answer.content_type,
        answer.verdict,
        {**answer.headers, **headers},
    )


def idempotency_key(received: call.Call) -> result.Result[str, verdict.Refusal]:
    """Return the idempotency key of a call, empty when there is none."""
    key = received.headers.get(KEY_HEADER.lower(), "")
    if key and not (len(key) <= MAX_KEY_LENGTH and key.isascii() and key.isprintable()):
        expected = f"at most {MAX_KEY_LENGTH} printable ASCII characters"
        return result.Err(verdict.invalid(KEY_HEADER, key, expected))
    return result.Ok(key)


def _build_request(
    state: call.State, received: call.Call
) -> result.Result[request.Request, verdict.Refusal]:
    customer = authentication.resolve_customer(
        received.caller,
        received.headers.get(CUSTOMER_HEADER.lower(), ""),
        CUSTOMER_HEADER,
        state.snapshot,
    )
    if isinstance(customer, result.Err):
        return customer
    budget = _parse_budget_seconds(received, state.limits)
    if isinstance(budget, result.Err):
        return budget
    idempotent = received.headers.get(IDEMPOTENT_HEADER.lower(), "false")
    if idempotent not in ("true", "false"):
        return result.Err(verdict.invalid(IDEMPOTENT_HEADER, idempotent, "true or false"))
    state.last_request_number += 1
    return result.Ok(
        request.Request(
            id=f"{state.id_prefix}.{state.last_request_number}",
            customer=customer.ok_value,
            service=received.path["name"],
            idempotent=idempotent == "true",
            budget_seconds=budget.ok_value,
            body=received.body,
            content_type=received.headers.get("content-type", call.JSON_CONTENT_TYPE),
        )
    )


def _parse_budget_seconds(
    received: call.Call, limits: call.Limits
) -> result.Result[float, verdict.Refusal]:
    text = received.headers.get(DEADLINE_HEADER.lower())
    if text is None:
        return result.Ok(limits.default_deadline_seconds)
    longest = int(limits.max_deadline_seconds * 1000)
    if not (text.isascii() and text.isdecimal() and len(text) < 12 and 0 < int(text) <= longest):
        expected = f"a whole number of milliseconds from 1 to {longest}"
        return result.Err(verdict.invalid(DEADLINE_HEADER, text, expected))
    return result.Ok(int(text) / 1000)


_HEADER_PARAMETERS: typing.Final = (
    call.Parameter(KEY_HEADER, "header", "Makes sending a non-idempotent request again safe."),
    call.Parameter(DEADLINE_HEADER, "header", "Time left for the answer, in milliseconds."),
    call.Parameter(IDEMPOTENT_HEADER, "header", "true when running it twice does no harm."),
    call.Parameter(CUSTOMER_HEADER, "header", "The customer; needed from operators only."),
)
ENDPOINTS: typing.Final = (
    call.Endpoint(
        "POST",
        "/v1/services/{name}/requests",
        "Send a request to a backend server of the service",
        submit,
        parameters=_HEADER_PARAMETERS,
    ),
    call.Endpoint("GET", "/v1/requests/{id}", "Fetch the answer of an earlier request", find),
)
