"""The task that answers the calls of consumers."""

from __future__ import annotations

import dataclasses
import typing

import result

from peridothatch_core.message import rows
from peridothatch_core.model import steps, storeclock, tables, verdict
from peridothatch_core.reception import admission, calls, limits, store_health, view
from peridothatch_daemon.decide import loop
from peridothatch_daemon.hosted import clock, counters, log, messages, records
from peridothatch_wire import mailbox, task

if typing.TYPE_CHECKING:
    from peridothatch_core.model import desired
    from peridothatch_daemon.observe import metrics

ID_DIGITS = 16

ANSWER_MARGIN_SECONDS = 0.06
"""Time of a caller's budget that is left for the way of the answer."""

LEAST_TRY_SECONDS = 0.03
"""Least time for a call to the store; one in the same region takes half of it."""

TRY_SECONDS = 0.5
"""Wait for one answer of the store. A store that is sixty times slower than usual answers within
it from the other region, and a lost answer leaves time for another try."""

RETRY_PAUSE_SECONDS = 0.06
"""Pause before a call to the store is sent again."""

REFUSAL_SHARE = 0.25
"""Part of the objective after which a call that the store refuses is given up."""

LEAST_PATIENCE_SECONDS = 0.25

UNSURE_SECONDS = 1.0
"""Time after which a call whose outcome is unknown is answered so: the caller repeats it at
another entry, which may reach the store."""

STALE_SECONDS = 2.5
"""Age up to which the followed rows of jobs are good enough to report a state."""

READY_SECONDS = 2.2
"""Longest silence of the store while the entry is ready: two polls of a feed. Consumers then
connect to entries that still reach the store."""


@dataclasses.dataclass(slots=True)
class _Pending:
    """A call that waits for the store.

    Attributes
    ----------
    unsure : bool
        A write without an answer may still take effect.
    """

    call: calls.Call
    admitted: admission.Admitted
    reply: mailbox.Reply
    transaction: rows.Transaction | None
    give_up_at: float
    answer_by: float
    arrived_at: float
    unsure: bool = False


@dataclasses.dataclass(slots=True)
class _State:
    revoke_seconds: float
    store: mailbox.Mailbox
    inbox: mailbox.Mailbox
    record: metrics.Record
    clock: storeclock.StoreClock = dataclasses.field(default_factory=storeclock.StoreClock)
    desired: desired.DesiredState | None = None
    desired_at: float = -1e9
    health: store_health.StoreHealth = dataclasses.field(default_factory=store_health.StoreHealth)
    view: view.View = dataclasses.field(default_factory=view.View)
    counters: counters.Reception = dataclasses.field(default_factory=counters.Reception)


@dataclasses.dataclass(frozen=True, slots=True)
class Reception:
    """The running task."""

    inbox: mailbox.Mailbox
    running: task.Task


def start(revoke_seconds: float, store: mailbox.Mailbox, record: metrics.Record) -> Reception:
    """Start the task.

    Parameters
    ----------
    revoke_seconds : float
        Time in which a removed key must stop working.
    store : Mailbox
        Takes ``rows.Commit`` and ``rows.Fetch``.
    record : callable
        Takes the seconds that an accepted call took.
    """
    inbox = mailbox.create("reception")
    state = _State(revoke_seconds, store, inbox, record)

    def handle(message: typing.Any) -> None:
        _handle(state, message)

    return Reception(inbox, task.start("reception", loop.run(inbox, handle)))


async def close(reception: Reception) -> None:
    """Stop the task."""
    await task.close(reception.running)


def _handle(state: _State, message: typing.Any) -> None:
    match message:
        case messages.Asked(call, reply):
            _ask(state, call, reply)
        case messages.FeedFailed():
            store_health.failed(state.health)
        case messages.DesiredChanged(desired_state, asked_at):
            state.desired_at = max(state.desired_at, asked_at)
            if desired_state is not None and (
                state.desired is None or desired_state.version > state.desired.version
            ):
                state.desired = desired_state
        case rows.Snapshot() | rows.Changes():
            _follow(state, message)
        case rows.Committed():
            _committed(state, message)
        case rows.Fetched():
            _fetched(state, message)
        case messages.AskReady(reply):
            mailbox.answer(reply, _ready(state))
        case messages.Ask(reply):
            mailbox.answer(reply, _dump(state))
        case messages.Retry(pending):
            _send(state, pending)


def _ready(state: _State) -> bool:
    now = clock.now()
    oldest = min(state.desired_at, state.health.answered_at)
    return state.desired is not None and now - oldest < READY_SECONDS


