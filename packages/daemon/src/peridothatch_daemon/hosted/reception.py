"""Task that handles the calls of clients."""

from __future__ import annotations

import dataclasses
import typing

import result

from peridothatch_core.message import rows
from peridothatch_core.model import steps, storeclock, tables, verdict
from peridothatch_core.reception import calls, limits, store_health, view
from peridothatch_daemon import messages as daemon_messages
from peridothatch_daemon.decide import loop
from peridothatch_daemon.hosted import clock, log, messages, records, stored_calls
from peridothatch_wire import mailbox, task

if typing.TYPE_CHECKING:
    from peridothatch_core.reception import admission
    from peridothatch_daemon.observe import metrics

MAX_ECHOED_CHARACTERS = 100
"""Maximum length of the part of an invalid value that a refusal quotes."""

MAX_ROW_AGE_SECONDS = 2.5
"""Maximum age of the rows of the jobs feed for reporting a job's state from them. If they are
older, the job's row is read from the store."""

MAX_STORE_SILENCE_SECONDS = 1.2
"""An entry is ready only if the store has answered within this time. It covers a lost poll of a
feed, the next poll, and a store that answers 60 times more slowly than usual. When an entry is not
ready, the balancer directs new connections to entries that still reach the store; calls that
arrive before the balancer has noticed are refused."""

