"""Guards against bursts that delay other customers, distant servers and unbounded queues."""

import heapq
import itertools

import pytest

from peridothatch_core.message import link
from peridothatch_core.model import backend, request, verdict
from peridothatch_core.route import dispatch, ejection, exchange, flight

SETTINGS = flight.Settings("e1", "i1", "accra-a", "gh-south", link_bytes_per_second=10_000.0)
NEAR, REGION, FAR = ("accra-a", "gh-south"), ("tema-b", "gh-south"), ("tamale-a", "gh-north")


class Entry:
    """An entry whose agents answer after a fixed simulated time."""

    def __init__(self, places, seconds=0.1, slots=8):
        self.state = flight.create(SETTINGS)
        self.seconds = seconds
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.dispatched = []
        self.outcomes = {}
        self.peers = {}
        for index, (data_centre, region) in enumerate(places):
            peer = link.Hello(1, "agent", f"a{index}", "j", data_centre, region)
            self.peers[peer.id] = peer
            server = backend.BackendServer(peer.id, "notices", data_centre, region, slots)
            self.step(exchange.PeerUp(peer))
            self.step(exchange.Received(peer, link.AnnounceBackend(server, "j")))

    def step(self, event):
        for effect in dispatch.step(self.state, event, self.now):
            if isinstance(effect, exchange.Reply):
                self.outcomes[effect.tag] = (self.now, effect.outcome)
            elif isinstance(effect.message, link.Dispatch):
                self.dispatched.append((effect.peer_id, effect.message.request.id))
                answer = request.Answer(effect.message.request.id, verdict.Verdict.RAN, 200)
                self.at(
                    self.now + self.seconds,
                    exchange.Received(self.peers[effect.peer_id], link.AnswerReady(answer)),
                )

    def at(self, when, event):
        heapq.heappush(self.events, (when, next(self.order), event))

    def submit(self, tag, customer="pole", when=0.0, body=b"", budget=60.0):
        call = request.Request(f"e1.i1.{tag}", customer, "notices", True, budget, body)
        self.at(when, exchange.Submitted(tag, call))

    def run(self, until=1000.0):
        while True:
            wake = dispatch.next_wake(self.state)
            if wake is not None and (not self.events or wake < self.events[0][0]):
                if wake > until:
                    return
                self.now = max(self.now, wake)
                self.step(exchange.Tick())
            elif self.events and self.events[0][0] <= until:
                when, _order, event = heapq.heappop(self.events)
                self.now = max(self.now, when)
                self.step(event)
            else:
                return


def completion_seconds(*, burst):
    entry = Entry([NEAR, NEAR])
    for number in range(40):
        entry.submit(number, "kolar", when=number * 0.05)
    for number in range(burst):
        entry.submit(1000 + number, "pole", when=0.5)
    entry.run()
    return [round(entry.outcomes[number][0] - number * 0.05, 6) for number in range(40)]


def test_a_burst_of_one_customer_does_not_delay_another():
    assert completion_seconds(burst=250) == completion_seconds(burst=0)


def test_two_bursts_share_the_slots_evenly():
    entry = Entry([NEAR], slots=8)
    for number in range(200):
        entry.submit(number, "pole")
        entry.submit(1000 + number, "kolar", when=0.001)
    entry.run(until=2.0)
    served = [tag >= 1000 for tag in entry.outcomes]
    assert abs(served.count(True) - served.count(False)) <= 8


def test_the_nearest_server_with_a_free_slot_is_chosen():
    entry = Entry([FAR, REGION, NEAR], slots=2)
    for number in range(4):
        entry.submit(number)
    entry.run(until=0.05)
    assert [peer_id for peer_id, _request in entry.dispatched] == ["a2", "a2", "a1", "a1"]


def test_the_least_loaded_of_equally_near_servers_is_chosen():
    entry = Entry([NEAR, NEAR], slots=8)
    for number in range(6):
        entry.submit(number)
    entry.run(until=0.05)
    chosen = [peer_id for peer_id, _request in entry.dispatched]
    assert chosen.count("a0") == chosen.count("a1") == 3


