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
# Each lost race means that another writer made progress, so a few attempts suffice.
CANCEL_ATTEMPTS = 5


def submit(state: jobs_state.State, ask: messages.SubmitJob) -> None:
    """Accept a job and write its rows, or refuse it."""
    if state.draining:
        mailbox.answer(ask.reply, result.Err(draining()))
        return
    centre = choose_data_centre.choose(
        ask.job, state.snapshot, state.digests, state.pledged, state.settings.here
    )
    if not centre:
        reason = "no data centre is configured"
        mailbox.answer(ask.reply, result.Err(verdict.not_run(verdict.Code.UNAVAILABLE, reason)))
        return
    admitted = state.admit(ask.job, state.snapshot, centre, state.wall())
    if isinstance(admitted, result.Err):
        mailbox.answer(ask.reply, admitted)
        return
    accepted = dataclasses.replace(admitted.ok_value, trace=ask.job.trace)
    state.pledged[centre] += shape.total_accelerators(accepted.shape)
    transaction = _submission(state, accepted, ask)

    def then(outcome: store.Committed) -> None:
        _submitted(state, ask, accepted, outcome)

    jobs_state.commit(state, transaction, then)


def cancel(state: jobs_state.State, ask: messages.CancelJob) -> None:
    """Record that a job is to be cancelled; its planner carries this out."""
    if state.draining:
        mailbox.answer(ask.reply, result.Err(draining()))
        return

    def then(found: result.Result[jobs_state.Held, verdict.Refusal]) -> None:
        if isinstance(found, result.Err):
            mailbox.answer(ask.reply, found)
        else:
            _request_cancel(state, ask, found.ok_value, 1)

    jobs_state.lookup(state, ask.job_id, then)


def draining() -> verdict.Refusal:
    """Return the refusal of new work while this entry shuts down."""
    return verdict.not_run(verdict.Code.UNAVAILABLE, "this entry is shutting down; use another")


def key_of(customer: str, idempotency_key: str) -> str:
    """Return the key of the row that remembers an idempotency key."""
    return f"{KEY_PREFIX}{customer}/{idempotency_key}"


def digest(item: job.Job) -> str:
    """Return a digest of what the caller asked for."""
    asked = [
        item.work_class,
        dataclasses.asdict(item.shape),
        item.command,
        item.checkpointable,
        item.expected_seconds,
    ]
    return hashlib.sha256(json.dumps(asked, sort_keys=True).encode()).hexdigest()


def _submission(
    state: jobs_state.State, accepted: job.Job, ask: messages.SubmitJob
) -> store.Transaction:
    conditions = [store.VersionIs(rows.job_key(accepted.id), 0)]
    writes = [
        store.Write(rows.job_key(accepted.id), rows.encode_job(accepted)),
        store.Write(rows.active_key(accepted.data_centre, accepted.id), {"job": accepted.id}),
    ]
    if ask.idempotency_key:
        key = key_of(accepted.customer, ask.idempotency_key)
        conditions.append(store.VersionIs(key, 0))
        writes.append(store.Write(key, {"job": accepted.id, "digest": digest(accepted)}))
    work_class = state.snapshot.classes.get(accepted.work_class)
    return store.Transaction(
        jobs_state.next_id(state),
        tuple(conditions),
        tuple(writes),
        urgent=work_class is not None and work_class.urgent,
    )


def _submitted(
    state: jobs_state.State,
    ask: messages.SubmitJob,
    accepted: job.Job,
    outcome: store.Committed,
) -> None:
    match outcome.outcome:
        case store.Outcome.APPLIED:
            _tell(state, accepted)
            mailbox.answer(ask.reply, result.Ok(accepted))
        case store.Outcome.CONFLICT:
            _repeated(state, ask, accepted, outcome)
        case store.Outcome.NOT_SENT:
            mailbox.answer(ask.reply, result.Err(jobs_state.no_answer()))
        case store.Outcome.UNKNOWN:
            # The rows may be there, in which case the planner should know of them.
            _tell(state, accepted)
            detail = (
                f"job {accepted.id} may have been accepted: the answer of the table service was "
                "lost; look the job up, or submit again with the same Idempotency-Key"
            )
            mailbox.answer(ask.reply, result.Err(_may_have_run(detail)))


