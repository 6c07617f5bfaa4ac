"""Failure: leases lapse, and the logs do not tell which renewals were late or by which way."""

import asyncio
import dataclasses

import pytest

from peridothatch_core.hold import exchange
from peridothatch_core.hold import state as hold_state
from peridothatch_core.message import rows
from peridothatch_core.model import agents, steps, tables
from peridothatch_daemon.hosted import clock, log, records, supervisor
from peridothatch_wire import mailbox

TASK = "00000000000000aa.0.0.0"
LEASE_MS = 5_500
WORKER = agents.Worker(
    "w-1",
    1_000,
    "render",
    "accra-a",
    agents.WorkerState.READY,
    steps.Demand(64_000, 256_000, 8),
    "a",
    "r1",
)


class _Tested:
    """A supervisor, and what it has logged and recorded."""

    def __init__(self):
        self.hold = hold_state.State("side-1", "accra-a", LEASE_MS)
        self.store = mailbox.create("store")
        self.inbox = mailbox.create("supervisor")
        self.worker = mailbox.create("worker")
        self.logged = []
        self.intervals = []
        self.running = supervisor.start(
            self.hold,
            self.inbox,
            self.store,
            self.worker,
            lambda: None,
            lambda _: None,
            self.intervals.append,
        )

    def post(self, *events):
        for event in events:
            mailbox.post(self.inbox, event)

    async def commit(self, age_seconds=0.0, relayed=None):
        """Apply the next write, which was sent ``age_seconds`` ago."""
        message = None
        while not isinstance(message, rows.Commit):
            message = await asyncio.wait_for(mailbox.take(self.store), 5)
        now = clock.now()
        outcome = rows.Outcome.COMMITTED
        done = rows.Committed("row", outcome, 5, int(1000 * now), now - age_seconds, now)
        message.answer(dataclasses.replace(done, relayed=relayed))

    async def register(self):
        now = clock.now()
        self.post(
            exchange.StoreTime(int(1000 * now), now, now),
            exchange.RowRead(True, None, 0),
            exchange.Heartbeat(WORKER, 1),
        )
        await self.commit()
        await self.confirm(WORKER)
        await self.commit()
        await _settle()

    async def confirm(self, worker):
        """Answer the call that identifies a worker, and return the calls that were sent before."""
        sent = []
        while not (sent and isinstance(sent[-1], exchange.IdentifyWorker)):
            sent.append(await asyncio.wait_for(mailbox.take(self.worker), 5))
        call = sent.pop()
        assert call.instance == worker.instance
        self.post(
            exchange.WorkerIdentified(
                call.instance, True, worker.started_ms, clock.now(), call.fence
            )
        )
        return sent

    def find(self, kind):
        return [fields for name, fields in self.logged if name == kind]


@pytest.fixture
async def tested(monkeypatch):
    """Yield a running supervisor that has registered."""
    tested = _Tested()
    monkeypatch.setattr(log, "event", lambda kind, **fields: tested.logged.append((kind, fields)))
    await tested.register()
    yield tested
    await supervisor.close(tested.running)


async def _settle():
    await asyncio.sleep(2 * supervisor.TICK_SECONDS)


async def test_a_late_renewal_is_logged_with_its_way(tested):
    assert not tested.find("supervisor:renewed_late")
    tested.hold.hold_until_ms -= LEASE_MS // 2
    tested.post(exchange.RenewalRequested(True))
    await tested.commit(0.4, rows.Relayed("front-1", 0.3))
    await _settle()
    (late,) = tested.find("supervisor:renewed_late")
    assert late["relayed"]
    assert late["store_ms"] == 300
    assert late["left_ms"] < LEASE_MS / 2
    assert tested.intervals


async def test_a_lease_that_ends_while_a_run_is_at_work_is_logged_once(tested):
    running = hold_state.TrackedRun(None, phase=hold_state.Phase.RUNNING)
    tested.hold.runs[(TASK, 1)] = running
    tested.hold.hold_until_ms -= 2 * LEASE_MS
    tested.post(exchange.Tick(), exchange.Tick())
    await _settle()
    (expired,) = tested.find("supervisor:lease_expired")
    assert expired["running"] == 1


async def test_the_specification_is_read_while_the_order_is_being_claimed(tested):
    # Guards against urgent jobs that begin late in the region without the store: an agent read
    # the specification only when the claim of the order had been answered.
    now = clock.now()
    now_ms = int(1000 * now)
    order = steps.Order("00000000000000aa", TASK, 1, "w-1", 1_000, now_ms + 60_000)
    key = tables.order_key("side-1", TASK, 1)
    row = rows.Row(key.table, key.key, records.encode(order), 9)
    tested.post(rows.Changes(key.table, (row,), now_ms, now, now))
    read = await asyncio.wait_for(mailbox.take(tested.store), 5)
    while not isinstance(read, rows.Fetch):
        read = await asyncio.wait_for(mailbox.take(tested.store), 5)
    assert read.prefix == tables.spec_key("00000000000000aa").key
    read.answer(rows.Fetched(read.token, (), now_ms, now, now))
    await _settle()
    assert tested.find("supervisor:no_spec")


