"""Lookups, lists, explanations and reports of jobs."""

from __future__ import annotations

import typing

import result

from peridothatch_core.model import job, shape, verdict
from peridothatch_core.report import explain, promises
from peridothatch_daemon import messages
from peridothatch_daemon.decide import jobs_state
from peridothatch_daemon.outlet import rows
from peridothatch_wire import mailbox

if typing.TYPE_CHECKING:
    from peridothatch_core.message import store

OPEN_FILTER = "open"
MAX_WAITERS = 4096
# A read that succeeded is at most this old, which is the longest time that a read may take.
STALE_AFTER_SECONDS = 5.0

LookupResult = result.Result[jobs_state.StoredJob, verdict.Refusal]
OnJobs = typing.Callable[["result.Result[messages.JobList, verdict.Refusal]"], None]


def find_job(state: jobs_state.State, request: messages.FindJob) -> None:
    """Answer with a job, or let the caller wait until the job has changed."""
    deadline = state.clock() + request.wait_seconds

    def on_job(found: LookupResult) -> None:
        shown = check_access(found, request.job_id, request.customer)
        if isinstance(shown, result.Err) or not _must_wait(
            state, shown.ok_value.job, request, deadline
        ):
            _answer_found(state, request, shown)
            return
        if sum(len(waiting) for waiting in state.waiters.values()) >= MAX_WAITERS:
            detail = "too many callers are waiting for jobs; retry without wait_seconds"
            refusal = verdict.not_run(verdict.Code.OVERLOADED, detail)
            mailbox.answer(request.reply, result.Err(refusal))
            return
        waiter = jobs_state.Waiter(request, deadline)
        state.waiters.setdefault(request.job_id, []).append(waiter)

    jobs_state.lookup(state, request.job_id, on_job)


def refresh(state: jobs_state.State, job_id: str) -> None:
    """Read a job that callers wait for, and answer those whose wait is over."""
    if job_id not in state.waiters:
        return

    def on_job(found: LookupResult) -> None:
        kept = []
        for waiter in state.waiters.pop(job_id, []):
            shown = check_access(found, job_id, waiter.request.customer)
            if isinstance(shown, result.Ok) and _must_wait(
                state, shown.ok_value.job, waiter.request, waiter.deadline
            ):
                kept.append(waiter)
            else:
                _answer_found(state, waiter.request, shown)
        if kept:
            state.waiters[job_id] = kept

    jobs_state.lookup(state, job_id, on_job)


def refresh_all(state: jobs_state.State) -> None:
    """Read every job that callers wait for."""
    for job_id in list(state.waiters):
        refresh(state, job_id)


def list_jobs(state: jobs_state.State, request: messages.ListJobs) -> None:
    """Answer with the jobs of one customer or of all customers, filtered by state."""

    def on_jobs(found: result.Result[messages.JobList, verdict.Refusal]) -> None:
        if isinstance(found, result.Err):
            mailbox.answer(request.reply, found)
            return
        chosen = [item for item in found.ok_value.jobs if _matches(item, request)]
        chosen.sort(key=lambda item: (-item.submitted_at, item.id))
        answer = messages.JobList(
            tuple(chosen[: request.limit]), found.ok_value.age_seconds, len(chosen) > request.limit
        )
        mailbox.answer(request.reply, result.Ok(answer))

    unfinished = request.state == OPEN_FILTER or (
        request.state and request.state not in job.FINAL_STATES
    )
    (read_open if unfinished else read_all)(state, on_jobs)


def explain_job(state: jobs_state.State, request: messages.ExplainJob) -> None:
    """Answer with sentences that explain why a job waits, where it runs and what was promised."""

    def on_job(found: LookupResult) -> None:
        shown = check_access(found, request.job_id, request.customer)
        if isinstance(shown, result.Err):
            mailbox.answer(request.reply, shown)
            return
        stored = shown.ok_value
        if stored.job.state is not job.State.WAITING:
            _answer_explanation(state, request, stored, None)
            return
        read_open(
            state,
            lambda others: _answer_explanation(
                state, request, stored, _used_accelerators(stored.job, others)
            ),
        )

    jobs_state.lookup(state, request.job_id, on_job)