def _repeated(
    state: jobs_state.State,
    ask: messages.SubmitJob,
    accepted: job.Job,
    outcome: store.Committed,
) -> None:
    """Answer a submission whose idempotency key was used before with the first job."""
    key = key_of(accepted.customer, ask.idempotency_key)
    first = outcome.failed.get(key) if ask.idempotency_key else None
    if first is None:
        detail = "another writer created the same rows; submit the job again"
        mailbox.answer(ask.reply, result.Err(verdict.not_run(verdict.Code.CONFLICT, detail)))
        return
    if first.value.get("digest") != digest(accepted):
        refusal = verdict.Refusal(
            verdict.Verdict.NOT_RUN,
            verdict.Code.CONFLICT,
            f"the key was used for another job, {first.value.get('job')}",
            "Idempotency-Key",
            ask.idempotency_key,
            "a new key for each different job",
        )
        mailbox.answer(ask.reply, result.Err(refusal))
        return

    def then(found: result.Result[jobs_state.Held, verdict.Refusal]) -> None:
        if isinstance(found, result.Ok):
            mailbox.answer(ask.reply, result.Ok(found.ok_value.job))
            return
        detail = f"job {first.value.get('job')} was accepted earlier: {found.err_value.detail}"
        mailbox.answer(ask.reply, result.Err(_may_have_run(detail)))

    jobs_state.lookup(state, str(first.value.get("job")), then)


def _request_cancel(
    state: jobs_state.State, ask: messages.CancelJob, held: jobs_state.Held, attempt: int
) -> None:
    item = held.job
    if ask.customer not in ("", item.customer):
        mailbox.answer(ask.reply, result.Err(jobs_state.unknown(ask.job_id)))
        return
    if item.state in job.FINAL_STATES and item.state is not job.State.CANCELLED:
        refusal = verdict.not_run(verdict.Code.CONFLICT, f"the job has {item.state.value} already")
        mailbox.answer(ask.reply, result.Err(refusal))
        return
    if item.cancel_requested or item.state is job.State.CANCELLED:
        mailbox.answer(ask.reply, result.Ok(item))
        return
    cancelled = dataclasses.replace(item, cancel_requested=True)
    transaction = store.Transaction(
        jobs_state.next_id(state),
        (store.VersionIs(rows.job_key(item.id), held.version),),
        (store.Write(rows.job_key(item.id), rows.encode_job(cancelled)),),
    )

    def then(outcome: store.Committed) -> None:
        _cancel_committed(state, ask, cancelled, attempt, outcome)

    jobs_state.commit(state, transaction, then)


def _cancel_committed(
    state: jobs_state.State,
    ask: messages.CancelJob,
    cancelled: job.Job,
    attempt: int,
    outcome: store.Committed,
) -> None:
    match outcome.outcome:
        case store.Outcome.APPLIED:
            _tell(state, cancelled)
            mailbox.answer(ask.reply, result.Ok(cancelled))
        case store.Outcome.CONFLICT:
            row = outcome.failed.get(rows.job_key(cancelled.id))
            held = jobs_state.remember(state, row, state.clock()) if row else None
            if held is None:
                mailbox.answer(ask.reply, result.Err(jobs_state.unknown(ask.job_id)))
            elif attempt < CANCEL_ATTEMPTS:
                _request_cancel(state, ask, held, attempt + 1)
            else:
                detail = "the job changed with each attempt; cancel it again"
                refusal = verdict.not_run(verdict.Code.CONFLICT, detail)
                mailbox.answer(ask.reply, result.Err(refusal))
        case store.Outcome.NOT_SENT:
            mailbox.answer(ask.reply, result.Err(jobs_state.no_answer()))
        case store.Outcome.UNKNOWN:
            _tell(state, cancelled)
            detail = "the cancellation may have been recorded; look the job up"
            mailbox.answer(ask.reply, result.Err(_may_have_run(detail)))


def _tell(state: jobs_state.State, item: job.Job) -> None:
    state.notify(item.data_centre, link.JobChanged(item.id, item.data_centre))


def _may_have_run(detail: str) -> verdict.Refusal:
    return verdict.Refusal(verdict.Verdict.MAY_HAVE_RUN, verdict.Code.STORE_UNAVAILABLE, detail)
