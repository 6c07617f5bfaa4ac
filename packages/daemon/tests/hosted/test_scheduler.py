import asyncio
import dataclasses

from peridothatch_core.message import rows
from peridothatch_core.model import agents, desired, steps, tables
from peridothatch_core.schedule import leadership, state
from peridothatch_daemon import messages as daemon_messages
from peridothatch_daemon.hosted import clock, messages, records, scheduler
from peridothatch_wire import mailbox

NODE = "side-1"
TASK = "00000000000000aa.0.0.0"

ORDER = tables.order_key(NODE, TASK, 1)

SETTLE_SECONDS = 0.6
"""Time for several scheduling cycles."""

AHEAD_SECONDS = 60.0
"""Lead of rows that must look recent on a slow machine as well."""


def _job():
    progress = steps.StepProgress(
        0, 0, attempts=[1], failures=[0], saved=[""], runs=[steps.Run(0, 1, NODE, 0, 1)]
    )
    return steps.Job(
        "00000000000000aa", "q", "render", "", 1, 3, 2.0, 500, (steps.Step(1),), None, 1,
        state=steps.JobState.RUNNING, opened=1, progress=[progress],
    )  # fmt: skip


def _row(key, value, version):
    return rows.Row(key.table, key.key, records.encode(value), version)


def _changes(table, *found):
    now = clock.now()
    return rows.Changes(table, found, int(1000 * now), now - 0.01, now)


def _snapshot(table, *found):
    now = clock.now()
    return rows.Snapshot(table, found, int(1000 * now), now - 0.01, now)


def _agent(claimed=()):
    return agents.Agent(NODE, "accra-a", 1, 0, 10**12, claimed=claimed)


class _Store:
    """Takes the scheduler's requests to the store and answers them."""

    def __init__(self):
        self.inbox = mailbox.create("store")

    async def next(self, kind, wanted=lambda _: True):
        async with asyncio.timeout(5):
            while True:
                message = await mailbox.take(self.inbox)
                is_learned = getattr(message, "table", "") == tables.LEARNED_TABLE
                if isinstance(message, kind) and wanted(message) and not is_learned:
                    return message
                if isinstance(message, rows.Commit):
                    self.commit(message, 90)
                elif message.table == tables.LEARNED_TABLE:
                    self.fetched(message)

    def commit(self, message, version, outcome=rows.Outcome.COMMITTED):
        now = clock.now()
        message.answer(rows.Committed(message.token, outcome, version, int(1000 * now), now, now))

    def fetched(self, message, *found, version=0):
        now = clock.now()
        message.answer(
            rows.Fetched(message.token, found, int(1000 * now), now, now, version=version)
        )


def _post_operator_rows(running, asked_at, evacuated=frozenset()):
    mailbox.post(running.inbox, messages.EvacuationsConfirmed(evacuated, asked_at))


async def _leading(work, members, meanwhile=None, operator_rows=True, version=0):
    """Return a scheduler that has become the leader and read the given rows.

    A feed delivers ``meanwhile`` between the two reads. With ``operator_rows``, the operator's
    table has been read as well. ``version`` is that of the first page of the work rows.
    """
    store = _Store()
    running = scheduler.start(
        "front-1", "1", state.Limits(), store.inbox, None, lambda _: None, lambda _: None
    )
    if operator_rows:
        _post_operator_rows(running, clock.now() + AHEAD_SECONDS)
    mailbox.post(running.inbox, _changes(tables.MEMBERS_TABLE))
    claim = await store.next(rows.Commit)
    assert {key for key, _ in claim.transaction.writes} == {tables.EPOCH_KEY, tables.LEASE_KEY}
    store.commit(claim, 30)
    store.fetched(await store.next(rows.Fetch), *work, version=version)
    fetch = await store.next(rows.Fetch)
    if meanwhile is not None:
        mailbox.post(running.inbox, meanwhile)
        await asyncio.sleep(0.05)
    store.fetched(fetch, *members)
    return running, store


def _writes(message, key):
    return key in {written for written, _ in message.transaction.writes}


def _deletes_end(message):
    return (tables.end_key(TASK, 1), None) in message.transaction.writes


