import dataclasses

import hold_harness as harness
import hypothesis
from hypothesis import strategies

from peridothatch_core.hold import exchange, state, step
from peridothatch_core.message import rows
from peridothatch_core.model import agents, steps, storeclock


def test_an_order_is_started_within_the_lease_in_the_row():
    agent = harness.registered_agent()
    effects = step.step(agent, exchange.OrderAdded(harness.KEY, harness.order()), 10.1)
    start = harness.single(harness.commit_writes(agent, effects, 10.1), exchange.Start)
    assert start.lease_end_ms < agent.hold_until_ms
    assert start.fence == agent.fence


def test_a_restarted_agent_does_not_stop_runs_before_it_has_seen_the_list():
    # A run that an earlier process started was taken for an order that was never carried out and
    # whose time to start had passed.
    late = {harness.KEY: harness.order(start_by_ms=1)}
    agent = harness.registered_agent(orders=late, listed=False)
    assert not agent.runs[harness.KEY].stop_reason
    harness.assert_none(step.step(agent, exchange.Tick(), 10.2), exchange.Stop)
    running = harness.listing(10.3, running=[(harness.TASK, 1, "c1", 40)])
    harness.assert_none(step.step(agent, exchange.RunsListed(running), 10.3), exchange.Stop)
    assert agent.runs[harness.KEY].phase is state.Phase.RUNNING


def test_an_order_that_a_long_poll_brings_is_started_within_its_window():
    # The duration of the poll was counted against the order, so urgent jobs were rejected although
    # their orders were still valid.
    agent = harness.registered_agent()
    ordered_ms = 10_020
    step.step(agent, exchange.StoreTime(11_015, 10.01, 11.02), 11.02)
    order = harness.order(start_by_ms=ordered_ms + 2_000)
    effects = step.step(agent, exchange.OrderAdded(harness.KEY, order), 11.02)
    harness.single(harness.commit_writes(agent, effects, 11.02), exchange.Start)


def test_an_order_that_was_never_carried_out_is_rejected_once_it_has_expired():
    agent = harness.registered_agent()
    step.step(agent, exchange.OrderAdded(harness.KEY, harness.order(start_by_ms=5_000)), 10.1)
    assert [end.kind for end in agent.ends.values()] == [steps.EndKind.REJECTED]


def test_an_unanswered_start_is_stopped_before_it_counts_as_rejected():
    # The worker may carry out an unanswered start seconds later.
    agent = harness.registered_agent()
    step.step(agent, exchange.OrderAdded(harness.KEY, harness.order()), 10.1)
    step.step(agent, exchange.StartAnswered(harness.KEY, exchange.StartOutcome.NO_ANSWER), 10.9)
    effects = step.step(agent, exchange.Tick(), 12.5)
    harness.single(effects, exchange.Stop)
    assert not agent.ends
    effects = step.step(agent, exchange.StopAnswered(harness.KEY, True), 12.6)
    assert not agent.ends
    step.step(agent, exchange.RunsListed(harness.listing(12.8)), 12.8)
    assert [end.kind for end in agent.ends.values()] == [steps.EndKind.REJECTED]


def test_a_start_without_an_answer_is_stopped_after_two_attempts():
    # The start was repeated until its order expired, and the other members of the gang waited
    # three seconds for it before they ended as "alone".
    agent = harness.registered_agent(orders={harness.KEY: harness.order()})
    unanswered = exchange.StartAnswered(harness.KEY, exchange.StartOutcome.NO_ANSWER)
    harness.single(step.step(agent, unanswered, 10.3), exchange.Start)
    harness.single(step.step(agent, unanswered, 10.6), exchange.Stop)
    # The result does not depend on the list call that is still waiting for an end.
    effects = step.step(agent, exchange.StopAnswered(harness.KEY, True), 10.61)
    asked = harness.single(effects, exchange.ListRuns)
    assert (asked.concurrent, asked.wait_ms) == (True, 0)
    harness.assert_none(step.step(agent, exchange.Tick(), 10.615), exchange.ListRuns)
    listed = exchange.RunsListed(harness.listing(10.62), concurrent=True)
    step.step(agent, listed, 10.62)
    assert [end.kind for end in agent.ends.values()] == [steps.EndKind.REJECTED]


