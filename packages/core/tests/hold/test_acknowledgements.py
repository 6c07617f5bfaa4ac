"""Acknowledgements, deadlines and pauses around restarts, slow answers and odd lists."""

import dataclasses

import hold_harness as harness
import test_late_answers

from peridothatch_core.hold import exchange, state, step
from peridothatch_core.model import steps

RESTARTED_MS = 9_000
OTHER = "00000000000000bb.0.0.0"
SLOW_SECONDS = 0.03


def done(number, task=harness.TASK):
    return (number, task, 1, steps.EndKind.DONE, "")


def list_calls(effects):
    return [effect for effect in effects if isinstance(effect, exchange.ListRuns)]


def agent_with_recorded_end():
    """Return an agent with an end that has been recorded and not been acknowledged."""
    agent = harness.running_agent()
    listed = exchange.RunsListed(harness.listing(10.3, ended=[done(1)]))
    effects = step.step(agent, listed, 10.3)
    write = harness.single(effects, exchange.WriteRow)
    calls = list_calls(step.step(agent, harness.committed(write, 10.6), 10.6))
    assert agent.recorded_through == 1
    return agent, calls


def answer_slowly(agent, calls, first, last):
    """Answer each list call at once, each answer being handled 30 ms later; return the calls."""
    now = first
    sent = list(calls)
    while now < last:
        if not calls:
            now += 0.01
            calls = list_calls(step.step(agent, exchange.Tick(), now))
            sent += calls
            continue
        listed = harness.listing(now + 0.002, ended=[done(1)])
        answer = exchange.RunsListed(listed, fence=calls[0].fence)
        now += 0.002 + SLOW_SECONDS
        calls = list_calls(step.step(agent, answer, now))
        sent += calls
    return sent


# Guards against ends that are never acknowledged: each answer was handled more than 20 ms after
# it had arrived, as on a machine that is slow for a while.
def test_ends_are_acknowledged_although_answers_are_handled_late():
    agent, calls = agent_with_recorded_end()
    sent = answer_slowly(agent, calls, 10.6, 15.6)
    assert any(call.recorded_through == 1 for call in sent)


# Guards against a loop: an agent whose answers are handled late asked again without a pause.
def test_list_calls_keep_their_least_interval_while_answers_are_handled_late():
    agent, calls = agent_with_recorded_end()
    sent = answer_slowly(agent, calls, 10.6, 15.6)
    assert len(sent) <= 5.0 / state.MIN_LIST_INTERVAL_SECONDS + 3


# Guards against ends that are forgotten unread: an answer that was under way, or lay in the socket
# of a paused agent, for longer than a restart takes counted as a recent one.
def test_an_answer_to_a_call_that_took_long_does_not_count_as_recent():
    agent, calls = agent_with_recorded_end()
    (asking,) = calls
    assert asking.wait_ms == 0
    answered = dataclasses.replace(harness.listing(11.6, ended=[done(1)]), asked_at=10.6)
    effects = step.step(agent, exchange.RunsListed(answered, fence=asking.fence), 11.6)
    assert all(call.recorded_through == 0 for call in list_calls(effects))


# Guards against a worker that is stuck for good: after a restart of the agent, a full list of ends
# that do not begin at 1 was never acknowledged, so the worker never listed the later ends.
def test_a_full_list_after_a_restart_of_the_agent_is_acknowledged():
    agent = harness.registered_agent(orders={harness.KEY: harness.order()}, listed=False)
    others = [f"{0x1000 + number:016x}.0.0.0" for number in range(exchange.ENDS_PER_LIST)]
    ends = [done(701 + number, task) for number, task in enumerate(others)]
    acknowledged = 0
    now = 10.1
    while now < 40.0 and not acknowledged:
        effects = step.step(agent, exchange.RunsListed(harness.listing(now, ended=ends)), now)
        effects = harness.commit_writes(agent, effects, now)
        acknowledged = max([call.recorded_through for call in list_calls(effects)], default=0)
        for call in effects:
            if isinstance(call, exchange.Stop):
                step.step(agent, exchange.StopAnswered(call.key, True), now)
        now += 0.31
    assert acknowledged == 700 + exchange.ENDS_PER_LIST


