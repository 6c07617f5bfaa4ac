"""Endpoints for jobs."""

from __future__ import annotations

import dataclasses
import time
import typing
import uuid

import result

from peridothatch_core.model import job, verdict
from peridothatch_daemon import messages
from peridothatch_daemon.intake import ask, authentication, bodies, call, problem, requests, schema
from peridothatch_daemon.observe import actions

MAX_JOBS = 1000
DEFAULT_JOBS = 100
STATE_FILTERS = ("open", *(item.value for item in job.State))


async def submit(
    state: call.State, received: call.Call
) -> result.Result[call.Answer, verdict.Refusal]:
    """Submit a job."""
    document = typing.cast("schema.JobSubmission", received.document)
    customer = authentication.resolve_customer(
        received.caller, document.customer, "customer", state.snapshot
    )
    if isinstance(customer, result.Err):
        return customer
    key = requests.idempotency_key(received)
    if isinstance(key, result.Err):
        return key
    submitted = _build_job(document, customer.ok_value)
    fields = {"job": submitted.id, "customer": submitted.customer}
    with actions.begin("job submission", **fields) as action:
        traced = dataclasses.replace(submitted, trace=actions.serialize(action))
        outcome = await ask.ask(
            state.ports.jobs,
            lambda reply: messages.SubmitJob(traced, key.ok_value, reply),
            state.limits.reply_timeout_seconds,
            verdict.Verdict.MAY_HAVE_RUN,
        )
        action.add_success_fields(accepted=outcome.is_ok())
    return outcome.map(lambda accepted: problem.json_answer(job_document(accepted), 201))


async def find(
    state: call.State, received: call.Call
) -> result.Result[call.Answer, verdict.Refusal]:
    """Return a job; with a wait time, once it is final or has left the known state."""
    wait = bodies.parse_number(received.query, "wait_seconds", 0.0, state.limits.max_wait_seconds)
    if isinstance(wait, result.Err):
        return wait
    known_state = _parse_state(received, "known_state")
    if isinstance(known_state, result.Err):
        return known_state
    outcome = await ask.ask(
        state.ports.jobs,
        lambda reply: messages.FindJob(
            received.path["id"],
            customer_filter(received.caller),
            reply,
            wait.ok_value,
            known_state.ok_value,
        ),
        wait.ok_value + state.limits.reply_timeout_seconds,
        verdict.Verdict.NOT_RUN,
    )
    return outcome.map(
        lambda view: problem.json_answer(
            {**job_document(view.job), "age_seconds": round(view.age_seconds, 3)}
        )
    )


async def list_all(
    state: call.State, received: call.Call
) -> result.Result[call.Answer, verdict.Refusal]:
    """List the caller's jobs; operators list all jobs, or those of ``customer``."""
    state_filter = _parse_state(received, "state")
    if isinstance(state_filter, result.Err):
        return state_filter
    customer = authentication.listing_customer(received.caller, received.query.get("customer", ""))
    if isinstance(customer, result.Err):
        return customer
    limit = bodies.parse_number(received.query, "limit", DEFAULT_JOBS, MAX_JOBS)
    if isinstance(limit, result.Err):
        return limit
    outcome = await ask.ask(
        state.ports.jobs,
        lambda reply: messages.ListJobs(
            customer.ok_value, state_filter.ok_value, reply, int(limit.ok_value)
        ),
        state.limits.reply_timeout_seconds,
        verdict.Verdict.NOT_RUN,
    )
    return outcome.map(
        lambda found: problem.json_answer(
            {
                "jobs": [job_document(item) for item in found.jobs],
                "truncated": found.truncated,
                "age_seconds": round(found.age_seconds, 3),
            }
        )
    )


async def cancel(
    state: call.State, received: call.Call
) -> result.Result[call.Answer, verdict.Refusal]:
    """Request the cancellation of a job, which its planner carries out later."""
    outcome = await ask.ask(
        state.ports.jobs,
        lambda reply: messages.CancelJob(
            received.path["id"], customer_filter(received.caller), reply
        ),
        state.limits.reply_timeout_seconds,
        verdict.Verdict.MAY_HAVE_RUN,
    )
    return outcome.map(lambda cancelled: problem.json_answer(job_document(cancelled), 202))


