"""Load: a slow partition, shared by 73 agents and 13 entries of which one leads.

The leader's lease ended while its renewals waited or were refused; five takeovers in 7 s ordered
nothing and processed no end.
"""

import itertools
import random

import partition_model
import pytest

from peridothatch_core.commit import latency as latencies
from peridothatch_core.message import rows
from peridothatch_core.model import tables
from peridothatch_core.schedule import leadership, lease_timing

ENTRIES = 13
AGENTS = 73
TICK_SECONDS = 0.25
FEED_SECONDS = 0.4
DECISION_TIMEOUT_SECONDS = 1.5
SLOW_TXN_SECONDS = 0.255
SLOW_FROM, SLOW_UNTIL, END = 5.0, 12.0, 20.0


class _Entry:
    """Claims and renews as `schedule_lease` does, and always has decisions to write."""

    def __init__(self, name, store):
        self.state = leadership.Leadership(name)
        self.store = store
        self.stopped = False
        self.batch_in_flight = False
        self.claims = 0

    def tick(self):
        now = self.store.now
        if self.stopped:
            return
        self.store.at(now + TICK_SECONDS, self.tick)
        self.act()

    def act(self):
        now, state = self.store.now, self.state
        if state.sent_at is None and now >= state.retry_at:
            delay = lease_timing.claim_spread_ms(state.latency, state.holder_id, state.epoch)
            now_ms = self.store.now_ms()
            if leadership.may_claim(state, now_ms, delay):
                self.write("claim", leadership.claim_transaction(state, now_ms, _keep))
            elif leadership.is_renewal_due(state, now):
                self.write("renew", leadership.renewal_transaction(state, now_ms, _keep))
        if state.leading and not self.batch_in_flight:
            self.decide()

    def write(self, purpose, transaction):
        self.state.sent_at = self.store.now
        timeout = lease_timing.write_timeout_seconds(self.state.latency)
        self.store.send((self, purpose), transaction, timeout, self.written)

    def written(self, done):
        state, (_, purpose) = self.state, done.token
        sent_at, state.sent_at = state.sent_at, None
        latencies.record(state.latency, done)
        if done.outcome is not rows.Outcome.COMMITTED:
            retry = lease_timing.renew_retry_seconds
            if purpose == "claim":
                retry = lease_timing.claim_retry_seconds
            state.retry_at = self.store.now + retry(state.latency, state.holder_id)
        elif purpose == "claim":
            leadership.become_leader(state, done.version, sent_at)
            self.claims += 1
        else:
            state.renewed_at = sent_at
        self.act()

    def decide(self):
        now, state = self.store.now, self.state
        condition = rows.Condition(tables.EPOCH_KEY, state.epoch_version)
        decisions = rows.Transaction((condition,), ((tables.job_key("a"), b""),))
        carried = leadership.may_carry_renewal(state, now)
        if carried:
            state.carried_at = now
            decisions = leadership.carry_renewal(state, decisions, self.store.now_ms(), _keep)
        self.batch_in_flight = True

        def decided(done):
            self.batch_in_flight = False
            latencies.record(state.latency, done)
            if carried:
                state.carried_at = None
                if done.outcome is rows.Outcome.COMMITTED:
                    state.renewed_at = now
            pause = lease_timing.resend_seconds(state.latency, state.holder_id)
            self.store.at(self.store.now + pause, self.act)

        self.store.send((self, "decide"), decisions, DECISION_TIMEOUT_SECONDS, decided)

    def read(self):
        """Apply the rows of the leadership, as a feed delivers them."""
        if self.stopped:
            return
        self.store.at(self.store.now + FEED_SECONDS, self.read)
        now_ms, state = self.store.now_ms(), self.state
        state.seen_ms = now_ms
        for key in (tables.EPOCH_KEY, tables.LEASE_KEY):
            lease, version = self.store.rows.get(key, (None, 0))
            if version and key == tables.EPOCH_KEY:
                leadership.observe_epoch(state, lease, version)
            elif version:
                leadership.observe_lease(state, lease, version, now_ms)
        if leadership.has_unacknowledged_claim(state):
            state.leading = True
            self.claims += 1


def _record(latency, seconds, outcome=rows.Outcome.COMMITTED, busy=False):
    latencies.record(latency, rows.Committed("row", outcome, 1, 1, 0.0, seconds, busy=busy))


