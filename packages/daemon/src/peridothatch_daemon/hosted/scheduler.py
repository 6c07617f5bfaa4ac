"""Task that takes part in the leader election and schedules while its entry is the leader."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.message import rows
from peridothatch_core.message import tickets as ticket_messages
from peridothatch_core.model import steps, storeclock
from peridothatch_core.order import calibration, expectations, fair_share
from peridothatch_core.schedule import (
    cycle,
    leadership,
    learned_rows,
    rejection,
    speed_fit,
    speed_tiers,
    tickets,
    turns,
    writes,
)
from peridothatch_core.schedule import state as core_state
from peridothatch_daemon import messages as daemon_messages
from peridothatch_daemon.decide import loop
from peridothatch_daemon.hosted import (
    clock,
    counters,
    log,
    messages,
    records,
    schedule_learned,
    schedule_lease,
    schedule_load,
    schedule_state,
)
from peridothatch_wire import mailbox, task

if typing.TYPE_CHECKING:
    from peridothatch_daemon.observe import metrics

TICK_SECONDS = 0.25
"""Interval at which the lease and time-dependent decisions are checked."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Resend:
    """Retry the first batch."""


@dataclasses.dataclass(frozen=True, slots=True)
class Scheduler:
    """The running task."""

    inbox: mailbox.Mailbox
    running: task.Task
    ticking: task.Task


def _ignore() -> None:
    """Take a report that nobody needs."""


def _ignore_version(after: int | None) -> None:
    """Follow nothing."""


def _ignore_error(queue: str, error: float) -> None:
    """Record no error."""


def start(
    node: str,
    incarnation: str,
    limits: core_state.Limits,
    store: mailbox.Mailbox,
    ticket_service: mailbox.Mailbox | None,
    record_latency: metrics.LatencyRecorder,
    record_wait: metrics.LatencyRecorder,
    report_refused: typing.Callable[[], None] = _ignore,
    record_error: metrics.ErrorRecorder = _ignore_error,
    follow_agents: typing.Callable[[int | None], None] = _ignore_version,
) -> Scheduler:
    """Start the task.

    Parameters
    ----------
    incarnation : str
        Unique to each start of the process.
    store : Mailbox
        Takes ``rows.Commit`` and ``rows.Fetch``.
    ticket_service : Mailbox or None
        Takes ``tickets.Ask``; ``None`` if the installation has no ticket service.
    record_latency : callable
        Takes the duration in seconds of a transaction that writes decisions.
    record_wait : callable
        Takes the time in seconds from a job's submission to the order of one of its runs.
    report_refused : callable
        Called when a full partition has refused a write of this process as the leader.
    record_error : callable
        Takes the queue and the error of the expected run time of a run that is done.
    follow_agents : callable
        Takes the version of the store after which changes of the agents' rows are to be delivered
        to this task, or ``None`` when they are needed no longer.
    """
    inbox = mailbox.create("scheduler")
    own_leadership = leadership.Leadership(f"{node}/{incarnation}")
    state = schedule_state.State(
        node,
        store,
        ticket_service,
        inbox,
        own_leadership,
        limits,
        record_latency,
        record_wait,
        report_refused,
        record_error,
        follow_agents,
    )

    def handle(message: typing.Any) -> None:
        _handle(state, message)
        schedule_load.stop_following(state)
        if inbox.depth == 0:
            _run_due_work(state)

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


def _handle(state: schedule_state.State, message: typing.Any) -> None:
    match message:
        case rows.Snapshot() | rows.Changes():
            schedule_load.apply_feed(state, message)
        case rows.Committed():
            storeclock.observe(state.clock, message.now_ms, message.asked_at, message.answered_at)
            if isinstance(message.token, writes.Batch):
                _handle_batch_outcome(state, message.token, message)
            elif isinstance(message.token, learned_rows.Write):
                schedule_learned.handle_write_outcome(state, message.token, message)
            elif schedule_lease.handle_write_outcome(state, message):
                schedule_load.start_load(state)
        case rows.Fetched():
            storeclock.observe(state.clock, message.now_ms, message.asked_at, message.answered_at)
            if isinstance(message.token, schedule_learned.Read):
                schedule_learned.handle_fetched(state, message.token, message)
            else:
                schedule_load.handle_fetched(state, message)
        case ticket_messages.Answered():
            _handle_tickets(state, message)
        case messages.DesiredConfirmed(desired_state, _):
            if state.desired is None or desired_state.version > state.desired.version:
                state.desired = desired_state
        case messages.EvacuationsConfirmed(data_centres, asked_at):
            state.evacuations_at = max(state.evacuations_at, asked_at)
            if data_centres != state.evacuated:
                log.event("scheduler:evacuations", data_centres=sorted(data_centres))
            state.evacuated = data_centres
        case messages.Resign(reply):
            schedule_lease.resign(state, reply)
        case daemon_messages.DumpState(reply):
            mailbox.answer(reply, _dump(state))
        case schedule_lease.Resignation():
            schedule_lease.send_resignation(state)
        case _Resend():
            _send_batch(state)
        case schedule_load.Reload():
            if state.loading:
                schedule_load.start_load(state)
        case schedule_learned.Read():
            schedule_learned.read(state, message)
        case daemon_messages.Tick():
            pass


