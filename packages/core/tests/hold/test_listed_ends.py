"""Ends that a list lacks or that cannot be read, and runs that seem to need a second end."""

import dataclasses

import hold_harness as harness

from peridothatch_core.hold import exchange, step
from peridothatch_core.model import steps

RESTARTED_MS = 9_000
OTHER = "00000000000000bb.0.0.0"
OTHER_KEY = (OTHER, 1)
ENDS_PER_LIST = exchange.ENDS_PER_LIST


def done(number, task=harness.TASK):
    return (number, task, 1, steps.EndKind.DONE, "")


def ends_of(agent, key):
    """Return the kinds of the ends of a run that wait to be recorded."""
    return [end.kind for end in agent.ends.values() if (end.task, end.attempt) == key]


def list_twice_around_a_stop(agent, listed, now):
    """Handle a list, the confirmation of the stop that may follow from it, and the list again."""
    effects = step.step(agent, exchange.RunsListed(listed(now)), now)
    stopped = [effect.key for effect in effects if isinstance(effect, exchange.Stop)]
    for key in stopped:
        effects += step.step(agent, exchange.StopAnswered(key, True), now + 0.1)
    return effects + step.step(agent, exchange.RunsListed(listed(now + 0.4)), now + 0.4)


# Guards against a run that is done and runs again: it was recorded as lost while the worker listed
# an end that could not be read.
def test_a_run_is_not_lost_while_the_worker_lists_an_unreadable_end():
    agent = harness.running_agent(start_by_ms=10_150)

    def listed(now):
        return dataclasses.replace(harness.listing(now), unreadable_ends=1)

    list_twice_around_a_stop(agent, listed, 11.0)
    assert ends_of(agent, harness.KEY) == []


# Guards against ends that are forgotten unread: the end before the first readable one was
# acknowledged, although it could be that of a run that the list lacked.
def test_an_unreadable_end_that_may_belong_to_a_missing_run_is_not_acknowledged():
    agent = harness.running_agent((harness.TASK, OTHER), start_by_ms=10_150)
    ended = harness.listing(11.0, ended=[done(2, OTHER)])
    listed = dataclasses.replace(ended, unreadable_ends=1)
    effects = step.step(agent, exchange.RunsListed(listed), 11.0)
    harness.commit_writes(agent, effects, 11.0)
    assert agent.recorded_through == 0


# Guards against a run that is done and runs again: its end did not fit into the list, so it was
# recorded as lost.
def test_a_run_whose_end_does_not_fit_into_the_list_is_not_lost():
    others = [f"{0x1000 + number:016x}.0.0.0" for number in range(ENDS_PER_LIST)]
    agent = harness.running_agent((*others, harness.TASK), start_by_ms=10_150)
    ends = [done(number, task) for number, task in enumerate(others, 1)]
    list_twice_around_a_stop(agent, lambda now: harness.listing(now, ended=ends), 11.0)
    assert ends_of(agent, harness.KEY) == []
    last = harness.listing(11.8, ended=[*ends[1:], done(ENDS_PER_LIST + 1)])
    step.step(agent, exchange.RunsListed(last), 11.8)
    assert ends_of(agent, harness.KEY) == [steps.EndKind.DONE]


def agent_with_recorded_end():
    """Return an agent that has recorded the end of its run at 10.6."""
    agent = harness.running_agent(start_by_ms=10_150)
    ended = exchange.RunsListed(harness.listing(10.5, ended=[done(1)]))
    harness.commit_writes(agent, step.step(agent, ended, 10.5), 10.6)
    assert agent.recorded_through == 1
    assert not agent.runs
    return agent


def stale_orders():
    """Return a read of the orders that the store carried out before the end was recorded."""
    order = harness.order(start_by_ms=10_150)
    return exchange.OrdersLoaded({harness.KEY: order}, frozenset(), {harness.KEY: 5})


# Guards against an end that is overwritten before the scheduler has read it: a read of all orders
# that was answered after a newer write made the run look as if it had never started.
def test_orders_read_before_an_end_was_recorded_give_its_run_no_second_end():
    agent = agent_with_recorded_end()
    effects = step.step(agent, stale_orders(), 10.7)
    assert ends_of(agent, harness.KEY) == []
    assert not any(e.ends for e in effects if isinstance(e, exchange.WriteRow))


