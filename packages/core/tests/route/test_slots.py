"""Guards against second runs, wrong "not run", crossed answers and lost answers on an agent."""

import pytest

from peridothatch_core.message import link
from peridothatch_core.model import backend, request, verdict
from peridothatch_core.route import agent_exchange, holding, slots

OWN = link.Hello(1, "agent", "a1", "j1", "accra-a", "gh-south")
ENTRY = link.Hello(1, "entry", "e1", "i1", "accra-a", "gh-south")
OTHER = link.Hello(1, "entry", "e2", "i1", "accra-a", "gh-south")


class Agent:
    def __init__(self, server_slots=2, limits=None):
        self.state = holding.State(OWN, limits or holding.Limits())
        self.now = 10.0
        self.server_slots = server_slots
        self.report_server()
        self.step(agent_exchange.PeerUp(ENTRY))

    def report_server(self, *, leaving=False):
        server = backend.BackendServer("b1", "notices", "", "", self.server_slots, 64, leaving)
        return self.step(agent_exchange.ServerSeen(server))

    def step(self, event):
        return slots.step(self.state, event, self.now)

    def receive(self, message, peer=ENTRY):
        return self.step(agent_exchange.Received(peer, message))

    def dispatch(self, number, budget=5.0):
        call = request.Request(f"r{number}", "pole", "notices", False, budget, b"body")
        return self.receive(link.Dispatch(call))

    def query(self, number, incarnation="j1"):
        (sent,) = self.receive(link.Query(f"r{number}", incarnation))
        return sent.message

    def serve(self, number, answered=None, body=b"done"):
        answered = number if answered is None else answered
        return self.step(agent_exchange.Served(f"r{number}", f"r{answered}", 200, body, "text"))


def verdicts(effects):
    return {
        effect.message.answer.request_id: effect.message.answer.verdict
        for effect in effects
        if isinstance(effect, agent_exchange.Send) and isinstance(effect.message, link.AnswerReady)
    }


def calls(effects):
    return [e.request.id for e in effects if isinstance(e, agent_exchange.Call)]


def test_slots_and_queue_are_bounded():
    agent = Agent(server_slots=2)
    assert [calls(agent.dispatch(number)) for number in range(3)] == [["r0"], ["r1"], []]
    assert verdicts(agent.dispatch(3)) == {"r3": verdict.Verdict.NOT_RUN}
    assert calls(agent.serve(0)) == ["r2"]


@pytest.mark.parametrize("seconds", [0.0, 70.0, 600.0])
def test_an_id_that_was_seen_is_never_run_again(seconds):
    agent = Agent()
    agent.dispatch(1)
    agent.serve(1)
    agent.receive(link.AnswerAck("r1"))
    agent.now += seconds
    agent.step(agent_exchange.Tick())
    assert calls(agent.dispatch(1)) == []
    assert agent.query(1) == link.RequestState("r1", "forgotten")
    assert agent.state.counters["second_runs_prevented"] == 1


@pytest.mark.parametrize("seconds", [0.0, 599.0])
def test_an_unknown_id_that_was_asked_for_is_refused(seconds):
    agent = Agent()
    assert agent.query(1) == link.RequestState("r1", "not_run")
    agent.now += seconds
    assert calls(agent.dispatch(1)) == []
    assert agent.query(1) == link.RequestState("r1", "not_run")


def test_a_lookup_leaves_no_tombstone():
    agent = Agent()
    (sent,) = agent.receive(link.Query("r1", "", "pole"))
    assert sent.message == link.RequestState("r1", "unknown")
    assert calls(agent.dispatch(1)) == ["r1"]


def test_slots_that_the_backend_server_does_not_give_are_not_offered():
    agent = Agent(server_slots=4)
    agent.dispatch(1)
    agent.dispatch(2)
    effects = agent.step(agent_exchange.NotServed("r2", agent_exchange.BUSY_STATUS, ""))
    offered = [e.message.backend.slots for e in effects if hasattr(e.message, "backend")]
    assert offered == [1]
    assert [calls(agent.dispatch(number)) for number in (3, 4)] == [[], []]
    for slots_now in (2, 3, 4):
        agent.step(agent_exchange.HeartbeatDue())
        assert holding.slots(agent.state) == slots_now


def test_another_incarnation_reports_forgotten():
    assert Agent().query(1, "j0") == link.RequestState("r1", "forgotten")