def report_promises(state: jobs_state.State, request: messages.ListPromises) -> None:
    """Answer with a report on how the promises to customers are kept."""

    def on_jobs(found: result.Result[messages.JobList, verdict.Refusal]) -> None:
        if isinstance(found, result.Err):
            mailbox.answer(request.reply, found)
            return
        report = promises.report(
            state.snapshot,
            found.ok_value.jobs,
            state.short_guarantees,
            state.wall_clock(),
            request.customer,
        )
        view = messages.PromiseView(report, found.ok_value.age_seconds)
        mailbox.answer(request.reply, result.Ok(view))

    read_all(state, on_jobs)


def read_all(state: jobs_state.State, on_jobs: OnJobs) -> None:
    """Read all job rows; ``on_jobs`` receives the jobs, from the cache if the read fails."""

    def on_rows(found: store.Rows) -> None:
        on_jobs(_to_job_list(state, found))

    jobs_state.read(state, (), (rows.JOB_PREFIX,), on_rows)


def read_open(state: jobs_state.State, on_jobs: OnJobs) -> None:
    """Read the jobs that are not final, through their index rows; ``on_jobs`` receives them."""

    def on_rows(found: store.Rows) -> None:
        if not found.ok or not found.rows:
            on_jobs(_to_job_list(state, found))
            return
        keys = tuple(rows.job_key(key.rpartition("/")[2]) for key in found.rows)
        jobs_state.read(state, keys, (), lambda read: on_jobs(_to_job_list(state, read)))

    jobs_state.read(state, (), (rows.ACTIVE_PREFIX,), on_rows)


def check_access(found: LookupResult, job_id: str, customer: str) -> LookupResult:
    """Return the job, or the refusal for an unknown job if it belongs to another customer."""
    if isinstance(found, result.Ok) and customer not in ("", found.ok_value.job.customer):
        return result.Err(jobs_state.unknown_job(job_id))
    return found


def _must_wait(
    state: jobs_state.State, item: job.Job, request: messages.FindJob, deadline: float
) -> bool:
    if state.waits_ended or state.clock() >= deadline or item.state in job.FINAL_STATES:
        return False
    return request.known_state in ("", item.state.value)


def _answer_found(state: jobs_state.State, request: messages.FindJob, found: LookupResult) -> None:
    answer = found.map(
        lambda stored: messages.JobView(stored.job, max(0.0, state.clock() - stored.read_at))
    )
    mailbox.answer(request.reply, answer)


def _to_job_list(
    state: jobs_state.State, found: store.Rows
) -> result.Result[messages.JobList, verdict.Refusal]:
    if found.ok:
        stored = [jobs_state.cache_row(state, row, found.sent_at) for row in found.rows.values()]
        known = tuple(item.job for item in stored if item is not None)
        return result.Ok(messages.JobList(known, max(0.0, state.clock() - found.sent_at)))
    if not state.cache:
        return result.Err(jobs_state.store_unavailable())
    oldest = min(item.read_at for item in state.cache.values())
    known = tuple(item.job for item in state.cache.values())
    return result.Ok(messages.JobList(known, max(0.0, state.clock() - oldest)))


def _matches(item: job.Job, request: messages.ListJobs) -> bool:
    if request.customer not in ("", item.customer):
        return False
    if request.state == OPEN_FILTER:
        return item.state not in job.FINAL_STATES
    return request.state in ("", item.state.value)


def _used_accelerators(
    item: job.Job, others: result.Result[messages.JobList, verdict.Refusal]
) -> int | None:
    """Return the number of accelerators in use by the customer's other jobs, if it is known."""
    if isinstance(others, result.Err):
        return None
    return sum(
        shape.total_accelerators(other.shape)
        for other in others.ok_value.jobs
        if other.customer == item.customer
        and other.state in (job.State.RUNNING, job.State.STOPPING)
    )


def _answer_explanation(
    state: jobs_state.State,
    request: messages.ExplainJob,
    stored: jobs_state.StoredJob,
    used: int | None,
) -> None:
    facts = explain.Facts(state.snapshot, state.digests, used, state.wall_clock())
    sentences = explain.explain(stored.job, facts)
    age = state.clock() - stored.read_at
    if age > STALE_AFTER_SECONDS:
        sentences.append(f"This was read {age:.0f} s ago; the table service does not answer.")
    mailbox.answer(request.reply, result.Ok(sentences))