# The same when a list that was answered late shows the run at work.
def test_an_overtaken_list_and_stale_orders_give_a_run_no_second_end():
    agent = agent_with_recorded_end()
    asked_before = harness.listing(10.45, [(harness.TASK, 1, "", 99)])
    late = dataclasses.replace(asked_before, answered_at=10.65)
    step.step(agent, exchange.RunsListed(late, concurrent=True), 10.65)
    step.step(agent, stale_orders(), 10.7)
    step.step(agent, exchange.StopAnswered(harness.KEY, True), 10.75)
    list_twice_around_a_stop(agent, harness.listing, 11.0)
    assert ends_of(agent, harness.KEY) == []


def agent_with_unanswered_start():
    """Return an agent whose first start call had no answer, and that call."""
    agent = harness.registered_agent()
    effects = step.step(agent, exchange.OrderAdded(harness.KEY, harness.order()), 10.1)
    start = harness.single(harness.commit_writes(agent, effects, 10.1), exchange.Start)
    unanswered = exchange.StartAnswered(harness.KEY, exchange.StartOutcome.NO_ANSWER)
    step.step(agent, unanswered, 10.4)
    return agent, start


def restart(agent, now):
    """Handle the first heartbeat of a new incarnation, and return the calls that follow."""
    effects = harness.heartbeat(agent, harness.worker(started_ms=RESTARTED_MS), 0, now)
    return harness.commit_writes(agent, effects, now)


def refuses_late_start(calls, start):
    """Return whether these calls keep a new incarnation from carrying out an earlier start."""
    stops = any(isinstance(call, exchange.Stop) for call in calls)
    fences = [call.fence for call in calls if isinstance(call, exchange.ListRuns)]
    return stops or max(fences, default=0) > start.fence


# Guards against two runs of a task: a stop that the previous incarnation confirmed counted for the
# new one, which could still carry out a start without an answer.
def test_a_stop_confirmed_by_the_previous_incarnation_does_not_count_for_the_new_one():
    agent, start = agent_with_unanswered_start()
    unanswered = exchange.StartAnswered(harness.KEY, exchange.StartOutcome.NO_ANSWER)
    harness.single(step.step(agent, unanswered, 10.7), exchange.Stop)
    calls = restart(agent, 10.75)
    effects = step.step(agent, exchange.StopAnswered(harness.KEY, True), 10.8)
    calls += harness.commit_writes(agent, effects, 10.8)
    listed = harness.listing(11.2, started_ms=RESTARTED_MS)
    step.step(agent, exchange.RunsListed(listed), 11.2)
    assert not agent.ends or refuses_late_start(calls, start)


# The same for a run that the previous incarnation had listed before it confirmed the stop.
def test_a_stopped_run_with_an_unanswered_start_is_stopped_again_on_a_new_incarnation():
    agent, start = agent_with_unanswered_start()
    started = exchange.StartAnswered(harness.KEY, exchange.StartOutcome.STARTED)
    step.step(agent, started, 10.45)
    running = harness.listing(10.5, [(harness.TASK, 1, "", 5)])
    step.step(agent, exchange.RunsListed(running), 10.5)
    harness.single(step.step(agent, exchange.StopAdded(harness.KEY), 10.6), exchange.Stop)
    step.step(agent, exchange.StopAnswered(harness.KEY, True), 10.65)
    calls = restart(agent, 10.75)
    listed = harness.listing(11.2, started_ms=RESTARTED_MS)
    step.step(agent, exchange.RunsListed(listed), 11.2)
    assert not agent.ends or refuses_late_start(calls, start)


# Guards against an end that is acknowledged unread: a start without an answer was carried out by
# the next incarnation, and the run had been recorded as rejected by then.
def test_an_end_done_of_a_run_that_was_recorded_as_rejected_is_not_acknowledged():
    agent, start = agent_with_unanswered_start()
    unanswered = exchange.StartAnswered(harness.KEY, exchange.StartOutcome.NO_ANSWER)
    step.step(agent, unanswered, 10.7)
    step.step(agent, exchange.StopAnswered(harness.KEY, True), 10.75)
    effects = step.step(agent, exchange.RunsListed(harness.listing(10.9)), 10.9)
    recorded = harness.single(effects, exchange.WriteRow)
    assert [end.kind for end in recorded.ends] == [steps.EndKind.REJECTED]
    harness.commit_writes(agent, effects, 11.0)
    calls = restart(agent, 11.2)
    ended = harness.listing(11.8, ended=[done(1)], started_ms=RESTARTED_MS)
    step.step(agent, exchange.RunsListed(ended), 11.8)
    assert agent.recorded_through == 0 or refuses_late_start(calls, start)
