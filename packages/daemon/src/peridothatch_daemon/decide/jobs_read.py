"""Lookups, lists, explanations and reports of jobs."""

from __future__ import annotations

import typing

import result

from peridothatch_core.model import job, shape, verdict
from peridothatch_core.report import explain as explaining
from peridothatch_core.report import promises as reporting
from peridothatch_daemon import messages
from peridothatch_daemon.decide import jobs_state
from peridothatch_daemon.outlet import rows
from peridothatch_wire import mailbox

if typing.TYPE_CHECKING:
    from peridothatch_core.message import store

OPEN = "open"
MOST_WAITERS = 4096
# A read that was answered is at most this old, which is the time it may take.
STALE_SECONDS = 5.0

Found = result.Result[jobs_state.Held, verdict.Refusal]
OnJobs = typing.Callable[["result.Result[messages.JobList, verdict.Refusal]"], None]


def find(state: jobs_state.State, ask: messages.FindJob) -> None:
    """Answer with a job, or keep the caller until the job has changed."""
    until = state.clock() + ask.wait_seconds

    def then(found: Found) -> None:
        shown = visible(found, ask.job_id, ask.customer)
        if isinstance(shown, result.Err) or not _waits(state, shown.ok_value.job, ask, until):
            _answer_find(state, ask, shown)
            return
        if sum(len(several) for several in state.waiters.values()) >= MOST_WAITERS:
            detail = "too many callers wait for jobs; ask without wait_seconds"
            refusal = verdict.not_run(verdict.Code.OVERLOADED, detail)
            mailbox.answer(ask.reply, result.Err(refusal))
            return
        waiter = jobs_state.Waiter(ask, until)
        state.waiters.setdefault(ask.job_id, []).append(waiter)

    jobs_state.lookup(state, ask.job_id, then)


def refresh(state: jobs_state.State, job_id: str) -> None:
    """Read a job that callers wait for, and answer those who have waited enough."""
    if job_id not in state.waiters:
        return

    def then(found: Found) -> None:
        kept = []
        for waiter in state.waiters.pop(job_id, []):
            shown = visible(found, job_id, waiter.ask.customer)
            if isinstance(shown, result.Ok) and _waits(
                state, shown.ok_value.job, waiter.ask, waiter.until
            ):
                kept.append(waiter)
            else:
                _answer_find(state, waiter.ask, shown)
        if kept:
            state.waiters[job_id] = kept

    jobs_state.lookup(state, job_id, then)


def refresh_all(state: jobs_state.State) -> None:
    """Read every job that callers wait for."""
    for job_id in list(state.waiters):
        refresh(state, job_id)


def list_all(state: jobs_state.State, ask: messages.ListJobs) -> None:
    """Answer with the jobs of a customer, or of all, in a state."""

    def then(found: result.Result[messages.JobList, verdict.Refusal]) -> None:
        if isinstance(found, result.Err):
            mailbox.answer(ask.reply, found)
            return
        chosen = [item for item in found.ok_value.jobs if _wanted(item, ask)]
        chosen.sort(key=lambda item: (-item.submitted_at, item.id))
        answer = messages.JobList(
            tuple(chosen[: ask.limit]), found.ok_value.age_seconds, len(chosen) > ask.limit
        )
        mailbox.answer(ask.reply, result.Ok(answer))

    unfinished = ask.state == OPEN or (ask.state and ask.state not in job.FINAL_STATES)
    (read_open if unfinished else read_all)(state, then)


def explain(state: jobs_state.State, ask: messages.ExplainJob) -> None:
    """Answer with sentences on why a job waits, where it runs and what was promised."""

    def then(found: Found) -> None:
        shown = visible(found, ask.job_id, ask.customer)
        if isinstance(shown, result.Err):
            mailbox.answer(ask.reply, shown)
            return
        held = shown.ok_value
        if held.job.state is not job.State.WAITING:
            _explain(state, ask, held, None)
            return
        read_open(state, lambda others: _explain(state, ask, held, _held(held.job, others)))

    jobs_state.lookup(state, ask.job_id, then)