async def test_an_end_written_between_the_two_reads_is_applied():
    # The work rows are read before the member rows. An end with a version between the two was
    # taken for one that had been read, so its run stayed open forever.
    work = [_row(tables.job_key("00000000000000aa"), _job(), 10)]
    agent = agents.Agent(NODE, "accra-a", 1, 0, 10**12)
    running, store = await _leading(work, [_row(tables.agent_key(NODE), agent, 40)])
    end = steps.End(TASK, 1, NODE, steps.EndKind.DONE)
    mailbox.post(
        running.inbox, _changes(tables.WORK_TABLE, _row(tables.end_key(TASK, 1), end, 35))
    )
    await store.next(rows.Commit, _deletes_end)
    await scheduler.close(running)


async def test_the_state_shows_which_share_of_its_guarantee_a_customer_uses():
    # Without it nobody can tell whether a waiting job's customer is over its share.
    job = dataclasses.replace(
        _job(), customer="hotels", steps=(steps.Step(1, steps.Demand(0, 0, 8)),)
    )
    work = [_row(tables.job_key(job.id), job, 10)]
    agent = _agent(claimed=((TASK, 1),))
    running, _ = await _leading(work, [_row(tables.agent_key(NODE), agent, 40)])
    tenancies = tuple(
        desired.Tenancy(name, frozenset(), amount)
        for name, amount in {"hotels": 16, "ministry": 4, "port": 4}.items()
    )
    version = desired.DesiredState(1, tenancies=tenancies)
    mailbox.post(running.inbox, messages.DesiredConfirmed(version, clock.now() + AHEAD_SECONDS))
    await asyncio.sleep(SETTLE_SECONDS)
    reply = mailbox.Reply()
    mailbox.post(running.inbox, daemon_messages.DumpState(reply))
    dump = await mailbox.wait(reply, 5)
    assert dump["shares"] == {
        "hotels": {"used": 8, "guaranteed": 16},
        "ministry": {"used": 0, "guaranteed": 4},
        "port": {"used": 0, "guaranteed": 4},
    }
    assert dump["gauges"]["customers_take_turns"] == 1
    await scheduler.close(running)


async def test_a_change_delivered_during_the_read_is_applied():
    # Changes were discarded while the rows were being read, so a job accepted at that time was
    # never started.
    work = [_row(tables.job_key("00000000000000aa"), _job(), 10)]
    agent = agents.Agent(NODE, "accra-a", 1, 0, 10**12)
    end = steps.End(TASK, 1, NODE, steps.EndKind.DONE)
    running, store = await _leading(
        work,
        [_row(tables.agent_key(NODE), agent, 9)],
        meanwhile=_changes(tables.WORK_TABLE, _row(tables.end_key(TASK, 1), end, 35)),
    )
    await store.next(rows.Commit, _deletes_end)
    await scheduler.close(running)


async def test_rows_are_read_again_after_a_write_whose_outcome_is_unknown():
    work = [_row(tables.job_key("00000000000000aa"), _job(), 10)]
    end = steps.End(TASK, 1, NODE, steps.EndKind.DONE)
    agent = agents.Agent(NODE, "accra-a", 1, 0, 10**12)
    members = [_row(tables.agent_key(NODE), agent, 40)]
    running, store = await _leading([*work, _row(tables.end_key(TASK, 1), end, 11)], members)
    write = await store.next(rows.Commit, _deletes_end)
    store.commit(write, 0, rows.Outcome.UNKNOWN)
    fetch = await store.next(rows.Fetch)
    assert fetch.table == tables.WORK_TABLE
    await scheduler.close(running)


async def test_a_new_leader_orders_only_on_agents_that_have_renewed_their_row():
    # After a power loss, a new leader ordered urgent jobs on workers that no longer existed.
    job = dataclasses.replace(_job(), state=steps.JobState.QUEUED, opened=0, progress=[])
    worker = agents.Worker(
        "w-1", 1, "render", "accra-a", agents.WorkerState.READY, steps.Demand(1000, 1000, 8)
    )
    until_ms = int(1000 * clock.now()) + state.Limits().hold_ms - 2_000
    agent = agents.Agent(NODE, "accra-a", 1, 0, until_ms, worker)
    running, store = await _leading(
        [_row(tables.job_key(job.id), job, 10)], [_row(tables.agent_key(NODE), agent, 9)]
    )
    order = tables.order_key(NODE, TASK, 1)
    first = await store.next(
        rows.Commit, lambda message: _writes(message, tables.renewal_key(NODE))
    )
    assert not _writes(first, order)
    store.commit(first, 41)
    mailbox.post(
        running.inbox, _changes(tables.MEMBERS_TABLE, _row(tables.agent_key(NODE), agent, 42))
    )
    await store.next(rows.Commit, lambda message: _writes(message, order))
    await scheduler.close(running)