MAX_DESIRED_AGE_SECONDS = 1.6
"""An entry is ready only if its desired state is no older than this. The age is counted from the
request, so it includes the duration of a long poll."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reception:
    """The running task."""

    inbox: mailbox.Mailbox
    running: task.Task


def start(
    max_desired_age_seconds: float,
    store: mailbox.Mailbox,
    record_latency: metrics.LatencyRecorder,
) -> Reception:
    """Start the task.

    Parameters
    ----------
    max_desired_age_seconds : float
        Age of the desired state from which it decides no call.
    store : Mailbox
        Takes ``rows.Commit`` and ``rows.Fetch``.
    record_latency : callable
        Takes the duration in seconds of an accepted call.
    """
    inbox = mailbox.create("reception")
    state = stored_calls.State(max_desired_age_seconds, store, inbox, record_latency)

    def handle(message: typing.Any) -> None:
        _handle(state, message)

    return Reception(inbox, task.start("reception", loop.run(inbox, handle)))


async def close(reception: Reception) -> None:
    """Stop the task."""
    await task.close(reception.running)


def _handle(state: stored_calls.State, message: typing.Any) -> None:
    match message:
        case messages.CallReceived(call, reply):
            _handle_call(state, call, reply)
        case messages.OutcomeUnknown(call):
            stored_calls.remember_unknown_outcome(state, call)
        case messages.VersionSeen(version):
            state.min_version = max(state.min_version, version)
        case messages.ReportVersion(reply):
            mailbox.answer(reply, state.desired.version if state.desired else 0)
        case messages.FeedFailed():
            store_health.record_failure(state.health)
        case messages.DesiredConfirmed(desired_state, asked_at):
            state.desired_at = max(state.desired_at, asked_at)
            if state.desired is None or desired_state.version > state.desired.version:
                state.desired = desired_state
        case rows.Snapshot() | rows.Changes():
            _apply_rows(state, message)
        case rows.Committed():
            stored_calls.handle_committed(state, message)
        case rows.Fetched():
            stored_calls.handle_fetched(state, message)
        case messages.CheckReadiness(reply):
            mailbox.answer(reply, _is_ready(state))
        case messages.AwaitInitialRows(reply):
            state.awaiting_rows.append(reply)
        case daemon_messages.DumpState(reply):
            mailbox.answer(reply, _dump(state))
        case messages.RetryCall(pending):
            stored_calls.send(state, pending)
    if state.awaiting_rows and state.desired is not None and state.view.loaded:
        for reply in state.awaiting_rows:
            mailbox.answer(reply, True)
        state.awaiting_rows.clear()


def _is_ready(state: stored_calls.State) -> bool:
    now = clock.now()
    return (
        state.desired is not None
        and now - state.desired_at < MAX_DESIRED_AGE_SECONDS
        and now - state.health.answered_at < MAX_STORE_SILENCE_SECONDS
    )


def _apply_rows(state: stored_calls.State, message: rows.Snapshot | rows.Changes) -> None:
    storeclock.observe(state.clock, message.now_ms, message.asked_at, message.answered_at)
    store_health.record_answer(state.health, message.answered_at)
    jobs = []
    for row in message.rows:
        if not row.key.startswith(tables.JOB_PREFIX):
            continue
        if row.value is None:
            view.remove(state.view, row.key.removeprefix(tables.JOB_PREFIX))
            continue
        try:
            jobs.append(records.decode_row(row))
        except ValueError as error:
            log.unreadable("reception", row.key, str(error))
    if isinstance(message, rows.Snapshot):
        view.replace(state.view, jobs)
        return
    for job in jobs:
        view.put(state.view, job)


def _handle_call(state: stored_calls.State, call: calls.Call, reply: mailbox.Reply) -> None:
    now = clock.now()
    admitted = stored_calls.admit(state, call, now)
    if isinstance(admitted, result.Err):
        stored_calls.answer_refused(state, call, reply, admitted.err_value)
        return
    match call.action:
        case calls.Action.COUNT:
            _report_pending(state, call, admitted.ok_value, reply)
        case calls.Action.SUBMIT:
            _submit(state, call, admitted.ok_value, reply, now)
        case calls.Action.CANCEL:
            _cancel(state, call, admitted.ok_value, reply, now)
        case calls.Action.STATE:
            _report_state(state, call, admitted.ok_value, reply, now)


def _report_pending(
    state: stored_calls.State, call: calls.Call, admitted: admission.Admitted, reply: mailbox.Reply
) -> None:
    if admitted.remaining_path:
        _report_state(state, call, admitted, reply, clock.now())
        return
    if not state.view.loaded:
        stored_calls.answer_refused(
            state, call, reply, stored_calls.unavailable("the jobs have not been read yet")
        )
        return
    now_ms = storeclock.earliest_ms(state.clock, clock.now())
    mailbox.answer(
        reply, calls.Counted(view.count_pending(state.view, admitted.queue.name, now_ms))
    )


def _submit(
    state: stored_calls.State,
    call: calls.Call,
    admitted: admission.Admitted,
    reply: mailbox.Reply,
    now: float,
) -> None:
    if not _is_id(admitted.remaining_path):
        expected = f"{calls.JOB_ID_DIGITS} hexadecimal digits"
        refusal = verdict.invalid("id", admitted.remaining_path[:MAX_ECHOED_CHARACTERS], expected)
        stored_calls.answer_refused(state, call, reply, refusal)
        return
    if isinstance(call.submission, verdict.Refusal) or call.submission is None:
        refusal = call.submission or verdict.invalid("body", "", "a job")
        stored_calls.answer_refused(state, call, reply, refusal)
        return
    too_large = limits.check(call.submission.steps, call.submission.timetable)
    if too_large is not None:
        stored_calls.answer_refused(state, call, reply, too_large)
        return
    if admitted.remaining_path in state.view.jobs:
        stored_calls.answer_accepted(
            state, call, admitted, reply, now, "the job is stored already"
        )
        return
    job = _build_job(state, call.submission, admitted, now)
    stored_calls.start_call(
        state,
        call,
        admitted,
        reply,
        rows.Transaction(
            (rows.Condition(tables.job_key(job.id), 0),),
            (
                (tables.job_key(job.id), records.encode(job)),
                (tables.spec_key(job.id), call.submission.spec.encode()),
            ),
        ),
        now,
    )


def _cancel(
    state: stored_calls.State,
    call: calls.Call,
    admitted: admission.Admitted,
    reply: mailbox.Reply,
    now: float,
) -> None:
    seen = state.view.jobs.get(admitted.remaining_path)
    if seen is None:
        # The feed may not have delivered the job's row yet, so it is looked up in the store.
        stored_calls.start_call(state, call, admitted, reply, None, now)
        return
    if seen.state in steps.FINAL_STATES:
        stored_calls.answer_absent(state, call, reply, f"the job is {seen.state}")
        return
    stored_calls.start_call(
        state, call, admitted, reply, stored_calls.cancellation(admitted.remaining_path), now
    )


def _report_state(
    state: stored_calls.State,
    call: calls.Call,
    admitted: admission.Admitted,
    reply: mailbox.Reply,
    now: float,
) -> None:
    seen = state.view.jobs.get(admitted.remaining_path)
    if seen is not None and now - state.health.answered_at < MAX_ROW_AGE_SECONDS:
        mailbox.answer(reply, calls.Reported(seen.state))
        return
    stored_calls.start_call(state, call, admitted, reply, None, now)


def _build_job(
    state: stored_calls.State,
    submitted: calls.Submission,
    admitted: admission.Admitted,
    now: float,
) -> steps.Job:
    queue = admitted.queue
    return steps.Job(
        id=admitted.remaining_path,
        queue=queue.name,
        service=queue.service,
        customer=admitted.customer,
        priority=queue.priority,
        max_attempts=queue.max_attempts,
        slack_factor=queue.slack_factor,
        objective_ms=queue.objective_ms,
        steps=submitted.steps,
        timetable=submitted.timetable,
        submitted_ms=storeclock.earliest_ms(state.clock, now),
        ticketed=queue.ticketed,
    )


def _is_id(text: str) -> bool:
    return len(text) == calls.JOB_ID_DIGITS and all(
        digit in "0123456789abcdefABCDEF" for digit in text
    )


def _dump(state: stored_calls.State) -> dict[str, typing.Any]:
    now = clock.now()
    return {
        "desired_version": state.desired.version if state.desired else None,
        "desired_age_seconds": round(min(1e6, now - state.desired_at), 3),
        "store_age_seconds": round(min(1e6, now - state.health.answered_at), 3),
        "counters": dataclasses.asdict(state.counters),
        "gauges": {"jobs": len(state.view.jobs)},
    }
