"""Fakes shared by several tests: a table service and a placement policy."""

import json
import time

import pytest

from peridothatch_core.message import store
from peridothatch_core.model import datacentre, job
from peridothatch_core.place import decide as placing
from peridothatch_core.place import fleet
from peridothatch_daemon import messages
from peridothatch_daemon.decide import policy
from peridothatch_daemon.outlet import rows
from peridothatch_wire import mailbox


class Table:
    """A fake table service; ``forced_outcomes`` replace the true outcomes of job commits."""

    def __init__(self):
        self.rows, self.versions, self.answers, self.forced_outcomes = {}, {}, {}, []
        self.history = {}
        self.inbox = mailbox.create("table")

    def put(self, key, value):
        self.versions[key] = self.versions.get(key, 0) + 1
        self.rows.pop(key, None)
        if value is not None:
            self.rows[key] = store.Row(json.loads(json.dumps(value)), self.versions[key])
            if value.get("state") == "running":
                self.history[value["id"], value["run"]] = rows.parse_job(value)

    def satisfied(self, condition):
        row = self.rows.get(condition.key)
        if isinstance(condition, store.VersionIs):
            return (row.version if row else 0) == condition.version
        return row is not None and row.value.get(condition.field) == condition.equals

    def commit(self, transaction):
        if transaction.id in self.answers:
            return self.answers[transaction.id]
        failed = {
            c.key: self.rows.get(c.key) for c in transaction.conditions if not self.satisfied(c)
        }
        if failed:
            return store.Committed(transaction, store.Outcome.CONFLICT, failed=failed)
        for write in transaction.writes:
            self.put(write.key, write.value)
        versions = {write.key: self.versions[write.key] for write in transaction.writes}
        answer = store.Committed(transaction, store.Outcome.APPLIED, versions)
        self.answers[transaction.id] = answer
        return answer

    def read(self, wanted, sent_at):
        found = {
            key: row
            for key, row in self.rows.items()
            if key in wanted.keys or any(key.startswith(prefix) for prefix in wanted.prefixes)
        }
        return store.Rows(wanted.tag, True, found, sent_at)

    async def run(self):
        while True:
            message = await mailbox.take(self.inbox)
            if isinstance(message, messages.Read):
                mailbox.post(message.reply_to, self.read(message, time.monotonic()))
                continue
            answer = self.commit(message.transaction)
            if message.transaction.writes[0].key.startswith("job/") and self.forced_outcomes:
                answer = store.Committed(message.transaction, self.forced_outcomes.pop(0))
            mailbox.post(message.reply_to, answer)


def create_spread_policy(_data_centre):
    """Return a policy that spreads each gang over the workers with free accelerators."""
    waiting, held, workers, out = {}, {}, {}, [False]

    def decide(_now):
        if out[0]:
            return [placing.Evacuate(name) for name in held]
        decisions = []
        for name in sorted(waiting):
            cells = fit(waiting[name].shape.tasks)
            if cells:
                held[name] = cells
                del waiting[name]
                decisions.append(placing.Place(name, cells, False))
        return decisions

    def fit(count):
        used = {(c.worker, i) for cells in held.values() for c in cells for i in c.accelerators}
        free = [(i, w) for w in sorted(workers) for i in range(4) if (w, i) not in used]
        if len(free) < count:
            return ()
        return tuple(job.Cell(n, w, (i,)) for n, (i, w) in enumerate(sorted(free)[:count]))

    def record_waiting(found, _now):
        held.pop(found.id, None)
        waiting[found.id] = found

    def record_started(found, _now):
        waiting.pop(found.id, None)
        held[found.id] = found.cells

    def record_ended(name, *_):
        held.pop(name, None)
        waiting.pop(name, None)

    def record_config(snapshot, _now):
        centre = snapshot.data_centres.get("dc")
        out[0] = centre is not None and centre.service is not datacentre.Service.IN

    def ignore(*_):
        return True

    return policy.Policy(
        decide,
        record_config,
        record_waiting,
        record_started,
        record_ended,
        ignore,
        lambda found, _now: workers.update({found.id: found}),
        lambda name, _now: workers.pop(name, None),
        ignore,
        lambda: fleet.Digest(0, ()),
        frozenset,
    )


@pytest.fixture(scope="session")
def create_table():
    return Table


@pytest.fixture(scope="session")
def spread_policy():
    return create_spread_policy
