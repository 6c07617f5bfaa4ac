"""Guards against lost or duplicated jobs, jobs visible to other customers, and wrong answers."""

import asyncio
import contextlib
import dataclasses

import pytest
import result

from peridothatch_core.message import link, store
from peridothatch_core.model import config, customer, datacentre, job, shape, verdict, workclass
from peridothatch_daemon import messages
from peridothatch_daemon.decide import jobs, jobs_read, jobs_state
from peridothatch_daemon.outlet import rows
from peridothatch_wire import mailbox, task

ACCRA = datacentre.DataCentre("accra-a", "gh-south")
SNAPSHOT = config.Snapshot(
    1,
    {name: customer.Customer(name, 64) for name in ("adinkra", "kolar")},
    {},
    {"notices": workclass.WorkClass("notices", workclass.Within(60.0), True, "kofi", 1.0)},
    {"accra-a": ACCRA},
)


def new_job(number=1, **changes):
    gang = shape.GangShape(2, shape.TaskShape(4))
    item = job.Job(f"j{number}", "adinkra", "notices", gang, ("primes", "9"), "", number, 0.0)
    return dataclasses.replace(item, **changes)


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


@dataclasses.dataclass
class JobsHarness:
    """Jobs tasks of several entries that share one table service."""

    table: object
    clock: Clock = dataclasses.field(default_factory=Clock)
    notified: list = dataclasses.field(default_factory=list)
    tasks: list = dataclasses.field(default_factory=list)

    def add(self, entry="e1", snapshot=SNAPSHOT, rows_mailbox=None):
        def notify(centre, message):
            self.notified.append((centre, message.job_id))

        settings = jobs_state.Settings(entry, "1", ACCRA)
        rows_mailbox = rows_mailbox or self.table.inbox
        self.tasks.append(
            jobs.start(settings, rows_mailbox, notify, clock=self.clock, wall_clock=Clock())
        )
        mailbox.post(self.tasks[-1].inbox, messages.ConfigChanged(snapshot))
        return self.tasks[-1].inbox

    def put(self, item):
        self.table.put(rows.job_key(item.id), rows.encode_job(item))
        if item.state not in job.FINAL_STATES:
            self.table.put(rows.active_key(item.data_centre, item.id), {"job": item.id})

    def jobs(self):
        return [
            rows.parse_job(r.value) for k, r in self.table.rows.items() if k.startswith("job/")
        ]


@pytest.fixture
async def harness(create_table):
    harness = JobsHarness(create_table())
    table = task.start("table", harness.table.run())
    yield harness
    for item in harness.tasks:
        await jobs.close(item)
    await task.close(table)


async def ask(inbox, kind, *arguments, **options):
    reply = mailbox.Reply()
    mailbox.post(inbox, kind(*arguments, reply, **options))
    return await mailbox.wait(reply, 20.0)


async def submit(inbox, item, key=""):
    return await ask(inbox, messages.SubmitJob, item, key)


@contextlib.asynccontextmanager
async def silent_store():
    """Answer like the outlet of the table service does while the service is down."""
    rows_mailbox = mailbox.create("down")

    async def run():
        while True:
            request = await mailbox.take(rows_mailbox)
            if isinstance(request, messages.Commit):
                answer = store.Committed(request.transaction, store.Outcome.NOT_SENT)
            else:
                answer = store.Rows(request.tag, False, {}, 0.0)
            mailbox.post(request.reply_to, answer)

    running = task.start("down", run())
    yield rows_mailbox
    await task.close(running)


async def test_a_submission_writes_all_its_rows_and_tells_the_planner(harness):
    accepted = (await submit(harness.add(), new_job(), "lot-7")).ok_value
    assert (accepted.data_centre, accepted.due_at) == ("accra-a", 160.0)
    assert set(harness.table.rows) == {"job/j1", "active/accra-a/j1", "jobkey/adinkra/lot-7"}
    assert harness.jobs() == [accepted]
    assert harness.notified == [("accra-a", "j1")]


async def test_a_shape_that_no_data_centre_can_hold_is_refused(harness):
    """Guards against accepting a job that can never run."""
    inbox, peer = harness.add(), link.Hello(1, "entry", "e2", "i", "accra-a", "gh-south")
    rack = link.RackHardware((link.WorkerKind(4, 64, 4096, 1),))
    mailbox.post(
        inbox, messages.ReceivedFromPeer(peer, link.HardwareDigest("accra-a", 1, (rack,)))
    )
    refusal = (await submit(inbox, new_job())).unwrap_err()
    assert (refusal.verdict, refusal.code) == ("not_run", "never_fits")
    assert "at most 1 such tasks" in refusal.expected
    assert harness.jobs() == []


