"""Guards against second runs for one idempotency key and against wrong or leaking lookups.

A lookup must not report a wrong outcome, nor show a request to another customer.
"""

import dataclasses

import pytest

from peridothatch_core.message import link, store
from peridothatch_core.model import backend, request, verdict
from peridothatch_core.route import agent_exchange, agents, dispatch, exchange, flight

AGENT = link.Hello(1, "agent", "a1", "j1", "accra-a", "gh-south")
SERVER = backend.BackendServer("b1", "notices", "accra-a", "gh-south", 8)


def hello(name):
    return link.Hello(1, "entry", name, "i1", "accra-a", "gh-south")


class Entry:
    def __init__(self, name="e1"):
        self.state = flight.create(flight.Settings(name, "i1", "accra-a", "gh-south"))
        self.now = 10.0
        self.replies = {}
        self.step(exchange.PeerUp(AGENT))
        self.receive(AGENT, link.AnnounceBackend(SERVER, "j1"))

    def step(self, event):
        effects = dispatch.step(self.state, event, self.now)
        for effect in effects:
            if isinstance(effect, exchange.Reply):
                self.replies[effect.tag] = effect.outcome
        return [effect for effect in effects if not isinstance(effect, exchange.Reply)]

    def receive(self, peer, message):
        return self.step(exchange.Received(peer, message))

    def submit(self, tag, key="k", body=b"lower the flag", budget=5.0):
        call = request.Request(f"e1.i1.{tag}", "pole", "notices", False, budget, body)
        return self.step(exchange.Submitted(tag, call, key))

    def claimed(self, tag, outcome, row=None):
        return self.step(exchange.Claimed(f"e1.i1.{tag}", outcome, row))

    def answer(self, tag, reported=verdict.Verdict.RAN):
        answer = request.Answer(f"e1.i1.{tag}", reported, 200, b"done")
        return self.receive(AGENT, link.AnswerReady(answer))

    def verdict(self, tag):
        outcome = self.replies[tag]
        return outcome.ok_value.verdict if outcome.is_ok() else outcome.err_value.verdict


def dispatches(effects):
    messages = [effect.message for effect in effects if isinstance(effect, exchange.Send)]
    return [message for message in messages if isinstance(message, link.Dispatch)]


def row_of(effects):
    return next(effect.row for effect in effects if isinstance(effect, exchange.Claim))


def test_nothing_is_sent_before_the_claim_is_applied():
    entry = Entry()
    assert dispatches(entry.submit(1)) == []
    assert len(dispatches(entry.claimed(1, store.Outcome.APPLIED))) == 1


@pytest.mark.parametrize("outcome", [store.Outcome.NOT_SENT, store.Outcome.UNKNOWN])
def test_a_failed_claim_is_refused_as_not_run(outcome):
    entry = Entry()
    entry.submit(1)
    effects = entry.claimed(1, outcome)
    assert dispatches(effects) == []
    assert entry.verdict(1) is verdict.Verdict.NOT_RUN
    # A claim that may have been applied is released, so that the key can be used again.
    released = [effect for effect in effects if isinstance(effect, exchange.Settle)]
    assert len(released) == (outcome is store.Outcome.UNKNOWN)


def test_the_outcome_is_recorded_after_the_answer():
    entry = Entry()
    entry.submit(1)
    entry.claimed(1, store.Outcome.APPLIED)
    settle = next(e for e in entry.answer(1) if isinstance(e, exchange.Settle))
    assert settle.row.answer.body == b"done"
    entry.step(exchange.Settled("e1.i1.1", store.Outcome.NOT_SENT))
    entry.now += 6.0
    assert settle in entry.step(exchange.Tick())


def test_a_second_call_gets_the_recorded_outcome_under_its_own_id():
    entry = Entry()
    row = row_of(entry.submit(2))
    answer = request.Answer("e9.i1.1", verdict.Verdict.RAN, 200, b"done")
    row = dataclasses.replace(row, request_id="e9.i1.1", answer=answer, version=3)
    assert entry.claimed(2, store.Outcome.CONFLICT, row) == []
    assert entry.replies[2].ok_value == dataclasses.replace(answer, request_id="e1.i1.2")


def test_another_body_under_the_key_is_a_conflict():
    entry = Entry()
    row = row_of(entry.submit(2, body=b"raise the flag"))
    other = dataclasses.replace(row, request_id="e9.i1.1", digest="0" * 64)
    entry.claimed(2, store.Outcome.CONFLICT, other)
    refusal = entry.replies[2].err_value
    assert (refusal.verdict, refusal.code) == (verdict.Verdict.NOT_RUN, verdict.Code.CONFLICT)


