"""The task that leads when its entry holds the lease, and then schedules."""

from __future__ import annotations

import dataclasses
import enum
import typing
import zlib

from peridothatch_core.message import rows
from peridothatch_core.message import tickets as ticket_messages
from peridothatch_core.model import steps, storeclock, tables
from peridothatch_core.schedule import cycle, leadership, state, tickets, writes
from peridothatch_daemon.decide import loop
from peridothatch_daemon.hosted import clock, counters, log, messages, records, schedule_rows
from peridothatch_wire import mailbox, task

if typing.TYPE_CHECKING:
    from peridothatch_core.model import desired
    from peridothatch_daemon.observe import metrics

TICK_SECONDS = 0.25
"""Period in which the lease and timed work are looked at."""

COMMIT_SECONDS = 1.5
READ_SECONDS = 2.5

RETRY_SECONDS = 0.08
"""Pause before a transaction that was certainly not done is sent again."""

PATIENCE_ROUND_TRIPS = 8
"""Wait before a claim, in round trips to the store: the nearest entry claims first, since it
schedules with the least delay."""

PATIENCE_SPREAD_MS = 40
"""Spread of the wait among entries that are equally near."""


class Purpose(enum.Enum):
    """What a call to the store was for."""

    CLAIM = enum.auto()
    RENEW = enum.auto()
    RESIGN = enum.auto()
    LOAD_WORK = enum.auto()
    LOAD_MEMBERS = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class _Resend:
    """Send the first open batch again."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Reload:
    """Read the rows again."""


@dataclasses.dataclass(slots=True)
class _State:
    """State of the task.

    Attributes
    ----------
    loading : bool
        The rows are being read after a takeover or a conflict.
    work : tuple of Row or None
        Rows of the work table of the read that is under way.
    missed : list
        News that feeds brought while the rows were being read; the read may not contain them.
    floor : int
        Newest version of the work rows that were read; older news of their feed is known.
    batches : list
        Transactions that are still to be sent; the first one is under way.
    """

    node: str
    store: mailbox.Mailbox
    ticket_service: mailbox.Mailbox | None
    inbox: mailbox.Mailbox
    leadership: leadership.Leadership
    limits: state.Limits
    record: metrics.Record
    clock: storeclock.StoreClock = dataclasses.field(default_factory=storeclock.StoreClock)
    round_trip_ms: float = 50.0
    schedule: state.State = dataclasses.field(default_factory=state.State)
    desired: desired.DesiredState | None = None
    evacuated: frozenset[str] = frozenset()
    loading: bool = False
    work: tuple[rows.Row, ...] | None = None
    missed: list[tuple[str, rows.Row]] = dataclasses.field(default_factory=list)
    floor: int = 0
    batches: list[writes.Batch] = dataclasses.field(default_factory=list)
    sending: bool = False
    resigning: mailbox.Reply | None = None
    counters: counters.Scheduler = dataclasses.field(default_factory=counters.Scheduler)


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
    record: metrics.Record,
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
    """
    inbox = mailbox.create("scheduler")
    holder = leadership.Leadership(f"{node}/{incarnation}")
    own = _State(node, store, ticket_service, inbox, holder, limits, record)

    def handle(message: typing.Any) -> None:
        _handle(own, message)
        if inbox.depth == 0:
            _advance(own)

    return Scheduler(
        inbox,
        task.start("scheduler", loop.run(inbox, handle)),
        task.start("scheduler ticks", task.every(TICK_SECONDS, inbox, messages.Tick())),
    )


async def close(scheduler: Scheduler) -> None:
    """Stop the task."""
    await task.close(scheduler.ticking)
    await task.close(scheduler.running)


def _handle(own: _State, message: typing.Any) -> None:
    match message:
        case rows.Snapshot() | rows.Changes():
            _follow(own, message)
        case rows.Committed():
            storeclock.observe(own.clock, message.now_ms, message.asked_at, message.answered_at)
            _committed(own, message)
        case rows.Fetched():
            storeclock.observe(own.clock, message.now_ms, message.asked_at, message.answered_at)
            _fetched(own, message)
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
            _resign(own, reply)
        case messages.Ask(reply):
            mailbox.answer(reply, _dump(own))
        case _Resend():
            _send_batch(own)
        case _Reload():
            if own.loading:
                _load(own)
        case messages.Tick():
            pass


def _advance(own: _State) -> None:
    """Do what is due: claim or renew the lease, then run a scheduling cycle."""
    now = clock.now()
    holder = own.leadership
    if not own.clock.now_ms or own.resigning is not None:
        return
    now_ms = storeclock.earliest_ms(own.clock, now)
    if holder.sent_at is None and now >= holder.retry_at:
        if leadership.may_claim(holder, now_ms, _patience_ms(own)):
            _send_lease(own, Purpose.CLAIM, leadership.claim(holder, now_ms, records.encode), now)
        elif holder.leading and now - holder.renewed_at >= leadership.RENEW_SECONDS:
            renewal = leadership.renewal(holder, now_ms, records.encode)
            _send_lease(own, Purpose.RENEW, renewal, now)
    if holder.leading and not own.loading and not own.batches:
        _cycle(own, now_ms)