async def explain(
    state: call.State, received: call.Call
) -> result.Result[call.Answer, verdict.Refusal]:
    """Explain why a job waits, where it runs and what was promised."""
    outcome = await ask.ask(
        state.ports.jobs,
        lambda reply: messages.ExplainJob(
            received.path["id"], customer_filter(received.caller), reply
        ),
        state.limits.reply_timeout_seconds,
        verdict.Verdict.NOT_RUN,
    )
    return outcome.map(
        lambda sentences: problem.json_answer({"job": received.path["id"], "sentences": sentences})
    )


async def promises(
    state: call.State, received: call.Call
) -> result.Result[call.Answer, verdict.Refusal]:
    """Report all promises: by whom and since when they are made, and how they are kept."""
    customer = authentication.listing_customer(received.caller, received.query.get("customer", ""))
    if isinstance(customer, result.Err):
        return customer
    outcome = await ask.ask(
        state.ports.jobs,
        lambda reply: messages.ListPromises(customer.ok_value, reply),
        state.limits.reply_timeout_seconds,
        verdict.Verdict.NOT_RUN,
    )
    return outcome.map(
        lambda view: problem.json_answer(
            {
                "classes": view.report.classes,
                "guarantees": view.report.guarantees,
                "age_seconds": round(view.age_seconds, 3),
            }
        )
    )


def customer_filter(caller: call.Caller) -> str:
    """Return the customer whose jobs the caller may see; empty for operators, who see all."""
    return "" if caller.is_operator else caller.name


def job_document(item: job.Job) -> dict[str, typing.Any]:
    """Return the JSON document of a job."""
    return {
        "id": item.id,
        "customer": item.customer,
        "work_class": item.work_class,
        "state": item.state.value,
        "data_centre": item.data_centre,
        "shape": item.shape,
        "command": item.command,
        "checkpointable": item.checkpointable,
        "expected_seconds": item.expected_seconds,
        "run": item.run,
        "cells": item.cells,
        "submitted_at": item.submitted_at,
        "due_at": item.due_at,
        "started_at": item.started_at,
        "ended_at": item.ended_at,
        "borrowed": item.borrowed,
        "failures": item.failures,
        "results": item.results,
        "detail": item.detail,
        "cancel_requested": item.cancel_requested,
    }


def _build_job(document: schema.JobSubmission, customer: str) -> job.Job:
    """Return a new job; the jobs task sets its data centre and due time."""
    return job.Job(
        id=uuid.uuid4().hex,
        customer=customer,
        work_class=document.work_class,
        shape=schema.gang_shape(document.shape),
        command=tuple(document.command),
        data_centre="",
        submitted_at=time.time(),
        due_at=0.0,
        checkpointable=document.checkpointable,
        expected_seconds=document.expected_seconds,
    )


def _parse_state(received: call.Call, name: str) -> result.Result[str, verdict.Refusal]:
    text = received.query.get(name, "")
    if text and text not in STATE_FILTERS:
        return result.Err(verdict.invalid(name, text, f"one of {', '.join(STATE_FILTERS)}"))
    return result.Ok(text)


_KEY_PARAMETERS = (
    call.Parameter(requests.KEY_HEADER, "header", "Returns the first job when repeated."),
)
_CUSTOMER_PARAMETER = call.Parameter("customer", "query", "Only this customer; for operators.")
ENDPOINTS: typing.Final = (
    call.Endpoint(
        "POST",
        "/v1/jobs",
        "Submit a job",
        submit,
        document=schema.JobSubmission,
        parameters=_KEY_PARAMETERS,
    ),
    call.Endpoint(
        "GET",
        "/v1/jobs",
        "List jobs, newest first",
        list_all,
        parameters=(
            call.Parameter("state", "query", f"One of {', '.join(STATE_FILTERS)}."),
            call.Parameter("limit", "query", f"Most jobs to list; {DEFAULT_JOBS} if absent."),
            _CUSTOMER_PARAMETER,
        ),
    ),
    call.Endpoint(
        "GET",
        "/v1/jobs/{id}",
        "Show a job",
        find,
        parameters=(
            call.Parameter("wait_seconds", "query", "Waits until the job is final."),
            call.Parameter("known_state", "query", "Waits only until another state."),
        ),
    ),
    call.Endpoint("DELETE", "/v1/jobs/{id}", "Cancel a job", cancel),
    call.Endpoint("GET", "/v1/jobs/{id}/explain", "Explain a job", explain),
    call.Endpoint(
        "GET", "/v1/promises", "Report on promises", promises, parameters=(_CUSTOMER_PARAMETER,)
    ),
)
