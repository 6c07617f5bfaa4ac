"""Load: 160 agents share one partition of the store, which refuses writes for some time."""

import collections

import hold_harness as harness

from peridothatch_core.hold import exchange, state, step
from peridothatch_core.message import rows

AGENTS = 160
LEASE_MS = 5_500
WRITES_PER_SECOND = 200
MAX_QUEUE = WRITES_PER_SECOND  # A second of transactions; the store refuses further ones.
STEP_SECONDS = 0.05


class _Partition:
    """A partition that applies transactions one after another."""

    def __init__(self):
        self.queue = collections.deque()
        self.refused = 0

    def send(self, agent, write, now, refuses):
        if refuses or len(self.queue) >= MAX_QUEUE:
            self.refused += 1
            return _deliver(agent, write, now, now, rows.Outcome.NOT_DONE, self, refuses)
        self.queue.append((agent, write, now))
        return None

    def advance(self, now):
        for _ in range(min(len(self.queue), int(WRITES_PER_SECOND * STEP_SECONDS))):
            agent, write, asked_at = self.queue.popleft()
            _deliver(agent, write, asked_at, now, rows.Outcome.COMMITTED, self, False)


def _deliver(agent, write, asked_at, now, outcome, partition, refuses):
    done = rows.Committed("row", outcome, write.version + 1, int(1000 * now), asked_at, now)
    _send_writes(partition, agent, step.step(agent, done, now), now, refuses)


def _send_writes(partition, agent, effects, now, refuses):
    for effect in effects:
        if isinstance(effect, exchange.WriteRow):
            partition.send(agent, effect, now, refuses)


def test_no_lease_is_lost_when_a_busy_partition_refuses_writes_for_a_second():
    # Leases lapsed, and work was lost, because the store was busy and not because a machine was.
    partition = _Partition()
    agents = []
    for _ in range(AGENTS):
        agent = harness.registered_agent(orders={harness.KEY: harness.order()})
        agent.lease_duration_ms = LEASE_MS
        agents.append(agent)
    running = [(harness.TASK, 1, "", 40)]
    for number in range(int(12.0 / STEP_SECONDS)):
        now = 10.2 + number * STEP_SECONDS
        refuses = 15.0 <= now < 16.0
        partition.advance(now)
        for index, agent in enumerate(agents):
            if (number + index) % 5 == 0:
                listed = exchange.RunsListed(harness.listing(now, running))
                _send_writes(partition, agent, step.step(agent, listed, now), now, refuses)
            assert state.lease_expires_at(agent) > now, f"agent {index} at {now:.2f}"
    assert partition.refused


def test_leases_are_renewed_in_time_although_refused_writes_back_off():
    # Without a back-off, 73 agents send 150 refused writes a second. With one that is too long,
    # a lease lapses although the store answers again.
    agents = [harness.registered_agent(orders={harness.KEY: harness.order()}) for _ in range(73)]
    for index, agent in enumerate(agents):
        agent.node = f"side-{index}"
        agent.lease_duration_ms = LEASE_MS
        agent.commit_seconds = state.SLOW_COMMIT_SECONDS
    waiting = []
    refused = 0
    for number in range(int(9.0 / STEP_SECONDS)):
        now = 10.2 + number * STEP_SECONDS
        for agent, write, sent_at in waiting:
            is_full = 12.5 <= now < 14.5
            refused += is_full
            outcome = rows.Outcome.NOT_DONE if is_full else rows.Outcome.COMMITTED
            done = rows.Committed(
                "row", outcome, write.version + 1, int(1000 * now), sent_at, now, busy=is_full
            )
            step.step(agent, done, now)
        waiting = []
        for index, agent in enumerate(agents):
            read = exchange.StoreTime(int(1000 * now), now - 0.01, now)
            for effect in step.step(agent, read, now):
                if isinstance(effect, exchange.WriteRow):
                    waiting.append((agent, effect, now))
            assert state.lease_expires_at(agent) > now, f"agent {index} at {now:.2f}"
    assert 0 < refused < 73 * 6