async def test_a_known_claim_survives_a_full_read():
    # The full read contains the agent's row after the end of a run, but the work rows before it.
    # The leader then withdrew the order of a claimed run; the write failed and caused another full
    # read, four times in a row.
    running, store = await _leading(
        [_row(tables.job_key("00000000000000aa"), _job(), 10)],
        [_row(tables.agent_key(NODE), _agent(claimed=((TASK, 1),)), 9)],
    )
    gone = _row(tables.agent_key(NODE), _agent(), 42)
    mailbox.post(running.inbox, _changes(tables.MEMBERS_TABLE, gone))
    mailbox.post(running.inbox, _snapshot(tables.MEMBERS_TABLE, gone))
    store.fetched(
        await store.next(rows.Fetch), _row(tables.job_key("00000000000000aa"), _job(), 10)
    )
    store.fetched(await store.next(rows.Fetch), gone)
    # The next cycle does not delete the order of the claimed run.
    other = dataclasses.replace(_job(), id="00000000000000bb", progress=[], opened=0)
    mailbox.post(
        running.inbox, _changes(tables.WORK_TABLE, _row(tables.job_key(other.id), other, 50))
    )
    written = await store.next(
        rows.Commit, lambda message: _writes(message, tables.job_key(other.id))
    )
    assert not _writes(written, tables.order_key(NODE, TASK, 1))
    await scheduler.close(running)


async def test_a_leader_that_lost_the_epoch_stops_writing():
    work = [_row(tables.job_key("00000000000000aa"), _job(), 10)]
    agent = agents.Agent(NODE, "accra-a", 1, 0, 10**12)
    running, store = await _leading(work, [_row(tables.agent_key(NODE), agent, 40)])
    other = leadership.Lease("front-2/1", 9, int(1000 * clock.now()) + 1000)
    mailbox.post(
        running.inbox,
        _changes(
            tables.MEMBERS_TABLE,
            _row(tables.EPOCH_KEY, other, 50),
            _row(tables.LEASE_KEY, other, 50),
        ),
    )
    end = steps.End(TASK, 1, NODE, steps.EndKind.DONE)
    mailbox.post(
        running.inbox, _changes(tables.WORK_TABLE, _row(tables.end_key(TASK, 1), end, 51))
    )
    await asyncio.sleep(0.6)
    assert store.inbox.depth == 0
    await scheduler.close(running)


async def test_decisions_renew_the_lease():
    # In a full partition, a renewal of its own waited beside the decisions and was refused.
    work = [_row(tables.job_key("00000000000000aa"), _job(), 10)]
    running, store = await _leading(work, [_row(tables.agent_key(NODE), _agent(), 40)])
    await asyncio.sleep(0.2)
    end = steps.End(TASK, 1, NODE, steps.EndKind.DONE)
    mailbox.post(
        running.inbox, _changes(tables.WORK_TABLE, _row(tables.end_key(TASK, 1), end, 51))
    )
    async with asyncio.timeout(5):
        while True:
            message = await mailbox.take(store.inbox)
            if isinstance(message, rows.Commit) and _deletes_end(message):
                break
    assert _writes(message, tables.LEASE_KEY)
    assert rows.Condition(tables.EPOCH_KEY, 30) in message.transaction.conditions
    await scheduler.close(running)


async def test_a_resignation_that_a_full_partition_refuses_is_repeated():
    # The lease of a leader that stops otherwise has to end first, which takes longer while the
    # store is slow.
    running, store = await _leading([], [])
    reply = mailbox.Reply()
    mailbox.post(running.inbox, messages.Resign(reply))

    def releases(message):
        lease = dict(message.transaction.writes).get(tables.LEASE_KEY)
        return lease is not None and records.LEASE.decode(lease).until_ms == 0

    refused = await store.next(rows.Commit, releases)
    now = clock.now()
    refused.answer(rows.Committed(refused.token, rows.Outcome.NOT_DONE, 0, 0, now, now, busy=True))
    store.commit(await store.next(rows.Commit, releases), 50)
    assert await mailbox.wait(reply, 5)
    await scheduler.close(running)


