"""Restarts of a worker under its id, whose ends are then numbered from 1 again."""

import dataclasses

import hold_harness as harness
import pytest

from peridothatch_core.hold import exchange, state, step
from peridothatch_core.message import rows
from peridothatch_core.model import agents, steps

RESTARTED_MS = 9_000
OTHER = "00000000000000bb.0.0.0"
ORDERS = {key: harness.order(key[0]) for key in (harness.KEY, (OTHER, 1))}


def done(number, task=harness.TASK):
    return (number, task, 1, steps.EndKind.DONE, "")


def restart(agent, now):
    """Handle the first heartbeat of a new incarnation, and return the effects."""
    return harness.heartbeat(agent, harness.worker(started_ms=RESTARTED_MS), 0, now)


def agent_with_ends_in_flight():
    """Return an agent that is writing two ends, and the write."""
    agent = harness.registered_agent(orders=ORDERS)
    ended = harness.listing(10.2, ended=[done(1), done(2, OTHER)])
    effects = step.step(agent, exchange.RunsListed(ended), 10.2)
    return agent, harness.single(effects, exchange.WriteRow)


# Guards against ends that are forgotten unread: a write of ends that was answered after a restart
# acknowledged as many ends of the new incarnation.
def test_a_write_answered_after_a_restart_acknowledges_no_end_of_the_new_incarnation():
    agent, write = agent_with_ends_in_flight()
    restart(agent, 10.3)
    effects = step.step(agent, harness.committed(write, 10.4), 10.4)
    assert agent.recorded_through == 0
    assert not agent.skipped_ends
    assert not agent.ends
    harness.assert_none(effects, exchange.Stop)


# The same when the answer to the write is lost and the row is read back.
def test_a_write_read_back_after_a_restart_acknowledges_no_end_of_the_new_incarnation():
    agent, write = agent_with_ends_in_flight()
    restart(agent, 10.3)
    unknown = harness.committed(write, 11.0, rows.Outcome.UNKNOWN)
    harness.single(step.step(agent, unknown, 11.0), exchange.ReadRow)
    step.step(agent, exchange.RowRead(True, write.row, 55), 11.1)
    assert agent.recorded_through == 0
    assert not agent.skipped_ends
    assert not agent.ends


def agent_with_recorded_ends():
    """Return an agent whose two ends are in the store, and its next list call."""
    agent, write = agent_with_ends_in_flight()
    effects = step.step(agent, harness.committed(write, 10.3), 10.3)
    effects += step.step(agent, exchange.Tick(), 10.6)
    return agent, harness.single(effects, exchange.ListRuns)


# Guards against ends that are forgotten unread: a list call to the previous incarnation that the
# new one carried out late acknowledged ends of the new one by their old numbers.
def test_a_new_incarnation_refuses_calls_that_were_sent_to_the_previous_one():
    agent, before = agent_with_recorded_ends()
    effects = restart(agent, 11.0)
    call = harness.single(effects, exchange.ListRuns)
    assert call.fence > before.fence
    assert (call.recorded_through, call.wait_ms) == (0, 0)


# The same before the first heartbeat: a call without an answer is the first sign of a restart.
def test_the_call_after_one_without_an_answer_has_a_higher_token():
    agent, before = agent_with_recorded_ends()
    step.step(agent, exchange.RunsListed(None), 10.7)
    after = harness.single(step.step(agent, exchange.Tick(), 10.8), exchange.ListRuns)
    assert after.fence > before.fence
    step.step(agent, exchange.RunsListed(None), 10.9)
    again = harness.single(step.step(agent, exchange.Tick(), 11.2), exchange.ListRuns)
    assert again.fence == after.fence


# Guards against a worker that is never used again: it restarted after its time of day had been set
# back, and heartbeats with a lower start time than the known one were ignored for good.
@pytest.mark.parametrize("instance", ["w-1", "w-2"])
def test_a_worker_that_restarts_with_its_clock_set_back_is_used(instance):
    agent = harness.running_agent()
    earlier = harness.worker(instance=instance, started_ms=harness.STARTED_MS - 900)
    effects = harness.heartbeat(agent, earlier, 0, 10.5)
    assert agent.worker == earlier
    *_, call = [effect for effect in effects if isinstance(effect, exchange.ListRuns)]
    assert (call.instance, call.lease_end_ms) == (instance, None)
    listed = dataclasses.replace(
        harness.listing(10.6, started_ms=earlier.started_ms), instance=instance
    )
    step.step(agent, exchange.RunsListed(listed, fence=agent.fence), 10.6)
    assert agent.incarnation_confirmed


def test_a_list_of_a_restart_with_the_clock_set_back_stops_deadlines():
    agent = harness.running_agent()
    earlier = harness.listing(10.5, started_ms=harness.STARTED_MS - 900)
    step.step(agent, exchange.RunsListed(earlier), 10.5)
    assert not agent.worker_clock_ms


