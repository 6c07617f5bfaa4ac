"""Simulation of two entries, three agents and their workers, with faults and invariant checks."""

import heapq
import random

import pytest

from peridothatch_core.message import link, store
from peridothatch_core.model import config, datacentre, job, shape, worker
from peridothatch_core.start import gang_member, member_state
from peridothatch_daemon import messages
from peridothatch_daemon.decide import members, planner, planner_state
from peridothatch_daemon.outlet import rows
from peridothatch_wire import mailbox

ENTRIES, AGENTS = ("e1", "e2"), ("a1", "a2", "a3")
TICK = 0.5
FAULTS_END, HORIZON, JOBS = 120.0, 3000.0, 6
# A lost member is detected after 20 s, and the leases of the other members expire 60 s later.
PARTIAL_SECONDS = 90.0
PROOF_SECONDS = 3.0


class BreachError(AssertionError):
    """An invariant is violated."""


class Vm:
    """A process with its own clock; ``state`` is the state of its planner or members task."""

    def __init__(self, simulation, name, rate):
        self.simulation, self.name, self.rate = simulation, name, rate
        self.offset = simulation.random.uniform(0, 10_000)
        self.incarnation, self.paused_until, self.inbox = 0, 0.0, []

    def clock(self):
        return self.offset + self.rate * self.simulation.now

    def hello(self):
        role = "entry" if self.name in ENTRIES else "agent"
        return link.Hello(1, role, self.name, str(self.incarnation), "dc", "r")


