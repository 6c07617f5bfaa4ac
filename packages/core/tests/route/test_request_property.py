"""Simulates entries and agents with faults of the processes, the connections and the store.

Guards against answers that reach another caller, refusals that report "not run" for a request
that ran, second runs, and requests to a leaving backend server.
"""

import collections
import dataclasses
import random

import hypothesis
import pytest
from hypothesis import strategies

from peridothatch_core.message import link, store
from peridothatch_core.model import backend, request, verdict
from peridothatch_core.route import (
    agent_exchange,
    dispatch,
    exchange,
    flight,
    holding,
    lookup,
    slots,
)

ENTRIES = ("e1", "e2")
AGENTS = ("a1", "a2", "a3")


def hello(role, name, number):
    return link.Hello(1, role, name, f"i{number}", "accra-a", "gh-south")


@dataclasses.dataclass
class Entry:
    hello: link.Hello
    state: flight.State
    known_leaving: set = dataclasses.field(default_factory=set)
    commits: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Agent:
    hello: link.Hello
    state: holding.State
    calls: list = dataclasses.field(default_factory=list)
    leaving: bool = False


class Simulation:
    """Two entries, three agents with two slots each, and a store of idempotency keys."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 100.0
        # A low limit makes entries drop outcomes early, which must not break an invariant.
        self.kept_bytes = (4 if seed % 2 else 1000) * 1024
        self.linked = set()
        self.in_transit = []
        self.rows = {}
        self.version = 0
        self.runs = collections.Counter()
        self.submitted = {}
        self.replies = {}
        self.lost_callers = set()
        self.entries = {name: self.new_entry(name, 0) for name in ENTRIES}
        self.agents = {name: self.new_agent(name, 0) for name in AGENTS}
        for pair in self.pairs():
            self.link_up(*pair)

    def pairs(self):
        return [(e, a) for e in ENTRIES for a in AGENTS] + [ENTRIES]

    def new_entry(self, name, number):
        settings = flight.Settings(
            name, f"i{number}", "accra-a", "gh-south", kept_bytes=self.kept_bytes
        )
        return Entry(hello("entry", name, number), flight.create(settings))

    def new_agent(self, name, number):
        own = hello("agent", name, number)
        agent = Agent(own, holding.State(own))
        self.report_server(agent, leaving=False)
        return agent

    def report_server(self, agent, *, leaving):
        agent.leaving = leaving
        where = agent.hello.data_centre, agent.hello.region
        server = backend.BackendServer("b", "notices", *where, slots=2, leaving=leaving)
        self.agent_step(agent, agent_exchange.ServerSeen(server))

    def send(self, sender, to, message):
        if (sender.id, to) in self.linked:
            self.in_transit.append((sender, to, message))

    def entry_step(self, entry, event):
        for effect in dispatch.step(entry.state, event, self.now):
            if isinstance(effect, exchange.Send):
                if isinstance(effect.message, link.Dispatch):
                    leaving = effect.peer_id in entry.known_leaving
                    assert not leaving, "no_work_to_leaving: dispatched"
                self.send(entry.hello, effect.peer_id, effect.message)
            elif isinstance(effect, exchange.Reply):
                self.check_reply(effect)
            else:
                entry.commits.append(effect)

    def agent_step(self, agent, event):
        for effect in slots.step(agent.state, event, self.now):
            if isinstance(effect, agent_exchange.Call):
                assert not agent.leaving, "no_work_to_leaving: the agent passed a request on"
                agent.calls.append(effect.request)
                self.runs[effect.request.id] += 1
            else:
                self.send(agent.hello, effect.peer_id, effect.message)

    def check_reply(self, effect):
        call, key = self.submitted[effect.tag]
        assert effect.tag not in self.replies, "a caller was answered twice"
        self.replies[effect.tag] = effect.outcome
        if effect.outcome.is_ok():
            answer = effect.outcome.ok_value
            assert answer.request_id == call.id, "own_answer"
            assert answer.verdict is verdict.Verdict.RAN
            same = [call.id]
            if key:
                who = (call.customer, key)
                same = [c.id for c, k in self.submitted.values() if (c.customer, k) == who]
            assert answer.body in [f"answer {name}".encode() for name in same], "own_answer"

    def submit(self, choice):
        tag = len(self.submitted)
        entry = self.entries[ENTRIES[choice // 12 % 2]]
        key = f"k{choice % 2}" if choice % 3 == 0 else ""
        budget = self.random.choice((1.0, 5.0, 30.0))
        call = request.Request(
            f"{entry.hello.id}.{entry.hello.incarnation}.{tag}", f"c{choice % 2}", "notices",
            choice % 4 == 1, budget, b"" if key else b"%d" % tag,
        )  # fmt: skip
        self.submitted[tag] = (call, key)
        self.entry_step(entry, exchange.Submitted(tag, call, key))

    def deliver(self, choice, *, keep=False):
        if not self.in_transit:
            return
        index = choice % len(self.in_transit)
        sender, to, message = self.in_transit[index]
        if not keep:
            del self.in_transit[index]
        if to in self.agents:
            self.agent_step(self.agents[to], agent_exchange.Received(sender, message))
            return
        entry = self.entries[to]
        current = entry.state.peers.get(sender.id)
        if isinstance(message, link.AnnounceBackend) and current == sender:
            known = entry.known_leaving
            (known.add if message.backend.leaving else known.discard)(sender.id)
        self.entry_step(entry, exchange.Received(sender, message))

    def drop(self, choice):
        if self.in_transit:
            del self.in_transit[choice % len(self.in_transit)]

    def finish(self, choice):
        agent = self.agents[AGENTS[choice % 3]]
        if not agent.calls:
            return
        call = agent.calls.pop(choice // 3 % len(agent.calls))
        kind = self.random.choice(("ok", "ok", "ok", "busy", "down", "silent", "crossed"))
        if kind in ("busy", "down"):
            self.runs[call.id] -= 1
            status = {"busy": 503, "down": 502}[kind]
            self.agent_step(agent, agent_exchange.NotServed(call.id, status, kind))
        elif kind == "silent":
            self.agent_step(agent, agent_exchange.NotServed(call.id, 0, kind))
        elif kind == "crossed" and agent.calls:
            other = agent.calls.pop()
            self.serve(agent, call, other)
            self.serve(agent, other, call)
        else:
            self.serve(agent, call, call)

    def serve(self, agent, call, answered):
        body = f"answer {answered.id}".encode()
        self.agent_step(agent, agent_exchange.Served(call.id, answered.id, 200, body, "text"))

    def notify(self, name, peer, *, up):
        if name in self.entries:
            event = exchange.PeerUp if up else exchange.PeerDown
            self.entry_step(self.entries[name], event(peer))
        else:
            event = agent_exchange.PeerUp if up else agent_exchange.PeerDown
            self.agent_step(self.agents[name], event(peer))

    def process(self, name):
        return self.entries[name] if name in self.entries else self.agents[name]

    def link_up(self, one, other):
        self.linked |= {(one, other), (other, one)}
        self.notify(one, self.process(other).hello, up=True)
        self.notify(other, self.process(one).hello, up=True)

    def link_down(self, one, other):
        if (one, other) not in self.linked:
            return
        self.linked -= {(one, other), (other, one)}
        # Some messages have been read already and are handled after the connection has ended.
        self.in_transit = [
            item
            for item in self.in_transit
            if {item[0].id, item[1]} != {one, other} or self.random.random() < 0.3
        ]
        self.notify(one, self.process(other).hello, up=False)
        self.notify(other, self.process(one).hello, up=False)

    def toggle_link(self, choice):
        pair = self.pairs()[choice % 7]
        (self.link_down if pair in self.linked else self.link_up)(*pair)

    def restart(self, choice):
        name = (AGENTS + ENTRIES)[choice % 5]
        pairs = [pair for pair in self.pairs() if name in pair]
        for pair in pairs:
            self.link_down(*pair)
        # Messages to the old process are lost, but its calls to the backend server continue.
        self.in_transit = [item for item in self.in_transit if item[1] != name]
        number = int(self.process(name).hello.incarnation[1:]) + 1
        if name in self.agents:
            self.agents[name] = self.new_agent(name, number)
        else:
            old = self.entries[name]
            self.lost_callers |= {
                tag for record in old.state.records.values() for tag in record.waiters
            }
            self.drop_or_apply(old.commits)
            self.entries[name] = self.new_entry(name, number)
        for pair in pairs:
            self.link_up(*pair)

    def drop_or_apply(self, commits):
        for effect in commits:
            if self.random.random() < 0.5:
                self.apply(effect)

    def leave(self, choice):
        agent = self.agents[AGENTS[choice % 3]]
        self.report_server(agent, leaving=not agent.leaving)

    def commit(self, choice):
        entry = self.entries[ENTRIES[choice % 2]]
        if not entry.commits:
            return
        effect = entry.commits.pop(choice // 2 % len(entry.commits))
        kind = self.random.choice(("answer", "answer", "answer", "lost", "late", "not_sent"))
        applied, row = False, None
        if kind in ("answer", "lost"):
            applied, row = self.apply(effect)
        outcome = store.Outcome.APPLIED if applied else store.Outcome.CONFLICT
        if kind != "answer":
            outcome = store.Outcome.NOT_SENT if kind == "not_sent" else store.Outcome.UNKNOWN
            row = None
        if isinstance(effect, exchange.Claim):
            self.entry_step(entry, exchange.Claimed(effect.row.request_id, outcome, row))
        else:
            self.entry_step(entry, exchange.Settled(effect.request_id, outcome))
        if kind == "late":
            self.apply(effect)

    def apply(self, effect):
        key = (effect.customer, effect.key)
        row = self.rows.get(key)
        if isinstance(effect, exchange.Claim):
            if (row.version if row else 0) != effect.row.version:
                return False, row
        elif row is None or row.request_id != effect.request_id:
            return False, row
        self.version += 1
        self.rows[key] = (
            dataclasses.replace(effect.row, version=self.version) if effect.row else None
        )
        return True, None

    def advance(self, choice):
        self.now += (0.05, 0.6, 2.0, 11.0, 70.0)[choice % 5]
        for entry in self.entries.values():
            self.entry_step(entry, exchange.Tick())
        for agent in self.agents.values():
            self.agent_step(agent, agent_exchange.Tick())

    def check(self):
        by_key = collections.Counter()
        for tag, (call, key) in self.submitted.items():
            runs = self.runs[call.id]
            if not call.idempotent:
                assert runs <= 1, "at_most_once"
                by_key[call.customer, key] += runs if key else 0
            outcome = self.replies.get(tag)
            refusal = outcome.err_value if outcome is not None and outcome.is_err() else None
            if refusal is not None and refusal.verdict is verdict.Verdict.NOT_RUN:
                assert runs == 0, "true_not_run"
        assert all(runs <= 1 for runs in by_key.values()), "at_most_once by key"
        for entry in self.entries.values():
            assert not any(flight.dump(entry.state)["breaches"].values())
            for groups in entry.state.pools.values():
                for group in groups:
                    held = [
                        name for server in group.servers for name in server.open_requests.values()
                    ]
                    assert group.held_by_customer == collections.Counter(held)
                    free = [
                        s.peer_id for s in group.servers if len(s.open_requests) < s.backend.slots
                    ]
                    assert sorted(group.free_servers) == sorted(free)

    def recover(self):
        """End all faults and check that each caller gets an outcome."""
        for pair in self.pairs():
            if pair not in self.linked:
                self.link_up(*pair)
        for _round in range(12):
            for _message in range(len(self.in_transit)):
                self.deliver(0)
            self.advance(4)
        missing = set(self.submitted) - set(self.replies) - self.lost_callers
        assert not missing, "a caller has no outcome"


OPERATIONS = (
    *("submit",) * 4, *("deliver",) * 12, *("finish",) * 5, *("commit",) * 4, "duplicate", "drop",
    "toggle_link", "restart", "leave", "advance",
)  # fmt: skip
STEPS = strategies.lists(
    strategies.tuples(strategies.sampled_from(OPERATIONS), strategies.integers(0, 5999)),
    max_size=150,
)


def run_operations(steps, seed):
    simulation = Simulation(seed)
    for name, choice in steps:
        if name == "duplicate":
            simulation.deliver(choice, keep=True)
        else:
            getattr(simulation, name)(choice)
        simulation.check()
    simulation.recover()
    simulation.check()


@hypothesis.settings(
    derandomize=True, deadline=None, max_examples=400,
    suppress_health_check=list(hypothesis.HealthCheck),
)  # fmt: skip
@hypothesis.given(STEPS, strategies.integers(0, 2**16))
def test_faults_break_no_invariant(steps, seed):
    run_operations(steps, seed)


def random_walk(seed, length=250):
    """Run random operations, more than hypothesis generates in one example."""
    source = random.Random(seed)
    run_operations(
        [(source.choice(OPERATIONS), source.randrange(6000)) for _ in range(length)], seed
    )


def test_long_random_walks_break_no_invariant():
    for seed in range(300):
        random_walk(seed)


def _always_not_run(_state, peer, query):
    return [exchange.Send(peer.id, link.RequestState(query.request_id, "not_run"))]


@pytest.mark.parametrize(
    ("module", "guard", "replacement"),
    [
        (slots, "_add_tombstone", lambda *_arguments: "not_run"),
        (holding, "is_leaving", lambda _state: False),
        (holding, "was_seen", lambda _state, _request_id: False),
        (lookup, "queried", _always_not_run),
        (flight, "verdict_of", lambda _record: verdict.Verdict.NOT_RUN),
    ],
)
def test_the_checks_fail_without_a_guard(monkeypatch, module, guard, replacement):
    monkeypatch.setattr(module, guard, replacement)
    with pytest.raises(AssertionError):
        for seed in range(300):
            random_walk(seed)