async def test_a_repeated_submission_returns_the_first_job(harness):
    first = await submit(harness.add("e1"), new_job(1), "lot-7")
    again = await submit(harness.add("e2"), new_job(2), "lot-7")
    assert again == first
    assert len(harness.jobs()) == 1


async def test_racing_submissions_with_one_key_make_one_job(harness):
    inboxes = [harness.add(f"e{n}") for n in range(4)]
    answers = await asyncio.gather(
        *(submit(inbox, new_job(n), "lot-7") for n, inbox in enumerate(inboxes))
    )
    assert len(harness.jobs()) == 1
    assert {answer.ok_value.id for answer in answers} == {harness.jobs()[0].id}


async def test_a_key_is_not_reused_for_another_job_nor_seen_by_another_customer(harness):
    inbox = harness.add()
    await submit(inbox, new_job(1), "lot-7")
    other = await submit(inbox, new_job(2, command=("sleep", "1")), "lot-7")
    assert (other.err_value.code, other.err_value.field) == ("conflict", "Idempotency-Key")
    assert (await submit(inbox, new_job(3, customer="kolar"), "lot-7")).ok_value.id == "j3"


async def test_a_lost_answer_is_may_have_run_and_a_retry_with_the_key_is_safe(harness):
    inbox = harness.add()
    harness.table.forced_outcomes.append(store.Outcome.UNKNOWN)
    lost = await submit(inbox, new_job(1), "lot-7")
    assert lost.err_value.verdict is verdict.Verdict.MAY_HAVE_RUN
    assert "j1" in lost.err_value.detail
    assert (await submit(inbox, new_job(2), "lot-7")).ok_value.id == "j1"
    assert [item.id for item in harness.jobs()] == ["j1"]
    assert harness.notified == [("accra-a", "j1")]


async def test_without_the_store_nothing_is_accepted(harness):
    async with silent_store() as rows_mailbox:
        inbox = harness.add(rows_mailbox=rows_mailbox)
        refused = await submit(inbox, new_job(), "k")
        assert (refused.err_value.verdict, refused.err_value.code) == (
            "not_run",
            "store_unavailable",
        )
        found = await ask(inbox, messages.FindJob, "j1", "")
        listed = await ask(inbox, messages.ListJobs, "", "")
        cancelled = await ask(inbox, messages.CancelJob, "j1", "")
    assert {x.err_value.code for x in (found, listed, cancelled)} == {"store_unavailable"}
    assert harness.notified == []


@pytest.mark.parametrize(
    ("changes", "field"),
    [({"work_class": "x"}, "work_class"), ({"shape": shape.GangShape(99, shape.TaskShape(1))},
                                          "shape"), ({"customer": "x"}, "customer")],
)  # fmt: skip
async def test_a_job_that_is_not_admitted_writes_nothing(harness, changes, field):
    refused = await submit(harness.add(), new_job(**changes))
    assert (refused.err_value.verdict, refused.err_value.field) == ("not_run", field)
    assert harness.table.rows == {}


async def test_a_cancellation_survives_races_with_the_planner(harness):
    harness.put(new_job(data_centre="accra-a"))
    read, commit, runs = harness.table.read, harness.table.commit, [1, 2]

    def change():
        if runs:
            run = runs.pop()
            harness.put(new_job(data_centre="accra-a", run=run, detail="from the planner"))

    def read_then_change(wanted, sent_at):
        found = read(wanted, sent_at)
        change()
        return found

    def change_then_commit(transaction):
        change()
        return commit(transaction)

    harness.table.read, harness.table.commit = read_then_change, change_then_commit
    cancelled = await ask(harness.add(), messages.CancelJob, "j1", "adinkra")
    assert cancelled.ok_value.cancel_requested
    [stored] = harness.jobs()
    assert (stored.cancel_requested, stored.run, stored.detail) == (True, 1, "from the planner")
    assert stored.state is job.State.WAITING
    assert harness.notified == [("accra-a", "j1")]


