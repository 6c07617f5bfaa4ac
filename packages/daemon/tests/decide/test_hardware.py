"""Guards against accepting guarantees and jobs for hardware that does not exist."""

import dataclasses
import importlib.util
import pathlib

import pytest

from peridothatch_core.message import link
from peridothatch_core.model import config, customer, datacentre, job, shape, verdict, worker
from peridothatch_daemon import messages
from peridothatch_daemon.decide import config as configuring
from peridothatch_daemon.decide import planner, planner_state, policy
from peridothatch_daemon.intake import peer_routes
from peridothatch_wire import mailbox

_SPEC = importlib.util.spec_from_file_location(
    "config_harness", pathlib.Path(__file__).parents[1] / "config_harness.py"
)
config_harness = importlib.util.module_from_spec(_SPEC)
_SPEC.loader.exec_module(config_harness)

AGENT = link.Hello(1, "agent", "a1", "j1", "x", "r1")
GANG = shape.GangShape(1, shape.TaskShape(8))
RACK = link.RackHardware((link.WorkerKind(8, 32, 1024, 1),))
OUT = datacentre.Service.OUT


def centres(**services):
    return {name: datacentre.DataCentre(name, "r1", one) for name, one in services.items()}


class PlannerHarness:
    """A planner of data centre x under a test clock, and its notices to other tasks."""

    def __init__(self, table, entry="e1", locality="data_centre"):
        self.now, self.table, self.notices = 100.0, table, []
        settings = planner_state.Settings(entry, "i1", "x", locality)
        mailboxes = [mailbox.create(name) for name in ("p", "links", "rows")]
        clock = lambda: self.now  # noqa: E731
        self.state = planner_state.create(
            settings, *mailboxes, policy.create, self.notices.append, clock, clock
        )

    def receive(self, message):
        planner.receive(self.state, message)
        for request in mailbox.take_available(self.state.rows, 99):
            read = isinstance(request, messages.Read)
            answer = (
                self.table.read(request, self.now)
                if read
                else self.table.commit(request.transaction)
            )
            self.receive(answer)

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.receive(messages.Tick())
            self.now += 0.25

    def configure(self, revision, services, guarantees=()):
        by_name = {item.name: item for item in guarantees}
        snapshot = config.Snapshot(revision, {}, by_name, {}, centres(**services))
        self.receive(messages.ConfigChanged(snapshot))
        self.receive(messages.ConfigConfirmed(revision, self.now))

    def announce(self, name, members=()):
        one = worker.Worker(name, "x", "k", 8, 32, 1024, "v1")
        peer = dataclasses.replace(AGENT, id=f"agent of {name}")
        self.receive(messages.PeerConnected(peer))
        self.receive(messages.ReceivedFromPeer(peer, link.AnnounceWorker(one, members)))

    def sent(self, kind):
        return [item for item in self.notices if isinstance(item, kind)]


def dump(state):
    return planner_state.dump(state, state.clock())


def test_a_planner_reports_its_hardware_on_changes_and_periodically(create_table):
    """Guards against entries without hardware data, and against sending 10 kB every 2 s."""
    harness = PlannerHarness(create_table())
    harness.configure(1, {"x": datacentre.Service.IN})
    harness.run(9.0)
    harness.announce("w1")
    assert harness.sent(link.HardwareDigest) == []
    harness.run(35.0)
    first, second = harness.sent(link.HardwareDigest)
    assert first == second == link.HardwareDigest("x", 1, (RACK,))
    harness.announce("w2")
    harness.run(5.0)
    kinds = (link.WorkerKind(8, 32, 1024, 2),)
    assert harness.sent(link.HardwareDigest)[2:] == [
        link.HardwareDigest("x", 1, (link.RackHardware(kinds),))
    ]


def test_hardware_of_another_entry_reaches_jobs_and_configuration():
    """Guards against a digest that only the planner's own entry uses."""
    mailboxes = [mailbox.create(name) for name in ("dispatch", "config", "jobs")]
    table = peer_routes.Routes(*mailboxes, {})
    peer = link.Hello(1, "entry", "e2", "i", "y", "r1")
    assert peer_routes.targets_for_message(table, peer, link.HardwareDigest("y", 1, ())) == [
        mailboxes[2], mailboxes[1],
    ]  # fmt: skip


def create_entry(*names):
    """Return an entry with data centres and a customer, and the state of its config task."""
    config_entries = config_harness.Harness(("a", "r1"), assign_home=None)
    config_entries.run_until_idle()
    for name, one in centres(**dict.fromkeys(names, datacentre.Service.IN)).items():
        config_entries.change("a", "data_centre", name, one)
    config_entries.change("a", "customer", "ges", customer.Customer("ges", 64))
    config_entries.run_until_idle()
    return config_entries, config_entries.entries["a"].state


