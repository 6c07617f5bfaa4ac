"""Guards against a planner task that does not run a waiting job to its recorded result."""

import asyncio
import dataclasses
import json

import pytest

from peridothatch_core.message import link, store
from peridothatch_core.model import config, datacentre, job, shape, workclass, worker
from peridothatch_core.place import decide as placing
from peridothatch_core.place import fleet
from peridothatch_core.start import member_state
from peridothatch_daemon import messages
from peridothatch_daemon.decide import members, planner, planner_state, policy
from peridothatch_daemon.outlet import rows
from peridothatch_wire import mailbox, task

ENTRY = link.Hello(1, "entry", "e1", "i1", "dc", "r")
AGENT = link.Hello(1, "agent", "a1", "j1", "dc", "r")
WORKER = worker.Worker("w1", "dc", "k", 8, 32, 1024, "v1")


def first_fit(_data_centre):
    """Return a policy that places each waiting job on the first accelerators of one worker."""
    waiting, workers, ignore = {}, set(), lambda *_: None

    def decide(_now):
        held = sorted(waiting)
        return [placing.Place(name, cells(waiting.pop(name)), False) for name in held if workers]

    def cells(found):
        name = min(workers)
        return tuple(job.Cell(index, name, (index,)) for index in range(found.shape.tasks))

    return policy.Policy(
        decide,
        ignore,
        lambda found, _now: waiting.update({found.id: found}),
        ignore,
        ignore,
        lambda *_: True,
        lambda found, _now: workers.add(found.id),
        lambda name, _now: workers.discard(name),
        ignore,
        lambda: fleet.Digest(0, ()),
        frozenset,
    )


def waiting_job(name, **fields):
    gang = shape.GangShape(2, shape.TaskShape(1))
    return job.Job(name, "c", "k", gang, ("primes", "9"), "dc", 0.0, 9.0, **fields)


async def fake_worker(inbox, target):
    """Report each started task as running and then as succeeded, without delay."""
    tasks, clock = {}, asyncio.get_running_loop().time
    mailbox.post(target, member_state.WorkerListed(WORKER, (), clock()))
    while True:
        effect = await mailbox.take(inbox)
        if not isinstance(effect, member_state.StartTask):
            continue
        key = (effect.job, effect.run, effect.cell.task)
        for state in ("running", "succeeded"):
            tasks[key] = member_state.TaskStatus(*key, state, 20.0, result=f"r{key[2]}")
            listed = member_state.WorkerListed(WORKER, tuple(tasks.values()), clock())
            mailbox.post(target, listed)


async def forward(links, sender, receiver):
    while True:
        message = await mailbox.take(links)
        if isinstance(message, messages.SendToEntries):
            continue
        mailbox.post(receiver, messages.ReceivedFromPeer(sender, message.message))


class System:
    """A planner, an agent and a table service, connected by mailboxes."""

    async def open(self, table):
        self.table = table
        self.to_agent, self.to_entry = mailbox.create("to agent"), mailbox.create("to entry")
        self.to_worker = mailbox.create("to worker")
        settings = planner_state.Settings("e1", "i1", "dc", "data_centre")
        self.planner = planner.start(settings, self.to_agent, self.table.inbox, first_fit)
        self.members = members.start("w1", self.to_entry, self.to_worker)
        self.tasks = [
            task.start("table", self.table.run()),
            task.start("worker", fake_worker(self.to_worker, self.members.mailbox)),
            task.start("down", forward(self.to_agent, ENTRY, self.members.mailbox)),
            task.start("up", forward(self.to_entry, AGENT, self.planner.mailbox)),
            task.start("fresh", self.confirm()),
        ]
        mailbox.post(self.planner.mailbox, messages.PeerConnected(AGENT))
        mailbox.post(self.members.mailbox, messages.PeerConnected(ENTRY))
        return self

    async def confirm(self):
        clock = asyncio.get_running_loop().time
        centre = datacentre.DataCentre("dc", "r")
        snapshot = config.Snapshot(1, data_centres={"dc": centre})
        mailbox.post(self.planner.mailbox, messages.ConfigChanged(snapshot))
        while True:
            mailbox.post(self.planner.mailbox, messages.ConfigConfirmed(1, clock()))
            await asyncio.sleep(0.2)

    def submit(self, submitted):
        self.table.put(rows.job_key(submitted.id), rows.encode_job(submitted))
        self.table.put(rows.active_key("dc", submitted.id), {})
        mailbox.post(self.planner.mailbox, link.JobChanged(submitted.id, "dc"))

    async def ended(self, name):
        async with asyncio.timeout(30):
            while True:
                found = rows.parse_job(self.table.rows[rows.job_key(name)].value)
                if found.state in job.FINAL_STATES:
                    return found
                await asyncio.sleep(0.02)

    async def close(self):
        await planner.close(self.planner)
        await members.close(self.members)
        for item in self.tasks:
            await task.close(item)