def test_an_unanswered_start_that_was_carried_out_is_found_in_the_list():
    agent = harness.registered_agent(orders={harness.KEY: harness.order()})
    unanswered = exchange.StartAnswered(harness.KEY, exchange.StartOutcome.NO_ANSWER)
    harness.single(step.step(agent, unanswered, 10.3), exchange.Start)
    running = harness.listing(10.5, running=[(harness.TASK, 1, "", 1)])
    step.step(agent, exchange.RunsListed(running), 10.5)
    harness.assert_none(step.step(agent, unanswered, 10.6), exchange.Stop)
    assert agent.runs[harness.KEY].phase is state.Phase.RUNNING


def test_the_worker_may_forget_an_end_only_when_it_is_in_the_store():
    agent = harness.registered_agent(orders={harness.KEY: harness.order()})
    ended = harness.listing(11.0, ended=[(1, harness.TASK, 1, steps.EndKind.DONE, "")])
    write = harness.single(step.step(agent, exchange.RunsListed(ended), 11.0), exchange.WriteRow)
    assert [end.kind for end in write.ends] == [steps.EndKind.DONE]
    assert agent.recorded_through == 0
    step.step(agent, harness.committed(write, 11.1), 11.1)
    assert agent.recorded_through == 1
    assert not agent.runs


def test_ends_that_wait_for_the_store_do_not_make_the_agent_ask_without_a_pause():
    # The worker answers at once as long as it lists ends; without a delay the agent sent 53,000
    # list calls a day.
    agent = harness.registered_agent(orders={harness.KEY: harness.order()})
    agent.row_call_pending = True
    ended = harness.listing(11.0, ended=[(1, harness.TASK, 1, steps.EndKind.DONE, "")])
    harness.assert_none(step.step(agent, exchange.RunsListed(ended), 11.0), exchange.ListRuns)
    harness.single(step.step(agent, exchange.Tick(), 11.5), exchange.ListRuns)


def test_an_unknown_write_outcome_is_resolved_by_reading_the_row():
    agent = harness.registered_agent(orders={harness.KEY: harness.order()})
    ended = harness.listing(11.0, ended=[(1, harness.TASK, 1, steps.EndKind.DONE, "")])
    write = harness.single(step.step(agent, exchange.RunsListed(ended), 11.0), exchange.WriteRow)
    unknown = harness.committed(write, 12.0, rows.Outcome.UNKNOWN)
    harness.single(step.step(agent, unknown, 12.0), exchange.ReadRow)
    step.step(agent, exchange.RowRead(True, write.row, 55), 12.1)
    assert agent.version == 55
    assert agent.recorded_through == 1


def test_a_process_ends_when_another_of_its_node_has_registered():
    agent = harness.registered_agent()
    write = harness.single(step.step(agent, exchange.Tick(), 13.0), exchange.WriteRow)
    conflict = harness.committed(write, 13.1, rows.Outcome.CONFLICT)
    step.step(agent, conflict, 13.1)
    other = agents.Agent("side-1", "accra-a", agent.fence + 1, 0, 30_000)
    effects = step.step(agent, exchange.RowRead(True, other, 90), 13.2)
    assert harness.single(effects, exchange.Replaced).fence == agent.fence + 1


def test_an_order_is_started_only_once_its_claim_is_in_the_store():
    # The leader may move an order that is not claimed to another worker.
    agent = harness.registered_agent()
    added = exchange.OrderAdded(harness.KEY, harness.order(), 33)
    effects = step.step(agent, added, 10.1)
    harness.assert_none(effects, exchange.Start)
    write = harness.single(effects, exchange.WriteRow)
    assert write.claims == ((harness.KEY, 33),)
    assert write.row.claimed == (harness.KEY,)
    effects = step.step(agent, harness.committed(write, 10.2), 10.2)
    harness.single(effects, exchange.Start)


