"""Calls that wait for the store: requests to the store, retries and answers to the caller."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.message import rows
from peridothatch_core.model import steps, storeclock, tables, verdict
from peridothatch_core.reception import admission, calls, store_health, view
from peridothatch_daemon.hosted import clock, counters, log, messages, records
from peridothatch_wire import mailbox

if typing.TYPE_CHECKING:
    import result

    from peridothatch_core.model import desired
    from peridothatch_daemon.observe import metrics

ANSWER_MARGIN_SECONDS = 0.06
"""Part of the caller's time that is reserved for transmitting the answer."""

MIN_ATTEMPT_SECONDS = 0.03
"""Minimum time for a request to the store. A request within the region takes half of it."""

ATTEMPT_TIMEOUT_SECONDS = 0.5
"""Timeout of one request to the store. It is enough for a store in the other region that is 60
times slower than usual, and leaves time for a retry after a lost response."""

RETRY_DELAY_SECONDS = 0.06
"""Delay before a request to the store is retried."""

RETRY_FRACTION = 0.25
"""Fraction of the queue's objective after which a request that the store refuses is no longer
retried."""

MIN_RETRY_SECONDS = 0.25
"""Minimum time for which a request that the store refuses is retried."""

UNRESOLVED_SECONDS = 30.0
"""Time for which a call whose outcome is unknown is remembered. A delayed write is applied, and a
caller repeats the call, within a few seconds."""

MAX_UNRESOLVED = 4096
"""Maximum number of remembered calls; the oldest is forgotten first."""

UNKNOWN_OUTCOME_SECONDS = 1.0
"""Time after which a call is answered with an unknown outcome. The caller then repeats it at
another entry, which may reach the store."""


@dataclasses.dataclass(slots=True)
class Pending:
    """A call that waits for the store.

    Attributes
    ----------
    transaction : Transaction or None
        Write to commit; ``None`` if the job's row is read instead.
    give_up_at : float
        Local time in seconds after which a request that had no effect is no longer retried.
    answer_by : float
        Local time in seconds by which the caller must be answered.
    outcome_unknown : bool
        Whether a write without a response may have taken or may still take effect.
    """

    call: calls.Call
    admitted: admission.Admitted
    reply: mailbox.Reply
    transaction: rows.Transaction | None
    give_up_at: float
    answer_by: float
    arrived_at: float
    outcome_unknown: bool = False


@dataclasses.dataclass(slots=True)
class State:
    """State of the reception task.

    Attributes
    ----------
    max_desired_age_seconds : float
        Age of the desired state from which it decides no call.
    desired_at : float
        Local time in seconds of the last answered request for the desired state.
    min_version : int
        Highest version by which another entry has answered a call that this entry passed on.
    health : StoreHealth
        Health of the store, judged by the requests of the jobs feed.
    view : View
        Jobs as last delivered by the feed.
    awaiting_rows : list of Reply
        Replies to send when the first desired state and the first jobs have been read.
    unresolved : dict
        Local time in seconds until which an earlier call of the same action and path counts as
        one that may have run.
    """

    max_desired_age_seconds: float
    store: mailbox.Mailbox
    inbox: mailbox.Mailbox
    record_latency: metrics.LatencyRecorder
    clock: storeclock.StoreClock = dataclasses.field(default_factory=storeclock.StoreClock)
    desired: desired.DesiredState | None = None
    desired_at: float = -1e9
    min_version: int = 0
    health: store_health.StoreHealth = dataclasses.field(default_factory=store_health.StoreHealth)
    view: view.View = dataclasses.field(default_factory=view.View)
    awaiting_rows: list[mailbox.Reply] = dataclasses.field(default_factory=list)
    unresolved: dict[tuple[calls.Action, str], float] = dataclasses.field(default_factory=dict)
    counters: counters.Reception = dataclasses.field(default_factory=counters.Reception)


def start_call(
    state: State,
    call: calls.Call,
    admitted: admission.Admitted,
    reply: mailbox.Reply,
    transaction: rows.Transaction | None,
    now: float,
) -> None:
    """Send the store request of a new call, or refuse the call while the store is unreachable."""
    retry_seconds = max(MIN_RETRY_SECONDS, RETRY_FRACTION * admitted.queue.objective_ms / 1000.0)
    answer_by = now + call.budget_seconds - ANSWER_MARGIN_SECONDS
    pending = Pending(call, admitted, reply, transaction, now + retry_seconds, answer_by, now)
    outage = store_health.outage_reason(state.health, now)
    if outage:
        answer_refused(state, call, reply, unavailable(outage))
        return
    send(state, pending)


