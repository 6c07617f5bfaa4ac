import dataclasses

import row_store

from peridothatch_core.message import rows
from peridothatch_core.model import tables
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