def _follow(state: _State, message: rows.Snapshot | rows.Changes) -> None:
    storeclock.observe(state.clock, message.now_ms, message.asked_at, message.answered_at)
    store_health.answered(state.health, message.answered_at)
    jobs = []
    for row in message.rows:
        if not row.key.startswith(tables.JOB_PREFIX):
            continue
        if row.value is None:
            view.remove(state.view, row.key.removeprefix(tables.JOB_PREFIX))
        else:
            jobs.append(records.decode(records.JOB, row.value))
    if isinstance(message, rows.Snapshot):
        view.replace(state.view, jobs)
        return
    for job in jobs:
        view.put(state.view, job)


def _ask(state: _State, call: calls.Call, reply: mailbox.Reply) -> None:
    now = clock.now()
    age = now - state.desired_at
    admitted = admission.admit(
        state.desired, age, state.revoke_seconds, call.host, call.path, call.key
    )
    if isinstance(admitted, result.Err):
        _refuse(state, call, reply, admitted.err_value)
        return
    match call.action:
        case calls.Action.COUNT:
            _count(state, call, admitted.ok_value, reply)
        case calls.Action.SUBMIT:
            _submit(state, call, admitted.ok_value, reply, now)
        case calls.Action.CANCEL:
            _cancel(state, call, admitted.ok_value, reply, now)
        case calls.Action.STATE:
            _report(state, call, admitted.ok_value, reply, now)


def _count(
    state: _State, call: calls.Call, admitted: admission.Admitted, reply: mailbox.Reply
) -> None:
    if admitted.rest:
        _report(state, call, admitted, reply, clock.now())
        return
    if not state.view.loaded:
        _refuse(state, call, reply, _unavailable("the jobs have not been read yet"))
        return
    now_ms = storeclock.earliest_ms(state.clock, clock.now())
    mailbox.answer(reply, calls.Counted(view.pending(state.view, admitted.queue.name, now_ms)))


def _submit(
    state: _State,
    call: calls.Call,
    admitted: admission.Admitted,
    reply: mailbox.Reply,
    now: float,
) -> None:
    if not _is_id(admitted.rest):
        detail = f"expected {ID_DIGITS} hexadecimal digits"
        _refuse(state, call, reply, _invalid("id", admitted.rest, detail))
        return
    if isinstance(call.submission, verdict.Refusal) or call.submission is None:
        _refuse(state, call, reply, call.submission or _invalid("body", "", "expected a job"))
        return
    too_large = limits.refusal(call.submission.steps, call.submission.timetable)
    if too_large is not None:
        _refuse(state, call, reply, too_large)
        return
    if admitted.rest in state.view.jobs:
        _accept(state, call, admitted, reply, now, "the job is stored already")
        return
    job = _job(state, call.submission, admitted, now)
    _begin(
        state,
        call,
        admitted,
        reply,
        rows.Transaction(
            (rows.Condition(tables.job(job.id), 0),),
            (
                (tables.job(job.id), records.encode(job)),
                (tables.spec(job.id), call.submission.spec.encode()),
            ),
        ),
        now,
    )


def _cancel(
    state: _State,
    call: calls.Call,
    admitted: admission.Admitted,
    reply: mailbox.Reply,
    now: float,
) -> None:
    seen = state.view.jobs.get(admitted.rest)
    if seen is None:
        # The row may be newer than the feed, so the store decides whether there is such a job.
        _begin(state, call, admitted, reply, None, now)
        return
    if seen.state in steps.FINAL_STATES:
        mailbox.answer(reply, calls.Absent())
        return
    _begin(state, call, admitted, reply, _cancellation(admitted.rest), now)


def _report(
    state: _State,
    call: calls.Call,
    admitted: admission.Admitted,
    reply: mailbox.Reply,
    now: float,
) -> None:
    seen = state.view.jobs.get(admitted.rest)
    if seen is not None and now - state.health.answered_at < STALE_SECONDS:
        mailbox.answer(reply, calls.Reported(seen.state))
        return
    _begin(state, call, admitted, reply, None, now)


def _begin(
    state: _State,
    call: calls.Call,
    admitted: admission.Admitted,
    reply: mailbox.Reply,
    transaction: rows.Transaction | None,
    now: float,
) -> None:
    patience = max(LEAST_PATIENCE_SECONDS, REFUSAL_SHARE * admitted.queue.objective_ms / 1000.0)
    answer_by = now + call.budget_seconds - ANSWER_MARGIN_SECONDS
    pending = _Pending(call, admitted, reply, transaction, now + patience, answer_by, now)
    outage = store_health.outage(state.health, now)
    if outage:
        _refuse(state, call, reply, _unavailable(outage))
        return
    _send(state, pending)


def _send(state: _State, pending: _Pending) -> None:
    rest = pending.answer_by - clock.now()
    if rest <= LEAST_TRY_SECONDS:
        _give_up(state, pending, "the caller's time is over")
        return
    timeout = min(TRY_SECONDS, rest)
    if pending.transaction is None:
        key = tables.job(pending.admitted.rest)
        ask: typing.Any = rows.Fetch(pending, key.table, key.key, timeout, _post(state))
    else:
        ask = rows.Commit(pending, pending.transaction, timeout, _post(state))
    if not mailbox.post(state.store, ask):
        _give_up(state, pending, "too many calls to the store wait")