async def test_an_entry_near_the_store_claims_an_expired_lease_promptly():
    # An entry that had not led before waited 0.4 s after the expiry of the lost leader's lease.
    store = _Store()
    running = scheduler.start(
        "front-1", "1", state.Limits(), store.inbox, None, lambda _: None, lambda _: None
    )
    now = clock.now()
    now_ms = int(1000 * now)
    ended = leadership.Lease("front-2/1", 3, now_ms - 150)
    members = (_row(tables.EPOCH_KEY, ended, 4), _row(tables.LEASE_KEY, ended, 5))
    # The round trip to the store takes 8 ms, and the lease expired 150 ms ago.
    feed = rows.Changes(tables.MEMBERS_TABLE, members, now_ms, now - 0.008, now)
    mailbox.post(running.inbox, feed)
    reply = mailbox.Reply()
    mailbox.post(running.inbox, daemon_messages.DumpState(reply))
    await mailbox.wait(reply, 5)
    await asyncio.sleep(0)
    assert store.inbox.depth == 1
    assert _writes(await mailbox.take(store.inbox), tables.EPOCH_KEY)
    await scheduler.close(running)


def _ready_agent():
    worker = agents.Worker(
        "w-1", 1, "render", "accra-a", agents.WorkerState.READY, steps.Demand(1000, 1000, 8)
    )
    until_ms = int(1000 * (clock.now() + AHEAD_SECONDS)) + state.Limits().hold_ms
    return agents.Agent(NODE, "accra-a", 1, 0, until_ms, worker)


async def _ordered(running, store):
    """Return whether the scheduler orders a run within some cycles."""
    found = False
    ends = clock.now() + SETTLE_SECONDS
    while clock.now() < ends:
        mailbox.post(running.inbox, _changes(tables.WORK_TABLE))
        await asyncio.sleep(0.02)
        while store.inbox.depth:
            message = await mailbox.take(store.inbox)
            if isinstance(message, rows.Fetch):
                assert message.table == tables.LEARNED_TABLE
                store.fetched(message)
                continue
            found = found or _writes(message, ORDER)
            store.commit(message, 90)
    return found


async def test_a_leader_orders_nothing_before_it_has_read_the_evacuations():
    # A process that had just started led before it had read the operator's rows, and started
    # tasks in a data centre that had been out of service for long.
    job = dataclasses.replace(_job(), state=steps.JobState.QUEUED, opened=0, progress=[])
    work = [_row(tables.job_key(job.id), job, 10)]
    members = [_row(tables.agent_key(NODE), _ready_agent(), 9)]
    running, store = await _leading(work, members, operator_rows=False)
    assert not await _ordered(running, store)
    _post_operator_rows(running, clock.now() + AHEAD_SECONDS, frozenset({"accra-a"}))
    assert not await _ordered(running, store)
    _post_operator_rows(running, clock.now() + AHEAD_SECONDS)
    await store.next(rows.Commit, lambda message: _writes(message, ORDER))
    await scheduler.close(running)


async def test_a_leader_orders_nothing_on_evacuations_that_were_read_too_long_ago():
    # The feed of the operator's rows can fail alone. A task that is ordered then may start more
    # than the allowed time after the evacuation of its data centre.
    job = dataclasses.replace(_job(), state=steps.JobState.QUEUED, opened=0, progress=[])
    work = [_row(tables.job_key(job.id), job, 10)]
    members = [_row(tables.agent_key(NODE), _ready_agent(), 9)]
    running, store = await _leading(work, members, operator_rows=False)
    age_ms = state.max_evacuations_age_ms(state.Limits())
    _post_operator_rows(running, clock.now() - age_ms / 1000.0)
    assert not await _ordered(running, store)
    _post_operator_rows(running, clock.now() + AHEAD_SECONDS)
    await store.next(rows.Commit, lambda message: _writes(message, ORDER))
    await scheduler.close(running)


async def test_a_cancellation_written_between_two_pages_of_a_read_is_applied():
    # The rows are read in pages, each as of another moment, and cancellations come first. One that
    # was written after the first page was dropped if a job on a later page was newer, and the
    # cancelled job ran on.
    newer = dataclasses.replace(_job(), id="00000000000000bb", progress=[], opened=0)
    work = [
        _row(tables.job_key("00000000000000aa"), _job(), 10),
        _row(tables.job_key(newer.id), newer, 40),
    ]
    members = [_row(tables.agent_key(NODE), _agent(claimed=((TASK, 1),)), 9)]
    cancelled = rows.Row(tables.WORK_TABLE, tables.cancel_key("00000000000000aa").key, b"{}", 30)
    running, store = await _leading(
        work, members, meanwhile=_changes(tables.WORK_TABLE, cancelled), version=20
    )
    stop = tables.stop_key(NODE, TASK, 1)
    await store.next(rows.Commit, lambda message: _writes(message, stop))
    await scheduler.close(running)