def test_a_second_call_waits_for_the_first_and_runs_nothing():
    entry = Entry()
    first = row_of(entry.submit(1))
    entry.claimed(1, store.Outcome.APPLIED)
    entry.submit(2)
    assert dispatches(entry.claimed(2, store.Outcome.CONFLICT, first)) == []
    entry.answer(1)
    assert entry.replies[2].ok_value.body == b"done"
    assert entry.replies[2].ok_value.request_id == "e1.i1.2"


def test_a_second_call_whose_deadline_passes_first_may_have_run():
    entry = Entry()
    first = row_of(entry.submit(1, budget=60.0))
    entry.claimed(1, store.Outcome.APPLIED)
    entry.submit(2, budget=1.0)
    entry.claimed(2, store.Outcome.CONFLICT, first)
    entry.now += 2.0
    entry.step(exchange.Tick())
    assert entry.verdict(2) is verdict.Verdict.MAY_HAVE_RUN


def test_a_key_whose_request_was_not_run_is_claimed_again():
    entry = Entry()
    first = row_of(entry.submit(1))
    entry.claimed(1, store.Outcome.UNKNOWN)
    entry.submit(2)
    again = row_of(entry.claimed(2, store.Outcome.CONFLICT, dataclasses.replace(first, version=4)))
    assert (again.request_id, again.version) == ("e1.i1.2", 4)
    assert len(dispatches(entry.claimed(2, store.Outcome.APPLIED))) == 1


def test_a_claim_that_is_applied_after_the_deadline_is_given_up():
    entry = Entry()
    entry.submit(1, budget=1.0)
    entry.now += 2.0
    entry.step(exchange.Tick())
    assert entry.verdict(1) is verdict.Verdict.NOT_RUN
    effects = entry.claimed(1, store.Outcome.APPLIED)
    assert [type(effect) for effect in effects] == [exchange.Settle]
    assert effects[0].row is None


def follow_lost_request(owner_up):
    """Submit a keyed call whose key is held by a request of entry e9."""
    entry = Entry()
    if owner_up:
        entry.step(exchange.PeerUp(hello("e9")))
    row = row_of(entry.submit(2))
    held = dataclasses.replace(row, request_id="e9.i1.5", version=3)
    return entry, entry.claimed(2, store.Outcome.CONFLICT, held)


def test_the_outcome_of_another_entrys_request_is_asked_for():
    entry, effects = follow_lost_request(owner_up=True)
    assert effects == [exchange.Send("e9", link.Query("e9.i1.5", "", "pole"))]
    answer = request.Answer("e9.i1.5", verdict.Verdict.RAN, 200, b"done")
    assert entry.receive(hello("e9"), link.AnswerReady(answer)) == []
    assert entry.replies[2].ok_value.body == b"done"


@pytest.mark.parametrize("state", ["unknown", "not_run", "forgotten"])
def test_agents_that_do_not_know_a_request_leave_its_outcome_open(state):
    entry, effects = follow_lost_request(owner_up=False)
    assert [effect.peer_id for effect in effects] == ["a1"]
    assert entry.receive(AGENT, link.RequestState("e9.i1.5", state)) == []
    assert entry.verdict(2) is verdict.Verdict.MAY_HAVE_RUN


def test_the_key_is_claimed_again_when_its_owner_reports_not_run():
    entry, _effects = follow_lost_request(owner_up=True)
    effects = entry.receive(hello("e9"), link.RequestState("e9.i1.5", "not_run"))
    assert row_of(effects).version == 3


@pytest.mark.parametrize("lost", [True, False])
def test_a_lookup_ends_when_the_owner_is_silent_or_gone(lost):
    entry, _effects = follow_lost_request(owner_up=True)
    entry.now += 0.0 if lost else 2.1
    entry.step(exchange.PeerDown(hello("e9")) if lost else exchange.Tick())
    assert entry.verdict(2) is verdict.Verdict.MAY_HAVE_RUN


def find(entry, request_id, customer="pole"):
    effects = entry.step(exchange.Find(99, request_id, customer))
    return entry.replies.pop(99, None), effects


def test_a_late_answer_is_found_until_a_minute_after_the_deadline():
    entry = Entry()
    entry.submit(1, key="", budget=1.0)
    entry.now += 2.0
    entry.step(exchange.Tick())
    assert entry.verdict(1) is verdict.Verdict.MAY_HAVE_RUN
    entry.answer(1)
    assert find(entry, "e1.i1.1")[0].ok_value.body == b"done"
    entry.now += 58.0
    entry.step(exchange.Tick())
    assert find(entry, "e1.i1.1")[0].is_ok()
    entry.now += 62.0
    entry.step(exchange.Tick())
    assert find(entry, "e1.i1.1")[0].err_value.code is verdict.Code.NOT_FOUND