def list_with_unreadable_end(agent, readable, first, last):
    """Answer lists that lack an end and confirm all stops; return what was acknowledged."""
    now = first
    acknowledged = 0
    while now < last:
        ends = [end for end in readable if end[0] > acknowledged]
        listed = dataclasses.replace(harness.listing(now, ended=ends), unreadable_ends=1)
        effects = step.step(agent, exchange.RunsListed(listed), now)
        effects = harness.commit_writes(agent, effects, now)
        for call in effects:
            if isinstance(call, exchange.Stop):
                step.step(agent, exchange.StopAnswered(call.key, True), now)
            if isinstance(call, exchange.ListRuns):
                acknowledged = max(acknowledged, call.recorded_through)
        now += 0.31
    return acknowledged


# Guards against a cancelled job whose run stays open for good: its end cannot be read.
def test_a_run_that_was_stopped_is_closed_although_an_end_cannot_be_read():
    agent = harness.running_agent()
    effects = step.step(agent, exchange.StopAdded(harness.KEY), 10.4)
    harness.single(effects, exchange.Stop)
    step.step(agent, exchange.StopAnswered(harness.KEY, True), 10.45)
    list_with_unreadable_end(agent, [], 10.6, 70.0)
    assert harness.KEY not in agent.runs


# Guards against ends that are never acknowledged again: one end cannot be read. It may be that of
# the missing run until that run is stopped.
def test_ends_after_an_unreadable_one_are_acknowledged_once_the_missing_run_is_stopped():
    agent = harness.running_agent((harness.TASK, OTHER))
    assert list_with_unreadable_end(agent, [done(2, OTHER)], 10.6, 13.0) == 0
    step.step(agent, exchange.StopAdded(harness.KEY), 13.1)
    step.step(agent, exchange.StopAnswered(harness.KEY, True), 13.2)
    assert list_with_unreadable_end(agent, [done(2, OTHER)], 13.5, 20.0) == 2


# Guards against calls to the previous incarnation that the new one carries out: the first call
# with the raised token waited for the pause that follows a failed call, or for the store.
def test_the_first_heartbeat_of_an_incarnation_is_followed_by_a_call_at_once():
    agent = harness.running_agent()
    step.step(agent, exchange.RunsListed(None), 10.3)
    probe = harness.single(step.step(agent, exchange.Tick(), 10.4), exchange.ListRuns)
    step.step(agent, exchange.RunsListed(None, fence=probe.fence), 10.41)
    heartbeat = exchange.Heartbeat(harness.worker(started_ms=RESTARTED_MS), 0)
    effects = step.step(agent, heartbeat, 10.45)
    identification = harness.single(effects, exchange.IdentifyWorker)
    assert identification.fence > probe.fence
    effects = harness.identify(agent, effects, 10.46, ("w-1", RESTARTED_MS))
    assert harness.single(effects, exchange.ListRuns).fence >= identification.fence


# Guards against ends that are seen late: after each acknowledgement no call waited for the next
# end until a tick, where the acknowledging call itself used to wait.
def test_a_call_waits_for_the_next_end_as_soon_as_an_acknowledgement_was_answered():
    agent = harness.running_agent((harness.TASK, OTHER))
    running = [(OTHER, 1, "", 40)]
    effects = step.step(
        agent, exchange.RunsListed(harness.listing(10.3, running, [done(1)])), 10.3
    )
    write = harness.single(effects, exchange.WriteRow)
    effects = step.step(agent, harness.committed(write, 10.31), 10.31)
    asking = harness.single(effects, exchange.ListRuns)
    answer = exchange.RunsListed(harness.listing(10.312, running, [done(1)]), fence=asking.fence)
    acknowledging = harness.single(step.step(agent, answer, 10.312), exchange.ListRuns)
    assert acknowledging.recorded_through == 1
    answer = exchange.RunsListed(harness.listing(10.314, running), fence=acknowledging.fence)
    waiting = harness.single(step.step(agent, answer, 10.314), exchange.ListRuns)
    assert waiting.wait_ms > 0


