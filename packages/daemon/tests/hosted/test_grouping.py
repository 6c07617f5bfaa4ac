"""Load: a slow partition; the agents of a deployment commit through one entry."""

import asyncio

import pytest

from peridothatch_core.commit import group
from peridothatch_core.message import rows
from peridothatch_core.model import tables
from peridothatch_core.schedule import leadership
from peridothatch_daemon.hosted import clock, grouping, messages, records
from peridothatch_wire import mailbox

SLOW_SECONDS = 0.4


class _Tested:
    """A grouping task, the transactions that it sends, and the answers that it gives."""

    def __init__(self):
        self.store = mailbox.create("store")
        self.running = grouping.start(self.store)
        self.answers = {}

    def commit(self, node, due_at=1e9, timeout=5.0, leader=None, may_wait=0.0):
        key = tables.agent_key(node)
        transaction = rows.Transaction((rows.Condition(key, 1),), ((key, b"{}"),))

        def answer(committed):
            self.answers[node] = committed

        commit = rows.Commit(
            node, transaction, timeout, answer, due_at, leader, may_wait_seconds=may_wait
        )
        mailbox.post(self.running.inbox, commit)

    async def sent(self):
        return await asyncio.wait_for(mailbox.take(self.store), 5)

    def answer(self, sent, outcome=rows.Outcome.COMMITTED, seconds=0.01, busy=False):
        now = clock.now()
        sent.answer(rows.Committed(sent.token, outcome, 5, 5, now - seconds, now, busy=busy))

    async def make_slow(self):
        self.commit("first")
        self.answer(await self.sent(), seconds=SLOW_SECONDS)


@pytest.fixture
async def tested():
    """Yield a running task."""
    tested = _Tested()
    yield tested
    await grouping.close(tested.running)


def _nodes(sent):
    return [commit.token for commit in sent.token]


async def _settle():
    await asyncio.sleep(5 * group.WINDOW_SECONDS)


async def test_one_group_is_in_flight_while_the_store_is_slow(tested):
    # A group every 20 ms fills the queue of a partition that applies four a second.
    await tested.make_slow()
    tested.commit("a")
    first = await tested.sent()
    for node in "bcd":
        tested.commit(node)
        await asyncio.sleep(1.5 * group.WINDOW_SECONDS)
    assert tested.store.depth == 0
    tested.answer(first, seconds=SLOW_SECONDS)
    assert _nodes(await tested.sent()) == ["b", "c", "d"]


async def test_leases_that_end_soonest_go_first(tested):
    # A lease lapsed while others that had been renewed a second ago took the place in the group.
    await tested.make_slow()
    tested.commit("a")
    first = await tested.sent()
    for number in range(60):
        tested.commit(f"n{number}", due_at=clock.now() + 60 - number)
    await _settle()
    tested.answer(first, seconds=SLOW_SECONDS)
    sent = _nodes(await tested.sent())
    assert sent == [f"n{number}" for number in range(59, 59 - len(sent), -1)]
    assert 40 < len(sent) < 60


async def test_a_member_that_conflicts_does_not_hold_up_the_others_for_long(tested):
    # Committing 40 transactions alone took 10 s, longer than the leases that they renewed.
    await tested.make_slow()
    tested.commit("a")
    first = await tested.sent()
    for number in range(40):
        tested.commit(f"n{number}", due_at=number)
    await _settle()
    tested.answer(first, seconds=SLOW_SECONDS)
    transactions = 0
    while len(tested.answers) < 42:
        sent = await tested.sent()
        assert tested.store.depth == 0
        transactions += 1
        outcome = rows.Outcome.CONFLICT if "n33" in _nodes(sent) else rows.Outcome.COMMITTED
        tested.answer(sent, outcome, SLOW_SECONDS)
        await asyncio.sleep(0)
    assert transactions <= 13
    outcomes = {node: done.outcome for node, done in tested.answers.items()}
    assert outcomes.pop("n33") is rows.Outcome.CONFLICT
    assert set(outcomes.values()) == {rows.Outcome.COMMITTED}