def test_a_claim_that_conflicts_starts_nothing_and_lets_the_lease_be_renewed():
    # The order was withdrawn, but the feed has not told the agent yet.
    agent = harness.registered_agent()
    effects = step.step(agent, exchange.OrderAdded(harness.KEY, harness.order(), 33), 10.1)
    write = harness.single(effects, exchange.WriteRow)
    conflict = harness.committed(write, 10.2, rows.Outcome.CONFLICT)
    harness.single(step.step(agent, conflict, 10.2), exchange.ReadRow)
    row = dataclasses.replace(write.row, hold_until_ms=write.row.hold_until_ms - 5_000, claimed=())
    effects = step.step(agent, exchange.RowRead(True, row, write.version), 10.21)
    harness.assert_none(effects, exchange.Start)
    assert harness.single(effects, exchange.WriteRow).claims == ()
    step.step(agent, exchange.OrderRemoved(harness.KEY), 10.22)
    harness.assert_none(step.step(agent, exchange.Tick(), 10.5), exchange.Start)
    assert not agent.runs


def test_a_claim_with_an_unknown_outcome_is_resolved_by_reading_the_row():
    agent = harness.registered_agent()
    effects = step.step(agent, exchange.OrderAdded(harness.KEY, harness.order(), 33), 10.1)
    write = harness.single(effects, exchange.WriteRow)
    unknown = harness.committed(write, 10.9, rows.Outcome.UNKNOWN)
    harness.single(step.step(agent, unknown, 10.9), exchange.ReadRow)
    effects = step.step(agent, exchange.RowRead(True, write.row, 55), 11.0)
    harness.single(effects, exchange.Start)


def test_a_restarted_agent_keeps_the_claims_of_the_process_before():
    # Otherwise the leader would move an order that may have been started to another worker.
    agent = state.State("side-1", "accra-a", 9_500)
    step.step(agent, exchange.StoreTime(30_000, 29.99, 30.0), 30.0)
    step.step(agent, exchange.Tick(), 30.0)
    row = dataclasses.replace(_agent_row(39_500), claimed=(harness.KEY,))
    effects = step.step(agent, exchange.RowRead(True, row, 50), 30.0)
    write = harness.single(effects, exchange.WriteRow)
    assert write.row.claimed == (harness.KEY,)
    step.step(agent, harness.committed(write, 30.1), 30.1)
    step.step(
        agent,
        exchange.OrdersLoaded({harness.KEY: harness.order(start_by_ms=99_000)}, frozenset()),
        30.1,
    )
    effects = step.step(agent, exchange.RunsListed(harness.listing(30.2)), 30.2)
    harness.single(effects, exchange.Start)
    assert harness.single(effects, exchange.WriteRow).row.claimed == (harness.KEY,)


def test_a_draining_worker_gets_no_start():
    agent = harness.registered_agent()
    leaving = harness.worker(state=agents.WorkerState.DRAINING, leaves_in_ms=5_000)
    harness.heartbeat(agent, leaving, 2, 10.1)
    effects = step.step(agent, exchange.OrderAdded(harness.KEY, harness.order()), 10.2)
    harness.assert_none(effects, exchange.Start)
    assert [end.kind for end in agent.ends.values()] == [steps.EndKind.REJECTED]


def test_checkpointing_runs_are_saved_before_a_draining_worker_leaves():
    adopted = {harness.KEY: harness.order(checkpointing=True)}
    agent = harness.registered_agent(orders=adopted, listed=False)
    running = harness.listing(10.1, running=[(harness.TASK, 1, "c1", 40)])
    step.step(agent, exchange.RunsListed(running), 10.1)
    leaving = harness.worker(state=agents.WorkerState.DRAINING, leaves_in_ms=3_000)
    harness.assert_none(harness.heartbeat(agent, leaving, 2, 10.2), exchange.Stop)
    harness.single(step.step(agent, exchange.Tick(), 11.9), exchange.Stop)


