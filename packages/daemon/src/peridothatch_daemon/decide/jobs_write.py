"""Submission and cancellation of jobs."""

from __future__ import annotations

import dataclasses
import hashlib
import json
import typing

import result

from peridothatch_core.message import link, store
from peridothatch_core.model import job, shape, verdict
from peridothatch_core.place import choose_data_centre
from peridothatch_daemon.decide import jobs_state
from peridothatch_daemon.outlet import rows
from peridothatch_wire import mailbox

if typing.TYPE_CHECKING:
    from peridothatch_daemon import messages

KEY_PREFIX = "jobkey/"
# Each conflict means that another writer made progress, so a few attempts suffice.
MAX_CANCEL_ATTEMPTS = 5


def submit(state: jobs_state.State, request: messages.SubmitJob) -> None:
    """Accept a job and write its rows, or refuse it."""
    if state.draining:
        mailbox.answer(request.reply, result.Err(shutting_down()))
        return
    centre = choose_data_centre.choose(
        request.job, state.snapshot, state.digests, state.pledged, state.settings.here
    )
    if not centre:
        reason = "no data centre is configured"
        mailbox.answer(
            request.reply, result.Err(verdict.not_run(verdict.Code.UNAVAILABLE, reason))
        )
        return
    admitted = state.admit(request.job, state.snapshot, centre, state.wall_clock())
    if isinstance(admitted, result.Err):
        mailbox.answer(request.reply, admitted)
        return
    accepted = dataclasses.replace(admitted.ok_value, trace=request.job.trace)
    state.pledged[centre] += shape.total_accelerators(accepted.shape)
    transaction = _submission_transaction(state, accepted, request)

    def on_committed(outcome: store.Committed) -> None:
        _answer_submission(state, request, accepted, outcome)

    jobs_state.commit(state, transaction, on_committed)


def cancel(state: jobs_state.State, request: messages.CancelJob) -> None:
    """Record a cancellation request in the job row; the planner then cancels the job."""
    if state.draining:
        mailbox.answer(request.reply, result.Err(shutting_down()))
        return

    def on_job(found: result.Result[jobs_state.StoredJob, verdict.Refusal]) -> None:
        if isinstance(found, result.Err):
            mailbox.answer(request.reply, found)
        else:
            _request_cancel(state, request, found.ok_value, 1)

    jobs_state.lookup(state, request.job_id, on_job)


def shutting_down() -> verdict.Refusal:
    """Return the refusal for new requests while this entry shuts down."""
    return verdict.not_run(verdict.Code.UNAVAILABLE, "this entry is shutting down; use another")


def idempotency_row_key(customer: str, idempotency_key: str) -> str:
    """Return the key of the row that records an idempotency key."""
    return f"{KEY_PREFIX}{customer}/{idempotency_key}"


def job_digest(item: job.Job) -> str:
    """Return a digest of the job's submitted fields, to compare submissions with the same key."""
    asked = [
        item.work_class,
        dataclasses.asdict(item.shape),
        item.command,
        item.checkpointable,
        item.expected_seconds,
    ]
    return hashlib.sha256(json.dumps(asked, sort_keys=True).encode()).hexdigest()


def _submission_transaction(
    state: jobs_state.State, accepted: job.Job, request: messages.SubmitJob
) -> store.Transaction:
    conditions = [store.VersionIs(rows.job_key(accepted.id), 0)]
    writes = [
        store.Write(rows.job_key(accepted.id), rows.encode_job(accepted)),
        store.Write(rows.active_key(accepted.data_centre, accepted.id), {"job": accepted.id}),
    ]
    if request.idempotency_key:
        key = idempotency_row_key(accepted.customer, request.idempotency_key)
        conditions.append(store.VersionIs(key, 0))
        writes.append(store.Write(key, {"job": accepted.id, "digest": job_digest(accepted)}))
    work_class = state.snapshot.classes.get(accepted.work_class)
    return store.Transaction(
        jobs_state.next_id(state),
        tuple(conditions),
        tuple(writes),
        urgent=work_class is not None and work_class.urgent,
    )


def _answer_submission(
    state: jobs_state.State,
    request: messages.SubmitJob,
    accepted: job.Job,
    outcome: store.Committed,
) -> None:
    match outcome.outcome:
        case store.Outcome.APPLIED:
            _notify_planner(state, accepted)
            mailbox.answer(request.reply, result.Ok(accepted))
        case store.Outcome.CONFLICT:
            _answer_repeated(state, request, accepted, outcome)
        case store.Outcome.NOT_SENT:
            mailbox.answer(request.reply, result.Err(jobs_state.store_unavailable()))
        case store.Outcome.UNKNOWN:
            # The rows may have been written, in which case the planner must read them.
            _notify_planner(state, accepted)
            detail = (
                f"job {accepted.id} may have been accepted: the answer of the table service was "
                "lost; look the job up, or submit again with the same Idempotency-Key"
            )
            mailbox.answer(request.reply, result.Err(_may_have_run(detail)))


