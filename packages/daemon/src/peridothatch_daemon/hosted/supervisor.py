"""Task that supervises the runs of the worker on the agent's machine."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.hold import exchange, lease, step
from peridothatch_core.hold import state as hold_state
from peridothatch_core.message import rows
from peridothatch_core.model import tables
from peridothatch_daemon import messages as daemon_messages
from peridothatch_daemon.decide import loop
from peridothatch_daemon.hosted import clock, counters, log, records, supervisor_log
from peridothatch_wire import mailbox, task

if typing.TYPE_CHECKING:
    from peridothatch_core.model import agents, steps
    from peridothatch_daemon.observe import metrics

TICK_SECONDS = 0.25
"""Interval at which leases, retries and late orders are checked."""

COMMIT_TIMEOUT_SECONDS = 1.5
READ_TIMEOUT_SECONDS = 1.5

LATE_LEASE_SHARE = 0.5
"""Share of the lease left when a renewal is applied, below which it is reported as late."""

SPEC_CACHE_SIZE = 64
"""Number of job specifications that are cached; each has at most 4,000 bytes."""


@dataclasses.dataclass(slots=True)
class _State:
    """State of the supervisor task.

    Attributes
    ----------
    specs : dict
        Cached specifications by job, the least recently read first.
    start_sent_at : dict
        Local time in seconds at which the first start request of a run was sent, until the start
        is confirmed.
    pending_starts : dict
        Start requests that wait for their job's specification, by job whose specification is
        being read.
    lease_expired : bool
        The lease has ended while runs were at work, and has not been renewed since.
    acknowledged : tuple of (int, int)
        Start time of the incarnation and number of the last acknowledged end that was logged.
    """

    hold: hold_state.State
    store: mailbox.Mailbox
    worker: mailbox.Mailbox
    inbox: mailbox.Mailbox
    on_replaced: typing.Callable[[], None]
    record_latency: metrics.LatencyRecorder
    record_renewal: metrics.LatencyRecorder
    specs: dict[str, str] = dataclasses.field(default_factory=dict)
    start_sent_at: dict[exchange.RunKey, float] = dataclasses.field(default_factory=dict)
    pending_starts: dict[str, list[exchange.Start]] = dataclasses.field(default_factory=dict)
    lease_expired: bool = False
    acknowledged: tuple[int, int] = (0, 0)
    counters: counters.Supervisor = dataclasses.field(default_factory=counters.Supervisor)


@dataclasses.dataclass(frozen=True, slots=True)
class Supervisor:
    """The running task."""

    inbox: mailbox.Mailbox
    running: task.Task
    ticking: task.Task


def start(
    hold: hold_state.State,
    inbox: mailbox.Mailbox,
    store: mailbox.Mailbox,
    worker: mailbox.Mailbox,
    on_replaced: typing.Callable[[], None],
    record_latency: metrics.LatencyRecorder,
    record_renewal: metrics.LatencyRecorder,
) -> Supervisor:
    """Start the task.

    Parameters
    ----------
    hold : State
        State of the core that decides about runs.
    store : Mailbox
        Takes ``rows.Commit`` and ``rows.Fetch``.
    worker : Mailbox
        Takes the calls to the worker that `exchange` defines.
    on_replaced : callable
        Called when another agent process has registered for this node.
    record_latency : callable
        Takes the time in seconds from the first start request of a run to its confirmation.
    record_renewal : callable
        Takes the time in seconds between the sending of two writes of the row that were applied.
    """
    state = _State(hold, store, worker, inbox, on_replaced, record_latency, record_renewal)

    def handle(message: typing.Any) -> None:
        _handle(state, message)

    return Supervisor(
        inbox,
        task.start("supervisor", loop.run(inbox, handle)),
        task.start(
            "supervisor ticks", task.post_periodically(TICK_SECONDS, inbox, exchange.Tick())
        ),
    )


async def close(supervisor: Supervisor) -> None:
    """Stop the task; runs continue until their lease expires, unless another process renews it."""
    await task.close(supervisor.ticking)
    await task.close(supervisor.running)


def _handle(state: _State, message: typing.Any) -> None:
    match message:
        case daemon_messages.DumpState(reply):
            mailbox.answer(reply, _dump(state))
        case rows.Snapshot() | rows.Changes():
            _apply_orders(state, message)
        case rows.Fetched():
            _handle_fetched(state, message)
        case _:
            _log_event(state, message)
            _step(state, message)
            _check_lease(state)


def _step(state: _State, event: exchange.Event) -> None:
    for effect in step.step(state.hold, event, clock.now()):
        match effect:
            case exchange.Start():
                _start_run(state, effect)
            case exchange.Stop():
                held = state.hold.runs.get(effect.key)
                log.event(
                    "supervisor:stop", run=effect.key, reason=held.stop_reason if held else ""
                )
                mailbox.post(state.worker, effect)
            case exchange.ListRuns():
                state.acknowledged = supervisor_log.write_acknowledgement(
                    state.hold, effect, state.acknowledged
                )
                mailbox.post(state.worker, effect)
            case exchange.IdentifyWorker():
                mailbox.post(state.worker, effect)
            case exchange.WriteRow():
                _write_row(state, effect)
            case exchange.ReadRow():
                _fetch(state, "row", tables.agent_key(state.hold.node))
            case exchange.Replaced(fence):
                log.event("supervisor:replaced", own_fence=state.hold.fence, other_fence=fence)
                state.on_replaced()
    supervisor_log.write_observations(state.hold, state.counters)


def _start_run(state: _State, call: exchange.Start) -> None:
    spec = state.specs.get(call.order.job)
    if spec is not None:
        log.event(
            "supervisor:start",
            run=call.key,
            lease_end_ms=call.lease_end_ms,
            fence=call.fence,
            start_by_ms=call.order.start_by_ms,
            checkpoint=call.order.checkpoint,
        )
        state.start_sent_at.setdefault(call.key, clock.now())
        mailbox.post(state.worker, dataclasses.replace(call, spec=spec))
        return
    _request_spec(state, call.order.job)
    state.pending_starts[call.order.job].append(call)


def _request_spec(state: _State, job_id: str) -> None:
    """Read the specification of a job, unless it is known or being read."""
    if job_id not in state.specs and job_id not in state.pending_starts:
        state.pending_starts[job_id] = []
        _fetch(state, ("spec", job_id), tables.spec_key(job_id))


def _write_row(state: _State, effect: exchange.WriteRow) -> None:
    key = tables.agent_key(state.hold.node)
    writes: list[tuple[rows.Key, bytes | None]] = [(key, records.encode(effect.row))]
    for end in effect.ends:
        writes.append((tables.end_key(end.task, end.attempt), records.encode(end)))
        writes.append((tables.order_key(end.node, end.task, end.attempt), None))
        writes.append((tables.stop_key(end.node, end.task, end.attempt), None))
    for task_name, attempt in effect.obsolete_stops:
        writes.append((tables.stop_key(state.hold.node, task_name, attempt), None))
    if effect.answers_renewal_request:
        writes.append((tables.renewal_key(state.hold.node), None))
    conditions = [rows.Condition(key, effect.version)]
    for (task_name, attempt), version in effect.claims:
        order = tables.order_key(state.hold.node, task_name, attempt)
        conditions.append(rows.Condition(order, version))
    transaction = rows.Transaction(tuple(conditions), tuple(writes))

    def answer(committed: rows.Committed) -> None:
        mailbox.post(state.inbox, committed)

    commit = rows.Commit(
        "row",
        transaction,
        COMMIT_TIMEOUT_SECONDS,
        answer,
        due_at=hold_state.lease_expires_at(state.hold),
        is_sharable=lease.is_sharable(effect),
        may_wait_seconds=lease.may_wait_seconds(effect),
        reached_at=state.hold.clock.asked_at,
    )
    mailbox.post(state.store, commit)


def _fetch(state: _State, token: typing.Any, key: rows.Key) -> None:
    def answer(fetched: rows.Fetched) -> None:
        mailbox.post(state.inbox, fetched)

    message = rows.Fetch(token, key.table, key.key, READ_TIMEOUT_SECONDS, answer, exact=True)
    mailbox.post(state.store, message)


def _handle_fetched(state: _State, fetched: rows.Fetched) -> None:
    if fetched.now_ms:
        _step(state, exchange.StoreTime(fetched.now_ms, fetched.asked_at, fetched.answered_at))
    if fetched.token == "row":
        row = next((row for row in fetched.rows or () if row.value is not None), None)
        version = row.version if row is not None else 0
        agent = None if row is None else _decode_own_row(row)
        _step(state, exchange.RowRead(fetched.rows is not None, agent, version))
        return
    job_id = fetched.token[1]
    waiting = state.pending_starts.pop(job_id, [])
    row = next((row for row in fetched.rows or () if row.value is not None), None)
    spec = None if row is None else _decode_spec(row)
    if spec is None:
        log.event("supervisor:no_spec", job=job_id, reason=fetched.reason or "no usable row")
        for call in waiting:
            # Nothing was sent to the worker, so the start is retried until its deadline.
            _step(state, exchange.StartAnswered(call.key, exchange.StartOutcome.BUSY, "no spec"))
        return
    while len(state.specs) >= SPEC_CACHE_SIZE:
        state.specs.pop(next(iter(state.specs)))
    state.specs[job_id] = spec
    for call in waiting:
        held = state.hold.runs.get(call.key)
        if held is not None and not held.stop_reason and call.fence == state.hold.fence:
            _start_run(state, call)
            continue
        # The worker may have restarted meanwhile, and would take the start for a new one.
        _step(state, exchange.StartAnswered(call.key, exchange.StartOutcome.BUSY, "not sent"))


def _apply_orders(state: _State, message: rows.Snapshot | rows.Changes) -> None:
    _step(state, exchange.StoreTime(message.now_ms, message.asked_at, message.answered_at))
    prefix = state.hold.node + "/"
    renewal = tables.renewal_key(state.hold.node)
    for row in message.rows:
        if row.key == renewal.key:
            _step(state, exchange.RenewalRequested(row.value is not None))
    own_rows = [
        parsed
        for row in message.rows
        if row.key.startswith(prefix) and row.key != renewal.key
        for parsed in _parse_order_row(row)
    ]
    if isinstance(message, rows.Snapshot):
        orders = {row.key: row.order for row in own_rows if row.order and not row.is_stop}
        stops = frozenset(row.key for row in own_rows if row.is_stop)
        versions = {row.key: row.version for row in own_rows if not row.is_stop}
        _step(state, exchange.OrdersLoaded(orders, stops, versions))
        return
    # An order and its stop may be written together. A stop needs its order, so stops are applied
    # last.
    for row in sorted(own_rows, key=lambda row: row.is_stop):
        key, order, is_stop = row.key, row.order, row.is_stop
        if order is None:
            if not is_stop:
                _step(state, exchange.OrderRemoved(key))
            continue
        log.event(
            "supervisor:order",
            run=key,
            stop=is_stop,
            version=row.version,
            start_by_ms=order.start_by_ms,
            feed_after=message.after,
            poll_ms=round(1000 * (message.answered_at - message.asked_at)),
            store_ms=message.now_ms,
        )
        if not is_stop:
            # The claim of the order takes as long as the read.
            _request_spec(state, order.job)
        added = exchange.OrderAdded(key, order, row.version)
        _step(state, exchange.StopAdded(key) if is_stop else added)


@dataclasses.dataclass(frozen=True, slots=True)
class _OrderRow:
    """A row of an order or of its stop; ``order`` is ``None`` if the row was deleted."""

    key: exchange.RunKey
    is_stop: bool
    order: steps.Order | None
    version: int


def _parse_order_row(row: rows.Row) -> list[_OrderRow]:
    """Return the parsed row, or nothing if another writer has left something else there."""
    try:
        key, is_stop = records.parse_run_key(row.key)
        order = None if row.value is None else records.decode_order(row)
    except ValueError as error:
        log.unreadable("orders", row.key, str(error))
        return []
    return [_OrderRow(key, is_stop, order, row.version)]


def _decode_own_row(row: rows.Row) -> agents.Agent | None:
    """Return this agent's row; an unreadable one is replaced by the next write."""
    try:
        return records.decode_row(row)
    except ValueError as error:
        log.unreadable("supervisor", row.key, str(error))
        return None


