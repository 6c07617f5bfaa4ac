"""Agents and entries that share one partition of the store, in simulated time."""

import random

import hold_harness as harness

from peridothatch_core.commit import backoff, group, latency, route, sharing
from peridothatch_core.hold import exchange, lease, state, step
from peridothatch_core.message import rows
from peridothatch_core.model import entries, tables

DIRECT_TIMEOUT, RELAYED_TIMEOUT, SHARED_TIMEOUT, GROUP_TIMEOUT = 1.5, 3.5, 2.0, 1.5
STEP_SECONDS = 0.1
FIRST_RETRY, LONGEST_RETRY, NEEDED_LATENCIES = 0.1, 0.3, 1.5
MAX_QUICK_GROUPS = 2
FAILED_SECONDS = 0.002


class Entry:
    """Commits groups as `hosted.grouping` does: one at a time while the store is slow."""

    def __init__(self, store, leader, way_seconds=0.0):
        self.store, self.leader, self.way_seconds = store, leader, way_seconds
        self.waiting = []
        self.parts = []
        self.answer_by = {}
        self.arrived_at = {}
        self.in_flight = 0
        self.latency = latency.Latency()

    def take(self, commit):
        self.answer_by[id(commit)] = self.store.now + commit.timeout_seconds
        self.arrived_at[id(commit)] = self.store.now
        self.waiting.append(commit)
        self.store.at(self.latest_start(commit), self.send)

    def latest_start(self, commit):
        is_slow = latency.is_slow(self.latency)
        return group.latest_start(commit, self.arrived_at[id(commit)], is_slow)

    def send(self):
        self.refuse_expired()
        most = 1 if latency.is_slow(self.latency) else MAX_QUICK_GROUPS
        while self.in_flight < most and (self.parts or self.waiting):
            if self.parts:
                commits = self.parts.pop(0)
            else:
                start_at = min(self.latest_start(commit) for commit in self.waiting)
                if self.store.now < start_at:
                    self.store.at(start_at, self.send)
                    return
                commits, self.waiting = group.next_group(self.waiting)
            self.in_flight += 1
            self.send_group(commits)

    def send_group(self, commits):
        def answer(done):
            self.in_flight -= 1
            latency.record(self.latency, done)
            if done.busy:
                self.waiting += commits
                pause = backoff.delay_seconds(
                    "grouping", self.latency.failures, FIRST_RETRY, LONGEST_RETRY
                )
                self.store.at(self.store.now + pause, self.send)
                return
            if done.outcome is rows.Outcome.CONFLICT and len(commits) > 1:
                self.parts[:0] = group.halve(commits)
                self.send()
                return
            seconds = done.answered_at - done.asked_at
            for commit in commits:
                commit.answer(done, rows.Relayed(self.leader, seconds))
            self.send()

        send(self.store, self.way_seconds, "group", group.combine(commits), GROUP_TIMEOUT, answer)

    def refuse_expired(self):
        waiting, self.waiting = self.waiting, []
        for commit in waiting:
            needed = min(GROUP_TIMEOUT, NEEDED_LATENCIES * self.latency.seconds)
            if self.answer_by[id(commit)] - self.store.now >= needed:
                self.waiting.append(commit)
                continue
            refused = rows.Committed("row", rows.Outcome.NOT_DONE, busy=True)
            commit.answer(refused, rows.Relayed(self.leader, self.latency.seconds))


