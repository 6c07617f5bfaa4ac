"""Answers and calls of a worker's previous incarnation that arrive after it has restarted."""

import dataclasses

import hold_harness as harness
import pytest

from peridothatch_core.hold import exchange, state, step
from peridothatch_core.message import rows
from peridothatch_core.model import agents

RESTARTED_MS = 9_000
LONGEST_DEADLINE_MS = 10_000


@dataclasses.dataclass
class Restarted:
    """New incarnation of the worker under the same id; ``born_at`` is local time in seconds."""

    born_at: float
    fence: int = 0
    deadline_ms: float = 0.0
    barred: set = dataclasses.field(default_factory=set)
    running: set = dataclasses.field(default_factory=set)
    stopped_at: dict = dataclasses.field(default_factory=dict)

    def clock_ms(self, now):
        return int(1 + 1000 * state.MIN_CLOCK_RATE * (now - self.born_at))

    def killed_at(self):
        """Return the local time at which the deadline passes."""
        return self.born_at + self.deadline_ms / (1000 * state.MIN_CLOCK_RATE)

    def list_runs(self, call, now):
        """Carry out a list call, and return the list, or ``None`` if the token is outdated."""
        if not self._accept(call.fence):
            return None
        self._extend(call.lease_end_ms, now)
        clock_ms = self.clock_ms(now)
        running = [(*key, "", 0) for key in self.running]
        return harness.listing(now, running, (), RESTARTED_MS, clock_ms)

    def stop(self, call, now):
        if not self._accept(call.fence):
            return False
        self.barred.add(call.key)
        if call.key in self.running:
            self.running.discard(call.key)
            self.stopped_at[call.key] = now
        return True

    def start(self, call, now):
        """Carry out a start; return whether the run is at work."""
        if not self._accept(call.fence) or call.key in self.barred:
            return False
        self._extend(call.lease_end_ms, now)
        self.running.add(call.key)
        return True

    def _accept(self, fence):
        if fence < self.fence:
            return False
        self.fence = fence
        return True

    def _extend(self, deadline_ms, now):
        if deadline_ms is not None:
            granted = min(deadline_ms, self.clock_ms(now) + LONGEST_DEADLINE_MS)
            self.deadline_ms = max(self.deadline_ms, granted)


def beat(agent, now, sequence=0):
    """Handle a heartbeat of the new incarnation."""
    described = harness.worker(started_ms=RESTARTED_MS)
    return harness.heartbeat(agent, described, sequence, now)


def drive(agent, worker, effects, first, last, store_answers=True):
    """Carry out all effects for a time, with heartbeats; return the ends that were recorded."""
    ends = []
    now = first
    sequence = 10
    # The call that was under way at the restart gets no answer.
    effects += step.step(agent, exchange.RunsListed(None), now)
    while now < last:
        while effects:
            effect = effects.pop(0)
            match effect:
                case exchange.WriteRow() if store_answers:
                    ends += effect.ends
                    effects += step.step(agent, harness.committed(effect, now), now)
                case exchange.ListRuns():
                    listed = worker.list_runs(effect, now)
                    answer = exchange.RunsListed(listed, concurrent=effect.concurrent)
                    effects += step.step(agent, answer, now)
                case exchange.Stop():
                    answer = exchange.StopAnswered(effect.key, worker.stop(effect, now))
                    effects += step.step(agent, answer, now)
        now += 0.1
        sequence += 1
        effects += beat(agent, now, sequence)
        effects += step.step(agent, exchange.Tick(), now)
    return ends


def sent_start(agent, fence=None):
    """Return the start of the run that was sent to the previous incarnation."""
    return exchange.Start(
        harness.KEY, harness.order(), 300_000, agent.fence if fence is None else fence
    )