async def test_a_cancellation_that_loses_every_race_says_not_run(harness):
    harness.put(new_job(data_centre="accra-a"))
    commit = harness.table.commit

    def change_then_commit(transaction):
        harness.put(new_job(data_centre="accra-a"))
        return commit(transaction)

    harness.table.commit = change_then_commit
    refused = await ask(harness.add(), messages.CancelJob, "j1", "")
    assert (refused.err_value.verdict, refused.err_value.code) == ("not_run", "conflict")
    assert not harness.jobs()[0].cancel_requested


@pytest.mark.parametrize("state", list(job.State))
async def test_only_an_unfinished_job_is_cancelled(harness, state):
    harness.put(new_job(data_centre="accra-a", state=state))
    outcome = await ask(harness.add(), messages.CancelJob, "j1", "adinkra")
    assert outcome.is_ok() == (state not in (job.State.SUCCEEDED, job.State.FAILED))
    assert harness.jobs()[0].cancel_requested == (state not in job.FINAL_STATES)
    assert harness.jobs()[0].state is state


async def test_the_job_of_another_customer_looks_like_an_unknown_one(harness):
    harness.put(new_job(data_centre="accra-a"))
    inbox = harness.add()
    for kind in (messages.FindJob, messages.CancelJob, messages.ExplainJob):
        hidden = await ask(inbox, kind, "j1", "kolar")
        unknown = await ask(inbox, kind, "j9", "kolar")
        assert hidden.err_value.code == "not_found"
        assert hidden.err_value.detail.replace("j1", "j9") == unknown.err_value.detail
    assert not harness.jobs()[0].cancel_requested


async def test_reads_come_from_the_cache_with_their_age_while_the_store_is_down(harness):
    harness.put(new_job(data_centre="accra-a"))
    inbox = harness.add()
    await ask(inbox, messages.FindJob, "j1", "")

    def no_rows(wanted, sent_at):
        return store.Rows(wanted.tag, False, {}, sent_at)

    harness.table.read = no_rows
    harness.clock.now = asyncio.get_running_loop().time() + 40.0
    found = (await ask(inbox, messages.FindJob, "j1", "adinkra")).ok_value
    assert found.age_seconds >= 40.0
    listed = (await ask(inbox, messages.ListJobs, "", "open")).ok_value
    assert ([item.id for item in listed.jobs], listed.age_seconds >= 40.0) == (["j1"], True)
    sentences = (await ask(inbox, messages.ExplainJob, "j1", "")).ok_value
    assert "table service does not answer" in sentences[-1]


async def test_the_cache_is_bounded(harness, monkeypatch):
    monkeypatch.setattr(jobs_state, "MAX_CACHED_JOBS", 3)
    for number in range(8):
        harness.put(new_job(number, data_centre="accra-a"))
    inbox = harness.add()
    await ask(inbox, messages.ListJobs, "", "")
    assert (await ask(inbox, messages.DumpState))["cached_jobs"] == 3


async def wait_until_waiting(inbox):
    while (await ask(inbox, messages.DumpState))["callers_waiting"] == 0:
        pass


@pytest.mark.parametrize(
    ("known", "states"),
    [("", ["running", "succeeded"]), ("waiting", ["running"]), ("running", [])],
)
async def test_a_long_poll_ends_with_the_change_it_waits_for(harness, known, states):
    harness.put(new_job(data_centre="accra-a"))
    inbox = harness.add()
    polling = asyncio.create_task(
        ask(inbox, messages.FindJob, "j1", "adinkra", wait_seconds=1e6, known_state=known)
    )
    for state in states:
        await wait_until_waiting(inbox)
        assert not polling.done()
        harness.put(new_job(data_centre="accra-a", state=job.State(state)))
        mailbox.post(inbox, link.JobChanged("j1", "accra-a"))
    assert (await polling).ok_value.job.state == (states or ["waiting"])[-1]


async def test_a_long_poll_ends_with_its_time_or_with_a_drain(harness):
    harness.put(new_job(data_centre="accra-a"))
    inbox = harness.add()
    for end in ("time", "drain"):
        polling = asyncio.create_task(
            ask(inbox, messages.FindJob, "j1", "adinkra", wait_seconds=50.0)
        )
        await wait_until_waiting(inbox)
        if end == "time":
            harness.clock.now += 60.0
            mailbox.post(inbox, messages.Tick())
        else:
            assert await ask(inbox, messages.Drain) is True
        assert (await polling).ok_value.job.state is job.State.WAITING
    assert (await submit(inbox, new_job(2))).err_value.verdict is verdict.Verdict.NOT_RUN
    assert len(harness.jobs()) == 1


