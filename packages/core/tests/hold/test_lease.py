"""Renewals of the lease around outages of the store."""

import dataclasses

import hold_harness as harness
import pytest

from peridothatch_core.commit import backoff
from peridothatch_core.hold import exchange, lease, state, step
from peridothatch_core.message import rows
from peridothatch_core.model import agents, steps


@pytest.mark.parametrize("outage_seconds", [3.0, 4.0])
@pytest.mark.parametrize("phase", range(8))
def test_runs_without_checkpoints_survive_an_outage_shorter_than_the_lease(phase, outage_seconds):
    # A lease of 5.5 s that was renewed every 2 s lapsed in a store outage of 4 s, and a gang that
    # had worked for 12 s began anew.
    agent = harness.registered_agent(orders={harness.KEY: harness.order()})
    agent.lease_duration_ms = 5_500
    running = [(harness.TASK, 1, "", 40)]
    outage_at = 14.0 + phase / 4
    now = 10.2
    while now < outage_at + outage_seconds + 0.5:
        down = outage_at <= now < outage_at + outage_seconds
        effects = step.step(agent, exchange.RunsListed(harness.listing(now, running)), now)
        for effect in effects:
            if isinstance(effect, exchange.WriteRow):
                outcome = rows.Outcome.NOT_DONE if down else rows.Outcome.COMMITTED
                step.step(agent, harness.committed(effect, now, outcome), now)
        assert state.lease_expires_at(agent) > now, f"the lease lapsed at {now}"
        now += 0.25


def _interval(agent):
    """Return the interval between renewals before their spread."""
    jitter = backoff.jitter(agent.node, agent.version)
    return state.renew_interval_seconds(agent) / (1.0 - state.RENEW_SPREAD * jitter)


def test_renewals_keep_the_longest_interval_while_the_store_is_slow_or_little_would_be_lost():
    # More renewals would only queue behind each other in a busy partition of the store.
    agent = harness.registered_agent(orders={harness.KEY: harness.order()})
    agent.lease_duration_ms = 5_500
    assert _interval(agent) == pytest.approx(state.RENEW_INTERVAL_SECONDS)
    running = exchange.RunsListed(harness.listing(10.2, [(harness.TASK, 1, "", 40)]))
    step.step(agent, running, 10.2)
    assert _interval(agent) < 1.0
    agent.commit_seconds = state.SLOW_COMMIT_SECONDS
    assert _interval(agent) == pytest.approx(state.RENEW_INTERVAL_SECONDS)
    agent.commit_seconds = 0.0
    agent.runs[harness.KEY].order = harness.order(checkpointing=True)
    assert _interval(agent) == pytest.approx(state.RENEW_INTERVAL_SECONDS)


def test_renewals_that_were_answered_together_do_not_stay_together():
    # 73 renewals that came back at one moment waited for each other in every round after it.
    fleet = [harness.registered_agent() for _ in range(40)]
    for number, agent in enumerate(fleet):
        agent.node = f"side-{number}"
    intervals = sorted(state.renew_interval_seconds(agent) for agent in fleet)
    assert intervals[-1] <= state.RENEW_INTERVAL_SECONDS
    assert intervals[0] >= state.RENEW_INTERVAL_SECONDS * (1.0 - state.RENEW_SPREAD)
    assert intervals[-4] - intervals[4] > state.RENEW_SPREAD


def test_the_time_that_a_renewal_waits_at_an_entry_is_no_sign_of_a_slow_store():
    # Otherwise agents whose renewals wait for each other would keep the longest interval.
    agent = harness.registered_agent()
    agent.dirty = True
    (write,) = (
        effect
        for effect in step.step(agent, exchange.Tick(), 11.0)
        if isinstance(effect, exchange.WriteRow)
    )
    done = dataclasses.replace(
        harness.committed(write, 11.3), asked_at=11.0, relayed=rows.Relayed("front-1", 0.04)
    )
    step.step(agent, done, 11.3)
    assert agent.commit_seconds == pytest.approx(0.04)


