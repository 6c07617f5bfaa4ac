"""Load: a slow partition, shared by 73 agents with leases of 5.5 s and the leader's writes.

42 to 73 runs lapsed, because each agent renewed its row in a transaction of its own and repeated
it four times a second when it was refused.
"""

import random

import hold_harness as harness
import partition_model
import pytest

from peridothatch_core.commit import backoff, group, latency, route
from peridothatch_core.hold import exchange, state, step
from peridothatch_core.message import rows
from peridothatch_core.model import entries, tables

AGENTS = 73
LEASE_MS = 5_500
ENTRIES = [f"front-{number}" for number in range(13)]
LEADER = "front-7"
WAY_SECONDS = 0.03
DIRECT_TIMEOUT, RELAYED_TIMEOUT, GROUP_TIMEOUT = 1.5, 3.5, 1.5
STEP_SECONDS = 0.1
FIRST_RETRY, LONGEST_RETRY, NEEDED_LATENCIES = 0.1, 0.3, 1.5
START, SLOW_FROM, SLOW_UNTIL, END = 10.0, 14.0, 22.0, 32.0


class _Entry:
    """Commits one group at a time, as `hosted.grouping` does while the store is slow."""

    def __init__(self, store):
        self.store = store
        self.waiting = []
        self.answer_by = {}
        self.in_flight = False
        self.latency = latency.Latency()

    def take(self, commit):
        self.answer_by[id(commit)] = self.store.now + commit.timeout_seconds
        self.waiting.append(commit)
        self.send()

    def send(self):
        self.refuse_expired()
        if self.in_flight or not self.waiting:
            return
        commits, self.waiting = group.next_group(self.waiting)
        self.in_flight = True

        def answer(done):
            self.in_flight = False
            latency.record(self.latency, done)
            if done.busy:
                self.waiting += commits
                pause = backoff.delay_seconds(
                    "grouping", self.latency.failures, FIRST_RETRY, LONGEST_RETRY
                )
                self.store.at(self.store.now + pause, self.send)
                return
            seconds = done.answered_at - done.asked_at
            for commit in commits:
                commit.answer(done, rows.Relayed(LEADER, seconds))
            self.send()

        self.store.send("group", group.combine(commits), GROUP_TIMEOUT, answer)

    def refuse_expired(self):
        waiting, self.waiting = self.waiting, []
        for commit in waiting:
            needed = min(GROUP_TIMEOUT, NEEDED_LATENCIES * self.latency.seconds)
            if self.answer_by[id(commit)] - self.store.now >= needed:
                self.waiting.append(commit)
                continue
            refused = rows.Committed("row", rows.Outcome.NOT_DONE, busy=True)
            commit.answer(refused, rows.Relayed(LEADER, self.latency.seconds))


class _Agent:
    """Carries out the effects of an agent with a running task, in its own way to the store."""

    def __init__(self, number, store, served):
        self.store, self.served = store, served
        self.hold = harness.registered_agent(orders={harness.KEY: harness.order()})
        self.hold.node = f"side-{number}"
        self.hold.lease_duration_ms = LEASE_MS
        known = {node: entries.Entry(node, "", node) for node in ENTRIES}
        self.route = route.Route(self.hold.node, known)

    def handle(self, event):
        for effect in step.step(self.hold, event, self.store.now):
            if isinstance(effect, exchange.WriteRow):
                self.commit()

    def commit(self):
        key = tables.agent_key(self.hold.node)
        transaction = rows.Transaction((), ((key, b"x" * 400), (key, b"")))
        sent_at = self.store.now
        used = route.address(self.route, sent_at)
        if used and used != LEADER and route.wanted_leader(self.route) not in (None, LEADER):
            # The entry names the leader at once.
            self.route.leader = used = LEADER

        def finish(done, relayed=None):
            now = self.store.now
            known = rows.Committed(
                "row", done.outcome, done.version, done.now_ms, sent_at, now,
                busy=done.busy, relayed=relayed,
            )  # fmt: skip
            if used:
                route.record_relayed(self.route, known, now, used)
            else:
                route.record_direct(self.route, known, now)
            self.handle(known)

        if not used:
            self.store.send("direct", transaction, DIRECT_TIMEOUT, finish)
            return
        due_at = state.lease_expires_at(self.hold)
        commit = rows.Commit(self.hold.node, transaction, RELAYED_TIMEOUT, finish, due_at)
        self.store.at(sent_at + WAY_SECONDS, lambda: self.served[used].take(commit))

    def tick(self):
        self.store.at(self.store.now + STEP_SECONDS, self.tick)
        now = self.store.now
        running = [(harness.TASK, 1, "", 40)]
        self.handle(exchange.RunsListed(harness.listing(now, running)))
        self.handle(exchange.StoreTime(self.store.now_ms(), now - 0.01, now))


def _write_as_leader_and_callers(store, rng):
    leader = rows.Transaction((), ((tables.LEASE_KEY, b""),))
    call = rows.Transaction((), ((tables.job_key("a"), b""),))

    def lead(_=None):
        pause = rng.uniform(0.05, 0.3)
        store.at(store.now + pause, lambda: store.send("leader", leader, 1.5, lead))

    def submit():
        store.send("call", call, 0.5, lambda _: None)
        store.at(store.now + rng.expovariate(1.3), submit)

    lead()
    submit()


def _run(seed, slow_txn_seconds):
    store = partition_model.Partition()
    store.now = START
    rng = random.Random(seed)
    served = {node: _Entry(store) for node in ENTRIES}
    agents = [_Agent(number, store, served) for number in range(AGENTS)]
    for agent in agents:
        store.at(START + rng.uniform(0, STEP_SECONDS), agent.tick)
    _write_as_leader_and_callers(store, rng)
    store.at(SLOW_FROM, lambda: setattr(store, "txn_seconds", slow_txn_seconds))
    store.at(SLOW_UNTIL, lambda: setattr(store, "txn_seconds", 0.005))
    lapsed = set()
    now = START
    while now < END:
        now += STEP_SECONDS
        store.run_until(now)
        lapsed |= {
            agent.hold.node for agent in agents if state.lease_expires_at(agent.hold) <= now
        }
    return store, agents, lapsed


def _count(store, token, since, until):
    return sum(item == token and since < when <= until for when, item, _ in store.committed)


@pytest.mark.parametrize("seed", range(12))
def test_leases_are_kept_while_a_transaction_takes_a_quarter_of_a_second(seed):
    # 67 to 69 of 73 leases lapsed in this model when all agents committed directly, and the
    # leader's writes were lost among theirs. Groups must not last on after the slow time.
    store, agents, lapsed = _run(seed, 0.255)
    assert not lapsed
    settled = SLOW_FROM + 4.0
    assert _count(store, "leader", settled, SLOW_UNTIL) >= 3
    # An agent whose direct commit happened to take less than `SLOW_SECONDS` repeats it.
    assert _count(store, "direct", settled, SLOW_UNTIL) <= 2
    assert all(route.address(agent.route, END) == "" for agent in agents)
    assert _count(store, "group", END - 2.0, END) == 0
