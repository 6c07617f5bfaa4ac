"""Heartbeats and deregistrations of other writers at the address for the worker's heartbeats."""

import hold_harness as harness
import hypothesis
import pytest
from hypothesis import strategies

from peridothatch_core.hold import exchange, incarnation, state, step
from peridothatch_core.model import agents, steps

RUNS = ("w-1", harness.STARTED_MS)
LATER_MS = 9_000
FAR_MS = 2**53 - 1
DRAINING = agents.WorkerState.DRAINING

FOREIGN = {
    "another id and service": {
        "instance": "x", "started_ms": LATER_MS, "service": "no-such-service"},
    "another id": {"instance": "x", "started_ms": LATER_MS},
    "another id at the same time": {"instance": "x"},
    "another id in the far future": {"instance": "x", "started_ms": FAR_MS},
    "another id without a start time": {"instance": "x", "started_ms": 0},
    "draining": {"instance": "x", "started_ms": LATER_MS, "state": DRAINING},
    "another data centre": {"instance": "x", "started_ms": LATER_MS, "zone": "tema-b"},
    "the id with a later start": {"started_ms": LATER_MS},
    "the id with a far later start": {"started_ms": FAR_MS, "service": "no-such-service"},
    "the id, draining with a later start": {"started_ms": LATER_MS, "state": DRAINING},
    "the id and start with another service": {"service": "no-such-service"},
    "the id and start with another data centre": {"zone": "tema-b", "state": DRAINING},
}  # fmt: skip

foreign_heartbeats = pytest.mark.parametrize("changes", FOREIGN.values(), ids=FOREIGN.keys())


def agent_at_work():
    """Return an agent whose worker has confirmed and listed a run that this process ordered."""
    agent = harness.registered_agent()
    effects = step.step(agent, exchange.OrderAdded(harness.KEY, harness.order()), 10.1)
    harness.commit_writes(agent, effects, 10.1)
    step.step(agent, exchange.StartAnswered(harness.KEY, exchange.StartOutcome.STARTED), 10.2)
    effects = step.step(agent, exchange.RunsListed(listed(10.3)), 10.3)
    harness.commit_writes(agent, effects, 10.3)
    return agent


def assert_undisturbed(agent, now):
    """Check that the run is open, and that the worker's own heartbeats are still used."""
    assert agent.worker == harness.worker()
    assert agent.runs[harness.KEY].phase is state.Phase.RUNNING
    assert not agent.runs[harness.KEY].stop_reason
    assert not agent.ends
    effects = step.step(agent, exchange.RunsListed(listed(now), fence=agent.fence), now)
    harness.commit_writes(agent, effects, now)
    assert agent.incarnation_confirmed
    leaving = harness.worker(state=DRAINING, leaves_in_ms=30_000)
    harness.heartbeat(agent, leaving, 3, now + 0.1)
    assert agent.worker == leaving


def listed(now):
    return harness.listing(now, running=[(harness.TASK, 1, "", 50)])


# Guards against a task that runs twice: a heartbeat of another writer was taken for a new
# incarnation, and the runs of the worker were closed as lost while they were at work.
@foreign_heartbeats
def test_a_foreign_heartbeat_changes_nothing(changes):
    agent = agent_at_work()
    harness.heartbeat(agent, harness.worker(**changes), 2**53 - 1, 10.5, runs=RUNS)
    assert not agent.candidates
    assert_undisturbed(agent, 10.6)


# The same while the worker's address does not answer: neither silence nor time is a proof.
@foreign_heartbeats
def test_a_foreign_heartbeat_changes_nothing_while_the_worker_does_not_answer(changes):
    agent = agent_at_work()
    described = harness.worker(**changes)
    effects = step.step(agent, exchange.Heartbeat(described, 2**53 - 1), 10.5)
    for _ in range(3):
        for effect in effects:
            if isinstance(effect, exchange.IdentifyWorker):
                silent = exchange.WorkerIdentified(
                    effect.instance, False, None, 10.5, effect.fence
                )
                step.step(agent, silent, 10.9)
        effects = step.step(agent, exchange.Tick(), 11.2)
    harness.identify(agent, step.step(agent, exchange.Tick(), 11.5), 11.5, RUNS)
    assert_undisturbed(agent, 11.6)


# Guards against a worker that is never used: the heartbeats of the worker itself were older than
# the foreign one that came first.
def test_a_foreign_heartbeat_before_the_first_of_the_worker_is_not_published():
    agent = state.State("side-1", "accra-a", 9_500)
    step.step(agent, exchange.StoreTime(10_000, 9.99, 10.0), 10.0)
    effects = step.step(agent, exchange.RowRead(True, None, 0), 10.0)
    write = harness.single(effects, exchange.WriteRow)
    foreign = harness.worker(instance="x", started_ms=LATER_MS)
    step.step(agent, exchange.Heartbeat(foreign, 1), 10.0)
    effects = step.step(agent, harness.committed(write, 10.1), 10.1)
    harness.identify(agent, effects, 10.1, RUNS)
    assert agent.worker is None
    harness.heartbeat(agent, harness.worker(), 1, 10.2)
    assert agent.worker == harness.worker()