def _record_full(latency):
    _record(latency, 0.1, rows.Outcome.NOT_DONE, busy=True)


def _keep(value):
    return value


def _deployment(store, seed):
    rng = random.Random(seed)
    entries = [_Entry(f"front-{number}/{seed}", store) for number in range(ENTRIES)]
    for entry in entries:
        store.at(rng.uniform(0, TICK_SECONDS), entry.tick)
        store.at(rng.uniform(0, FEED_SECONDS), entry.read)
    store.at(SLOW_FROM, lambda: setattr(store, "txn_seconds", SLOW_TXN_SECONDS))
    store.at(SLOW_UNTIL, lambda: setattr(store, "txn_seconds", 0.005))
    return entries, rng


def _add_agents(store, rng, direct=True):
    """Write as agents and callers do: in one group at a time.

    With ``direct``, agents first write directly for a second, until each knows that the store is
    slow.
    """

    def write_directly(number):
        if store.now < SLOW_FROM + 1.0:
            store.send("agent", rows.Transaction(), 1.5, lambda _: None)
            store.at(store.now + 2.0, lambda: write_directly(number))

    def write_group(_=None):
        store.at(
            store.now + rng.uniform(0.05, 0.3),
            lambda: store.send("group", rows.Transaction(), 1.5, write_group),
        )

    def submit(_=None):
        store.send("call", rows.Transaction(), 0.5, lambda _: None)
        store.at(store.now + rng.expovariate(1.3), submit)

    for number in range(AGENTS if direct else 0):
        store.at(rng.uniform(0, 2.0), lambda number=number: write_directly(number))
    store.at(SLOW_FROM + 0.5, write_group)
    store.at(rng.uniform(0, 1.0), submit)


def _times(store, token):
    return [when for when, written, _ in store.committed if written == token]


def _longest_gap(times):
    return max(later - when for when, later in itertools.pairwise(times))


@pytest.mark.parametrize("seed", range(20))
def test_one_entry_keeps_the_lead_and_writes_while_the_partition_is_slow(seed):
    # Five takeovers in 7 s, and no decision was written for 6.5 s.
    store = partition_model.Partition()
    entries, rng = _deployment(store, seed)
    _add_agents(store, rng, direct=False)
    store.run_until(END)
    assert sum(entry.claims for entry in entries) == 1
    (leader,) = (entry for entry in entries if entry.state.leading)
    times = _times(store, (leader, "decide"))
    assert _longest_gap(times) < lease_timing.MAX_LEASE_DURATION_MS / 1000.0 - 1.0
    assert len([when for when in times if SLOW_FROM < when < SLOW_UNTIL]) >= 5


@pytest.mark.parametrize("seed", range(20))
def test_agents_that_still_write_directly_cost_at_most_one_takeover(seed):
    # Each agent must be refused once before it knows that the store is slow; until then the queue
    # is full, and nearly every renewal is refused.
    store = partition_model.Partition()
    entries, rng = _deployment(store, seed)
    _add_agents(store, rng)
    store.run_until(END)
    assert sum(entry.claims for entry in entries) <= 2
    (leader,) = (entry for entry in entries if entry.state.leading)
    settled = [when for when in _times(store, (leader, "decide")) if when > SLOW_FROM + 4.0]
    assert _longest_gap(settled) < lease_timing.MAX_LEASE_DURATION_MS / 1000.0 - 1.0


@pytest.mark.parametrize("seed", range(20))
def test_another_entry_leads_after_the_loss_of_a_leader_while_the_store_is_slow(seed):
    # Claims that back off, and a longer lease, must not leave the lead to nobody.
    store = partition_model.Partition()
    entries, rng = _deployment(store, seed)
    _add_agents(store, rng, direct=False)
    store.run_until(SLOW_FROM + 1.0)
    (leader,) = (entry for entry in entries if entry.state.leading)
    leader.stopped, leader.state.leading = True, False
    store.run_until(SLOW_FROM + 1.0 + lease_timing.MAX_LEASE_DURATION_MS / 1000.0 + 4.0)
    assert sum(entry.state.leading for entry in entries) == 1