def test_a_new_incarnation_of_the_worker_ends_the_runs_of_the_previous_one():
    agent = harness.registered_agent()
    step.step(agent, exchange.OrderAdded(harness.KEY, harness.order()), 10.01)
    step.step(agent, exchange.StartAnswered(harness.KEY, exchange.StartOutcome.STARTED), 10.05)
    running = harness.listing(10.1, running=[(harness.TASK, 1, "c1", 40)])
    step.step(agent, exchange.RunsListed(running), 10.1)
    harness.heartbeat(agent, harness.worker(started_ms=9_000), 0, 10.5)
    assert [(end.kind, end.saved) for end in agent.ends.values()] == [(steps.EndKind.LOST, "c1")]
    assert agent.recorded_through == 0


def test_an_adopted_run_is_stopped_on_a_new_incarnation_before_it_counts_as_lost():
    # The new incarnation may still carry out the start that an earlier process sent.
    late = {harness.KEY: harness.order(start_by_ms=1)}
    agent = harness.registered_agent(orders=late, listed=False)
    running = harness.listing(10.1, running=[(harness.TASK, 1, "c1", 40)])
    step.step(agent, exchange.RunsListed(running), 10.1)
    harness.heartbeat(agent, harness.worker(started_ms=9_000), 0, 10.5)
    assert not agent.ends
    new = harness.listing(10.8, started_ms=9_000)
    harness.single(step.step(agent, exchange.RunsListed(new), 10.8), exchange.Stop)
    step.step(agent, exchange.StopAnswered(harness.KEY, True), 10.9)
    step.step(agent, exchange.RunsListed(harness.listing(11.2, started_ms=9_000)), 11.2)
    assert [(end.kind, end.saved) for end in agent.ends.values()] == [(steps.EndKind.LOST, "c1")]


def _agent_with_start_before_heartbeat():
    """Return an agent that sent a start before the heartbeat of the worker's new incarnation."""
    agent = harness.registered_agent()
    step.step(agent, exchange.OrderAdded(harness.KEY, harness.order()), 10.1)
    step.step(agent, exchange.StartAnswered(harness.KEY, exchange.StartOutcome.STARTED), 10.2)
    harness.heartbeat(agent, harness.worker(started_ms=9_000), 0, 10.5)
    return agent


def test_a_start_that_reached_the_new_incarnation_is_not_recorded_as_lost():
    # Soak seed 9: the run was recorded as lost and started elsewhere while it was still running.
    agent = _agent_with_start_before_heartbeat()
    assert not agent.ends
    running = harness.listing(10.8, running=[(harness.TASK, 1, "", 5)], started_ms=9_000)
    harness.assert_none(step.step(agent, exchange.RunsListed(running), 10.8), exchange.Stop)
    assert not agent.ends
    assert agent.runs[harness.KEY].phase is state.Phase.RUNNING


def test_a_start_that_missed_the_new_incarnation_is_stopped_and_then_lost():
    agent = _agent_with_start_before_heartbeat()
    effects = step.step(agent, exchange.RunsListed(harness.listing(10.8, started_ms=9_000)), 10.8)
    harness.single(effects, exchange.Stop)
    assert not agent.ends
    step.step(agent, exchange.StopAnswered(harness.KEY, True), 10.9)
    step.step(agent, exchange.RunsListed(harness.listing(11.2, started_ms=9_000)), 11.2)
    assert [end.kind for end in agent.ends.values()] == [steps.EndKind.LOST]


def test_a_pending_start_at_a_new_incarnation_is_stopped_before_it_counts_as_rejected():
    agent = harness.registered_agent()
    effects = step.step(agent, exchange.OrderAdded(harness.KEY, harness.order()), 10.1)
    harness.single(harness.commit_writes(agent, effects, 10.1), exchange.Start)
    harness.heartbeat(agent, harness.worker(started_ms=9_000), 0, 10.5)
    assert not agent.ends
    unanswered = exchange.StartAnswered(harness.KEY, exchange.StartOutcome.NO_ANSWER)
    harness.single(step.step(agent, unanswered, 10.9), exchange.Stop)
    assert not agent.ends


