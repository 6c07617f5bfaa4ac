"""Endpoints for jobs."""

from __future__ import annotations

import time
import typing
import uuid

import result

from peridothatch_core.model import job, verdict
from peridothatch_daemon import messages
from peridothatch_daemon.intake import ask, authentication, call, problem, requests, schema


async def submit(
    state: call.State, received: call.Call
) -> result.Result[call.Answer, verdict.Refusal]:
    """Accept a job."""
    document = typing.cast("schema.JobSubmission", received.document)
    customer = authentication.owner(received.caller, document.customer, "customer", state.snapshot)
    if isinstance(customer, result.Err):
        return customer
    key = requests.idempotency_key(received)
    if isinstance(key, result.Err):
        return key
    submitted = _job(document, customer.ok_value)
    outcome = await ask.ask(
        state.ports.jobs,
        lambda reply: messages.SubmitJob(submitted, key.ok_value, reply),
        state.limits.reply_seconds,
        verdict.Verdict.MAY_HAVE_RUN,
    )
    return outcome.map(lambda accepted: problem.answer(job_document(accepted), 201))


async def find(
    state: call.State, received: call.Call
) -> result.Result[call.Answer, verdict.Refusal]:
    """Return a job."""
    outcome = await ask.ask(
        state.ports.jobs,
        lambda reply: messages.FindJob(
            received.path["id"], customer_filter(received.caller), reply
        ),
        state.limits.reply_seconds,
        verdict.Verdict.NOT_RUN,
    )
    return outcome.map(lambda found: problem.answer(job_document(found)))


def customer_filter(caller: call.Caller) -> str:
    """Return the customer to whom an answer is limited; empty for operators."""
    return "" if caller.operator else caller.name


def job_document(item: job.Job) -> dict[str, typing.Any]:
    """Return a job as plain JSON types."""
    return {
        "id": item.id,
        "customer": item.customer,
        "work_class": item.work_class,
        "state": item.state.value,
        "data_centre": item.data_centre,
        "shape": item.shape,
        "command": item.command,
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


def _job(document: schema.JobSubmission, customer: str) -> job.Job:
    """Return the job; the deciding task sets the data centre and when it is due."""
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


ENDPOINTS: typing.Final = (
    call.Endpoint(
        "POST",
        "/v1/jobs",
        "Submit a job",
        submit,
        document=schema.JobSubmission,
        parameters=(
            call.Parameter(requests.KEY_HEADER, "header", "Returns the first job when repeated."),
        ),
    ),
    call.Endpoint("GET", "/v1/jobs/{id}", "Show a job", find),
)