def test_a_queued_request_whose_deadline_passes_is_not_run():
    agent = Agent(server_slots=1)
    agent.dispatch(1)
    agent.dispatch(2, budget=1.0)
    agent.now += 1.5
    assert verdicts(agent.step(agent_exchange.Tick())) == {"r2": verdict.Verdict.NOT_RUN}
    assert calls(agent.serve(1)) == []


@pytest.mark.parametrize(
    ("status", "reported"),
    [
        (agent_exchange.BUSY_STATUS, verdict.Verdict.NOT_RUN),
        (agent_exchange.UNREACHABLE_STATUS, verdict.Verdict.NOT_RUN),
        (0, verdict.Verdict.MAY_HAVE_RUN),
    ],
)
def test_the_verdict_of_a_call_without_an_answer(status, reported):
    agent = Agent()
    agent.dispatch(1)
    assert verdicts(agent.step(agent_exchange.NotServed("r1", status, ""))) == {"r1": reported}


def test_crossed_answers_reach_their_own_requests():
    agent = Agent()
    agent.dispatch(1)
    agent.dispatch(2)
    (first,) = agent.serve(1, answered=2, body=b"of 2")
    (second,) = agent.serve(2, answered=1, body=b"of 1")
    assert first.message.answer == request.Answer("r2", "ran", 200, b"of 2", "text")
    assert second.message.answer == request.Answer("r1", "ran", 200, b"of 1", "text")


def test_a_request_whose_answer_can_no_longer_come_may_have_run():
    agent = Agent()
    agent.dispatch(1)
    assert verdicts(agent.serve(1, answered=77)) == {"r1": verdict.Verdict.MAY_HAVE_RUN}


def test_leaving_refuses_what_waits_and_finishes_what_runs():
    agent = Agent(server_slots=1)
    agent.dispatch(1)
    agent.dispatch(2)
    effects = agent.report_server(leaving=True)
    assert verdicts(effects) == {"r2": verdict.Verdict.NOT_RUN}
    assert any(e.message.backend.leaving for e in effects if hasattr(e.message, "backend"))
    assert verdicts(agent.dispatch(3)) == {"r3": verdict.Verdict.NOT_RUN}
    assert verdicts(agent.serve(1)) == {"r1": verdict.Verdict.RAN}


def test_an_unreachable_backend_server_is_announced_as_leaving():
    agent = Agent()
    (sent,) = agent.step(agent_exchange.ServerSeen(None))
    assert sent.message.backend.leaving


def test_answers_are_handed_over_before_a_drain_ends():
    agent = Agent()
    agent.dispatch(1)
    agent.step(agent_exchange.PeerDown(ENTRY))
    agent.step(agent_exchange.Drain())
    agent.serve(1)
    assert not slots.idle(agent.state, agent.now)
    assert verdicts(agent.step(agent_exchange.PeerUp(ENTRY))) == {"r1": verdict.Verdict.RAN}
    agent.receive(link.AnswerAck("r1"))
    assert slots.idle(agent.state, agent.now)


def test_a_drain_does_not_wait_for_an_entry_that_is_gone():
    agent = Agent()
    agent.dispatch(1)
    agent.serve(1)
    agent.step(agent_exchange.PeerDown(ENTRY))
    assert not slots.idle(agent.state, agent.now)
    assert slots.idle(agent.state, agent.now + slots.HANDOVER_TIMEOUT_SECONDS)


def test_only_the_entry_that_sent_a_request_acknowledges_its_answer():
    agent = Agent()
    agent.dispatch(1)
    agent.serve(1)
    agent.receive(link.AnswerAck("r1"), OTHER)
    assert isinstance(agent.query(1), link.AnswerReady)


def test_kept_answers_are_bounded_and_say_may_have_run_when_dropped():
    agent = Agent(limits=holding.Limits(kept_bytes=1000))
    for number in range(4):
        agent.dispatch(number)
        agent.serve(number, body=b"x" * 400)
    assert agent.state.kept_bytes <= 1000
    assert agent.query(0).answer.verdict is verdict.Verdict.MAY_HAVE_RUN
    assert agent.query(3).answer.body == b"x" * 400


def test_a_full_request_table_never_reports_not_run():
    agent = Agent(limits=holding.Limits(records=1))
    agent.dispatch(1)
    assert verdicts(agent.dispatch(2)) == {"r2": verdict.Verdict.MAY_HAVE_RUN}
    assert agent.query(3) == link.RequestState("r3", "forgotten")