# Guards against an agent that ends itself or shares a token: its row may have a lower token than
# the one that it uses, and another process must get a higher one all the same.
def test_a_later_process_has_a_higher_token_than_any_that_this_one_may_use():
    agent, _ = agent_with_recorded_ends()
    for started_ms in (9_000, 9_100, 9_200):
        harness.heartbeat(agent, harness.worker(started_ms=started_ms), 0, 11.0)
    row = dataclasses.replace(agent_row(agent), fence=agent.fence - 3)
    effects = step.step(agent, exchange.RowRead(True, row, 55), 11.1)
    harness.assert_none(effects, exchange.Replaced)
    later = state.State("side-1", "accra-a", 9_500)
    step.step(later, exchange.StoreTime(11_200, 11.19, 11.2), 11.2)
    effects = step.step(later, exchange.RowRead(True, row, 55), 11.2)
    registration = harness.single(effects, exchange.WriteRow).row
    assert registration.fence > agent.fence
    effects = step.step(agent, exchange.RowRead(True, registration, 56), 11.3)
    assert harness.single(effects, exchange.Replaced).fence == registration.fence


def agent_row(agent):
    return agents.Agent("side-1", "accra-a", agent.fence, 0, agent.hold_until_ms)


# Guards against a run that is given up because the token rose while its start was under way.
def test_a_start_that_is_refused_for_its_token_is_repeated_with_the_current_one():
    agent = harness.registered_agent()
    effects = step.step(agent, exchange.OrderAdded(harness.KEY, harness.order()), 10.1)
    start = harness.single(harness.commit_writes(agent, effects, 10.1), exchange.Start)
    step.step(agent, exchange.RunsListed(None), 10.2)
    outdated = exchange.StartAnswered(harness.KEY, exchange.StartOutcome.OUTDATED, "fence")
    step.step(agent, outdated, 10.25)
    step.step(agent, exchange.RunsListed(harness.listing(10.3)), 10.3)
    effects = step.step(agent, exchange.Tick(), 10.6)
    assert harness.single(effects, exchange.Start).fence > start.fence


# Guards against a run on a new incarnation that has not seen the new token yet, and would still
# carry out calls to the previous one.
def test_a_new_incarnation_starts_runs_once_it_has_answered_a_call_with_the_new_token():
    agent, before = agent_with_recorded_ends()
    effects = harness.restart_worker(agent, 11.0, RESTARTED_MS)
    order = harness.order(OTHER, 2, started_ms=RESTARTED_MS)
    effects += step.step(agent, exchange.OrderAdded((OTHER, 2), order), 11.1)
    effects = harness.commit_writes(agent, effects, 11.1)
    harness.assert_none(effects, exchange.Start)
    call = harness.single(effects, exchange.ListRuns)
    listing = harness.listing(11.2, started_ms=RESTARTED_MS)
    late = exchange.RunsListed(listing, fence=before.fence)
    effects = harness.commit_writes(agent, step.step(agent, late, 11.2), 11.2)
    harness.assert_none(effects, exchange.Start)
    answered = exchange.RunsListed(listing, fence=call.fence)
    effects = harness.commit_writes(agent, step.step(agent, answered, 11.3), 11.3)
    assert harness.single(effects, exchange.Start).fence > before.fence


def acknowledging_call(agent, now):
    """Return the list call that follows an answer of the known incarnation."""
    effects = step.step(agent, exchange.RunsListed(harness.listing(now)), now)
    return harness.single(effects, exchange.ListRuns)


# Guards against ends that are forgotten unread: a list call that reached a restarted worker before
# its first heartbeat waited there for an end, and acknowledged it by an old number.
def test_a_list_call_that_waits_for_an_end_acknowledges_none():
    agent, _ = agent_with_recorded_ends()
    acknowledging = acknowledging_call(agent, 10.7)
    assert (acknowledging.recorded_through, acknowledging.wait_ms) == (2, 0)
    effects = step.step(agent, exchange.RunsListed(harness.listing(10.75)), 10.75)
    waiting = harness.single(effects, exchange.ListRuns)
    assert waiting.recorded_through == 0
    assert waiting.wait_ms > 0


# The same for a worker that restarts while the end is being recorded: the agent asks once more
# before it acknowledges.
def test_a_recorded_end_is_acknowledged_after_another_answer():
    agent, asking = agent_with_recorded_ends()
    assert (asking.recorded_through, asking.wait_ms) == (0, 0)
    assert acknowledging_call(agent, 10.7).recorded_through == 2


# Guards against an agent on a slow machine that lists runs without a pause and acknowledges no
# ends.
def test_an_answer_that_is_handled_late_is_followed_by_an_acknowledgement():
    agent, _ = agent_with_recorded_ends()
    effects = step.step(agent, exchange.RunsListed(harness.listing(10.6)), 10.75)
    assert harness.single(effects, exchange.ListRuns).recorded_through == 2