def _decode_spec(row: rows.Row) -> str | None:
    try:
        return (row.value or b"").decode()
    except UnicodeDecodeError as error:
        log.unreadable("supervisor", row.key, str(error))
        return None


def _log_event(state: _State, event: exchange.Event) -> None:
    match event:
        case exchange.StartAnswered(key, outcome, reason):
            log.event("supervisor:start_answered", run=key, outcome=outcome.name, reason=reason)
            match outcome:
                case exchange.StartOutcome.STARTED:
                    state.counters.starts_confirmed += 1
                    state.record_latency(clock.now() - state.start_sent_at.pop(key, clock.now()))
                case exchange.StartOutcome.REFUSED:
                    state.counters.starts_refused += 1
                case _:
                    state.counters.starts_unanswered += 1
        case exchange.StopAnswered(key, confirmed):
            log.event("supervisor:stop_answered", run=key, confirmed=confirmed)
            state.counters.stops_unanswered += not confirmed
        case rows.Committed(outcome=rows.Outcome.COMMITTED):
            _record_renewal(state, event)
            _write_recorded_ends(state, event.version)
        case exchange.RowRead(row=row, version=version) if row is not None and lease.is_own_write(
            state.hold, row
        ):
            _write_recorded_ends(state, version)
        case rows.Committed(outcome=outcome):
            state.counters.writes_failed += 1
            log.event("supervisor:write_failed", outcome=outcome.name, reason=event.reason)
        case exchange.Heartbeat(worker, sequence):
            known = state.hold.worker
            if known is None or (known.instance, known.started_ms, known.state) != (
                worker.instance,
                worker.started_ms,
                worker.state,
            ):
                log.event(
                    "supervisor:worker",
                    instance=worker.instance,
                    started_ms=worker.started_ms,
                    state=str(worker.state),
                    sequence=sequence,
                )
        case exchange.Deregistered(instance):
            log.event("supervisor:worker_left", instance=instance)