@pytest.fixture
async def system(create_table):
    opened = await System().open(create_table())
    yield opened
    await opened.close()


async def test_a_waiting_job_runs_and_its_result_is_recorded(system):
    """Guards against a missing step between the waiting row and the final row."""
    system.submit(waiting_job("j"))
    found = await system.ended("j")
    assert (found.state, found.run, found.results) == (job.State.SUCCEEDED, 1, ("r0", "r1"))
    assert rows.active_key("dc", "j") not in system.table.rows


async def test_lost_commit_answers_change_nothing(system):
    """Guards against a second run, or no run, after lost commit answers."""
    unknown = store.Outcome.UNKNOWN
    system.table.forced_outcomes = [unknown, unknown, unknown]
    system.submit(waiting_job("j"))
    found = await system.ended("j")
    assert (found.state, found.run) == (job.State.SUCCEEDED, 1)


async def test_a_cancelled_waiting_job_does_not_run(system):
    """Guards against a run of a job whose row asks for cancellation."""
    system.submit(waiting_job("j", cancel_requested=True))
    found = await system.ended("j")
    assert (found.state, found.run) == (job.State.CANCELLED, 0)


async def test_an_entry_that_does_not_plan_answers_heartbeats(create_table):
    """Guards against an unanswered heartbeat, which would make the agent disconnect.

    The acknowledgement must not confirm the service state, because this entry does not plan.
    """
    table, links = create_table(), mailbox.create("links")
    row = {"holder": "e9", "epoch": 7, "counter": 1, "incarnation": "x"}
    table.put(rows.planner_key("dc"), row)
    settings = planner_state.Settings("e1", "i1", "dc", "other")
    following = planner.start(settings, links, table.inbox, first_fit)
    serving = task.start("table", table.run())
    mailbox.post(following.mailbox, messages.PeerConnected(AGENT))
    async with asyncio.timeout(30):
        welcome = await mailbox.take(links)
        beat = messages.ReceivedFromPeer(AGENT, link.Heartbeat(5.0))
        mailbox.post(following.mailbox, beat)
        ack = await mailbox.take(links)
    await planner.close(following)
    await task.close(serving)
    assert welcome == messages.SendToPeer("a1", link.Welcome((), "e9", 7))
    assert ack == messages.SendToPeer("a1", link.HeartbeatAck(5.0, False, -1.0, 0, 7))


async def test_a_drained_planner_releases_its_lease(system):
    """Guards against a planned stop that does not release the planner lease."""
    system.submit(waiting_job("j"))
    await system.ended("j")
    reply = mailbox.Reply()
    mailbox.post(system.planner.mailbox, messages.Drain(reply))
    assert await mailbox.wait(reply, 30)
    row = rows.parse_planner_lease(system.table.rows[rows.planner_key("dc")].value)
    assert (row.holder, row.epoch) == ("", 1)


async def test_state_dumps_are_plain_and_count_breaches(system):
    """Guards against a dump that is not serializable, or that lacks the counters."""
    system.submit(waiting_job("j"))
    await system.ended("j")
    dumps = []
    for inbox in (system.planner.mailbox, system.members.mailbox):
        reply = mailbox.Reply()
        mailbox.post(inbox, messages.DumpState(reply))
        dumps.append(json.loads(json.dumps(await mailbox.wait(reply, 30))))
    assert (dumps[0]["mode"], dumps[0]["counters"]["runs_started"]) == ("holding", 1)
    assert (dumps[1]["epoch"], dumps[1]["counters"]["starts"]) == (1, 1)


async def test_the_dump_compares_ended_jobs_with_the_target_of_their_class():
    """Guards against missed class targets that the state dump does not show."""
    mailboxes = [mailbox.create(name) for name in ("p", "links", "rows")]
    settings = planner_state.Settings("e1", "i1", "dc", "data_centre")
    state = planner_state.create(
        settings, *mailboxes, first_fit, planner_state.ignore_notice, lambda: 0.0, lambda: 0.0
    )
    kind = workclass.WorkClass(waiting_job("j").work_class, workclass.Within(60))
    state.snapshot = config.Snapshot(1, classes={kind.name: kind})
    for name, ended_at in (("a", 1.0), ("b", 2.0), ("c", 3.0)):
        ended = {"state": job.State.SUCCEEDED, "due_at": 2.0, "ended_at": ended_at}
        succeeded = dataclasses.replace(waiting_job(name), **ended)
        planner_state.count_ended_job(state, succeeded)
    shown = planner_state.dump(state, 0.0)["classes"]
    assert shown == {kind.name: {"target": "within 1m", "met": 2, "missed": 1}}