def test_a_renewal_may_wait_for_others_and_claims_and_ends_may_not():
    # A claim that waits at an entry is withdrawn, and an end that waits delays its job.
    row = agents.Agent("side-1", "accra-a", 1, 0, 16_500, None, (), ())
    renewal = exchange.WriteRow(row, 8, ())
    assert lease.is_sharable(renewal)
    assert lease.may_wait_seconds(renewal) > 0.0
    claim = exchange.WriteRow(row, 8, (), claims=((harness.KEY, 3),))
    assert not lease.is_sharable(claim)
    requested = exchange.WriteRow(row, 8, (), answers_renewal_request=True)
    assert lease.is_sharable(requested)
    assert lease.may_wait_seconds(claim) == lease.may_wait_seconds(requested) == 0.0


def test_a_failed_renewal_is_repeated_as_soon_as_the_store_answers_again():
    # The lease lapsed 0.7 s after the store was back, while the agent still read its row back
    # and waited before the next write.
    agent = harness.registered_agent(orders={harness.KEY: harness.order()})
    running = [(harness.TASK, 1, "", 40)]
    effects = step.step(agent, exchange.RunsListed(harness.listing(12.2, running)), 12.2)
    write = harness.single(effects, exchange.WriteRow)
    effects = step.step(agent, harness.committed(write, 12.4, rows.Outcome.UNKNOWN), 12.4)
    harness.assert_none(effects, exchange.ReadRow)
    harness.assert_none(effects, exchange.WriteRow)
    early = step.step(agent, exchange.StoreTime(12_450, 12.3, 12.45), 12.45)
    harness.assert_none(early, exchange.WriteRow)
    effects = step.step(agent, exchange.StoreTime(12_500, 12.42, 12.5), 12.5)
    harness.single(effects, exchange.WriteRow)


def test_a_write_with_ends_or_claims_and_an_unknown_outcome_is_read_back():
    agent = harness.registered_agent(orders={harness.KEY: harness.order()})
    ended = [(1, harness.TASK, 1, steps.EndKind.DONE, "")]
    effects = step.step(agent, exchange.RunsListed(harness.listing(10.2, ended=ended)), 10.2)
    write = harness.single(effects, exchange.WriteRow)
    effects = step.step(agent, harness.committed(write, 10.4, rows.Outcome.UNKNOWN), 10.4)
    harness.single(effects, exchange.ReadRow)


def test_a_lease_renewed_late_is_passed_on_to_the_worker_at_once():
    # The renewal came after an outage of the store, 0.5 s before the worker's deadline, and
    # waited for a list call that was waiting for an end. The runs lapsed meanwhile.
    agent = harness.registered_agent(orders={harness.KEY: harness.order()})
    running = [(harness.TASK, 1, "", 40)]
    effects = step.step(agent, exchange.RunsListed(harness.listing(10.2, running)), 10.2)
    harness.commit_writes(agent, effects, 10.2)
    effects = step.step(agent, exchange.Tick(), 10.5)
    deadline_ms = harness.single(effects, exchange.ListRuns).lease_end_ms
    write = harness.single(step.step(agent, exchange.Tick(), 12.0), exchange.WriteRow)
    late = deadline_ms / 1000 - 0.5
    for number in range(2, 9):
        harness.heartbeat(agent, harness.worker(), number, 10.5 + number)
    effects = step.step(agent, harness.committed(write, late), late)
    call = harness.single(effects, exchange.ListRuns)
    assert call.concurrent
    assert call.lease_end_ms >= deadline_ms + state.MIN_EXTENSION_MS


# Guards against an agent that never registers: a row of its own that it could not read counted as
# absent, and each write conflicted with it.
def test_a_row_that_cannot_be_read_is_replaced():
    agent = state.State("side-1", "accra-a", 9_500)
    step.step(agent, exchange.StoreTime(10_000, 9.99, 10.0), 10.0)
    effects = step.step(agent, exchange.RowRead(True, None, 41), 10.0)
    assert harness.single(effects, exchange.WriteRow).version == 41