class Agent:
    """Carries out the effects of an agent with a running task, in its own way to the store."""

    def __init__(
        self, number, store, served, known, lease_ms, data_centre="", entry_way=0.03, store_way=0.0
    ):
        self.store, self.served = store, served
        self.entry_way, self.store_way = entry_way, store_way
        self.hold = harness.registered_agent(orders={harness.KEY: harness.order()})
        self.hold.node = f"side-{number}"
        self.hold.lease_duration_ms = lease_ms
        self.key = tables.agent_key(self.hold.node)
        self.store.rows[self.key] = (b"", self.hold.version)
        way = sharing.Sharing(data_centre)
        self.route = route.Route(
            self.hold.node, {entry.node: entry for entry in known}, sharing=way
        )

    def handle(self, event):
        for effect in step.step(self.hold, event, self.store.now):
            if isinstance(effect, exchange.WriteRow):
                self.commit(effect)
            elif isinstance(effect, exchange.ReadRow):
                self.read()

    def read(self):
        def answer():
            version = self.store.rows[self.key][1]
            self.hold.version = version
            self.handle(exchange.RowRead(not self.store.is_down, None, version))
            self.hold.version = version

        self.store.at(self.store.now + 2 * self.store_way + FAILED_SECONDS, answer)

    def commit(self, effect):
        condition = rows.Condition(self.key, effect.version)
        transaction = rows.Transaction((condition,), ((self.key, b"x" * 400),))
        sent_at = self.store.now
        used = route.address(self.route, sent_at, lease.is_sharable(effect))
        was_reached = sent_at - self.hold.clock.asked_at < sharing.REACHED_SECONDS
        leader = next(iter(self.served.values())).leader
        if used and used != leader and route.wanted_leader(self.route) not in (None, leader):
            # The entry names the leader at once.
            self.route.leader = used = leader

        def finish(done, relayed=None):
            now = self.store.now
            known = rows.Committed(
                "row", done.outcome, done.version, done.now_ms, sent_at, now,
                busy=done.busy, relayed=relayed,
            )  # fmt: skip
            if used:
                route.record_relayed(self.route, known, now, used, was_reached)
            else:
                route.record_direct(self.route, known, now)
            self.handle(known)

        if not used:
            send(self.store, self.store_way, "direct", transaction, DIRECT_TIMEOUT, finish)
            return
        due_at = state.lease_expires_at(self.hold)
        timeout = SHARED_TIMEOUT if route.is_quick(self.route, sent_at) else RELAYED_TIMEOUT
        wait = lease.may_wait_seconds(effect)
        commit = rows.Commit(
            self.hold.node, transaction, timeout, finish, due_at, may_wait_seconds=wait
        )
        self.store.at(sent_at + self.entry_way, lambda: self.served[used].take(commit))

    def tick(self):
        self.store.at(self.store.now + STEP_SECONDS, self.tick)
        now = self.store.now
        running = [(harness.TASK, 1, "", 40)]
        self.handle(exchange.RunsListed(harness.listing(now, running)))
        if not self.store.is_down:
            self.handle(exchange.StoreTime(self.store.now_ms(), now - 0.01, now))


def send(store, way_seconds, token, transaction, timeout, answer):
    """Send a transaction over a way that takes ``way_seconds`` in each direction."""
    if store.is_down:
        outcome = rows.Outcome.UNKNOWN
        failed = rows.Committed(token, outcome, 0, 0, store.now, store.now + FAILED_SECONDS)
        store.at(store.now + FAILED_SECONDS, lambda: answer(failed))
        return
    sent_at = store.now

    def arrive():
        store.send(token, transaction, timeout - 2 * way_seconds, come_back)

    def come_back(done):
        def finish():
            answer(
                rows.Committed(
                    token, done.outcome, done.version, done.now_ms, sent_at, store.now,
                    busy=done.busy,
                )
            )  # fmt: skip

        store.at(store.now + way_seconds, finish)

    store.at(store.now + way_seconds, arrive)


def write_as_leader_and_callers(store, rng, claims_per_second=0.0):
    """Add the writes of the leader, of callers and of agents that claim orders."""
    leader = rows.Transaction((), ((tables.LEASE_KEY, b""),))
    call = rows.Transaction((), ((tables.job_key("a"), b""),))

    def lead(_=None):
        pause = rng.uniform(0.05, 0.3)
        store.at(store.now + pause, lambda: send(store, 0.0, "leader", leader, 1.5, lead))

    def write(token, rate, timeout):
        send(store, 0.0, token, call, timeout, lambda _: None)
        store.at(store.now + rng.expovariate(rate), lambda: write(token, rate, timeout))

    lead()
    write("call", 1.3, 0.5)
    if claims_per_second:
        write("claim", claims_per_second, DIRECT_TIMEOUT)


def start_agents(store, agents, rng):
    """Let each agent begin its ticks at a moment of its own."""
    for agent in agents:
        store.at(store.now + rng.uniform(0, STEP_SECONDS), agent.tick)


def run(store, agents, until):
    """Run up to a time and return the nodes whose leases have lapsed meanwhile."""
    lapsed = set()
    now = store.now
    while now < until:
        now += STEP_SECONDS
        store.run_until(now)
        lapsed |= {
            agent.hold.node for agent in agents if state.lease_expires_at(agent.hold) <= now
        }
    return lapsed


def count(store, tokens, since, until):
    """Return how many transactions with these tokens were applied between two times."""
    return sum(token in tokens and since < when <= until for when, token, _ in store.committed)


def create_entries(nodes):
    """Return entries in their data centres; their internal address is their name."""
    return [entries.Entry(node, "", node, zone) for node, zone in nodes.items()]


def seeded(seed):
    """Return the source of all delays of a run."""
    return random.Random(seed)