def _run_due_work(state: schedule_state.State) -> None:
    """Claim or renew the lease if due; run a scheduling cycle if this process can decide."""
    if not state.clock.known or state.resign_reply is not None:
        return
    now_ms = storeclock.earliest_ms(state.clock, clock.now())
    schedule_lease.claim_or_renew(state, now_ms)
    if not state.leadership.leading or state.loading or state.batches:
        return
    if state.load_due:
        schedule_load.start_load(state)
    else:
        _run_cycle(state, now_ms)
        schedule_learned.read_once(state)
        schedule_learned.write_if_idle(state, now_ms)


def _run_cycle(state: schedule_state.State, now_ms: int) -> None:
    schedule = state.schedule
    schedule.desired = state.desired
    schedule.evacuated = _recent_evacuations(state)
    cycle.run(schedule, now_ms, clock.unix_ms())
    for event in schedule.events:
        log.event(
            f"scheduler:{event.kind}",
            job=event.job,
            task=event.task,
            attempt=event.attempt,
            worker_node=event.node,
            detail=event.detail,
            after_ms=event.elapsed_ms,
            **_forecast_fields(event.forecast),
            epoch=state.leadership.epoch,
            store_ms=now_ms,
        )
        counters.count_decision(state.counters, event.kind)
        if event.kind == "ordered" and event.elapsed_ms is not None:
            state.record_wait(event.elapsed_ms / 1000.0)
    schedule.events.clear()
    for queue, error in schedule.learned.new_errors:
        state.record_error(queue, error)
    schedule.learned.new_errors.clear()
    for request in schedule.ticket_requests:
        _request_tickets(state, request)
    schedule.ticket_requests.clear()
    state.batches = writes.build_batches(schedule, state.leadership.epoch_version, records.encode)
    _send_batch(state)


def _forecast_fields(forecast: calibration.Forecast | None) -> dict[str, typing.Any]:
    """Return the fields of a log line that tell the expected run time, and what it is based on."""
    if forecast is None:
        return {}
    median, *_, upper = (round(1000 * seconds) for seconds in forecast.seconds)
    return {
        "expected_ms": median,
        "expected_within_ms": upper,
        "expected_by": str(forecast.level),
        "samples": round(forecast.samples, 1),
    }


def _recent_evacuations(state: schedule_state.State) -> frozenset[str] | None:
    """Return the data centres out of service, or ``None`` if they must be read first."""
    age_ms = 1000 * (clock.now() - state.evacuations_at)
    late = state.evacuated is None or age_ms > core_state.max_evacuations_age_ms(state.limits)
    if late != state.evacuations_late:
        state.evacuations_late = late
        log.event("scheduler:evacuations_late", late=late, age_ms=round(min(1e6, age_ms)))
    return None if late else state.evacuated


def _request_tickets(state: schedule_state.State, request: tickets.Request) -> None:
    def answer(answered: ticket_messages.Answered) -> None:
        mailbox.post(state.inbox, answered)

    name = ".".join(str(part) for part in request.step)
    message = ticket_messages.Ask(request, name, request.workers, answer)
    if state.ticket_service is None or not mailbox.post(state.ticket_service, message):
        answer(ticket_messages.Answered(request, None, reason="no ticket service can be asked"))


def _handle_tickets(state: schedule_state.State, answered: ticket_messages.Answered) -> None:
    now_ms = storeclock.earliest_ms(state.clock, clock.now())
    log.event(
        "scheduler:tickets",
        step=answered.token.step,
        asked=len(answered.token.workers),
        granted=None if answered.granted is None else len(answered.granted),
        valid_ms=answered.valid_ms,
        reason=answered.reason,
    )
    if answered.granted is None:
        tickets.record_no_answer(state.schedule, answered.token, now_ms)
    else:
        tickets.record_answer(
            state.schedule, answered.token, answered.granted, answered.valid_ms, now_ms
        )


def _send_batch(state: schedule_state.State) -> None:
    if state.batches and not state.sending:
        state.sending = True
        batch = state.batches[0]
        schedule_lease.send_batch(state, batch)


def _handle_batch_outcome(
    state: schedule_state.State, batch: writes.Batch, committed: rows.Committed
) -> None:
    state.sending = False
    schedule_lease.handle_batch_outcome(state, batch, committed)
    if not state.leadership.leading or batch not in state.batches:
        return
    match committed.outcome:
        case rows.Outcome.COMMITTED:
            state.record_latency(committed.answered_at - committed.asked_at)
            latency_ms = 1000 * (committed.answered_at - committed.asked_at)
            core_state.record_write_latency(state.schedule, latency_ms)
            _apply_batch(state, batch, committed.version)
            state.batches.pop(0)
            _send_batch(state)
        case rows.Outcome.NOT_DONE if committed.rejected:
            _handle_rejection(state, batch, committed.reason)
        case rows.Outcome.NOT_DONE:
            log.event("scheduler:write_refused", reason=committed.reason, jobs=batch.saved_jobs)
            messages.post_later(state.inbox, _Resend(), schedule_lease.resend_seconds(state))
        case _:
            log.event(
                "scheduler:write_unclear",
                outcome=committed.outcome.name,
                reason=committed.reason,
                jobs=batch.saved_jobs,
            )
            state.counters.writes_unclear += 1
            schedule_load.start_load(state)