class Simulation:
    """All processes, the network between them, and the tasks that actually run."""

    def __init__(self, table, create_policy, seed, faults):
        self.random, self.table, self.now = random.Random(seed), table, 0.0
        self.events, self.sequence, self.create_policy = [], 0, create_policy
        self.vms = {n: Vm(self, n, self.random.choice((0.98, 1, 1.02))) for n in ENTRIES + AGENTS}
        self.cut_links, self.slow_links, self.last_arrivals, self.tasks = set(), set(), {}, {}
        self.store_mode, self.service, self.revision, self.taken_out_at = {}, "in", 0, None
        self.partial_since, self.reserved = {}, set()
        self.start_count, self.agent_to_pause = 0, None
        for name in ENTRIES + AGENTS:
            self.boot(name)
        self.seconds = {f"j{n}": self.random.choice((5, 20, 60, 150)) for n in range(JOBS)}
        for index, name in enumerate(self.seconds):
            self.at(index * 12.0, self.submit, name, 2 + index % 4)
        for moment, kind, target, seconds in faults:
            self.at(moment, getattr(self, f"fault_{kind}"), target, seconds)

    def at(self, moment, action, *arguments):
        self.sequence += 1
        heapq.heappush(self.events, (moment, self.sequence, action, arguments))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.now = until

    def boot(self, name):
        vm = self.vms[name]
        vm.incarnation += 1
        vm.inbox, vm.paused_until = [], 0.0
        vm.links = mailbox.create("links", 100_000)
        vm.rows = mailbox.create("rows", 100_000)
        if name in ENTRIES:
            settings = planner_state.Settings(
                name, str(vm.incarnation), "dc", "data_centre" if name == "e1" else "region"
            )
            vm.state = planner_state.create(
                settings, mailbox.create("p"), vm.links, vm.rows, self.create_policy,
                planner_state.ignore_notice, vm.clock, lambda: 1e9 + self.now,
            )  # fmt: skip
        else:
            state = gang_member.create("w" + name[1:], vm.clock())
            vm.state = members.State(state, vm.links, vm.rows)
            self.list_worker(name, vm.incarnation)
        for other in AGENTS if name in ENTRIES else ENTRIES:
            self.reconnect(name, other)
        self.at(self.now + self.random.uniform(0, TICK), self.tick, name, vm.incarnation)

    def tick(self, name, incarnation):
        vm = self.vms[name]
        if vm.incarnation == incarnation:
            self.receive(name, incarnation, messages.Tick())
            if name in ENTRIES and self.store_mode.get(name) != "down":
                fresh = messages.ConfigConfirmed(self.revision, vm.clock())
                delay = self.random.uniform(0, 0.5)
                self.at(self.now + delay, self.receive, name, incarnation, self.snapshot())
                self.at(self.now + delay, self.receive, name, incarnation, fresh)
            self.at(self.now + TICK, self.tick, name, incarnation)

    def snapshot(self):
        centre = datacentre.DataCentre("dc", "r", datacentre.Service(self.service))
        return messages.ConfigChanged(config.Snapshot(self.revision, data_centres={"dc": centre}))

    def receive(self, name, incarnation, message):
        vm = self.vms[name]
        if vm.incarnation != incarnation:
            return
        if self.now < vm.paused_until:
            vm.inbox.append(message)
            return
        if name in ENTRIES:
            planner.receive(vm.state, message)
        else:
            members.receive(vm.state, message, vm.clock())
        for sent in mailbox.take_available(vm.links, 100_000):
            if isinstance(sent, messages.SendToPeer):
                self.send(name, sent.peer_id, sent.message)
        for request in mailbox.take_available(vm.rows, 100_000):
            if name in ENTRIES:
                self.send_to_store(name, request)
            else:
                self.send_to_worker(name, request)

    def reconnect(self, one, other):
        for name, peer in ((one, other), (other, one)):
            booted = all(hasattr(self.vms[end], "state") for end in (name, peer))
            if booted and frozenset((one, other)) not in self.cut_links:
                vm = self.vms[name]
                self.receive(name, vm.incarnation, messages.PeerConnected(self.vms[peer].hello()))

    def send(self, sender, receiver, message):
        if receiver not in self.vms or frozenset((sender, receiver)) in self.cut_links:
            return
        if isinstance(message, link.Reserved):
            self.reserved.add((message.job, message.run, sender))
        slow = (sender, receiver) in self.slow_links
        delay = self.random.choice((0.001, 0.01, 4.0 if slow else 0.3))
        arrival = max(self.now + delay, self.last_arrivals.get((sender, receiver), 0.0))
        self.last_arrivals[sender, receiver] = arrival
        ends = tuple(self.vms[n].incarnation for n in (sender, receiver))
        self.at(arrival, self.deliver, sender, receiver, ends, message)

    def deliver(self, sender, receiver, ends, message):
        if frozenset((sender, receiver)) in self.cut_links:
            return
        if ends == tuple(self.vms[n].incarnation for n in (sender, receiver)):
            arrived = messages.ReceivedFromPeer(self.vms[sender].hello(), message)
            self.receive(receiver, ends[1], arrived)

    def send_to_store(self, name, request):
        mode, vm = self.store_mode.get(name, "up"), self.vms[name]
        delay = self.random.choice((0.005, 0.02, 0.2))
        read = isinstance(request, messages.Read)
        if mode == "down" and read:
            answer = store.Rows(request.tag, False, {}, vm.clock())
        elif mode == "down":
            answer = store.Committed(request.transaction, store.Outcome.NOT_SENT)
        elif mode == "lossy" and not read and self.random.random() < 0.5:
            # The write may be applied after its writer was told that the outcome is unknown.
            late = self.random.choice((0.0, 0.5, 4.0))
            self.at(self.now + late, self.table.commit, request.transaction)
            answer = store.Committed(request.transaction, store.Outcome.UNKNOWN)
        else:
            self.at(self.now + delay, self.answer, name, vm.incarnation, request, vm.clock())
            return
        self.at(self.now + delay, self.receive, name, vm.incarnation, answer)

    def answer(self, name, incarnation, request, sent_at):
        if isinstance(request, messages.Read):
            found = self.table.read(request, sent_at)
        else:
            found = self.table.commit(request.transaction)
            self.apply_commit_fault(found)
        delay = self.random.choice((0.005, 0.02, 0.2))
        self.at(self.now + delay, self.receive, name, incarnation, found)

    def submit(self, name, count):
        gang = shape.GangShape(count, shape.TaskShape(1))
        submitted = job.Job(name, "c", "k", gang, ("x",), "dc", 0.0, 9.0)
        self.table.put(rows.job_key(name), rows.encode_job(submitted))
        self.table.put(rows.active_key("dc", name), {})

    def job(self, name):
        return rows.parse_job(self.table.rows[rows.job_key(name)].value)

    def all_ended(self):
        return all(self.job(f"j{n}").state in job.FINAL_STATES for n in range(JOBS))

    def counters(self):
        """Return the counters of all processes, for the message of a failed check."""
        states = [v.state.gangs if n in ENTRIES else v.state.members for n, v in self.vms.items()]
        return [state and state.counters for state in states]

    # Workers

    def list_worker(self, name, incarnation):
        vm = self.vms[name]
        if vm.incarnation != incarnation:
            return
        clock, shown = vm.clock(), []
        for (owner, *key), item in self.tasks.items():
            if owner == name and not item["forgotten"]:
                left = item["lease_until"] - clock
                shown.append(member_state.TaskStatus(*key, item["state"], left, result="r"))
        found = worker.Worker(
            "w" + name[1:], "dc", "k", 4, 64, 4096, str(getattr(vm, "reboots", 0))
        )
        listed = member_state.WorkerListed(found, tuple(shown), clock)
        self.receive(name, incarnation, listed)
        self.at(self.now + TICK, self.list_worker, name, incarnation)

    def send_to_worker(self, name, effect):
        delay = 0.01
        if isinstance(effect, member_state.StartTask):
            delay = self.random.choice((2.0, 4.0, *[0.01] * 50))
        self.at(
            self.now + delay,
            self.apply_worker_effect,
            name,
            getattr(self.vms[name], "reboots", 0),
            effect,
        )

    def apply_worker_effect(self, name, reboots, effect):
        vm = self.vms[name]
        if getattr(vm, "reboots", 0) != reboots:
            return
        if isinstance(effect, member_state.StartTask):
            key = (name, effect.job, effect.run, effect.cell.task)
            if key not in self.tasks and vm.clock() <= effect.not_after:
                self.start_task(key, effect)
            elif key not in self.tasks:
                refused = member_state.StartRefused(*key[1:], "too late")
                self.receive(name, vm.incarnation, refused)
            return
        item = self.tasks.get((name, effect.job, effect.run, effect.task))
        if item is None:
            return
        if isinstance(effect, member_state.StopTask) and item["state"] == "running":
            item["state"] = "stopped"
        elif isinstance(effect, member_state.ForgetTask):
            item["forgotten"] = item["state"] != "running"
        elif isinstance(effect, member_state.RenewTask):
            lease = min(20.0, effect.lease_until - vm.clock())
            item["lease_until"] = max(item["lease_until"], vm.clock() + lease)

    def start_task(self, key, effect):
        self.start_count += 1
        clock = self.vms[key[0]].clock()
        for other, item in self.tasks.items():
            if item["state"] == "running" and other[1] == key[1] and other[2] != key[2]:
                raise BreachError(f"run {key[2]} of {key[1]} starts while run {other[2]} runs")
        if self.taken_out_at is not None and self.now > self.taken_out_at + PROOF_SECONDS:
            raise BreachError(f"{key} starts {self.now - self.taken_out_at:.1f} s after take-out")
        row = self.table.history.get((effect.job, effect.run))
        if row is None:
            raise BreachError(f"{key} starts without a row that records the run")
        for cell in row.cells:
            if (effect.job, effect.run, "a" + cell.worker[1:]) not in self.reserved:
                raise BreachError(f"{key} starts although {cell.worker} reserved nothing")
        lease = min(20.0, effect.lease_until - clock)
        self.tasks[key] = {
            "state": "running", "forgotten": False, "lease_until": clock + lease,
            "ends": self.now + self.seconds[key[1]],
        }  # fmt: skip

    def check_gangs(self):
        """End tasks that are due, and check that gangs run whole; called once a second."""
        running = {}
        for key, item in self.tasks.items():
            if item["state"] != "running":
                continue
            if self.vms[key[0]].clock() > item["lease_until"]:
                item["state"] = "stopped"
            elif self.now >= item["ends"]:
                item["state"] = "succeeded"
            else:
                running.setdefault(key[1:3], set()).add(key[3])
        for run in set(self.partial_since) - set(running):
            del self.partial_since[run]
        for run, tasks in running.items():
            done = {k[3] for k, i in self.tasks.items() if k[1:3] == run}
            done = {n for n in done if self.finished(run, n)}
            whole = len(tasks | done) == len(self.table.history[run].cells)
            since = self.partial_since.setdefault(run, self.now)
            if whole:
                self.partial_since[run] = self.now
            elif self.now - since > PARTIAL_SECONDS:
                raise BreachError(f"part of {run} has run alone for {self.now - since:.0f} s")
        self.at(self.now + 1.0, self.check_gangs)

    def finished(self, run, task):
        return any(
            k[1:3] == run and k[3] == task and i["state"] == "succeeded"
            for k, i in self.tasks.items()
        )

    # Faults

    def fault_pause(self, target, seconds):
        name = (ENTRIES + AGENTS)[target % 5]
        self.vms[name].paused_until = self.now + seconds
        self.at(self.now + seconds, self.resume, name, self.vms[name].incarnation)

    def resume(self, name, incarnation):
        vm = self.vms[name]
        waiting, vm.inbox = vm.inbox, []
        for message in waiting:
            self.receive(name, incarnation, message)

    def fault_restart(self, target, _seconds):
        self.boot((ENTRIES + AGENTS)[target % 5])

    def fault_reboot(self, target, _seconds):
        name = AGENTS[target % 3]
        for key, item in self.tasks.items():
            if key[0] == name:
                item["forgotten"] = True
                item["state"] = "stopped" if item["state"] == "running" else item["state"]
        self.vms[name].reboots = getattr(self.vms[name], "reboots", 0) + 1
        self.boot(name)

    def fault_slow(self, target, seconds):
        way = (ENTRIES[target % 2], AGENTS[target % 3])
        for ends in (way, way[::-1]):
            self.slow_links.add(ends)
            self.at(self.now + seconds, self.slow_links.discard, ends)

    def fault_isolate(self, target, seconds):
        for entry in range(2):
            self.fault_cut(entry, seconds, AGENTS[target % 3])

    def fault_split(self, target, seconds):
        """Disconnect the first entry from the store, and the second entry from one agent."""
        self.store_mode["e1"] = "down"
        self.at(self.now + 3 * seconds, self.store_mode.pop, "e1", None)
        self.fault_cut(1, 3 * seconds, AGENTS[target % 3])

    def fault_commit(self, target, _seconds):
        """At the next commit of a run, pause an agent and then take the data centre out."""
        self.agent_to_pause = target % 3

    def apply_commit_fault(self, found):
        value = found.transaction.writes[0].value or {}
        if self.agent_to_pause is not None and value.get("state") == "running":
            self.fault_pause(2 + self.agent_to_pause, 8)
            self.at(self.now + 0.5, self.fault_out, 0, 20)
            self.agent_to_pause = None

    def fault_cut(self, target, seconds, agent=None):
        pair = frozenset((ENTRIES[target % 2], agent or AGENTS[target % 3]))
        self.cut_links.add(pair)
        self.at(self.now + 6, self.close_pair, *sorted(pair))
        self.at(self.now + seconds, self.heal, pair)

    def close_pair(self, one, other):
        if frozenset((one, other)) in self.cut_links:
            for name, peer in ((one, other), (other, one)):
                closed = messages.PeerDisconnected(self.vms[peer].hello(), "silent")
                self.receive(name, self.vms[name].incarnation, closed)

    def heal(self, pair):
        if pair in self.cut_links:
            self.cut_links.remove(pair)
            self.reconnect(*sorted(pair))

    def fault_store(self, target, seconds):
        name, mode = ENTRIES[target % 2], ("down", "lossy")[target // 2 % 2]
        self.store_mode[name] = mode
        self.at(self.now + seconds, self.store_mode.pop, name, None)

    def fault_out(self, _target, seconds):
        if self.service == "in":
            self.service, self.taken_out_at = "out", self.now
            self.revision += 1
            self.at(self.now + seconds, self.bring_back)

    def bring_back(self):
        self.service, self.taken_out_at = "in", None
        self.revision += 1

    def fault_cancel(self, target, _seconds):
        key = rows.job_key(f"j{target % JOBS}")
        if key in self.table.rows:
            self.table.put(key, self.table.rows[key].value | {"cancel_requested": True})


@pytest.fixture(scope="session")
def simulate(create_table, spread_policy):
    def run(seed, faults, create_policy=spread_policy):
        simulation = Simulation(create_table(), create_policy, seed, faults)
        simulation.at(0.0, simulation.check_gangs)
        while simulation.now < HORIZON and not (
            simulation.now > FAULTS_END and simulation.all_ended()
        ):
            simulation.run(simulation.now + 20.0)
        return simulation

    return run