def _answer_repeated(
    state: jobs_state.State,
    request: messages.SubmitJob,
    accepted: job.Job,
    outcome: store.Committed,
) -> None:
    """Answer a submission whose idempotency key was already used with the first job."""
    key = idempotency_row_key(accepted.customer, request.idempotency_key)
    first = outcome.failed.get(key) if request.idempotency_key else None
    if first is None:
        detail = "another writer created the same rows; submit the job again"
        mailbox.answer(request.reply, result.Err(verdict.not_run(verdict.Code.CONFLICT, detail)))
        return
    if first.value.get("digest") != job_digest(accepted):
        refusal = verdict.Refusal(
            verdict.Verdict.NOT_RUN,
            verdict.Code.CONFLICT,
            f"the key was already used for a different job, {first.value.get('job')}",
            "Idempotency-Key",
            request.idempotency_key,
            "a new key for each different job",
        )
        mailbox.answer(request.reply, result.Err(refusal))
        return

    def on_job(found: result.Result[jobs_state.StoredJob, verdict.Refusal]) -> None:
        if isinstance(found, result.Ok):
            mailbox.answer(request.reply, result.Ok(found.ok_value.job))
            return
        detail = f"job {first.value.get('job')} was accepted earlier: {found.err_value.detail}"
        mailbox.answer(request.reply, result.Err(_may_have_run(detail)))

    jobs_state.lookup(state, str(first.value.get("job")), on_job)


def _request_cancel(
    state: jobs_state.State,
    request: messages.CancelJob,
    stored: jobs_state.StoredJob,
    attempt: int,
) -> None:
    item = stored.job
    if request.customer not in ("", item.customer):
        mailbox.answer(request.reply, result.Err(jobs_state.unknown_job(request.job_id)))
        return
    if item.state in job.FINAL_STATES and item.state is not job.State.CANCELLED:
        refusal = verdict.not_run(verdict.Code.CONFLICT, f"the job has already {item.state.value}")
        mailbox.answer(request.reply, result.Err(refusal))
        return
    if item.cancel_requested or item.state is job.State.CANCELLED:
        mailbox.answer(request.reply, result.Ok(item))
        return
    cancelled = dataclasses.replace(item, cancel_requested=True)
    transaction = store.Transaction(
        jobs_state.next_id(state),
        (store.VersionIs(rows.job_key(item.id), stored.version),),
        (store.Write(rows.job_key(item.id), rows.encode_job(cancelled)),),
    )

    def on_committed(outcome: store.Committed) -> None:
        _answer_cancellation(state, request, cancelled, attempt, outcome)

    jobs_state.commit(state, transaction, on_committed)


def _answer_cancellation(
    state: jobs_state.State,
    request: messages.CancelJob,
    cancelled: job.Job,
    attempt: int,
    outcome: store.Committed,
) -> None:
    match outcome.outcome:
        case store.Outcome.APPLIED:
            _notify_planner(state, cancelled)
            mailbox.answer(request.reply, result.Ok(cancelled))
        case store.Outcome.CONFLICT:
            row = outcome.failed.get(rows.job_key(cancelled.id))
            stored = jobs_state.cache_row(state, row, state.clock()) if row else None
            if stored is None:
                mailbox.answer(request.reply, result.Err(jobs_state.unknown_job(request.job_id)))
            elif attempt < MAX_CANCEL_ATTEMPTS:
                _request_cancel(state, request, stored, attempt + 1)
            else:
                detail = "the job changed during each attempt; cancel it again"
                refusal = verdict.not_run(verdict.Code.CONFLICT, detail)
                mailbox.answer(request.reply, result.Err(refusal))
        case store.Outcome.NOT_SENT:
            mailbox.answer(request.reply, result.Err(jobs_state.store_unavailable()))
        case store.Outcome.UNKNOWN:
            _notify_planner(state, cancelled)
            detail = "the cancellation may have been recorded; look the job up"
            mailbox.answer(request.reply, result.Err(_may_have_run(detail)))


def _notify_planner(state: jobs_state.State, item: job.Job) -> None:
    state.notify(item.data_centre, link.JobChanged(item.id, item.data_centre))


def _may_have_run(detail: str) -> verdict.Refusal:
    return verdict.Refusal(verdict.Verdict.MAY_HAVE_RUN, verdict.Code.STORE_UNAVAILABLE, detail)