def _handle_rejection(state: schedule_state.State, batch: writes.Batch, reason: str) -> None:
    """Isolate the jobs of a transaction that the store will never accept, and read all rows.

    The read undoes the decisions that were not written. Without a job there are none to undo:
    a lapse stays pending, and the end of a run that is not deleted does no harm.
    """
    job_ids = tuple(dict.fromkeys((*batch.saved_jobs, *batch.deleted_jobs, *batch.stopped_jobs)))
    log.event("scheduler:write_rejected", reason=reason, jobs=job_ids)
    state.counters.writes_rejected += 1
    if not job_ids:
        state.batches.pop(0)
        _send_batch(state)
        return
    now_ms = storeclock.earliest_ms(state.clock, clock.now())
    rejection.record(state.schedule, job_ids, now_ms)
    state.loading = True
    state.batches = []
    messages.post_later(state.inbox, schedule_load.Reload(), schedule_state.RETRY_DELAY_SECONDS)


def _apply_batch(state: schedule_state.State, batch: writes.Batch, version: int) -> None:
    schedule = state.schedule
    rejection.record_committed(schedule, batch.saved_jobs)
    for job_id in batch.saved_jobs:
        schedule.job_versions[job_id] = version
    for job_id in batch.deleted_jobs:
        job = schedule.jobs.get(job_id)
        if job is not None:
            core_state.forget_job(schedule, job)
    for node in batch.lapsed_nodes:
        agent = schedule.lapsing.pop(node)
        schedule.agents[node] = agent
        schedule.agent_versions[node] = version
        state.counters.leases_lapsed += 1
        log.event(
            "scheduler:lapsed",
            worker_node=node,
            lapses=agent.lapses,
            hold_until_ms=agent.hold_until_ms,
        )


def _dump(state: schedule_state.State) -> dict[str, typing.Any]:
    schedule = state.schedule
    return {
        "leading": state.leadership.leading,
        "epoch": state.leadership.epoch,
        "store_age_seconds": round(storeclock.age_seconds(state.clock, clock.now()), 3),
        "evacuated": None if state.evacuated is None else sorted(state.evacuated),
        "ejected": sorted(schedule.health.ejected_until),
        "speeds": _dump_speeds(schedule),
        "run_times": expectations.describe(schedule.learned.history),
        "run_time_errors": calibration.describe(schedule.learned.errors),
        "learned_read": schedule.learned.is_read,
        "worker_speeds": len(schedule.learned.speeds),
        "shares": _shares(schedule),
        "counters": dataclasses.asdict(state.counters),
        "gauges": {
            "leading": int(state.leadership.leading),
            "jobs_open": sum(
                job.state not in steps.FINAL_STATES for job in schedule.jobs.values()
            ),
            "runs_open": sum(len(entries) for entries in schedule.runs.values()),
            "workers_fast": _count_workers(schedule, speed_tiers.Tier.FAST),
            "workers_slow": _count_workers(schedule, speed_tiers.Tier.SLOW),
            "customers_take_turns": int(fair_share.is_enabled(schedule.desired)),
        },
    }


def _dump_speeds(schedule: core_state.State) -> dict[str, typing.Any]:
    """Return the lasting speeds by node, with their weights, and the tiers that are in use."""
    return {
        "spreads": {
            service: round(spread, 2) for service, spread in schedule.speed_tiers.spreads.items()
        },
        "tiers": {
            service: {tier: speed_tiers.nodes_of(tiers, tier) for tier in speed_tiers.Tier}
            for service, tiers in schedule.speed_tiers.by_service.items()
        },
        "workers": {
            node: [round(speed_fit.ratio(speed), 2), round(speed.weight, 1)]
            for node, speed in sorted(schedule.speeds.lasting.items())
        },
    }


def _count_workers(schedule: core_state.State, tier: speed_tiers.Tier) -> int:
    return sum(
        len(speed_tiers.nodes_of(tiers, tier))
        for tiers in schedule.speed_tiers.by_service.values()
    )


def _shares(schedule: core_state.State) -> dict[str, dict[str, int]]:
    """Return the accelerators that each customer uses, and those guaranteed to it."""
    used = turns.accelerators_in_use(schedule)
    guaranteed = turns.guaranteed_accelerators(schedule)
    return {
        customer: {"used": used.get(customer, 0), "guaranteed": guaranteed.get(customer, 0)}
        for customer in sorted(used.keys() | guaranteed.keys())
    }