def promises(state: jobs_state.State, ask: messages.ListPromises) -> None:
    """Answer with what was promised and how it is being kept."""

    def then(found: result.Result[messages.JobList, verdict.Refusal]) -> None:
        if isinstance(found, result.Err):
            mailbox.answer(ask.reply, found)
            return
        report = reporting.report(
            state.snapshot, found.ok_value.jobs, state.short, state.wall(), ask.customer
        )
        view = messages.PromiseView(report, found.ok_value.age_seconds)
        mailbox.answer(ask.reply, result.Ok(view))

    read_all(state, then)


def read_all(state: jobs_state.State, then: OnJobs) -> None:
    """Read all job rows; ``then`` gets the jobs, from the cache when there is no answer."""

    def take(found: store.Rows) -> None:
        then(_jobs(state, found))

    jobs_state.read(state, (), (rows.JOB_PREFIX,), take)


def read_open(state: jobs_state.State, then: OnJobs) -> None:
    """Read the jobs that are not final, by their index rows; ``then`` gets them."""

    def take(found: store.Rows) -> None:
        if not found.ok or not found.rows:
            then(_jobs(state, found))
            return
        keys = tuple(rows.job_key(key.rpartition("/")[2]) for key in found.rows)
        jobs_state.read(state, keys, (), lambda read: then(_jobs(state, read)))

    jobs_state.read(state, (), (rows.ACTIVE_PREFIX,), take)


def visible(found: Found, job_id: str, customer: str) -> Found:
    """Return the job, or the refusal for an unknown one when it is another customer's."""
    if isinstance(found, result.Ok) and customer not in ("", found.ok_value.job.customer):
        return result.Err(jobs_state.unknown(job_id))
    return found


def _waits(state: jobs_state.State, item: job.Job, ask: messages.FindJob, until: float) -> bool:
    if state.waits_ended or state.clock() >= until or item.state in job.FINAL_STATES:
        return False
    return ask.known_state in ("", item.state.value)


def _answer_find(state: jobs_state.State, ask: messages.FindJob, found: Found) -> None:
    answer = found.map(
        lambda held: messages.JobView(held.job, max(0.0, state.clock() - held.read_at))
    )
    mailbox.answer(ask.reply, answer)


def _jobs(
    state: jobs_state.State, found: store.Rows
) -> result.Result[messages.JobList, verdict.Refusal]:
    if found.ok:
        held = [jobs_state.remember(state, row, found.sent_at) for row in found.rows.values()]
        known = tuple(item.job for item in held if item is not None)
        return result.Ok(messages.JobList(known, max(0.0, state.clock() - found.sent_at)))
    if not state.cache:
        return result.Err(jobs_state.no_answer())
    oldest = min(item.read_at for item in state.cache.values())
    known = tuple(item.job for item in state.cache.values())
    return result.Ok(messages.JobList(known, max(0.0, state.clock() - oldest)))


def _wanted(item: job.Job, ask: messages.ListJobs) -> bool:
    if ask.customer not in ("", item.customer):
        return False
    if ask.state == OPEN:
        return item.state not in job.FINAL_STATES
    return ask.state in ("", item.state.value)


def _held(item: job.Job, others: result.Result[messages.JobList, verdict.Refusal]) -> int | None:
    """Return the accelerators that the customer's other jobs hold."""
    if isinstance(others, result.Err):
        return None
    return sum(
        shape.total_accelerators(other.shape)
        for other in others.ok_value.jobs
        if other.customer == item.customer
        and other.state in (job.State.RUNNING, job.State.STOPPING)
    )


def _explain(
    state: jobs_state.State, ask: messages.ExplainJob, held: jobs_state.Held, used: int | None
) -> None:
    facts = explaining.Facts(state.snapshot, state.digests, used, state.wall())
    sentences = explaining.explain(held.job, facts)
    age = state.clock() - held.read_at
    if age > STALE_SECONDS:
        sentences.append(f"This was read {age:.0f} s ago; the table service does not answer.")
    mailbox.answer(ask.reply, result.Ok(sentences))