async def test_callers_who_wait_do_not_hold_up_a_shutdown_nor_does_it_refuse_jobs(harness):
    harness.put(new_job(data_centre="accra-a"))
    inbox = harness.add()
    polling = asyncio.create_task(ask(inbox, messages.FindJob, "j1", "adinkra", wait_seconds=1e6))
    await wait_until_waiting(inbox)
    mailbox.post(inbox, messages.EndLongPolls())
    assert (await polling).ok_value.job.state is job.State.WAITING
    assert (await ask(inbox, messages.FindJob, "j1", "adinkra", wait_seconds=1e6)).is_ok()
    assert (await submit(inbox, new_job(2))).is_ok()


async def test_lists_are_selected_sorted_and_cut(harness):
    states = [job.State.RUNNING, job.State.SUCCEEDED, job.State.WAITING, job.State.WAITING]
    for number, state in enumerate(states):
        harness.put(new_job(number, data_centre="accra-a", state=state))
    harness.put(new_job(9, data_centre="accra-a", customer="kolar"))
    inbox = harness.add()

    async def ids(customer_name, state, limit=10):
        listed = await ask(inbox, messages.ListJobs, customer_name, state, limit=limit)
        return [item.id for item in listed.ok_value.jobs], listed.ok_value.truncated

    assert await ids("adinkra", "") == (["j3", "j2", "j1", "j0"], False)
    assert await ids("adinkra", "open") == (["j3", "j2", "j0"], False)
    assert await ids("adinkra", "succeeded") == (["j1"], False)
    assert await ids("", "waiting", 2) == (["j9", "j3"], True)


async def test_many_lookups_share_reads(harness):
    for number in range(20):
        harness.put(new_job(number, data_centre="accra-a"))
    inbox, reads = harness.add(), []
    read = harness.table.read

    def count(wanted, sent_at):
        reads.append(len(wanted.keys))
        return read(wanted, sent_at)

    harness.table.read = count
    found = await asyncio.gather(
        *(ask(inbox, messages.FindJob, f"j{n % 20}", "") for n in range(200))
    )
    assert [item.ok_value.job.id for item in found] == [f"j{n % 20}" for n in range(200)]
    assert sum(reads) <= 21


async def test_a_row_that_cannot_be_read_is_an_error_of_that_job_alone(harness):
    harness.put(new_job(1, data_centre="accra-a"))
    harness.table.put("job/j2", {"id": "j2"})
    inbox = harness.add()
    assert (await ask(inbox, messages.FindJob, "j2", "")).err_value.code == "internal"
    listed = (await ask(inbox, messages.ListJobs, "", "")).ok_value
    assert [item.id for item in listed.jobs] == ["j1"]


async def test_digests_spread_submissions_between_data_centres(harness):
    tema = datacentre.DataCentre("tema-b", "gh-south")
    snapshot = dataclasses.replace(SNAPSHOT, data_centres={"accra-a": ACCRA, "tema-b": tema})
    inbox = harness.add(snapshot=snapshot)
    for name in ("accra-a", "tema-b"):
        digest = link.CapacityDigest(name, 1, 16, (0, 0, 0, 2), 0)
        mailbox.post(inbox, digest)
    chosen = [(await submit(inbox, new_job(n))).ok_value.data_centre for n in range(4)]
    assert chosen == ["accra-a", "accra-a", "tema-b", "tema-b"]


async def test_promises_count_the_jobs_of_a_customer(harness):
    ended = {"data_centre": "accra-a", "due_at": 50.0, "state": job.State.SUCCEEDED}
    harness.put(new_job(1, ended_at=40.0, **ended))
    harness.put(new_job(2, ended_at=60.0, **ended))
    inbox = harness.add()
    view = (await ask(inbox, messages.ListPromises, "adinkra")).ok_value
    [promise] = view.report.classes
    assert (promise.kept, promise.missed, promise.kept_share) == (1, 1, 0.5)


async def test_a_full_store_queue_refuses_with_not_run(harness):
    full = mailbox.create("full", 1)
    mailbox.post(full, "waiting")
    refused = await submit(harness.add(rows_mailbox=full), new_job())
    assert refused.err_value.verdict is verdict.Verdict.NOT_RUN


def test_check_access_returns_refusals_unchanged():
    refusal = verdict.not_run(verdict.Code.NOT_FOUND, "x")
    assert jobs_read.check_access(result.Err(refusal), "j1", "kolar").err_value is refusal
