"""Guards against live entries missing from the list, and stopped entries remaining in it."""

import pytest

from peridothatch_core.message import link, store
from peridothatch_daemon import messages
from peridothatch_daemon.decide import registry
from peridothatch_standins import rows
from peridothatch_wire import mailbox


class StoreHarness:
    """A fake store that serves the registry tasks one message at a time."""

    def __init__(self):
        self.now = 0.0
        self.up = True
        self.table = rows.Table()

    def entry(self, key):
        mailboxes = [mailbox.create(name) for name in ("registry", "store", "subscriber")]
        address = link.EntryAddress(key, "127.0.0.1", 7000, "dc", "r")
        ports = registry.Ports(mailboxes[0], mailboxes[1], (mailboxes[2],))
        return registry.create(address, "i", ports, lambda: self.now)

    def serve(self, state):
        for message in mailbox.take_available(state.ports.store, 99):
            registry.handle(state, self._answer(message))

    def _answer(self, message):
        if isinstance(message, messages.Read):
            found = rows.read(self.table, rows.Read((), message.prefixes)) if self.up else {}
            read = {key: store.Row(row.value, row.version) for key, row in found.items()}
            return store.Rows(message.tag, self.up, read, self.now)
        wanted = message.transaction
        if not self.up:
            return store.Committed(wanted, store.Outcome.NOT_SENT)
        conditions = tuple(rows.Condition(item.key, item.version) for item in wanted.conditions)
        writes = tuple(rows.Write(item.key, item.value) for item in wanted.writes)
        outcome = rows.transact(self.table, rows.Transaction(wanted.id, conditions, writes), 0.0)
        result = store.Outcome.APPLIED if outcome.applied else store.Outcome.CONFLICT
        return store.Committed(wanted, result)

    def run(self, seconds, *states):
        until = self.now + seconds
        while self.now < until:
            self.now += registry.PERIOD_SECONDS
            for state in states:
                registry.handle(state, messages.Tick())
                self.serve(state)


def listed(state):
    """Return the ids in the newest list that the subscriber received."""
    heard = mailbox.take_available(state.ports.subscribers[0], 99)
    return [address.id for address in heard[-1].entries] if heard else None


@pytest.fixture
def table():
    return StoreHarness()


def test_entries_discover_each_other_and_a_stopped_one_is_removed(table):
    """Guards against a list that keeps an unreachable entry."""
    a, b = table.entry("a"), table.entry("b")
    table.run(4, a, b)
    assert (listed(a), listed(b)) == (["a", "b"], ["a", "b"])
    table.run(8, a)
    assert listed(a) is None
    table.run(4, a)
    assert listed(a) == ["a"]
    assert "entry/b" in table.table.rows
    table.run(60, a)
    assert list(table.table.rows) == ["entry/a"]


def test_an_outage_of_the_store_removes_no_entry(table):
    """Guards against removing all entries after an hour without the store."""
    a, b = table.entry("a"), table.entry("b")
    # The last read by a before the outage, and the first after it, see the same counter of b.
    table.run(4, b, a)
    listed(a)
    table.up = False
    table.run(3600, a, b)
    table.up = True
    table.run(20, a, b)
    assert listed(a) is None
    assert sorted(table.table.rows) == ["entry/a", "entry/b"]


def test_an_entry_that_was_paused_is_listed_again(table):
    """Guards against deleting the row of an entry that has resumed."""
    a, b = table.entry("a"), table.entry("b")
    table.run(4, a, b)
    table.run(56, a)
    # The entry increments its counter between the read and the deletion based on that read.
    table.now += registry.PERIOD_SECONDS * 4
    b_row = table.table.rows["entry/b"]
    seen = registry.ObservedEntry(a.observed["b"].address, 1, b_row.version)
    table.run(2, b)
    registry._delete(a, seen)
    table.serve(a)
    assert "entry/b" in table.table.rows
    table.run(80, a)
    table.run(2, b, a)
    assert listed(a) == ["a", "b"]


async def test_a_leaving_entry_deletes_its_row(table):
    """Guards against agents that dial an entry after a planned stop."""
    a = table.entry("a")
    table.run(2, a)
    reply = mailbox.Reply()
    registry.handle(a, messages.Drain(reply))
    table.serve(a)
    assert await mailbox.wait(reply, 1) is True
    table.run(4, a)
    assert list(table.table.rows) == []