def test_ends_that_wait_to_be_recorded_do_not_delay_an_acknowledgement():
    third = "00000000000000cc.0.0.0"
    agent, write = agent_with_ends_in_flight()
    step.step(agent, exchange.OrderAdded((third, 1), harness.order(third)), 10.25)
    step.step(agent, harness.committed(write, 10.3), 10.3)
    listed = harness.listing(10.35, ended=[done(3, third)])
    effects = step.step(agent, exchange.RunsListed(listed), 10.35)
    assert harness.single(effects, exchange.ListRuns).recorded_through == 2


# The same with a call that follows one without an answer, the first sign of a restart.
def test_no_end_is_acknowledged_after_a_failed_call_until_the_incarnation_is_known():
    agent, _ = agent_with_recorded_ends()
    step.step(agent, exchange.RunsListed(None, no_listener=True), 10.7)
    probe = harness.single(step.step(agent, exchange.Tick(), 11.0), exchange.ListRuns)
    assert (probe.recorded_through, probe.wait_ms) == (0, 0)
    other = harness.listing(11.1, started_ms=RESTARTED_MS)
    step.step(agent, exchange.RunsListed(other), 11.1)
    probe = harness.single(step.step(agent, exchange.Tick(), 11.5), exchange.ListRuns)
    assert (probe.recorded_through, probe.wait_ms) == (0, 0)
    again = acknowledging_call(agent, 11.6)
    assert (again.recorded_through, again.wait_ms) == (2, 0)


# Guards against a start that reaches a restarted worker before its first heartbeat.
def test_nothing_is_started_after_a_failed_call_until_the_incarnation_is_known():
    agent = harness.registered_agent()
    step.step(agent, exchange.RunsListed(None, no_listener=True), 10.1)
    effects = step.step(agent, exchange.OrderAdded(harness.KEY, harness.order()), 10.2)
    effects = harness.commit_writes(agent, effects, 10.2)
    effects += step.step(agent, exchange.Tick(), 10.4)
    harness.assert_none(effects, exchange.Start)
    assert harness.single(effects, exchange.ListRuns).wait_ms == 0
    effects = step.step(agent, exchange.RunsListed(harness.listing(10.5)), 10.5)
    harness.single(effects, exchange.Start)


# Guards against ends that are forgotten unread: the number of an end that needed no record, above
# one that was still being recorded, outlived its incarnation.
def test_a_number_that_needs_no_record_acknowledges_no_end_of_the_next_incarnation():
    agent = harness.registered_agent(orders={harness.KEY: harness.order()})
    listed = harness.listing(10.2, ended=[done(1), done(2, OTHER)])
    effects = step.step(agent, exchange.RunsListed(listed), 10.2)
    assert (agent.recorded_through, agent.skipped_ends) == (0, {2})
    effects += restart(agent, 10.3)
    harness.commit_writes(agent, effects, 10.4)
    order = harness.order(harness.TASK, 2, started_ms=RESTARTED_MS)
    step.step(agent, exchange.OrderAdded((harness.TASK, 2), order), 10.6)
    ended = [(1, harness.TASK, 2, steps.EndKind.DONE, "")]
    listed = harness.listing(10.7, ended=ended, started_ms=RESTARTED_MS)
    harness.commit_writes(agent, step.step(agent, exchange.RunsListed(listed), 10.7), 10.7)
    assert agent.recorded_through == 1


# Guards against ends that are listed for good: a new incarnation has fewer ends than were
# acknowledged to the previous one.
def test_the_ends_of_a_new_incarnation_are_acknowledged_from_the_first_one():
    agent, _ = agent_with_recorded_ends()
    assert acknowledging_call(agent, 10.7).recorded_through == 2
    step.step(agent, exchange.RunsListed(harness.listing(10.75)), 10.75)
    harness.restart_worker(agent, 11.0, RESTARTED_MS)
    order = harness.order(OTHER, 2, started_ms=RESTARTED_MS)
    step.step(agent, exchange.OrderAdded((OTHER, 2), order), 11.1)
    ended = [(1, OTHER, 2, steps.EndKind.DONE, "")]
    listed = harness.listing(11.2, ended=ended, started_ms=RESTARTED_MS)
    effects = step.step(agent, exchange.RunsListed(listed), 11.2)
    effects = harness.commit_writes(agent, effects, 11.2)
    harness.single(effects, exchange.ListRuns)
    listed = harness.listing(11.25, ended=ended, started_ms=RESTARTED_MS)
    effects = step.step(agent, exchange.RunsListed(listed), 11.25)
    assert harness.single(effects, exchange.ListRuns).recorded_through == 1


# Guards against ends of one incarnation that are taken for those of another: a list that does not
# name its incarnation was applied to the known one.
def test_a_list_that_does_not_name_its_incarnation_is_not_applied_to_a_known_one():
    agent = harness.registered_agent(orders=ORDERS)
    unnamed = harness.listing(10.2, ended=[done(1)], started_ms=0)
    step.step(agent, exchange.RunsListed(unnamed), 10.2)
    assert not agent.ends
    assert not agent.incarnation_confirmed