async def test_new_transactions_do_not_wait_for_the_parts_of_a_failed_group(tested):
    # The parts of a group of 40 take seconds until the last member is known.
    await tested.make_slow()
    for number in range(8):
        tested.commit(f"n{number}")
    tested.answer(await tested.sent(), rows.Outcome.CONFLICT, SLOW_SECONDS)
    part = await tested.sent()
    assert len(part.token) == 4
    tested.commit("new")
    assert _nodes(await tested.sent()) == ["new"]


async def test_groups_wait_for_a_refused_write_of_the_leader(tested):
    # The place that became free in the full partition went to a group of the leader's own entry.
    mailbox.post(tested.running.inbox, messages.LeaderWriteRefused())
    tested.commit("a")
    await _settle()
    assert tested.store.depth == 0
    assert _nodes(await tested.sent()) == ["a"]


async def test_groups_are_sent_although_the_leaders_writes_are_refused_for_long(tested):
    # Otherwise the leases of all agents lapse with the leader's.
    tested.commit("a", timeout=10.0)
    async with asyncio.timeout(5):
        while tested.store.depth == 0:
            mailbox.post(tested.running.inbox, messages.LeaderWriteRefused())
            await asyncio.sleep(0.1)


async def test_a_transaction_without_enough_time_is_refused_at_once(tested):
    # Its sender would not learn the outcome, and would have to read its row back.
    await tested.make_slow()
    tested.commit("late", timeout=SLOW_SECONDS / 4)
    await _settle()
    assert tested.store.depth == 0
    late = tested.answers["late"]
    assert (late.outcome, late.busy) == (rows.Outcome.NOT_DONE, True)


async def test_a_refused_group_is_repeated_with_what_has_arrived_meanwhile(tested):
    # 73 agents that each repeat a refused renewal fill the partition again.
    tested.commit("a")
    refused = await tested.sent()
    tested.commit("b")
    tested.answer(refused, rows.Outcome.NOT_DONE, busy=True)
    again = await tested.sent()
    while _nodes(again) == ["b"]:
        tested.answer(again, rows.Outcome.NOT_DONE, busy=True)
        again = await tested.sent()
    assert sorted(_nodes(again)) == ["a", "b"]
    assert tested.answers == {}


async def test_an_entry_that_does_not_lead_names_the_leader_at_once(tested):
    # Groups of two entries side by side took two transactions for each round of renewals.
    lease = leadership.Lease("front-2/a", 3, 10**9)
    key = tables.LEASE_KEY
    row = rows.Row(key.table, key.key, records.encode(lease), 4)
    mailbox.post(tested.running.inbox, rows.Changes(key.table, (row,), 1, 0.0, 0.0))
    tested.commit("a", leader="")
    tested.commit("b", leader="front-2")
    tested.commit("c", leader=None)
    # A sender that knows the leader could not use it, and one without a wish is served anywhere.
    assert _nodes(await tested.sent()) == ["b", "c"]
    named = tested.answers["a"]
    assert (named.outcome, named.relayed.leader) == (rows.Outcome.NOT_DONE, "front-2")


async def test_a_full_partition_is_reported_when_the_senders_time_ends(tested):
    # An agent that does not know takes the refusal for a fault of the entry.
    tested.commit("a", timeout=1.0)
    async with asyncio.timeout(5):
        while "a" not in tested.answers:
            if tested.store.depth:
                tested.answer(await tested.sent(), rows.Outcome.NOT_DONE, busy=True)
            await asyncio.sleep(0.01)
    assert tested.answers["a"].busy
    assert tested.answers["a"].relayed is not None


async def test_renewals_wait_for_each_other_and_go_along_with_what_cannot_wait(tested):
    # Groups of one renewal would save nothing.
    tested.commit("renewal", may_wait=0.3)
    await _settle()
    assert tested.store.depth == 0
    tested.commit("end")
    sent = await tested.sent()
    assert sorted(_nodes(sent)) == ["end", "renewal"]
    tested.answer(sent)
    tested.commit("second", may_wait=0.3)
    sent = await tested.sent()
    assert _nodes(sent) == ["second"]