def test_a_late_deregistration_of_a_previous_incarnation_ends_nothing():
    # A new incarnation with the same id was taken for departed, and its runs were started again
    # elsewhere.
    agent = harness.registered_agent(orders={harness.KEY: harness.order()})
    running = harness.listing(10.5, running=[(harness.TASK, 1, "c1", 40)])
    step.step(agent, exchange.RunsListed(running), 10.5)
    step.step(agent, exchange.Deregistered("w-1"), 10.6)
    assert not agent.ends
    harness.heartbeat(agent, harness.worker(), 2, 11.0)
    assert agent.worker.state is agents.WorkerState.READY
    step.step(agent, exchange.RunsListed(None, no_listener=True), 11.1)
    assert not agent.ends


def test_a_deregistration_ends_the_runs_once_the_address_refuses_connections():
    agent = harness.registered_agent(orders={harness.KEY: harness.order()})
    running = harness.listing(10.5, running=[(harness.TASK, 1, "c1", 40)])
    step.step(agent, exchange.RunsListed(running), 10.5)
    step.step(agent, exchange.Deregistered("w-1"), 10.6)
    step.step(agent, exchange.RunsListed(None, no_listener=True), 10.9)
    assert [(end.kind, end.saved) for end in agent.ends.values()] == [(steps.EndKind.LOST, "c1")]


def _agent_of_departing_worker():
    """Return an agent whose worker runs a task and announced its departure for 13.0."""
    agent = harness.registered_agent(orders={harness.KEY: harness.order()})
    running = harness.listing(10.5, running=[(harness.TASK, 1, "c1", 40)])
    step.step(agent, exchange.RunsListed(running), 10.5)
    leaving = harness.worker(state=agents.WorkerState.DRAINING, leaves_in_ms=2_000)
    harness.heartbeat(agent, leaving, 2, 11.0)
    return agent


def test_runs_of_a_reclaimed_worker_end_when_its_address_refuses_connections():
    # The other members of its gangs kept their resources until the worker's deadline, 8 s later.
    agent = _agent_of_departing_worker()
    harness.send_ticks(agent, 11.0, 13.0)
    for now in (13.1, 13.4, 13.7):
        step.step(agent, exchange.RunsListed(None, no_listener=True), now)
    assert [end.kind for end in agent.ends.values()] == [steps.EndKind.LOST]


def test_a_worker_that_is_gone_causes_no_further_writes():
    # Each failed call caused another write of the agent's row, four times a second.
    agent = _agent_of_departing_worker()
    agent.row_call_pending = False
    harness.send_ticks(agent, 11.0, 13.0)
    written = []
    for number in range(12):
        now = 13.1 + 0.3 * number
        agent.row_call_pending = False
        effects = step.step(agent, exchange.RunsListed(None, no_listener=True), now)
        for write in [effect for effect in effects if isinstance(effect, exchange.WriteRow)]:
            written.append(now)
            step.step(agent, harness.committed(write, now), now)
    # One write for the end of the run, and the regular renewals during 3.3 s.
    assert len(written) <= 4


def test_a_departing_worker_that_is_only_unreachable_keeps_its_runs():
    for no_listener, times in ((False, (13.1, 13.4, 13.7)), (True, (11.6, 12.0, 12.9))):
        agent = _agent_of_departing_worker()
        harness.send_ticks(agent, 11.0, times[0])
        for now in times:
            step.step(agent, exchange.RunsListed(None, no_listener=no_listener), now)
        assert not agent.ends