def admit(
    state: State, call: calls.Call, now: float
) -> result.Result[admission.Admitted, verdict.Refusal]:
    """Admit or refuse a call by the known desired state."""
    return admission.admit(
        state.desired,
        now - state.desired_at,
        state.max_desired_age_seconds,
        call.host,
        call.path,
        call.key,
        max(state.min_version, call.min_version),
    )


def send(state: State, pending: Pending) -> None:
    """Send the store request of a call unless too little of the caller's time remains.

    The call is authorised again, because the request may be a retry, or the process may have been
    suspended: the key may have been revoked since the call arrived.
    """
    now = clock.now()
    remaining = pending.answer_by - now
    if remaining <= MIN_ATTEMPT_SECONDS:
        _give_up(state, pending, "the caller's time is over")
        return
    call = pending.call
    admitted = admit(state, call, now)
    if admitted.is_err():
        refusal = admitted.err_value
        if pending.outcome_unknown:
            remember_unknown_outcome(state, call)
        answer_refused(state, call, pending.reply, refusal)
        return
    timeout = min(ATTEMPT_TIMEOUT_SECONDS, remaining)
    if pending.transaction is None:
        key = tables.job_key(pending.admitted.remaining_path)
        message: typing.Any = rows.Fetch(
            pending, key.table, key.key, timeout, _post_answer(state), exact=True
        )
    else:
        message = rows.Commit(pending, pending.transaction, timeout, _post_answer(state))
    if not mailbox.post(state.store, message):
        _give_up(state, pending, "too many calls to the store wait")


def _post_answer(state: State) -> typing.Callable[[typing.Any], None]:
    def post(answer: typing.Any) -> None:
        mailbox.post(state.inbox, answer)

    return post


def handle_committed(state: State, committed: rows.Committed) -> None:
    """Answer a call according to the outcome of its write, or retry the write."""
    pending: Pending = committed.token
    if committed.now_ms:
        storeclock.observe(
            state.clock, committed.now_ms, committed.asked_at, committed.answered_at
        )
    match committed.outcome:
        case rows.Outcome.COMMITTED | rows.Outcome.CONFLICT:
            # On a conflict the job id is already stored, so this is a repeated submission.
            answer_accepted(
                state,
                pending.call,
                pending.admitted,
                pending.reply,
                pending.arrived_at,
                committed.outcome.name.lower(),
            )
        case rows.Outcome.UNKNOWN:
            pending.outcome_unknown = True
            _retry_or_give_up(
                state, pending, pending.arrived_at + UNKNOWN_OUTCOME_SECONDS, committed.reason
            )
        case rows.Outcome.NOT_DONE if pending.outcome_unknown:
            _retry_or_give_up(
                state, pending, pending.arrived_at + UNKNOWN_OUTCOME_SECONDS, committed.reason
            )
        case rows.Outcome.NOT_DONE:
            _retry_or_give_up(state, pending, pending.give_up_at, committed.reason)


def handle_fetched(state: State, fetched: rows.Fetched) -> None:
    """Answer a call from the row that was read, or retry the read."""
    pending: Pending = fetched.token
    if fetched.rows is None:
        _retry_or_give_up(state, pending, pending.give_up_at, fetched.reason)
        return
    row = next((row for row in fetched.rows if row.value is not None), None)
    if row is None:
        answer_absent(state, pending.call, pending.reply, "no such job")
        return
    try:
        job = records.decode_row(row)
    except ValueError as error:
        log.unreadable("reception", row.key, str(error))
        refusal = verdict.not_run(verdict.Code.UNAVAILABLE, "the job's row cannot be read")
        answer_refused(state, pending.call, pending.reply, refusal)
        return
    if pending.call.action is not calls.Action.CANCEL:
        mailbox.answer(pending.reply, calls.Reported(job.state))
    elif job.state in steps.FINAL_STATES:
        answer_absent(state, pending.call, pending.reply, f"the job is {job.state}")
    else:
        pending.transaction = cancellation(job.id)
        send(state, pending)


