import asyncio
import contextlib
import dataclasses

import pytest

from peridothatch_core.message import rows
from peridothatch_core.model import agents, steps, tables
from peridothatch_core.schedule import state
from peridothatch_daemon.hosted import clock, records, scheduler
from peridothatch_wire import mailbox, task

NODE = "side-1"
JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"
ORDER = tables.order_key(NODE, TASK, 1)
END = tables.end_key(TASK, 1)

SETTLE_SECONDS = 0.5
"""Time for a full read and the scheduling cycles that follow it."""


class _Store:
    """Row store with one version counter that delivers each change to the scheduler's feeds.

    The first commit that writes an order is not applied but kept in ``held``, and ``on_held`` is
    called.
    """

    def __init__(self, on_held):
        self.inbox = mailbox.create("store")
        self.on_held = on_held
        self.held = None
        self.version = 10
        self.rows = {}
        self.deliver = lambda _: None

    def put(self, *writes):
        """Write rows; ``None`` deletes."""
        self.version += 1
        for key, value in writes:
            self.rows[key] = (value, self.version)
        for table in {key.table for key, _ in writes}:
            changed = [
                rows.Row(table, key.key, value, self.version)
                for key, value in writes
                if key.table == table
            ]
            now = clock.now()
            self.deliver(rows.Changes(table, tuple(changed), int(1000 * now), now - 0.01, now))

    def apply(self, transaction):
        """Apply a transaction if its conditions hold; return its outcome."""
        for condition in transaction.conditions:
            if self._version_of(condition.key) != condition.version:
                return rows.Outcome.CONFLICT
        self.put(*transaction.writes)
        return rows.Outcome.COMMITTED

    def answer(self, commit, outcome):
        now = clock.now()
        commit.answer(
            rows.Committed(commit.token, outcome, self.version, int(1000 * now), now, now)
        )

    def table(self, name):
        """Return the rows of a table."""
        return tuple(
            rows.Row(name, key.key, value, version)
            for key, (value, version) in self.rows.items()
            if key.table == name and value is not None
        )

    def exists(self, key):
        return bool(self._version_of(key))

    def job(self):
        """Return the job's row as it is in the store."""
        return records.JOB.decode(self.rows[tables.job_key(JOB)][0])

    def _version_of(self, key):
        value, version = self.rows.get(key, (None, 0))
        return 0 if value is None else version

    async def serve(self):
        while True:
            message = await mailbox.take(self.inbox)
            now = clock.now()
            if isinstance(message, rows.Fetch):
                found = self.table(message.table)
                message.answer(rows.Fetched(message.token, found, int(1000 * now), now, now))
            elif self.held is None and ORDER in dict(message.transaction.writes):
                self.held = message
                self.on_held(self)
            else:
                self.answer(message, self.apply(message.transaction))


@contextlib.asynccontextmanager
async def _leader(store):
    """Run a scheduler on a store until the block ends."""
    running = scheduler.start(
        "front-1", "1", state.Limits(), store.inbox, None, lambda _: None, lambda _: None
    )
    store.deliver = lambda changes: mailbox.post(running.inbox, changes)
    serving = task.start("store", store.serve())
    store.put((tables.entry_key("front-1"), b"{}"))
    try:
        yield running
    finally:
        await scheduler.close(running)
        await task.close(serving)


async def _until(condition):
    async with asyncio.timeout(5):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


def _job():
    """Return a job whose only task is ready to run."""
    progress = steps.StepProgress(0, 0, attempts=[0], failures=[0], saved=[""])
    return steps.Job(
        JOB, "q", "render", "", 1, 3, 2.0, 500, (steps.Step(1),), None, 1,
        state=steps.JobState.RUNNING, opened=1, progress=[progress],
    )  # fmt: skip


def _agent():
    worker = agents.Worker(
        "w-1", 1, "render", "accra-a", agents.WorkerState.READY, steps.Demand(1000, 1000, 8)
    )
    until_ms = int(1000 * clock.now()) + state.Limits().hold_ms
    return agents.Agent(NODE, "accra-a", 1, 0, until_ms, worker)


def _lose_answer(store):
    store.answer(store.held, rows.Outcome.UNKNOWN)


def _restart_feed(store):
    now = clock.now()
    found = store.table(tables.WORK_TABLE)
    store.deliver(rows.Snapshot(tables.WORK_TABLE, found, int(1000 * now), now - 0.01, now))


@pytest.mark.parametrize("disturb", [_lose_answer, _restart_feed])
async def test_the_end_of_a_run_whose_order_was_applied_after_a_full_read_is_not_lost(disturb):
    # The order had no answer, or was under way when a feed started anew. All rows were read
    # without it, and the job had to wait for room. The leader never learned of the run and deleted
    # its end, so that the job stood still and the next leader ran the task again.
    agent = _agent()
    full = dataclasses.replace(agent, worker=None)

    def on_held(store):
        store.put((tables.agent_key(NODE), records.encode(full)))
        disturb(store)

    store = _Store(on_held)
    store.rows[tables.job_key(JOB)] = (records.encode(_job()), 5)
    store.rows[tables.agent_key(NODE)] = (records.encode(agent), 6)
    async with _leader(store):
        await _until(lambda: store.held is not None)
        await asyncio.sleep(SETTLE_SECONDS)
        outcome = store.apply(store.held.transaction)
        if disturb is _restart_feed:
            store.answer(store.held, outcome)
        if outcome is rows.Outcome.CONFLICT:
            store.put((tables.agent_key(NODE), records.encode(agent)))
            await _until(lambda: store.exists(ORDER))
            return
        claimed = dataclasses.replace(full, claimed=((TASK, 1),))
        store.put((tables.agent_key(NODE), records.encode(claimed)))
        end = steps.End(TASK, 1, NODE, steps.EndKind.DONE)
        store.put(
            (ORDER, None),
            (END, records.encode(end)),
            (tables.agent_key(NODE), records.encode(full)),
        )
        await _until(lambda: not store.exists(END))
        assert store.job().state is steps.JobState.COMPLETED