def test_a_departing_worker_that_still_sends_heartbeats_keeps_its_runs():
    agent = _agent_of_departing_worker()
    leaving = harness.worker(state=agents.WorkerState.DRAINING, leaves_in_ms=0)
    harness.send_ticks(agent, 11.0, 12.9)
    harness.heartbeat(agent, leaving, 3, 12.9)
    for now in (13.1, 13.4, 13.7):
        step.step(agent, exchange.RunsListed(None, no_listener=True), now)
    assert not agent.ends


def test_a_late_heartbeat_of_an_earlier_incarnation_is_ignored():
    agent = harness.registered_agent()
    harness.heartbeat(agent, harness.worker(started_ms=9_000, instance="w-2"), 0, 10.5)
    harness.heartbeat(agent, harness.worker(), 50, 10.6, runs=("w-2", 9_000))
    assert agent.worker.instance == "w-2"


def test_a_run_that_no_order_asks_for_is_stopped():
    agent = harness.registered_agent()
    running = harness.listing(10.1, running=[(harness.TASK, 1, "", 40)])
    effects = step.step(agent, exchange.RunsListed(running), 10.2)
    assert harness.single(effects, exchange.Stop).key == harness.KEY


def test_a_stop_that_crosses_the_end_of_its_run_gives_it_no_second_end():
    # The recorded end "done" was overwritten by "rejected" before the scheduler had read it, and
    # the task ran twice.
    agent = harness.registered_agent(orders={harness.KEY: harness.order()})
    ended = harness.listing(11.0, ended=[(1, harness.TASK, 1, steps.EndKind.DONE, "")])
    harness.commit_writes(agent, step.step(agent, exchange.RunsListed(ended), 11.0), 11.0)
    effects = step.step(agent, exchange.StopAdded(harness.KEY), 11.2)
    harness.assert_none(effects, exchange.Stop)
    write = harness.single(effects, exchange.WriteRow)
    assert (write.ends, write.obsolete_stops) == ((), (harness.KEY,))
    step.step(agent, harness.committed(write, 11.3), 11.3)
    step.step(agent, exchange.RunsListed(harness.listing(11.6)), 11.6)
    write = harness.single(step.step(agent, exchange.Tick(), 14.0), exchange.WriteRow)
    assert (write.ends, write.obsolete_stops) == ((), ())


def test_a_restarted_agent_gives_a_run_that_has_ended_no_second_end():
    # An earlier process recorded the end, which removed the order but not the stop.
    agent = harness.registered_agent(stops=[harness.KEY])
    assert not agent.ends
    assert not agent.runs
    assert not agent.obsolete_stops


def test_a_stop_of_a_run_that_was_never_started_is_answered_with_an_end():
    # The scheduler waits for an end of each run that it has ordered to stop.
    agent = harness.registered_agent(orders={harness.KEY: harness.order()}, stops=[harness.KEY])
    step.step(agent, exchange.StopAnswered(harness.KEY, True), 10.3)
    step.step(agent, exchange.RunsListed(harness.listing(10.6)), 10.6)
    assert [end.kind for end in agent.ends.values()] == [steps.EndKind.REJECTED]


def test_nothing_starts_when_the_lease_is_about_to_expire():
    agent = harness.registered_agent()
    agent.row_call_pending = True
    late = harness.order(start_by_ms=60_000)
    effects = step.step(agent, exchange.OrderAdded(harness.KEY, late), 18.5)
    harness.assert_none(effects, exchange.Start)