@pytest.mark.parametrize("seed", range(5))
def test_with_quick_writes_the_lease_and_its_writes_are_as_before(seed):
    # A longer lease delays the takeover after a loss, so it is for slow writes only.
    store = partition_model.Partition()
    entries, rng = _deployment(store, seed)
    store.run_until(SLOW_FROM)
    lost_at = store.now
    (leader,) = (entry for entry in entries if entry.state.leading)
    lease, _ = store.rows[tables.LEASE_KEY]
    assert lease.until_ms - store.now_ms() <= lease_timing.LEASE_DURATION_MS
    leader.stopped, leader.state.leading = True, False
    store.at(SLOW_FROM, lambda: setattr(store, "txn_seconds", 0.005))
    store.run_until(lost_at + 2.0)
    assert sum(entry.state.leading for entry in entries) == 1


def test_decisions_carry_the_renewals_of_a_leader_that_writes_often():
    # A renewal of its own takes as much of the partition's time as a batch of decisions.
    store = partition_model.Partition()
    entries, _ = _deployment(store, 1)
    store.run_until(SLOW_FROM)
    (leader,) = (entry for entry in entries if entry.state.leading)
    assert len(_times(store, (leader, "decide"))) > 10
    assert _times(store, (leader, "renew")) == []


@pytest.mark.parametrize(
    ("seconds", "duration_ms"),
    [(0.0, 1100), (0.1, 1100), (0.2, 1700), (1.0, 4000), (30.0, 4000)],
)
def test_the_lease_follows_the_latency_up_to_a_bound(seconds, duration_ms):
    latency = latencies.Latency()
    _record(latency, seconds)
    assert lease_timing.lease_duration_ms(latency) == duration_ms


def test_the_lease_has_its_normal_duration_soon_after_the_store_has_recovered():
    latency = latencies.Latency()
    _record_full(latency)
    assert lease_timing.lease_duration_ms(latency) == lease_timing.MAX_LEASE_DURATION_MS
    for _ in range(9):
        _record(latency, 0.005)
    assert lease_timing.lease_duration_ms(latency) == lease_timing.LEASE_DURATION_MS
    assert lease_timing.write_timeout_seconds(latency) == lease_timing.WRITE_TIMEOUT_SECONDS


def test_a_renewal_never_shortens_the_lease_in_the_store():
    # The other entries wait for the longer lease that they know, so the row must agree with it.
    state = leadership.Leadership("a/1", leading=True)
    _record_full(state.latency)
    _, first = leadership.renewal_transaction(state, 10_000, _keep).writes[0]
    state.latency.seconds = 0.0
    _, second = leadership.renewal_transaction(state, 10_100, _keep).writes[0]
    assert second.until_ms == first.until_ms > 10_000 + lease_timing.LEASE_DURATION_MS


def test_a_separate_renewal_replaces_a_carried_one_without_an_answer():
    # Otherwise one lost answer of a batch, which is awaited for longer, ends a short lease.
    state = leadership.Leadership("a/1", leading=True, renewed_at=0.0, carried_at=0.4)
    assert not leadership.is_renewal_due(state, 0.5)
    assert leadership.is_renewal_due(state, 0.4 + lease_timing.WRITE_TIMEOUT_SECONDS)


def test_a_claim_waits_until_the_feed_shows_the_end_of_the_lease_while_writes_are_slow():
    # Ten entries claimed again and again a lease that had been renewed meanwhile.
    state = leadership.Leadership("b/2")
    leadership.observe_lease(state, leadership.Lease("a/1", 4, 10_000, 900), 21, 7_000)
    assert not leadership.may_claim(state, 10_500, 0)
    state.seen_ms = 10_200
    assert leadership.may_claim(state, 10_500, 0)


def test_claims_after_a_refusal_are_spread():
    # Entries that were refused together came again together, every 0.1 s.
    delays = set()
    for number in range(ENTRIES):
        latency = latencies.Latency()
        _record_full(latency)
        delays.add(round(lease_timing.claim_retry_seconds(latency, f"front-{number}/a"), 1))
    assert len(delays) > ENTRIES / 2
    assert min(delays) >= lease_timing.MIN_CLAIM_RETRY_SECONDS
    assert max(delays) <= lease_timing.MAX_CLAIM_RETRY_SECONDS