def test_a_customer_does_not_see_the_request_of_another():
    entry = Entry()
    entry.submit(1, key="")
    entry.answer(1)
    assert find(entry, "e1.i1.1", "kolar")[0].err_value.code is verdict.Code.NOT_FOUND
    assert find(entry, "e1.i1.1", "")[0].is_ok()
    (sent,) = entry.receive(hello("e9"), link.Query("e1.i1.1", "", "kolar"))
    assert sent.message == link.RequestState("e1.i1.1", "unknown")


def test_an_entry_finds_the_answer_that_another_entry_holds():
    owner, asking = Entry(), Entry("e2")
    owner.submit(1, key="")
    owner.answer(1)
    asking.step(exchange.PeerUp(hello("e1")))
    (query,) = find(asking, "e1.i1.1")[1]
    (sent,) = owner.receive(hello("e2"), query.message)
    asking.receive(hello("e1"), sent.message)
    assert asking.replies[99].ok_value.body == b"done"


def test_an_answer_to_another_entrys_request_is_not_acknowledged():
    entry = Entry("e2")
    find(entry, "e1.i1.1")
    answer = request.Answer("e1.i1.1", verdict.Verdict.RAN, 200, b"done")
    assert entry.receive(AGENT, link.AnswerReady(answer)) == []
    assert entry.receive(AGENT, link.AnswerReady(answer)) == []


def test_a_draining_entry_leaves_late_answers_with_the_agent():
    entry = Entry()
    entry.submit(1, key="", budget=1.0)
    entry.step(exchange.Drain())
    assert not dispatch.idle(entry.state)
    entry.now += 2.0
    entry.step(exchange.Tick())
    assert dispatch.idle(entry.state)
    assert entry.answer(1) == []
    entry.submit(2, key="")
    assert entry.verdict(2) is verdict.Verdict.NOT_RUN


@pytest.mark.parametrize(
    ("status", "sent_again"),
    [(agent_exchange.LEAVING_STATUS, ["a2"]), (agent_exchange.BUSY_STATUS, [])],
)
def test_only_a_planned_stop_needs_no_retry_budget(status, sent_again):
    entry = Entry()
    flight.retry_budget_of(entry.state, "notices").tokens = 0.0
    entry.submit(1, key="", budget=60.0)
    second = link.Hello(1, "agent", "a2", "j1", "accra-a", "gh-south")
    entry.step(exchange.PeerUp(second))
    entry.receive(second, link.AnnounceBackend(SERVER, "j1"))
    refused = request.Answer("e1.i1.1", verdict.Verdict.NOT_RUN, status)
    effects = entry.receive(AGENT, link.AnswerReady(refused))
    assert [effect.peer_id for effect in effects if dispatches([effect])] == sent_again
    assert sent_again or entry.verdict(1) is verdict.Verdict.NOT_RUN


def test_a_request_is_asked_for_over_a_new_connection():
    entry = Entry()
    entry.submit(1, key="", budget=60.0)
    entry.step(exchange.PeerDown(AGENT))
    assert entry.step(exchange.PeerUp(AGENT)) == [exchange.Send("a1", link.Query("e1.i1.1", "j1"))]
    entry.receive(AGENT, link.RequestState("e1.i1.1", "not_run"))
    assert entry.verdict(1) is verdict.Verdict.NOT_RUN


@pytest.mark.parametrize("returned", [True, False])
def test_callers_of_an_agent_that_restarted_or_stays_away_need_not_wait(returned):
    entry = Entry()
    entry.submit(1, key="", budget=600.0)
    entry.step(exchange.PeerDown(AGENT))
    entry.now += 0.0 if returned else agents.LOSS_TIMEOUT_SECONDS
    again = exchange.PeerUp(dataclasses.replace(AGENT, incarnation="j2"))
    entry.step(again if returned else exchange.Tick())
    assert entry.verdict(1) is verdict.Verdict.MAY_HAVE_RUN


def test_an_unsent_dispatch_is_refused_as_not_run():
    entry = Entry()
    entry.submit(1, key="", budget=600.0)
    entry.step(exchange.Unsent("a1", "e1.i1.1"))
    assert entry.verdict(1) is verdict.Verdict.NOT_RUN