@hypothesis.given(
    store_delay=strategies.floats(0, 1.0),
    store_answer=strategies.floats(0, 1.0),
    worker_delay=strategies.floats(0, 1.0),
    worker_answer=strategies.floats(0, 1.0),
    pause=strategies.floats(0, 5.0),
    rate=strategies.floats(state.MIN_CLOCK_RATE, 1.0),
    offset=strategies.integers(-10_000_000, 10_000_000),
)
def test_the_worker_deadline_comes_before_the_end_of_the_lease_in_the_store(
    store_delay, store_answer, worker_delay, worker_answer, pause, rate, offset
):
    # The worker's deadline must come first for all delays, clock offsets and clock rates.
    asked = 100.0
    store_read = asked + store_delay
    answered = store_read + store_answer
    store_ms = int(1000 * store_read) + offset
    agent = state.State("side-1", "accra-a", 9_500)
    storeclock.observe(agent.clock, store_ms, asked, answered)
    agent.hold_until_ms = store_ms + 9_500
    worker_asked = answered + pause
    worker_read = worker_asked + worker_delay
    agent.worker_clock_ms = int(1000 * rate * worker_read)
    agent.worker_clock_at = worker_read + worker_answer
    deadline = state.lease_end_ms(agent, agent.worker_clock_at)
    if deadline is None:
        return
    ends_at = worker_read + max(0, deadline - agent.worker_clock_ms) / 1000.0 / rate
    lease_ends_at = store_read + 9.5
    assert ends_at <= lease_ends_at


def test_a_restarted_agent_offers_its_worker_only_once_it_has_heard_from_it():
    # After a power failure the row showed the lost incarnation as ready. Every order for it was
    # rejected, and urgent jobs were ordered up to three times.
    agent = state.State("side-1", "accra-a", 9_500)
    step.step(agent, exchange.StoreTime(30_000, 29.99, 30.0), 30.0)
    step.step(agent, exchange.Tick(), 30.0)
    effects = step.step(agent, exchange.RowRead(True, _agent_row(39_500), 50), 30.0)
    first = harness.single(effects, exchange.WriteRow)
    assert first.row.worker.state is agents.WorkerState.ABSENT
    step.step(agent, harness.committed(first, 30.1), 30.1)
    effects = step.step(agent, exchange.RunsListed(harness.listing(30.2)), 30.2)
    assert harness.single(effects, exchange.WriteRow).row.worker.state is agents.WorkerState.READY


def test_a_renewal_request_of_a_leader_is_answered_at_once():
    # A new leader sends no orders to an agent that has not renewed its row since, and the next
    # regular renewal may be two seconds away.
    agent = harness.registered_agent()
    harness.assert_none(step.step(agent, exchange.Tick(), 10.1), exchange.WriteRow)
    effects = step.step(agent, exchange.RenewalRequested(True), 10.2)
    write = harness.single(effects, exchange.WriteRow)
    assert write.answers_renewal_request
    step.step(agent, harness.committed(write, 10.3), 10.3)
    step.step(agent, exchange.RenewalRequested(False), 10.3)
    write = harness.single(step.step(agent, exchange.Tick(), 13.0), exchange.WriteRow)
    assert not write.answers_renewal_request


def test_a_heartbeat_offers_the_worker_of_a_restarted_agent():
    agent = _restarted_agent(_agent_row(39_500))
    effects = harness.heartbeat(agent, harness.worker(), 0, 30.1)
    assert harness.single(effects, exchange.WriteRow).row.worker.state is agents.WorkerState.READY


def _restarted_agent(row, now=30.0):
    """Return an agent whose process was restarted after ``row`` had been written."""
    agent = state.State("side-1", "accra-a", 9_500)
    step.step(agent, exchange.StoreTime(int(1000 * now), now - 0.01, now), now)
    step.step(agent, exchange.Tick(), now)
    (write,) = (
        effect
        for effect in step.step(agent, exchange.RowRead(True, row, 50), now)
        if isinstance(effect, exchange.WriteRow)
    )
    step.step(agent, harness.committed(write, now), now)
    step.step(agent, exchange.OrdersLoaded({harness.KEY: harness.order()}, frozenset()), now)
    return agent


def _agent_row(hold_until_ms, reports=()):
    return agents.Agent("side-1", "accra-a", 1, 0, hold_until_ms, harness.worker(), reports)