def test_a_quiet_service_uses_all_its_servers():
    entry = Entry([NEAR, NEAR, NEAR], seconds=0.01)
    for number in range(30):
        entry.submit(number, when=number * 0.05)
    entry.run(until=2.0)
    chosen = [peer_id for peer_id, _request in entry.dispatched]
    assert [chosen.count(peer_id) for peer_id in ("a0", "a1", "a2")] == [10, 10, 10]


def test_a_server_that_fails_some_requests_is_avoided_while_others_are_free():
    entry = Entry([NEAR, NEAR])
    ejection.record_failure(entry.state.health, "a0", ("a0", "a1"), 0.0)
    for number in range(10):
        entry.submit(number, when=1.0 + number)
    entry.submit(10, when=40.0)
    entry.run(until=50.0)
    chosen = [peer_id for peer_id, _request in entry.dispatched]
    assert chosen == ["a1"] * 10 + ["a0"]


def test_requests_cross_the_link_only_after_waiting_and_within_the_byte_budget():
    entry = Entry([NEAR, FAR], seconds=10.0, slots=8)
    for number in range(14):
        entry.submit(number, body=b"x" * 4800)
    entry.run(until=0.05)
    assert {peer_id for peer_id, _request in entry.dispatched} == {"a0"}
    crossed = []
    for until in (0.15, 0.65, 1.15):
        entry.run(until=until)
        crossed.append([peer_id for peer_id, _request in entry.dispatched].count("a1"))
        # The budget starts with one second of bytes, and the last request may overdraw it.
        assert crossed[-1] * 5000 <= 10_000 * (1.0 + until) + 5000
    assert 0 < crossed[0] < crossed[1] < crossed[2] < 7


def test_a_full_queue_refuses_with_not_run():
    entry = Entry([NEAR], seconds=100.0)
    for number in range(SETTINGS.queue_requests + 20):
        entry.submit(number, budget=600.0)
    entry.run(until=0.01)
    refusals = [outcome.err_value for _when, outcome in entry.outcomes.values()]
    assert len(refusals) == 20 - 7
    assert {(r.verdict, r.code) for r in refusals} == {
        (verdict.Verdict.NOT_RUN, verdict.Code.OVERLOADED)
    }


def test_a_request_that_cannot_be_served_in_time_is_refused_at_once():
    entry = Entry([NEAR], seconds=1.0)
    entry.submit(0)
    for number in range(1, 100):
        entry.submit(number, when=2.0)
    entry.submit(500, when=2.5, budget=2.0)
    entry.run(until=2.6)
    when, outcome = entry.outcomes[500]
    assert when == 2.5
    assert outcome.err_value.verdict is verdict.Verdict.NOT_RUN


@pytest.mark.parametrize("places", [[], [FAR]])
def test_without_a_usable_server_the_refusal_says_not_run(places):
    entry = Entry(places)
    for server in entry.state.servers.values():
        entry.step(exchange.PeerDown(entry.peers[server.peer_id]))
    entry.submit(0)
    entry.run(until=3.0)
    assert entry.outcomes[0][1].err_value.verdict is verdict.Verdict.NOT_RUN
    assert entry.state.queues == entry.state.retry_budgets == {}


def test_a_data_centre_that_is_out_gets_no_requests_until_it_is_back():
    entry = Entry([NEAR, REGION])
    entry.step(exchange.Configured(4, frozenset({"accra-a"})))
    entry.submit(0)
    entry.run(until=0.05)
    entry.step(exchange.Configured(4))
    entry.submit(1)
    entry.run(until=0.05)
    assert [peer_id for peer_id, _request in entry.dispatched] == ["a1", "a0"]


def test_a_silent_connection_gets_no_new_request_and_its_idempotent_one_is_retried():
    entry = Entry([NEAR, NEAR], seconds=100.0)
    entry.submit(0)
    entry.run(until=0.0)
    (silent, _request), other = entry.dispatched[0], {"a0": "a1", "a1": "a0"}
    other = other[silent]
    for when in (2.0, 4.0):
        beat = exchange.Received(entry.peers[other], link.Heartbeat(when))
        entry.at(when, beat)
    for number in range(1, 4):
        entry.submit(number, when=2.9)
    entry.run(until=3.5)
    assert {peer_id for peer_id, _request in entry.dispatched[1:]} == {other}
    assert (other, "e1.i1.0") in entry.dispatched