def agent_whose_start_has_no_answer():
    """Return an agent that stops a run after two starts without an answer."""
    agent = harness.registered_agent(orders={harness.KEY: harness.order()})
    for now in (10.4, 10.8):
        unanswered = exchange.StartAnswered(harness.KEY, exchange.StartOutcome.NO_ANSWER)
        effects = step.step(agent, unanswered, now)
    harness.single(effects, exchange.Stop)
    return agent


# Guards against a run on two workers: the previous incarnation's answer to a stop counted as the
# new one's, which had not barred the run and carried out a late start.
def test_a_stop_confirmed_by_the_previous_incarnation_does_not_bar_the_run_on_the_new_one():
    agent = agent_whose_start_has_no_answer()
    late = sent_start(agent)
    worker = Restarted(10.8)
    effects = beat(agent, 10.9)
    effects += step.step(agent, exchange.StopAnswered(harness.KEY, True), 10.95)
    ends = drive(agent, worker, effects, 11.0, 13.0)
    assert [(end.task, end.attempt) for end in ends] == [harness.KEY]
    assert not worker.start(late, 13.0)


# The same for a run that a second start began, and whose stop was confirmed before the restart.
def test_a_stop_confirmed_before_the_restart_does_not_bar_the_run_on_the_new_incarnation():
    agent = harness.registered_agent(orders={harness.KEY: harness.order()})
    late = sent_start(agent)
    unanswered = exchange.StartAnswered(harness.KEY, exchange.StartOutcome.NO_ANSWER)
    step.step(agent, unanswered, 10.4)
    step.step(agent, exchange.StartAnswered(harness.KEY, exchange.StartOutcome.STARTED), 10.5)
    listed = harness.listing(10.6, running=[(*harness.KEY, "", 1)])
    step.step(agent, exchange.RunsListed(listed), 10.6)
    harness.single(step.step(agent, exchange.StopAdded(harness.KEY), 10.7), exchange.Stop)
    harness.assert_none(
        step.step(agent, exchange.StopAnswered(harness.KEY, True), 10.75), exchange.WriteRow
    )
    worker = Restarted(10.8)
    ends = drive(agent, worker, beat(agent, 10.9), 11.0, 13.0)
    assert [(end.task, end.attempt) for end in ends] == [harness.KEY]
    assert not worker.start(late, 13.0)


# The same for a worker that deregisters: its run was closed at once, although the first of its two
# starts had no answer and may still be carried out by the next incarnation under the same id.
def test_a_run_with_an_unanswered_start_is_not_lost_before_it_is_barred_on_the_next_incarnation():
    agent = harness.registered_agent(orders={harness.KEY: harness.order()})
    late = sent_start(agent)
    unanswered = exchange.StartAnswered(harness.KEY, exchange.StartOutcome.NO_ANSWER)
    effects = step.step(agent, unanswered, 10.4)
    started = exchange.StartAnswered(harness.KEY, exchange.StartOutcome.STARTED)
    effects += step.step(agent, started, 10.5)
    listed = harness.listing(10.6, running=[(*harness.KEY, "", 1)])
    effects += step.step(agent, exchange.RunsListed(listed), 10.6)
    effects += step.step(agent, exchange.Deregistered("w-1"), 10.7)
    effects += step.step(agent, exchange.RunsListed(None, no_listener=True), 11.0)
    is_lost = bool(agent.ends)
    worker = Restarted(11.2)
    assert not (is_lost and worker.start(late, 11.3))


# Guards against a run that outlives its lease: the new incarnation shortens a deadline on the
# clock of the previous one to the longest that it grants, which is later than the lease. The
# agent's lease runs out without a renewal, and the scheduler starts the task elsewhere.
def test_a_run_started_on_the_new_incarnation_before_its_heartbeat_ends_with_the_lease():
    agent = harness.registered_agent(orders={harness.KEY: harness.order()})
    lease_end = agent.hold_until_ms / 1000
    start = sent_start(agent)
    worker = Restarted(11.7)
    assert worker.start(start, 11.8)
    step.step(agent, exchange.StartAnswered(harness.KEY, exchange.StartOutcome.STARTED), 11.8)
    drive(agent, worker, beat(agent, 12.4), 12.5, 24.0, store_answers=False)
    ended_at = worker.stopped_at.get(harness.KEY, worker.killed_at())
    assert ended_at <= lease_end