def _write_recorded_ends(state: _State, version: int) -> None:
    for key in state.hold.ends_in_flight:
        state.start_sent_at.pop(key, None)
    supervisor_log.write_recorded_ends(state.hold, version)


def _record_renewal(state: _State, committed: rows.Committed) -> None:
    """Record the time since the write before, and log how and when a late one was applied."""
    hold = state.hold
    if not hold.registered:
        return
    since = committed.asked_at - hold.renewed_at
    state.record_renewal(since)
    left = hold_state.lease_expires_at(hold) - committed.answered_at
    if 1000 * left >= LATE_LEASE_SHARE * hold.lease_duration_ms:
        return
    state.counters.renewals_late += 1
    relayed = committed.relayed
    log.event(
        "supervisor:renewed_late",
        left_ms=round(1000 * left),
        since_ms=round(1000 * since),
        took_ms=round(1000 * (committed.answered_at - committed.asked_at)),
        store_ms=None if relayed is None else round(1000 * relayed.store_seconds),
        relayed=relayed is not None,
        claims=len(hold.claims_in_flight),
        ends=len(hold.ends_in_flight),
    )


def _check_lease(state: _State) -> None:
    """Log once that the lease has ended while runs were at work."""
    hold = state.hold
    left = hold_state.lease_expires_at(hold) - clock.now()
    if left > 0 or not hold.registered:
        state.lease_expired = False
        return
    running = sum(run.phase is hold_state.Phase.RUNNING for run in hold.runs.values())
    if state.lease_expired or not running:
        return
    state.lease_expired = True
    state.counters.leases_expired += 1
    since = clock.now() - hold.renewed_at
    log.event(
        "supervisor:lease_expired",
        running=running,
        since_ms=round(1000 * since),
        write_pending=hold.row_call_pending,
        refusals=hold.refusals,
    )


def _dump(state: _State) -> dict[str, typing.Any]:
    hold = state.hold
    return {
        "registered": hold.registered,
        "fence": hold.fence,
        "lapses": hold.lapses,
        "worker": None if hold.worker is None else dataclasses.asdict(hold.worker),
        "lease_rest_seconds": round(hold_state.lease_expires_at(hold) - clock.now(), 3),
        "held": {f"{key[0]}/{key[1]}": run.phase.name for key, run in hold.runs.items()},
        "counters": dataclasses.asdict(state.counters),
        "gauges": {"runs": len(hold.runs), "ends_waiting": len(hold.ends)},
    }