def agent_whose_run_is_on_the_new_incarnation():
    agent = harness.registered_agent(orders={harness.KEY: harness.order()})
    step.step(agent, exchange.StartAnswered(harness.KEY, exchange.StartOutcome.STARTED), 10.3)
    harness.restart_worker(agent, 10.5, RESTARTED_MS)
    listed = harness.listing(10.6, [(*harness.KEY, "", 1)], (), RESTARTED_MS, 1_000)
    step.step(agent, exchange.RunsListed(listed), 10.6)
    return agent


# Guards against runs that are stopped without need: the deadline that the new incarnation had
# granted on the old clock has passed long ago, so the worker ends the run with the lease.
def test_a_run_is_not_stopped_before_its_lease_ends_once_the_granted_deadline_has_passed():
    agent = agent_whose_run_is_on_the_new_incarnation()
    now = 10.7
    while now < 60.0:
        clock_ms = int(1000 * (now - 9.6))
        running = [(*harness.KEY, "", 1)]
        listed = harness.listing(now, running, (), RESTARTED_MS, clock_ms)
        effects = step.step(agent, exchange.RunsListed(listed), now)
        harness.commit_writes(agent, effects, now)
        now += 0.5
    assert agent.runs[harness.KEY].phase is state.Phase.RUNNING
    while state.lease_expires_at(agent) - now > 0.5:
        now += 0.2
        harness.assert_none(step.step(agent, exchange.Tick(), now), exchange.Stop)


# Guards against a run that outlives its lease: a deadline applies to all runs of a worker, also to
# those that are started after the heartbeat of the incarnation that granted it.
def test_a_run_that_is_started_after_the_restart_ends_with_the_lease():
    agent = harness.registered_agent()
    late = exchange.ListRuns("w-1", 300_000, agent.fence, 0, 0)
    effects = harness.restart_worker(agent, 10.5, RESTARTED_MS)
    probe = harness.single(effects, exchange.ListRuns)
    order = harness.order(started_ms=RESTARTED_MS)
    step.step(agent, exchange.OrderAdded(harness.KEY, order), 10.51)
    worker = test_late_answers.Restarted(10.4)
    assert worker.list_runs(late, 10.52)
    listed = exchange.RunsListed(worker.list_runs(probe, 10.53), fence=probe.fence)
    effects = harness.commit_writes(agent, step.step(agent, listed, 10.53), 10.54)
    assert worker.start(harness.single(effects, exchange.Start), 10.55)
    started = exchange.StartAnswered(harness.KEY, exchange.StartOutcome.STARTED)
    step.step(agent, started, 10.55)
    lease_end = agent.hold_until_ms / 1000
    test_late_answers.drive(agent, worker, [], 10.6, 24.0, store_answers=False)
    ended_at = worker.stopped_at.get(harness.KEY, worker.killed_at())
    assert ended_at <= lease_end


# Guards against a record that is kept for good: the feed told of the removal of an order before
# the write that removed it was answered.
def test_a_recorded_run_is_forgotten_if_its_order_was_removed_before_the_answer():
    agent = harness.running_agent()
    listed = exchange.RunsListed(harness.listing(10.3, ended=[done(1)]))
    write = harness.single(step.step(agent, listed, 10.3), exchange.WriteRow)
    step.step(agent, exchange.OrderRemoved(harness.KEY), 10.35)
    step.step(agent, harness.committed(write, 10.4), 10.4)
    assert not agent.recorded_runs


# The same if the removal is seen in a read of all orders.
def test_a_recorded_run_is_forgotten_if_a_read_of_all_orders_lacks_it():
    agent, _ = agent_with_recorded_end()
    step.step(agent, exchange.OrdersLoaded({}, frozenset()), 10.7)
    assert not agent.recorded_runs