# The same for list calls: those that a new incarnation has answered before its first heartbeat
# still carried deadlines on the clock of the previous one.
def test_a_list_from_an_unknown_incarnation_ends_the_deadlines_on_the_old_clock():
    agent = harness.registered_agent(orders={harness.KEY: harness.order()})
    step.step(agent, exchange.StartAnswered(harness.KEY, exchange.StartOutcome.STARTED), 10.3)
    worker = Restarted(10.4)
    unknown = harness.listing(10.5, (), (), RESTARTED_MS, worker.clock_ms(10.5))
    effects = step.step(agent, exchange.RunsListed(unknown), 10.5)
    effects += step.step(agent, exchange.Tick(), 10.8)
    calls = [effect for effect in effects if isinstance(effect, exchange.ListRuns)]
    assert calls
    assert all(call.lease_end_ms is None for call in calls)


# Guards against runs on a worker that drains: after a silence, a heartbeat from before the drain
# was taken for a newer one.
@pytest.mark.parametrize("deregistered", [False, True])
def test_a_late_heartbeat_does_not_undo_a_newer_one_of_the_same_incarnation(deregistered):
    agent = harness.registered_agent()
    draining = harness.worker(state=agents.WorkerState.DRAINING, leaves_in_ms=2_000)
    harness.heartbeat(agent, draining, 20, 10.5)
    if deregistered:
        step.step(agent, exchange.Deregistered("w-1"), 11.0)
    else:
        harness.send_ticks(agent, 11.0, 15.0)
    assert agent.worker.state is agents.WorkerState.ABSENT
    harness.heartbeat(agent, harness.worker(), 19, 15.1)
    assert agent.worker.state is not agents.WorkerState.READY


def write_after_a_restart(agent, outcome):
    """Return the first write that tells of a restart, once the agent reads its row back.

    The write also removes a stop, so that a lost answer makes the agent read its row.
    """
    refused = harness.single(
        step.step(agent, exchange.StopAdded(harness.KEY), 11.9), exchange.WriteRow
    )
    beat(agent, 12.0)
    step.step(agent, harness.committed(refused, 12.1, rows.Outcome.NOT_DONE), 12.1)
    write = harness.single(step.step(agent, exchange.Tick(), 12.5), exchange.WriteRow)
    assert write.row.worker.started_ms == RESTARTED_MS
    answer = harness.committed(write, 12.6, outcome)
    harness.single(step.step(agent, answer, 12.6), exchange.ReadRow)
    return write


# Guards against two agents under one token: a process that raises its token for a new incarnation
# must not reach the number under which another process has registered meanwhile.
def test_an_agent_whose_worker_restarts_sees_that_another_process_has_registered():
    agent = harness.registered_agent()
    registered = agent.fence + state.FENCES_PER_PROCESS
    write = write_after_a_restart(agent, rows.Outcome.CONFLICT)
    other = dataclasses.replace(write.row, fence=registered, hold_until_ms=22_345)
    effects = step.step(agent, exchange.RowRead(True, other, 70), 12.7)
    assert harness.single(effects, exchange.Replaced).fence == registered


# Guards against an agent that ends itself: the token in its row is the one that it has raised, in
# a write whose answer was lost.
def test_an_agent_whose_worker_restarts_is_not_replaced_by_its_own_write():
    agent = harness.registered_agent()
    write = write_after_a_restart(agent, rows.Outcome.UNKNOWN)
    effects = step.step(agent, exchange.RowRead(True, write.row, 70), 12.7)
    harness.assert_none(effects, exchange.Replaced)