def _cycle(own: _State, now_ms: int) -> None:
    schedule = own.schedule
    schedule.desired = own.desired
    schedule.evacuated = own.evacuated
    cycle.run(schedule, now_ms, clock.unix_ms())
    for note in schedule.notes:
        log.event(
            f"scheduler:{note.kind}",
            job=note.job,
            task=note.task,
            attempt=note.attempt,
            worker_node=note.node,
            detail=note.detail,
            epoch=own.leadership.epoch,
            store_ms=now_ms,
        )
        counters.count(own.counters, note.kind)
    schedule.notes.clear()
    for request in schedule.requests:
        _ask_for_tickets(own, request)
    schedule.requests.clear()
    own.batches = writes.take(schedule, own.leadership.epoch_version, records.encode)
    _send_batch(own)


def _ask_for_tickets(own: _State, request: tickets.Request) -> None:
    def answer(done: ticket_messages.Answered) -> None:
        mailbox.post(own.inbox, done)

    name = ".".join(str(part) for part in request.step)
    ask = ticket_messages.Ask(request, name, request.workers, answer)
    if own.ticket_service is None or not mailbox.post(own.ticket_service, ask):
        answer(ticket_messages.Answered(request, None, reason="no ticket service can be asked"))


def _tickets_answered(own: _State, done: ticket_messages.Answered) -> None:
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
        tickets.unanswered(own.schedule, done.token, now_ms)
    else:
        tickets.answered(own.schedule, done.token, done.granted, done.valid_ms, now_ms)


def _send_batch(own: _State) -> None:
    if own.batches and not own.sending:
        own.sending = True
        batch = own.batches[0]
        _commit(own, batch, batch.transaction, COMMIT_SECONDS)


def _send_lease(own: _State, purpose: Purpose, transaction: rows.Transaction, now: float) -> None:
    own.leadership.sent_at = now
    _commit(own, purpose, transaction, leadership.WRITE_SECONDS)


def _commit(
    own: _State, token: typing.Any, transaction: rows.Transaction, timeout_seconds: float
) -> None:
    def answer(done: rows.Committed) -> None:
        mailbox.post(own.inbox, done)

    message = rows.Commit(token, transaction, timeout_seconds, answer)
    if not mailbox.post(own.store, message):
        answer(rows.Committed(token, rows.Outcome.NOT_DONE, reason="the queue is full"))


def _fetch(own: _State, token: Purpose, table: str) -> None:
    def answer(done: rows.Fetched) -> None:
        mailbox.post(own.inbox, done)

    message = rows.Fetch(token, table, "", READ_SECONDS, answer)
    if not mailbox.post(own.store, message):
        answer(rows.Fetched(token, None, reason="the queue is full"))


def _committed(own: _State, done: rows.Committed) -> None:
    if isinstance(done.token, writes.Batch):
        _batch_committed(own, done.token, done)
        return
    holder = own.leadership
    sent_at = holder.sent_at or 0.0
    holder.sent_at = None
    committed = done.outcome is rows.Outcome.COMMITTED
    if not committed:
        holder.retry_at = clock.now() + leadership.RETRY_SECONDS
    match done.token:
        case Purpose.CLAIM if committed:
            own.round_trip_ms = 1000 * (done.answered_at - done.asked_at)
            leadership.lead(holder, done.version, sent_at)
            _take_lead(own, done.now_ms)
        case Purpose.RENEW if committed:
            holder.renewed_at = sent_at
        case Purpose.RENEW if done.outcome is rows.Outcome.CONFLICT:
            _lose(own, "another entry has taken the epoch")
        case Purpose.RESIGN:
            if own.resigning is not None:
                mailbox.answer(own.resigning, committed)
        case _:
            log.event(
                "scheduler:lease_write_failed",
                purpose=done.token.name,
                outcome=done.outcome.name,
                reason=done.reason,
            )


def _take_lead(own: _State, now_ms: int) -> None:
    log.event("scheduler:leading", epoch=own.leadership.epoch, store_ms=now_ms)
    own.counters.claims += 1
    _load(own)


def _batch_committed(own: _State, batch: writes.Batch, done: rows.Committed) -> None:
    own.sending = False
    if not own.leadership.leading or batch not in own.batches:
        return
    match done.outcome:
        case rows.Outcome.COMMITTED:
            own.record(done.answered_at - done.asked_at)
            _apply_batch(own, batch, done.version)
            own.batches.pop(0)
            _send_batch(own)
        case rows.Outcome.NOT_DONE:
            log.event("scheduler:write_refused", reason=done.reason, jobs=batch.jobs)
            messages.later(own.inbox, _Resend(), RETRY_SECONDS)
        case _:
            log.event(
                "scheduler:write_unclear",
                outcome=done.outcome.name,
                reason=done.reason,
                jobs=batch.jobs,
            )
            own.counters.writes_unclear += 1
            _load(own)


