"""A row store for tests of the scheduler task, and rows to put into it."""

import asyncio
import contextlib

from peridothatch_core.message import rows
from peridothatch_core.model import agents, steps, tables
from peridothatch_core.schedule import state
from peridothatch_daemon.hosted import clock, messages, records, scheduler
from peridothatch_wire import mailbox, task

NODE = "side-1"
JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"
ORDER = tables.order_key(NODE, TASK, 1)

AHEAD_SECONDS = 60.0
"""Lead of a lease that must look recent on a slow machine as well."""


class Store:
    """Row store with one version counter that delivers each change to the scheduler's feeds.

    ``intercept`` takes a commit and returns whether it has handled it, so that it is not applied.
    """

    def __init__(self, intercept):
        self.inbox = mailbox.create("store")
        self.intercept = intercept
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

    def answer(self, commit, outcome, rejected=False):
        now = clock.now()
        now_ms = int(1000 * now)
        commit.answer(
            rows.Committed(
                commit.token, outcome, self.version, now_ms, now, now, rejected=rejected
            )
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

    def job(self, job_id=JOB):
        """Return a job's row as it is in the store."""
        return records.JOB.decode(self.rows[tables.job_key(job_id)][0])

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
            elif not self.intercept(message):
                self.answer(message, self.apply(message.transaction))


@contextlib.asynccontextmanager
async def leader(store, record_error=lambda *_: None):
    """Run a scheduler on a store until the block ends."""
    running = scheduler.start(
        "front-1", "1", state.Limits(), store.inbox, None, lambda _: None, lambda _: None,
        record_error=record_error,
    )  # fmt: skip
    store.deliver = lambda changes: mailbox.post(running.inbox, changes)
    serving = task.start("store", store.serve())
    store.put((tables.entry_key("front-1"), b"{}"))
    polling = task.start("operator's rows", _poll_operator_rows(running.inbox))
    try:
        yield running
    finally:
        await task.close(polling)
        await scheduler.close(running)
        await task.close(serving)


async def _poll_operator_rows(inbox):
    while True:
        mailbox.post(inbox, messages.EvacuationsConfirmed(frozenset(), clock.now()))
        await asyncio.sleep(0.3)


async def until(condition):
    async with asyncio.timeout(5):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


def job(job_id=JOB):
    """Return a job whose only task is ready to run."""
    progress = steps.StepProgress(0, 0, attempts=[0], failures=[0], saved=[""])
    return steps.Job(
        job_id, "q", "render", "", 1, 3, 2.0, 500, (steps.Step(1),), None, 1,
        state=steps.JobState.RUNNING, opened=1, progress=[progress],
    )  # fmt: skip


def agent():
    worker = agents.Worker(
        "w-1", 1, "render", "accra-a", agents.WorkerState.READY, steps.Demand(1000, 1000, 8)
    )
    until_ms = int(1000 * (clock.now() + AHEAD_SECONDS)) + state.Limits().hold_ms
    return agents.Agent(NODE, "accra-a", 1, 0, until_ms, worker)