# Guards against a run that starts again with its agent: the heartbeat came before the row of the
# previous process was read, and was then taken for that of a new incarnation.
def test_a_heartbeat_before_the_row_is_read_replaces_no_incarnation():
    before = agent_at_work()
    agent = state.State("side-1", "accra-a", 9_500)
    step.step(agent, exchange.StoreTime(11_000, 10.99, 11.0), 11.0)
    step.step(agent, exchange.Heartbeat(harness.worker(), 2), 11.0)
    row = agents.Agent("side-1", "accra-a", before.fence, 0, 20_000, harness.worker())
    effects = step.step(agent, exchange.RowRead(True, row, 9), 11.1)
    write = harness.single(effects, exchange.WriteRow)
    effects = step.step(agent, harness.committed(write, 11.2), 11.2)
    harness.identify(agent, effects, 11.2, RUNS)
    assert (agent.worker, agent.sequence) == (harness.worker(), 2)
    assert agent.fence == write.row.fence


# Guards against a restart that is missed among foreign heartbeats.
def test_a_restart_is_noticed_among_many_foreign_heartbeats():
    agent = agent_at_work()
    silent = agent.identification_retry_at = 10.8
    for number in range(2 * incarnation.MAX_CANDIDATES):
        foreign = harness.worker(instance=f"x-{number}", started_ms=LATER_MS)
        step.step(agent, exchange.Heartbeat(foreign, 1), 10.5)
    assert len(agent.candidates) == incarnation.MAX_CANDIDATES
    restarted = harness.worker(started_ms=LATER_MS)
    step.step(agent, exchange.Heartbeat(restarted, 1), 10.6)
    effects = step.step(agent, exchange.Tick(), silent)
    harness.identify(agent, effects, silent, ("w-1", LATER_MS))
    harness.heartbeat(agent, restarted, 2, 11.0)
    assert agent.worker == restarted
    assert [end.kind for end in agent.ends.values()] == [steps.EndKind.LOST]


# Guards against an answer of an incarnation that has ended meanwhile, which arrives late.
def test_an_answer_that_is_older_than_one_of_the_known_incarnation_proves_nothing():
    agent = agent_at_work()
    other = harness.worker(instance="w-0", started_ms=LATER_MS)
    effects = step.step(agent, exchange.Heartbeat(other, 9), 10.5)
    call = harness.single(effects, exchange.IdentifyWorker)
    harness.commit_writes(agent, step.step(agent, exchange.RunsListed(listed(10.7)), 10.7), 10.7)
    answer = exchange.WorkerIdentified("w-0", True, LATER_MS, 10.5, call.fence)
    effects = step.step(agent, answer, 10.8)
    assert not agent.ends
    harness.identify(agent, effects, 10.8, RUNS)
    assert_undisturbed(agent, 10.9)


def test_a_call_that_identifies_acknowledges_nothing_and_follows_the_restart_once():
    agent = agent_at_work()
    described = harness.worker(started_ms=LATER_MS)
    effects = step.step(agent, exchange.Heartbeat(described, 1), 10.5)
    call = harness.single(effects, exchange.IdentifyWorker)
    harness.assert_none(effects, exchange.ListRuns)
    harness.assert_none(step.step(agent, exchange.Heartbeat(described, 2), 10.6), type(call))
    assert agent.candidates[RUNS[0], LATER_MS].sequence == 2


# A deregistration is late or foreign as long as the worker's address has a listener.
def test_a_foreign_deregistration_closes_no_run():
    agent = agent_at_work()
    step.step(agent, exchange.Deregistered("x"), 10.4)
    step.step(agent, exchange.Deregistered("w-1"), 10.5)
    step.step(agent, exchange.RunsListed(listed(10.6)), 10.6)
    harness.heartbeat(agent, harness.worker(), 2, 10.7)
    assert_undisturbed(agent, 10.8)


heartbeats = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["own", "restart", "restart with the clock set back", *FOREIGN]),
        strategies.booleans(),
        strategies.booleans(),
    ),
    max_size=25,
)


@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
@hypothesis.given(heartbeats)
def test_whatever_is_sent_the_known_incarnation_is_the_one_at_the_address(sent):
    """A run is recorded as lost only once the incarnation that it runs on has ended."""
    agent = agent_at_work()
    runs, sequence, now = RUNS, 1, 10.5
    starts = [harness.STARTED_MS]
    for kind, answers, lists in sent:
        now += 0.05
        if kind.startswith("restart"):
            earliest, latest = min(starts), max(starts)
            starts.append(latest + 1_000 if kind == "restart" else earliest - 10)
            runs, sequence = (runs[0], starts[-1]), 0
        sequence += 1
        own = {"instance": runs[0], "started_ms": runs[1]}
        described = harness.worker(**FOREIGN.get(kind, own))
        number = 2**53 - 1 if kind in FOREIGN else sequence
        effects = step.step(agent, exchange.Heartbeat(described, number), now)
        if answers:
            harness.identify(agent, effects, now, runs)
        if lists and (agent.worker.instance, agent.worker.started_ms) == runs:
            answer = harness.listing(now, started_ms=runs[1], running=[(harness.TASK, 1, "", 50)])
            step.step(agent, exchange.RunsListed(answer, fence=agent.fence), now)
        if runs == RUNS:
            assert not agent.ends
    now += 1.0
    effects = step.step(agent, exchange.Tick(), now)
    for effect in effects:
        if isinstance(effect, exchange.IdentifyWorker):
            harness.identify(agent, [effect], now, runs)
    agent.identification = None
    own = harness.worker(instance=runs[0], started_ms=runs[1])
    harness.heartbeat(agent, own, sequence + 1, now + 0.3)
    assert agent.worker == own
