import dataclasses

import row_store

from peridothatch_core.message import rows
from peridothatch_core.model import steps, tables
from peridothatch_daemon.hosted import records

OTHER_JOB = "00000000000000bb"
OTHER_TASK = f"{OTHER_JOB}.0.0.0"


async def test_a_job_whose_transaction_the_store_rejects_does_not_stop_the_others():
    # A transaction over a limit of the store was sent again for ever, and no job was scheduled any
    # more, also after a change of the leader.
    rejecting = True
    agent_key = tables.agent_key(row_store.NODE)

    def reject(commit):
        written = dict(commit.transaction.writes)
        if not rejecting or tables.job_key(row_store.JOB) not in written:
            return False
        store.answer(commit, rows.Outcome.NOT_DONE, rejected=True)
        return True

    store = row_store.Store(reject)
    for version, job_id in enumerate((row_store.JOB, OTHER_JOB), 5):
        row = records.encode(row_store.job(job_id))
        store.rows[tables.job_key(job_id)] = (row, version)
    store.rows[agent_key] = (records.encode(row_store.agent()), 7)
    other_order = tables.order_key(row_store.NODE, OTHER_TASK, 1)
    async with row_store.leader(store):
        await row_store.until(lambda: store.exists(other_order))
        assert not store.exists(row_store.ORDER)
        claimed = dataclasses.replace(row_store.agent(), claimed=((OTHER_TASK, 1),))
        store.put((agent_key, records.encode(claimed)))
        # The job goes on once its transaction is accepted, for example because runs have ended.
        rejecting = False
        await row_store.until(lambda: store.exists(row_store.ORDER))


async def test_stops_that_the_store_rejects_are_written_again():
    # Stops that do not fit beside their job's row go into a transaction of their own. Once the
    # store had rejected it, the runs counted as stopping, and no stop was ever written.
    rejected = []

    def reject(commit):
        written = dict(commit.transaction.writes)
        is_stop = any(key.key.endswith(tables.STOP_SUFFIX) for key in written)
        if rejected or not is_stop or tables.job_key(row_store.JOB) in written:
            return False
        rejected.append(commit)
        store.answer(commit, rows.Outcome.NOT_DONE, rejected=True)
        return True

    store = row_store.Store(reject)
    job = row_store.job(row_store.JOB)
    step = dataclasses.replace(job.steps[0], count=120)
    runs = [steps.Run(index, 1, row_store.NODE, 0, 1) for index in range(step.count)]
    progress = steps.StepProgress(
        0, 0, attempts=[1] * 120, failures=[0] * 120, saved=[""] * 120, runs=runs
    )
    running = dataclasses.replace(
        job, steps=(step,), opened=1, state=steps.JobState.RUNNING, progress=[progress]
    )
    store.rows[tables.job_key(job.id)] = (records.encode(running), 5)
    claimed = tuple((f"{job.id}.0.0.{index}", 1) for index in range(step.count))
    agent = dataclasses.replace(row_store.agent(), claimed=claimed)
    store.rows[tables.agent_key(row_store.NODE)] = (records.encode(agent), 7)
    stops = [
        tables.stop_key(row_store.NODE, f"{job.id}.0.0.{index}", 1) for index in range(step.count)
    ]
    async with row_store.leader(store):
        store.put((tables.cancel_key(job.id), b"{}"))
        await row_store.until(lambda: all(store.exists(key) for key in stops))
    assert rejected