async def test_a_restart_of_the_worker_is_logged_with_the_ends_that_are_being_written(tested):
    # Guards against a record that cannot tell how an end was lost: issue 43 had neither the
    # restart of the worker nor the number of the acknowledged end in its logs.
    now = clock.now()
    now_ms = int(1000 * now)
    order = steps.Order("00000000000000aa", TASK, 1, "w-1", 1_000, now_ms + 60_000)
    end = exchange.ListedEnd(1, TASK, 1, steps.EndKind.DONE, "")
    listing = exchange.Listing("w-1", 1_000, now_ms, (), (end,), now, now)
    restarted = dataclasses.replace(WORKER, started_ms=2_000)
    tested.post(
        exchange.OrdersLoaded({(TASK, 1): order}, frozenset()),
        exchange.RunsListed(listing),
        exchange.Heartbeat(restarted, 1),
    )
    await tested.confirm(restarted)
    await _settle()
    (changed,) = tested.find("supervisor:incarnation_changed")
    assert (changed["previous_ms"], changed["started_ms"]) == (1_000, 2_000)
    assert changed["ends_in_flight"] == ((TASK, 1),)


# Guards against a record without the end of a run: the answer to its write was lost.
async def test_an_end_whose_write_was_read_back_is_logged(tested):
    now = clock.now()
    now_ms = int(1000 * now)
    order = steps.Order("00000000000000aa", TASK, 1, "w-1", 1_000, now_ms + 60_000)
    end = exchange.ListedEnd(1, TASK, 1, steps.EndKind.DONE, "")
    listing = exchange.Listing("w-1", 1_000, now_ms, (), (end,), now, now)
    tested.post(
        exchange.OrdersLoaded({(TASK, 1): order}, frozenset()), exchange.RunsListed(listing)
    )
    await _settle()
    row = agents.Agent("side-1", "accra-a", tested.hold.fence, 0, tested.hold.pending_until_ms)
    tested.post(
        rows.Committed("row", rows.Outcome.UNKNOWN, 0, 0, now, now), exchange.RowRead(True, row, 9)
    )
    await _settle()
    (recorded,) = tested.find("supervisor:end_recorded")
    assert (recorded["run"], recorded["how"]) == ((TASK, 1), "done")


async def test_an_acknowledgement_is_logged_once_with_its_incarnation(tested):
    tested.hold.recorded_through = 3
    tested.post(exchange.OrdersLoaded({}, frozenset()))
    for _ in range(2):
        now = clock.now()
        listing = exchange.Listing("w-1", 1_000, 5, (), (), now, now)
        tested.post(exchange.RunsListed(listing), exchange.RunsListed(None))
        await _settle()
    sent = [await mailbox.take(tested.worker) for _ in range(tested.worker.depth)]
    lists = [call for call in sent if isinstance(call, exchange.ListRuns)]
    assert sum(call.recorded_through == 3 for call in lists) == 2
    (acknowledged,) = tested.find("supervisor:ends_acknowledged")
    assert (acknowledged["through"], acknowledged["started_ms"]) == (3, 1_000)


# Guards against a start that reaches a restarted worker under the token and the deadline of the
# previous incarnation: it waited for its specification until after the restart.
async def test_a_start_that_waits_for_its_specification_is_not_sent_to_another_incarnation(tested):
    now = clock.now()
    now_ms = int(1000 * now)
    order = steps.Order("00000000000000aa", TASK, 1, "w-1", 1_000, now_ms + 60_000)
    tested.hold.runs[TASK, 1] = hold_state.TrackedRun(order, claimed=True)
    tested.post(
        exchange.OrdersLoaded({(TASK, 1): order}, frozenset()),
        exchange.RunsListed(exchange.Listing("w-1", 1_000, now_ms, (), (), now, now)),
    )
    read = await asyncio.wait_for(mailbox.take(tested.store), 5)
    while not isinstance(read, rows.Fetch):
        read = await asyncio.wait_for(mailbox.take(tested.store), 5)
    assert read.prefix == tables.spec_key(order.job).key
    restarted = dataclasses.replace(WORKER, started_ms=2_000)
    tested.post(exchange.Heartbeat(restarted, 1))
    sent = await tested.confirm(restarted)
    await tested.commit()
    await _settle()
    spec = rows.Row(tables.SPECS_TABLE, order.job, b"{}", 3)
    read.answer(rows.Fetched(read.token, (spec,), now_ms, now, now))
    await _settle()
    while not any(isinstance(call, exchange.Stop) for call in sent):
        sent.append(await asyncio.wait_for(mailbox.take(tested.worker), 5))
    assert not [call for call in sent if isinstance(call, exchange.Start)]


# Guards against a start that reaches a restarted worker under an earlier token: it waited for its
# specification while contact was lost, and was sent before any answer to the raised token.
async def test_a_start_that_waits_for_its_specification_is_not_sent_after_a_loss_of_contact(
    tested,
):
    now = clock.now()
    now_ms = int(1000 * now)
    key = (TASK, 1)
    order = steps.Order("00000000000000aa", key[0], 1, "w-1", 1_000, now_ms + 60_000)
    tested.hold.runs[key] = hold_state.TrackedRun(order, claimed=True)
    tested.post(
        exchange.OrdersLoaded({key: order}, frozenset()),
        exchange.RunsListed(exchange.Listing("w-1", 1_000, now_ms, (), (), now, now)),
    )
    read = await asyncio.wait_for(mailbox.take(tested.store), 5)
    while not isinstance(read, rows.Fetch):
        read = await asyncio.wait_for(mailbox.take(tested.store), 5)
    tested.post(exchange.RunsListed(None, no_listener=True))
    await _settle()
    assert not tested.hold.incarnation_confirmed
    spec = rows.Row(tables.SPECS_TABLE, order.job, b"{}", 3)
    read.answer(rows.Fetched(read.token, (spec,), now_ms, now, now))
    await _settle()
    sent = mailbox.take_available(tested.worker, 100)
    starts = [call for call in sent if isinstance(call, exchange.Start)]
    assert not [call for call in starts if call.fence < tested.hold.fence]
