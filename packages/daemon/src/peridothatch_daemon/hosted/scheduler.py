"""The task that leads when its entry holds the lease, and then schedules."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.message import rows
from peridothatch_core.message import tickets as ticket_messages
from peridothatch_core.model import steps, storeclock
from peridothatch_core.schedule import cycle, leadership, state, tickets, writes
from peridothatch_daemon import messages as daemon_messages
from peridothatch_daemon.decide import loop
from peridothatch_daemon.hosted import (
    clock,
    counters,
    log,
    messages,
    records,
    schedule_lease,
    schedule_load,
    schedule_state,
)
from peridothatch_wire import mailbox, task

if typing.TYPE_CHECKING:
    from peridothatch_daemon.observe import metrics

TICK_SECONDS = 0.25
"""Period in which the lease and timed work are looked at."""

COMMIT_SECONDS = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class _Resend:
    """Send the first open batch again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Scheduler:
    """The running task."""

    inbox: mailbox.Mailbox
    running: task.Task
    ticking: task.Task


def start(
    node: str,
    incarnation: str,
    limits: state.Limits,
    store: mailbox.Mailbox,
    ticket_service: mailbox.Mailbox | None,
    record: metrics.LatencyRecorder,
    record_wait: metrics.LatencyRecorder,
) -> Scheduler:
    """Start the task.

    Parameters
    ----------
    incarnation : str
        Differs for each start of the process.
    store : Mailbox
        Takes ``rows.Commit`` and ``rows.Fetch``.
    ticket_service : Mailbox or None
        Takes ``tickets.Ask``; ``None`` where there is no such service.
    record : callable
        Takes the seconds that a transaction of decisions took.
    record_wait : callable
        Takes the seconds from a job's submission to the order of a run.
    """
    inbox = mailbox.create("scheduler")
    holder = leadership.Leadership(f"{node}/{incarnation}")
    own = schedule_state.State(
        node, store, ticket_service, inbox, holder, limits, record, record_wait
    )

    def handle(message: typing.Any) -> None:
        _handle(own, message)
        if inbox.depth == 0:
            _advance(own)

    return Scheduler(
        inbox,
        task.start("scheduler", loop.run(inbox, handle)),
        task.start(
            "scheduler ticks", task.post_periodically(TICK_SECONDS, inbox, daemon_messages.Tick())
        ),
    )


async def close(scheduler: Scheduler) -> None:
    """Stop the task."""
    await task.close(scheduler.ticking)
    await task.close(scheduler.running)


def _handle(own: schedule_state.State, message: typing.Any) -> None:
    match message:
        case rows.Snapshot() | rows.Changes():
            schedule_load.follow(own, message)
        case rows.Committed():
            storeclock.observe(own.clock, message.now_ms, message.asked_at, message.answered_at)
            if isinstance(message.token, writes.Batch):
                _batch_committed(own, message.token, message)
            elif schedule_lease.answered(own, message):
                schedule_load.load(own)
        case rows.Fetched():
            storeclock.observe(own.clock, message.now_ms, message.asked_at, message.answered_at)
            schedule_load.fetched(own, message)
        case ticket_messages.Answered():
            _tickets_answered(own, message)
        case messages.DesiredChanged(desired_state, _):
            if desired_state is not None and (
                own.desired is None or desired_state.version > own.desired.version
            ):
                own.desired = desired_state
        case messages.EvacuationsChanged(data_centres):
            if data_centres != own.evacuated:
                log.event("scheduler:evacuations", data_centres=sorted(data_centres))
            own.evacuated = data_centres
        case messages.Resign(reply):
            schedule_lease.resign(own, reply)
        case daemon_messages.DumpState(reply):
            mailbox.answer(reply, _dump(own))
        case _Resend():
            _send_batch(own)
        case schedule_load.Reload():
            if own.loading:
                schedule_load.load(own)
        case daemon_messages.Tick():
            pass


def _advance(own: schedule_state.State) -> None:
    """Do what is due: claim or renew the lease, then run a scheduling cycle."""
    if not own.clock.known or own.resigning is not None:
        return
    now_ms = storeclock.earliest_ms(own.clock, clock.now())
    schedule_lease.write_due(own, now_ms)
    if own.leadership.leading and not own.loading and not own.batches:
        _cycle(own, now_ms)