def _retry_or_give_up(state: State, pending: Pending, until: float, reason: str) -> None:
    """Retry the store request after a delay, or give up if ``until`` would have passed."""
    if clock.now() + RETRY_DELAY_SECONDS < until:
        messages.post_later(state.inbox, messages.RetryCall(pending), RETRY_DELAY_SECONDS)
    else:
        _give_up(state, pending, reason)


def _give_up(state: State, pending: Pending, reason: str) -> None:
    kind = verdict.Verdict.MAY_HAVE_RUN if pending.outcome_unknown else verdict.Verdict.NOT_RUN
    code = verdict.Code.STORE_UNAVAILABLE
    if pending.outcome_unknown:
        remember_unknown_outcome(state, pending.call)
    answer_refused(state, pending.call, pending.reply, verdict.Refusal(kind, code, reason))


def answer_accepted(
    state: State,
    call: calls.Call,
    admitted: admission.Admitted,
    reply: mailbox.Reply,
    arrived_at: float,
    outcome: str,
) -> None:
    """Answer that the job or its cancellation has been stored."""
    state.unresolved.pop((call.action, call.path), None)
    state.counters.calls_accepted += 1
    state.record_latency(clock.now() - arrived_at)
    log.event(
        "reception:accepted",
        job=admitted.remaining_path,
        action=call.action.name.lower(),
        queue=admitted.queue.name,
        customer=admitted.customer,
        desired_version=state.desired.version if state.desired else None,
        outcome=outcome,
        took_ms=round(1000 * (clock.now() - arrived_at)),
        **_submission_fields(call, admitted),
    )
    mailbox.answer(reply, calls.Accepted())


def _submission_fields(call: calls.Call, admitted: admission.Admitted) -> dict[str, typing.Any]:
    """Return log fields with the properties on which a job's objective depends."""
    if not isinstance(call.submission, calls.Submission):
        return {}
    return {
        "priority": admitted.queue.priority,
        "slack_factor": admitted.queue.slack_factor,
        "objective_ms": admitted.queue.objective_ms,
        "steps": [steps.describe_step(step) for step in call.submission.steps],
    }


def answer_absent(state: State, call: calls.Call, reply: mailbox.Reply, reason: str) -> None:
    """Answer that there is no such job, or none that can still be cancelled."""
    log.event(
        "reception:absent",
        path=call.path,
        action=call.action.name.lower(),
        reason=reason,
        store_age_ms=round(1000 * min(1e6, clock.now() - state.health.answered_at)),
    )
    mailbox.answer(reply, calls.Absent())


def answer_refused(
    state: State, call: calls.Call, reply: mailbox.Reply, refusal: verdict.Refusal
) -> None:
    """Answer with a refusal and log its reason.

    A repeated call is not refused as not run while an earlier one may have run.
    """
    if state.unresolved.get((call.action, call.path), 0.0) > clock.now():
        refusal = dataclasses.replace(refusal, verdict=verdict.Verdict.MAY_HAVE_RUN)
    if refusal.verdict is verdict.Verdict.NOT_RUN:
        state.counters.calls_refused += 1
    else:
        state.counters.calls_unclear += 1
    log.event(
        "reception:refused",
        path=call.path,
        host=call.host,
        action=call.action.name.lower(),
        verdict=str(refusal.verdict),
        code=str(refusal.code),
        reason=refusal.detail,
        desired_version=state.desired.version if state.desired else None,
        desired_age_ms=round(1000 * min(1e6, clock.now() - state.desired_at)),
        store_age_ms=round(1000 * min(1e6, clock.now() - state.health.answered_at)),
    )
    mailbox.answer(reply, refusal)


def remember_unknown_outcome(state: State, call: calls.Call) -> None:
    """Remember that a call may have run, until it has been accepted or some time has passed."""
    if calls.effect_key(call) is None:
        return
    known = (call.action, call.path)
    state.unresolved.pop(known, None)
    while len(state.unresolved) >= MAX_UNRESOLVED:
        state.unresolved.pop(next(iter(state.unresolved)))
    state.unresolved[known] = clock.now() + UNRESOLVED_SECONDS


def cancellation(job_id: str) -> rows.Transaction:
    """Return the transaction that cancels a job."""
    return rows.Transaction((), ((tables.cancel_key(job_id), b"{}"),))


def unavailable(detail: str) -> verdict.Refusal:
    """Return the refusal of a call that needs the store."""
    return verdict.Refusal(verdict.Verdict.NOT_RUN, verdict.Code.STORE_UNAVAILABLE, detail)
