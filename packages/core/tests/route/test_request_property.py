"""Entry and agents against each other, with faults of links, agents, backend servers and store.

Guards against answers that reach another caller, refusals that say "not run" of something that
ran, second runs, and work given to a leaving backend server.
"""

import collections
import dataclasses
import random

import hypothesis
import pytest
from hypothesis import strategies

from peridothatch_core.message import link, store
from peridothatch_core.model import backend, request, verdict
from peridothatch_core.route import agent_exchange, dispatch, exchange, flight, holding, slots

ENTRY = link.Hello(1, "entry", "e1", "i1", "accra-a", "gh-south")
AGENTS = ("a1", "a2", "a3")


@dataclasses.dataclass
class Agent:
    hello: link.Hello
    state: holding.State
    linked: bool = False
    calls: list = dataclasses.field(default_factory=list)
    leaving: bool = False


class World:
    """One entry, three agents with two slots each, and a store of key rows."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 100.0
        self.entry = flight.create(flight.Settings("e1", "i1", "accra-a", "gh-south"))
        self.agents = {name: self.new_agent(name, 0) for name in AGENTS}
        self.mail = []
        self.commits = []
        self.rows = {}
        self.version = 0
        self.runs = collections.Counter()
        self.submitted = {}
        self.replies = {}
        self.known_leaving = set()
        for name in AGENTS:
            self.link_up(name)

    def new_agent(self, name, number):
        hello = link.Hello(1, "agent", name, f"j{number}", "accra-a", "gh-south")
        state = holding.State(hello)
        agent = Agent(hello, state)
        self.see(agent, leaving=False)
        return agent

    def see(self, agent, *, leaving):
        agent.leaving = leaving
        where = agent.hello.data_centre, agent.hello.region
        server = backend.BackendServer("b", "notices", *where, slots=2, leaving=leaving)
        self.agent_step(agent, agent_exchange.ServerSeen(server))

    def entry_step(self, event):
        for effect in dispatch.step(self.entry, event, self.now):
            if isinstance(effect, exchange.Send):
                self.check_dispatch(effect)
                if self.agents[effect.peer_id].linked:
                    self.mail.append((ENTRY, effect.peer_id, effect.message))
            elif isinstance(effect, exchange.Reply):
                self.check_reply(effect)
            else:
                self.commits.append(effect)

    def agent_step(self, agent, event):
        for effect in slots.step(agent.state, event, self.now):
            if isinstance(effect, agent_exchange.Call):
                assert not agent.leaving, "no_work_to_leaving: the agent passed a request on"
                agent.calls.append(effect.request)
                self.runs[effect.request.id] += 1
            elif agent.linked:
                self.mail.append((agent.hello, "e1", effect.message))

    def check_dispatch(self, effect):
        if isinstance(effect.message, link.Dispatch):
            assert effect.peer_id not in self.known_leaving, "no_work_to_leaving: dispatched"

    def check_reply(self, effect):
        call, key = self.submitted[effect.tag]
        assert effect.tag not in self.replies, "a caller was answered twice"
        self.replies[effect.tag] = effect.outcome
        if effect.outcome.is_ok():
            answer = effect.outcome.ok_value
            assert answer.request_id == call.id, "own_answer"
            assert answer.verdict is verdict.Verdict.RAN
            if not key:
                assert answer.body == f"answer {call.id}".encode(), "own_answer"

    def submit(self, choice):
        tag = len(self.submitted)
        key = f"k{choice % 2}" if choice % 3 == 0 else ""
        budget = self.random.choice((1.0, 5.0, 30.0))
        customer = f"c{choice % 2}"
        body = b"" if key else b"%d" % tag
        call = request.Request(f"e1.i1.{tag}", customer, "notices", choice % 4 == 1, budget, body)
        self.submitted[tag] = (call, key)
        self.entry_step(exchange.Submitted(tag, call, key))

    def deliver(self, choice, *, keep=False):
        if not self.mail:
            return
        index = choice % len(self.mail)
        sender, to, message = self.mail[index]
        if not keep:
            del self.mail[index]
        if to != "e1":
            self.agent_step(self.agents[to], agent_exchange.Received(sender, message))
            return
        current = self.entry.peers.get(sender.id)
        if isinstance(message, link.AnnounceBackend) and current == sender:
            (self.known_leaving.add if message.backend.leaving else self.known_leaving.discard)(
                sender.id
            )
        self.entry_step(exchange.Received(sender, message))

    def drop(self, choice):
        if self.mail:
            del self.mail[choice % len(self.mail)]

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

    def link_up(self, name):
        agent = self.agents[name]
        agent.linked = True
        self.entry_step(exchange.PeerUp(agent.hello))
        self.agent_step(agent, agent_exchange.PeerUp(ENTRY))

    def link_down(self, name):
        agent = self.agents[name]
        if agent.linked:
            agent.linked = False
            # Some messages were read already and are handled after the connection has ended.
            self.mail = [
                item
                for item in self.mail
                if name not in (item[0].id, item[1]) or self.random.random() < 0.3
            ]
            self.entry_step(exchange.PeerDown(agent.hello))
            self.agent_step(agent, agent_exchange.PeerDown(ENTRY))

    def toggle_link(self, choice):
        name = AGENTS[choice % 3]
        (self.link_down if self.agents[name].linked else self.link_up)(name)

    def restart(self, choice):
        name = AGENTS[choice % 3]
        self.link_down(name)
        # A message of the old process that the new one never sees; its calls keep running.
        self.mail = [item for item in self.mail if item[1] != name]
        number = int(self.agents[name].hello.incarnation[1:]) + 1
        self.agents[name] = self.new_agent(name, number)
        self.link_up(name)

    def leave(self, choice):
        agent = self.agents[AGENTS[choice % 3]]
        self.see(agent, leaving=not agent.leaving)

    def commit(self, choice):
        if not self.commits:
            return
        effect = self.commits.pop(choice % len(self.commits))
        kind = self.random.choice(("answer", "answer", "answer", "lost", "late", "not_sent"))
        applied, row = False, None
        if kind in ("answer", "lost"):
            applied, row = self.apply(effect)
        outcome = store.Outcome.APPLIED if applied else store.Outcome.CONFLICT
        if kind != "answer":
            outcome = store.Outcome.NOT_SENT if kind == "not_sent" else store.Outcome.UNKNOWN
            row = None
        if isinstance(effect, exchange.Claim):
            self.entry_step(exchange.Claimed(effect.row.request_id, outcome, row))
        else:
            self.entry_step(exchange.Settled(effect.request_id, outcome))
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
        self.entry_step(exchange.Tick())
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
        for name in ("contradictions", "second_runs", "answers_not_asked_for"):
            assert not self.entry.counters.get(name), name
        for groups in self.entry.pools.values():
            for group in groups:
                held = [name for server in group.servers for name in server.open.values()]
                assert group.held == collections.Counter(held)
                assert group.used == len(held)

    def settle(self):
        """Let all faults end, after which each caller must have its outcome."""
        for name in AGENTS:
            if not self.agents[name].linked:
                self.link_up(name)
        for _round in range(12):
            for _message in range(len(self.mail)):
                self.deliver(0)
            self.advance(4)
            self.commits.clear()
        assert set(self.replies) == set(self.submitted), "a caller has no outcome"


OPERATIONS = ("submit", "submit", "deliver", "deliver", "deliver", "deliver", "duplicate",
              "drop", "finish", "finish", "finish", "toggle_link", "restart", "leave", "commit",
              "commit", "advance")  # fmt: skip
STEPS = strategies.lists(
    strategies.tuples(strategies.sampled_from(OPERATIONS), strategies.integers(0, 5999)),
    max_size=150,
)


def play(steps, seed):
    world = World(seed)
    for name, choice in steps:
        if name == "duplicate":
            world.deliver(choice, keep=True)
        else:
            getattr(world, name)(choice)
        world.check()
    world.settle()
    world.check()


@hypothesis.settings(
    derandomize=True, deadline=None, max_examples=400,
    suppress_health_check=list(hypothesis.HealthCheck),
)  # fmt: skip
@hypothesis.given(STEPS, strategies.integers(0, 2**16))
def test_faults_break_no_invariant(steps, seed):
    play(steps, seed)


def walk(seed, length=250):
    """Play random steps; longer than what hypothesis generates."""
    source = random.Random(seed)
    play([(source.choice(OPERATIONS), source.randrange(6000)) for _ in range(length)], seed)


def test_long_random_walks_break_no_invariant():
    for seed in range(300):
        walk(seed)


def _no_tombstone(_state, _request_id, _now):
    return "not_run"


def _always_settled(*_arguments):
    return verdict.Verdict.NOT_RUN


@pytest.mark.parametrize(
    ("module", "guard", "replacement"),
    [
        (slots, "_refuse_for_good", _no_tombstone),
        (holding, "leaving", lambda _state: False),
        (flight, "verdict_of", _always_settled),
    ],
)
def test_the_checks_fail_without_a_guard(monkeypatch, module, guard, replacement):
    monkeypatch.setattr(module, guard, replacement)
    with pytest.raises(AssertionError):
        for seed in range(300):
            walk(seed)