def _cycle(own: schedule_state.State, now_ms: int) -> None:
    schedule = own.schedule
    schedule.desired = own.desired
    schedule.evacuated = own.evacuated
    cycle.run(schedule, now_ms, clock.unix_ms())
    for note in schedule.events:
        log.event(
            f"scheduler:{note.kind}",
            job=note.job,
            task=note.task,
            attempt=note.attempt,
            worker_node=note.node,
            detail=note.detail,
            after_ms=note.elapsed_ms,
            epoch=own.leadership.epoch,
            store_ms=now_ms,
        )
        counters.count(own.counters, note.kind)
        if note.kind == "ordered" and note.elapsed_ms is not None:
            own.record_wait(note.elapsed_ms / 1000.0)
    schedule.events.clear()
    for request in schedule.ticket_requests:
        _ask_for_tickets(own, request)
    schedule.ticket_requests.clear()
    own.batches = writes.build_batches(schedule, own.leadership.epoch_version, records.encode)
    _send_batch(own)


def _ask_for_tickets(own: schedule_state.State, request: tickets.Request) -> None:
    def answer(done: ticket_messages.Answered) -> None:
        mailbox.post(own.inbox, done)

    name = ".".join(str(part) for part in request.step)
    ask = ticket_messages.Ask(request, name, request.workers, answer)
    if own.ticket_service is None or not mailbox.post(own.ticket_service, ask):
        answer(ticket_messages.Answered(request, None, reason="no ticket service can be asked"))


def _tickets_answered(own: schedule_state.State, done: ticket_messages.Answered) -> None:
    now_ms = storeclock.earliest_ms(own.clock, clock.now())
    log.event(
        "scheduler:tickets",
        step=done.token.step,
        asked=len(done.token.workers),
        granted=None if done.granted is None else len(done.granted),
        valid_ms=done.valid_ms,
        reason=done.reason,
    )
    if done.granted is None:
        tickets.record_no_answer(own.schedule, done.token, now_ms)
    else:
        tickets.record_answer(own.schedule, done.token, done.granted, done.valid_ms, now_ms)


def _send_batch(own: schedule_state.State) -> None:
    if own.batches and not own.sending:
        own.sending = True
        batch = own.batches[0]
        schedule_state.commit(own, batch, batch.transaction, COMMIT_SECONDS)


def _batch_committed(own: schedule_state.State, batch: writes.Batch, done: rows.Committed) -> None:
    own.sending = False
    if not own.leadership.leading or batch not in own.batches:
        return
    match done.outcome:
        case rows.Outcome.COMMITTED:
            own.record(done.answered_at - done.asked_at)
            own.schedule.write_latency_ms = 1000 * (done.answered_at - done.asked_at)
            _apply_batch(own, batch, done.version)
            own.batches.pop(0)
            _send_batch(own)
        case rows.Outcome.NOT_DONE:
            log.event("scheduler:write_refused", reason=done.reason, jobs=batch.saved_jobs)
            messages.later(own.inbox, _Resend(), schedule_state.RETRY_SECONDS)
        case _:
            log.event(
                "scheduler:write_unclear",
                outcome=done.outcome.name,
                reason=done.reason,
                jobs=batch.saved_jobs,
            )
            own.counters.writes_unclear += 1
            schedule_load.load(own)


def _apply_batch(own: schedule_state.State, batch: writes.Batch, version: int) -> None:
    schedule = own.schedule
    for job_id in batch.saved_jobs:
        schedule.job_versions[job_id] = version
    for job_id in batch.deleted_jobs:
        job = schedule.jobs.get(job_id)
        if job is not None:
            state.forget_job(schedule, job)
    for node in batch.lapsed_nodes:
        agent = schedule.lapsing.pop(node)
        schedule.agents[node] = agent
        schedule.agent_versions[node] = version
        own.counters.leases_lapsed += 1
        log.event(
            "scheduler:lapsed",
            worker_node=node,
            lapses=agent.lapses,
            hold_until_ms=agent.hold_until_ms,
        )


def _dump(own: schedule_state.State) -> dict[str, typing.Any]:
    schedule = own.schedule
    return {
        "leading": own.leadership.leading,
        "epoch": own.leadership.epoch,
        "store_age_seconds": round(storeclock.age_seconds(own.clock, clock.now()), 3),
        "evacuated": sorted(own.evacuated),
        "ejected": sorted(schedule.health.ejected_until),
        "counters": dataclasses.asdict(own.counters),
        "gauges": {
            "leading": int(own.leadership.leading),
            "jobs_open": sum(
                job.state not in steps.FINAL_STATES for job in schedule.jobs.values()
            ),
            "runs_open": sum(len(entries) for entries in schedule.runs.values()),
        },
    }