def test_a_restarted_agent_closes_the_runs_of_a_worker_that_never_answers():
    # The worker had left while the agent was down, and the run was never closed.
    agent = _restarted_agent(_agent_row(hold_until_ms=33_000))
    now = 30.0
    while now < 33.9:
        step.step(agent, exchange.StoreTime(int(1000 * now), now - 0.01, now), now)
        assert not agent.ends
        now += 0.5
    step.step(agent, exchange.StoreTime(34_500, 34.49, 34.5), 34.5)
    assert [end.kind for end in agent.ends.values()] == [steps.EndKind.REJECTED]


def test_checkpoints_survive_a_power_failure_of_agent_and_worker():
    # The new incarnation does not know the checkpoints, and the new process had dropped the
    # reports in the old row.
    report = agents.RunReport(harness.TASK, 1, "c9", 70)
    agent = _restarted_agent(_agent_row(33_000, (report,)))
    harness.heartbeat(agent, harness.worker(started_ms=9_000), 0, 30.5)
    step.step(agent, exchange.StopAnswered(harness.KEY, True), 30.6)
    listing = harness.listing(31.0, started_ms=9_000)
    step.step(agent, exchange.RunsListed(listing), 31.0)
    assert [(end.kind, end.saved) for end in agent.ends.values()] == [(steps.EndKind.LOST, "c9")]


def test_a_restarted_agent_keeps_the_reports_until_it_has_seen_the_list():
    report = agents.RunReport(harness.TASK, 1, "c9", 70)
    agent = _restarted_agent(_agent_row(33_000, (report,)))
    write = harness.single(step.step(agent, exchange.Tick(), 32.5), exchange.WriteRow)
    assert write.row.runs == (report,)


def test_an_agent_that_was_suspended_lists_runs_before_it_marks_the_worker_absent():
    # Soak seed 19: tasks that had completed while the agent was suspended were run again.
    agent = harness.registered_agent()
    step.step(agent, exchange.OrderAdded(harness.KEY, harness.order()), 10.1)
    step.step(agent, exchange.StartAnswered(harness.KEY, exchange.StartOutcome.STARTED), 10.2)
    running = harness.listing(10.3, running=[(harness.TASK, 1, "c1", 40)])
    step.step(agent, exchange.RunsListed(running), 10.3)
    step.step(agent, exchange.Tick(), 30.0)
    assert not agent.ends
    ended = harness.listing(30.2, ended=[(1, harness.TASK, 1, steps.EndKind.DONE, "")])
    step.step(agent, exchange.RunsListed(ended), 30.2)
    assert [end.kind for end in agent.ends.values()] == [steps.EndKind.DONE]


def test_an_end_that_cannot_be_read_does_not_keep_later_ends_from_being_forgotten():
    # The agent waited for the number of the unreadable end, and the worker listed all later ends
    # again with each call.
    agent = harness.registered_agent(orders={harness.KEY: harness.order()})
    ended = [(3, harness.TASK, 1, steps.EndKind.DONE, "")]
    effects = step.step(agent, exchange.RunsListed(harness.listing(10.2, ended=ended)), 10.2)
    harness.commit_writes(agent, effects, 10.2)
    assert agent.recorded_through == 3


def test_an_end_that_waits_to_be_recorded_is_not_skipped():
    other = "00000000000000bb.0.0.0"
    orders = {key: harness.order(key[0]) for key in (harness.KEY, (other, 1))}
    agent = harness.registered_agent(orders=orders)
    first = [(2, harness.TASK, 1, steps.EndKind.DONE, "")]
    effects = step.step(agent, exchange.RunsListed(harness.listing(10.2, ended=first)), 10.2)
    write = harness.single(effects, exchange.WriteRow)
    both = [*first, (4, other, 1, steps.EndKind.DONE, "")]
    step.step(agent, exchange.RunsListed(harness.listing(10.3, ended=both)), 10.3)
    assert agent.recorded_through == 1
    effects = step.step(agent, harness.committed(write, 10.4), 10.4)
    harness.commit_writes(agent, effects, 10.4)
    step.step(agent, exchange.RunsListed(harness.listing(10.9, ended=both[1:])), 10.9)
    assert agent.recorded_through == 4