async def run_reassignment(table, services, guarantees, known):
    """Set the services of data centres; return the configuration after the planner's changes."""
    config_entries, state = create_entry(*services)
    for digest in known:
        configuring.handle(state, digest)
    for item in guarantees:
        reply = config_entries.change("a", "guarantee", item.name, item)
        config_entries.run_until_idle()
        assert (await mailbox.wait(reply, 1)).is_ok()
    for name, service in services.items():
        config_entries.change("a", "data_centre", name, datacentre.DataCentre(name, "r1", service))
    config_entries.run_until_idle()
    harness = PlannerHarness(table)
    for _ in range(2):
        harness.receive(messages.ConfigChanged(state.replica.snapshot))
        harness.notices.clear()
        harness.run(12.0)
        for change in harness.sent(messages.ChangeConfig):
            configuring.handle(state, change)
            config_entries.run_until_idle()
    harness.receive(messages.ConfigChanged(state.replica.snapshot))
    return state.replica.snapshot, harness


@pytest.mark.parametrize("service", [OUT, datacentre.Service.LOST])
async def test_guarantees_leave_a_data_centre_that_is_out_unless_pinned(create_table, service):
    """Guards against guarantees that are not kept while their data centre is out of service."""
    guarantees = [
        customer.Guarantee("moves", "ges", GANG),
        customer.Guarantee("stays", "ges", GANG, 1, "x", pinned=True),
        customer.Guarantee("large", "ges", shape.GangShape(3, GANG.task)),
    ]
    known = [link.HardwareDigest("x", 1, (RACK,) * 5), link.HardwareDigest("y", 1, (RACK,) * 2)]
    services = {"x": service, "y": datacentre.Service.IN}
    snapshot, harness = await run_reassignment(create_table(), services, guarantees, known)
    homes = {name: item.data_centre for name, item in snapshot.guarantees.items()}
    assert homes == {"moves": "y", "stays": "x", "large": "x"}
    assert snapshot.guarantees["moves"].promised_by == "operator of a"
    assert dump(harness.state)["guarantees_short"] == ["large", "stays"]
    back = {**snapshot.data_centres, **centres(x=datacentre.Service.IN)}
    back = dataclasses.replace(snapshot, revision=snapshot.revision + 1, data_centres=back)
    harness.receive(messages.ConfigChanged(back))
    harness.notices.clear()
    harness.run(12.0)
    assert harness.sent(messages.ChangeConfig) == []


async def test_only_the_holder_of_the_lease_moves_guarantees(create_table):
    """Guards against duplicate change requests from every entry."""
    table = create_table()
    holder, other = PlannerHarness(table), PlannerHarness(table, "e2", "other")
    lost = [customer.Guarantee("g", "ges", GANG, 1, "x")]
    for harness in (holder, other):
        harness.configure(1, {"x": OUT}, lost)
    for _ in range(80):
        holder.run(0.25)
        other.run(0.25)
    assert holder.sent(messages.ChangeConfig)
    assert other.sent(messages.ChangeConfig) == []
    other.run(20.0)
    assert {item.changed_by for item in other.sent(messages.ChangeConfig)} == {"system"}


async def test_a_guarantee_is_refused_until_its_hardware_is_known():
    """Guards against a guarantee that is accepted without a check against the hardware."""
    config_entries, state = create_entry("x")
    outcomes = []
    for digest in (None, link.HardwareDigest("x", 1, ()), link.HardwareDigest("x", 2, (RACK,))):
        if digest:
            configuring.handle(state, messages.ReceivedFromPeer(AGENT, digest))
        reply = config_entries.change("a", "guarantee", "g", customer.Guarantee("g", "ges", GANG))
        config_entries.run_until_idle()
        outcomes.append(await mailbox.wait(reply, 1))
    assert [one.unwrap_err().code for one in outcomes[:2]] == [
        verdict.Code.UNAVAILABLE,
        verdict.Code.NEVER_FITS,
    ]
    assert outcomes[2].unwrap().value.data_centre == "x"


def test_concurrent_runs_and_guarantee_breaches_are_counted(create_table):
    """Guards against a breach that is not counted."""
    harness = PlannerHarness(create_table())
    harness.configure(1, {"x": datacentre.Service.IN})
    harness.run(3.0)
    breaches = [["g#0 shares accelerators"], ["g#0 shares accelerators", "j is in no slot"], []]
    harness.state.policy = dataclasses.replace(
        harness.state.policy, breaches=lambda: breaches.pop(0) if breaches else []
    )
    for run, name in ((1, "w1"), (2, "w2")):
        member = link.Member("j", run, job.Cell(0, name, (0,)), "running")
        harness.announce(name, (member,))
    # Each new configuration triggers another decision of the planner.
    for revision in (2, 3, 4):
        harness.configure(revision, {"x": datacentre.Service.IN})
        harness.run(5.0)
    assert breaches == []
    assert dump(harness.state)["breaches"] == {"guarantee_reclaimable": 2, "gang_whole": 1}
