"""Entries with a fake store and fake links, run one message at a time under a test clock."""

import collections
import dataclasses
import itertools

import result

from peridothatch_core.message import link, store
from peridothatch_daemon import messages
from peridothatch_daemon.decide import config, config_state
from peridothatch_standins import rows
from peridothatch_wire import mailbox


@dataclasses.dataclass
class Entry:
    state: config_state.State
    subscriber: mailbox.Mailbox
    offset: float
    answers: collections.deque = dataclasses.field(default_factory=collections.deque)
    links: collections.deque = dataclasses.field(default_factory=collections.deque)


def accept_unchanged(_snapshot, wanted):
    return result.Ok(wanted)


class Harness:
    """Config tasks of the entries ``(id, region)``; the store is in region ``r1``."""

    def __init__(
        self,
        *entries,
        assign_home=accept_unchanged,
        subscriber_messages=4096,
    ):
        self.now = 1000.0
        self.table = rows.Table()
        self.heads = []
        self.store_outcome = None
        self.entries = {}
        for number, (key, region) in enumerate(entries):
            self.entries[key] = self._create(
                key, region, 100.0 * number, assign_home, subscriber_messages
            )
        for one, other in itertools.permutations(self.entries.values(), 2):
            config.handle(one.state, messages.PeerConnected(other.state.own))

    def _create(self, key, region, offset, assign_home, subscriber_messages):
        own = link.Hello(1, "entry", key, "i", "dc", region)
        mailboxes = [mailbox.create(name) for name in ("config", "store", "links")]
        mailboxes.append(mailbox.create("subscriber", subscriber_messages))
        ports = config_state.Ports(*mailboxes[:3], (mailboxes[3],))
        clock = lambda: self.now + offset  # noqa: E731
        state = config.create(own, region == "r1", ports, assign_home, clock, lambda: self.now)
        return Entry(state, mailboxes[3], offset)

    def tick(self, key):
        config.handle(self.entries[key].state, messages.Tick())

    def change(self, key, kind, name, value):
        reply = mailbox.Reply()
        message = messages.ChangeConfig(kind, name, value, f"operator of {key}", reply)
        config.handle(self.entries[key].state, message)
        return reply

    def serve_store(self, key):
        """Process the next message to the store; ``answer`` delivers the result."""
        entry = self.entries[key]
        for message in mailbox.take_available(entry.state.ports.store, 1):
            if isinstance(message, messages.Read):
                entry.answers.append(self._read(message, self.now + entry.offset))
            else:
                entry.answers.append(self._commit(message.transaction))

    def answer(self, key):
        entry = self.entries[key]
        if entry.answers:
            config.handle(entry.state, entry.answers.popleft())

    def deliver(self, key):
        """Deliver the next message that the entry sent to another entry."""
        entry = self.entries[key]
        for message in mailbox.take_available(entry.state.ports.links, 1):
            target = self.entries[message.peer_id].state
            config.handle(target, messages.ReceivedFromPeer(entry.state.own, message.message))

    def run_until_idle(self, keys=None):
        """Tick once, then deliver messages until none is left."""
        keys = keys or list(self.entries)
        for key in keys:
            self.tick(key)
        while any(self._busy(key) for key in keys):
            for key in keys:
                self.serve_store(key)
                self.answer(key)
                self.deliver(key)

    def _busy(self, key):
        entry = self.entries[key]
        ports = entry.state.ports
        return ports.store.depth or ports.links.depth or entry.answers

    def _read(self, message, sent_at):
        if self.store_outcome:
            return store.Rows(message.tag, False, {}, sent_at)
        found = rows.read(self.table, rows.Read(message.keys, message.prefixes))
        read = {key: store.Row(row.value, row.version) for key, row in found.items()}
        return store.Rows(message.tag, True, read, sent_at)

    def _commit(self, wanted):
        if self.store_outcome:
            return store.Committed(wanted, self.store_outcome)
        conditions = tuple(
            rows.Condition(item.key, item.version)
            if isinstance(item, store.VersionIs)
            else rows.Condition(item.key, field=item.field, equals=item.equals)
            for item in wanted.conditions
        )
        writes = tuple(rows.Write(item.key, item.value) for item in wanted.writes)
        outcome = rows.transact(self.table, rows.Transaction(wanted.id, conditions, writes), 0.0)
        if not outcome.applied:
            return store.Committed(wanted, store.Outcome.CONFLICT)
        self.heads.append((self.now, wanted.writes[0].value["revision"]))
        return store.Committed(wanted, store.Outcome.APPLIED, outcome.versions)