def _apply_batch(own: _State, batch: writes.Batch, version: int) -> None:
    schedule = own.schedule
    for job_id in batch.jobs:
        schedule.versions[job_id] = version
    for job_id in batch.dropped:
        job = schedule.jobs.get(job_id)
        if job is not None:
            state.drop_job(schedule, job)
    for node in batch.nodes:
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


def _load(own: _State) -> None:
    """Read all rows anew; decisions wait until they are there."""
    own.loading = True
    own.batches = []
    own.sending = False
    own.work = None
    own.missed.clear()
    _fetch(own, Purpose.LOAD_WORK, tables.WORK)


def _fetched(own: _State, done: rows.Fetched) -> None:
    if not own.loading or not own.leadership.leading:
        own.loading = False
        return
    if done.rows is None:
        log.event("scheduler:load_failed", reason=done.reason)
        messages.later(own.inbox, _Reload(), RETRY_SECONDS)
        return
    if done.token is Purpose.LOAD_WORK:
        own.work = done.rows
        _fetch(own, Purpose.LOAD_MEMBERS, tables.MEMBERS)
        return
    _take_members(own, done.rows)
    if own.leadership.leading and own.work is not None:
        _build(own, own.work, done.rows)


def _build(own: _State, work: tuple[rows.Row, ...], members: tuple[rows.Row, ...]) -> None:
    old = own.schedule
    fresh = state.State(
        own.limits,
        health=old.health,
        avoid=old.avoid,
        retry_at=old.retry_at,
        ready_at=old.ready_at,
        tickets=old.tickets,
        speeds=old.speeds,
        runtimes=old.runtimes,
    )
    own.schedule = fresh
    # The members were read later, so their versions say nothing about the work.
    own.floor = max((row.version for row in work), default=0)
    for row in work:
        schedule_rows.take_work(own.schedule, row)
    for row in members:
        schedule_rows.take_agent(own.schedule, row)
    for table, row in own.missed:
        _take_change(own, table, row)
    own.missed.clear()
    own.loading = False
    own.work = None
    log.event(
        "scheduler:loaded",
        jobs=len(fresh.jobs),
        agents=len(fresh.agents),
        ends=len(fresh.ends),
        version=own.floor,
    )


def _follow(own: _State, message: rows.Snapshot | rows.Changes) -> None:
    storeclock.observe(own.clock, message.now_ms, message.asked_at, message.answered_at)
    if message.table == tables.MEMBERS:
        _take_members(own, message.rows)
    if not own.leadership.leading:
        return
    if own.loading:
        own.missed.extend((message.table, row) for row in message.rows)
        return
    if isinstance(message, rows.Snapshot):
        _load(own)
        return
    for row in message.rows:
        _take_change(own, message.table, row)


def _take_change(own: _State, table: str, row: rows.Row) -> None:
    if table == tables.MEMBERS:
        schedule_rows.take_agent(own.schedule, row)
    elif row.value is not None and row.version > own.floor:
        schedule_rows.take_work(own.schedule, row)


def _take_members(own: _State, members: tuple[rows.Row, ...]) -> None:
    """Take the rows of the leadership over."""
    for row in members:
        if row.value is None or row.key not in (tables.EPOCH.key, tables.LEASE.key):
            continue
        lease = records.decode(records.LEASE, row.value)
        if row.key == tables.LEASE.key:
            leadership.observe_lease(own.leadership, lease, row.version)
        elif leadership.observe_epoch(own.leadership, lease, row.version):
            _lose(own, f"{lease.holder} has taken the epoch")
        elif own.resigning is None and leadership.won_unanswered(own.leadership, lease):
            own.leadership.leading = True
            _take_lead(own, storeclock.earliest_ms(own.clock, clock.now()))


def _lose(own: _State, reason: str) -> None:
    own.leadership.leading = False
    own.batches = []
    own.loading = False
    own.schedule = state.State(own.limits)
    log.event("scheduler:not_leading", epoch=own.leadership.epoch, reason=reason)


def _resign(own: _State, reply: mailbox.Reply) -> None:
    own.resigning = reply
    if not own.leadership.leading:
        mailbox.answer(reply, True)
        return
    own.leadership.leading = False
    resignation = leadership.resignation(own.leadership, records.encode)
    _send_lease(own, Purpose.RESIGN, resignation, clock.now())


def _patience_ms(own: _State) -> int:
    spread = zlib.crc32(own.leadership.me.encode()) % PATIENCE_SPREAD_MS
    return int(PATIENCE_ROUND_TRIPS * own.round_trip_ms) + spread


def _dump(own: _State) -> dict[str, typing.Any]:
    schedule = own.schedule
    return {
        "leading": own.leadership.leading,
        "epoch": own.leadership.epoch,
        "store_age_seconds": round(storeclock.age_seconds(own.clock, clock.now()), 3),
        "evacuated": sorted(own.evacuated),
        "ejected": sorted(schedule.health.until),
        "counters": dataclasses.asdict(own.counters),
        "gauges": {
            "leading": int(own.leadership.leading),
            "jobs_open": sum(
                job.state not in steps.FINAL_STATES for job in schedule.jobs.values()
            ),
            "runs_open": sum(len(entries) for entries in schedule.runs.values()),
        },
    }
