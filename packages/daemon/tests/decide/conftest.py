"""A fake table service that the tests of the planner share."""

import asyncio
import json

import pytest

from peridothatch_core.message import store
from peridothatch_daemon import messages
from peridothatch_wire import mailbox


class Table:
    """Rows of a fake table service, and outcomes that it is to report in place of the truth."""

    def __init__(self):
        self.rows, self.versions, self.done, self.lies = {}, {}, {}, []
        self.inbox = mailbox.create("table")

    def put(self, key, value):
        self.versions[key] = self.versions.get(key, 0) + 1
        self.rows.pop(key, None)
        if value is not None:
            self.rows[key] = store.Row(json.loads(json.dumps(value)), self.versions[key])

    def holds(self, condition):
        row = self.rows.get(condition.key)
        if isinstance(condition, store.VersionIs):
            return (row.version if row else 0) == condition.version
        return row is not None and row.value.get(condition.field) == condition.equals

    def commit(self, transaction):
        if transaction.id in self.done:
            return self.done[transaction.id]
        failed = {c.key: self.rows.get(c.key) for c in transaction.conditions if not self.holds(c)}
        if failed:
            return store.Committed(transaction, store.Outcome.CONFLICT, failed=failed)
        for write in transaction.writes:
            self.put(write.key, write.value)
        versions = {write.key: self.versions[write.key] for write in transaction.writes}
        done = store.Committed(transaction, store.Outcome.APPLIED, versions)
        self.done[transaction.id] = done
        return done

    def read(self, wanted):
        found = {
            key: row
            for key, row in self.rows.items()
            if key in wanted.keys or any(key.startswith(prefix) for prefix in wanted.prefixes)
        }
        return store.Rows(wanted.tag, True, found, asyncio.get_running_loop().time())

    async def run(self):
        while True:
            message = await mailbox.take(self.inbox)
            if isinstance(message, messages.Read):
                mailbox.post(message.reply_to, self.read(message))
                continue
            answer = self.commit(message.transaction)
            if message.transaction.writes[0].key.startswith("job/") and self.lies:
                answer = store.Committed(message.transaction, self.lies.pop(0))
            mailbox.post(message.reply_to, answer)


@pytest.fixture(scope="session")
def create_table():
    return Table