def _post(state: _State) -> typing.Callable[[typing.Any], None]:
    def post(answer: typing.Any) -> None:
        mailbox.post(state.inbox, answer)

    return post


def _committed(state: _State, done: rows.Committed) -> None:
    pending: _Pending = done.token
    if done.now_ms:
        storeclock.observe(state.clock, done.now_ms, done.asked_at, done.answered_at)
    match done.outcome:
        case rows.Outcome.COMMITTED | rows.Outcome.CONFLICT:
            # A job under the id that exists already is the same job.
            _accept(
                state,
                pending.call,
                pending.admitted,
                pending.reply,
                pending.arrived_at,
                done.outcome.name.lower(),
            )
        case rows.Outcome.UNKNOWN:
            pending.unsure = True
            _try_again(state, pending, pending.arrived_at + UNSURE_SECONDS, done.reason)
        case rows.Outcome.NOT_DONE if pending.unsure:
            _try_again(state, pending, pending.arrived_at + UNSURE_SECONDS, done.reason)
        case rows.Outcome.NOT_DONE:
            _try_again(state, pending, pending.give_up_at, done.reason)


def _fetched(state: _State, done: rows.Fetched) -> None:
    pending: _Pending = done.token
    if done.rows is None:
        _try_again(state, pending, pending.give_up_at, done.reason)
        return
    row = next((row for row in done.rows if row.value is not None), None)
    if row is None:
        mailbox.answer(pending.reply, calls.Absent())
        return
    job = records.decode(records.JOB, row.value or b"")
    if pending.call.action is not calls.Action.CANCEL:
        mailbox.answer(pending.reply, calls.Reported(job.state))
    elif job.state in steps.FINAL_STATES:
        mailbox.answer(pending.reply, calls.Absent())
    else:
        pending.transaction = _cancellation(job.id)
        _send(state, pending)


def _try_again(state: _State, pending: _Pending, until: float, reason: str) -> None:
    """Send a call again after a pause, or answer it when its time is over."""
    if clock.now() + RETRY_PAUSE_SECONDS < until:
        messages.later(state.inbox, messages.Retry(pending), RETRY_PAUSE_SECONDS)
    else:
        _give_up(state, pending, reason)


def _give_up(state: _State, pending: _Pending, reason: str) -> None:
    kind = verdict.Verdict.MAY_HAVE_RUN if pending.unsure else verdict.Verdict.NOT_RUN
    code = verdict.Code.STORE_UNAVAILABLE
    _refuse(state, pending.call, pending.reply, verdict.Refusal(kind, code, reason))


def _accept(
    state: _State,
    call: calls.Call,
    admitted: admission.Admitted,
    reply: mailbox.Reply,
    arrived_at: float,
    outcome: str,
) -> None:
    state.counters.calls_accepted += 1
    state.record(clock.now() - arrived_at)
    log.event(
        "reception:accepted",
        job=admitted.rest,
        action=call.action.name.lower(),
        queue=admitted.queue.name,
        customer=admitted.customer,
        desired_version=state.desired.version if state.desired else None,
        outcome=outcome,
        took_ms=round(1000 * (clock.now() - arrived_at)),
    )
    mailbox.answer(reply, calls.Accepted())


def _refuse(
    state: _State, call: calls.Call, reply: mailbox.Reply, refusal: verdict.Refusal
) -> None:
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


def _job(
    state: _State, submitted: calls.Submission, admitted: admission.Admitted, now: float
) -> steps.Job:
    queue = admitted.queue
    return steps.Job(
        id=admitted.rest,
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


def _cancellation(job_id: str) -> rows.Transaction:
    return rows.Transaction((), ((tables.cancel(job_id), b"{}"),))


def _is_id(text: str) -> bool:
    return len(text) == ID_DIGITS and all(digit in "0123456789abcdefABCDEF" for digit in text)


def _invalid(field: str, value: str, expected: str) -> verdict.Refusal:
    return verdict.Refusal(
        verdict.Verdict.NOT_RUN, verdict.Code.INVALID, expected, field, value[:100], expected
    )


def _unavailable(detail: str) -> verdict.Refusal:
    return verdict.Refusal(verdict.Verdict.NOT_RUN, verdict.Code.STORE_UNAVAILABLE, detail)


def _dump(state: _State) -> dict[str, typing.Any]:
    now = clock.now()
    return {
        "desired_version": state.desired.version if state.desired else None,
        "desired_age_seconds": round(min(1e6, now - state.desired_at), 3),
        "store_age_seconds": round(min(1e6, now - state.health.answered_at), 3),
        "counters": dataclasses.asdict(state.counters),
        "gauges": {"jobs": len(state.view.jobs)},
    }
