"""Guards against lost, duplicated or wrongly refused changes, and false confirmations."""

import asyncio
import importlib.util
import pathlib
import random

import pytest

from peridothatch_core.message import link, store
from peridothatch_core.model import customer, datacentre, shape, verdict, workclass
from peridothatch_daemon import messages
from peridothatch_daemon.decide import config
from peridothatch_daemon.outlet import config_rows
from peridothatch_wire import mailbox

_SPEC = importlib.util.spec_from_file_location(
    "config_harness", pathlib.Path(__file__).with_name("config_harness.py")
)
config_harness = importlib.util.module_from_spec(_SPEC)
_SPEC.loader.exec_module(config_harness)

ENTRIES = (("a", "r1"), ("b", "r1"), ("m", "r2"), ("n", "r2"), ("o", "r2"))
GANG = shape.GangShape(1, shape.TaskShape(4))


def create_harness():
    harness = config_harness.Harness(*ENTRIES)
    harness.run_until_idle()
    return harness


def create_customer(name, quota=8):
    return customer.Customer(name, quota)


async def outcome(reply):
    return await mailbox.wait(reply, 1)


async def change_at_once(harness, first, second):
    """Submit two concurrent changes on entries a and b; return their outcomes."""
    replies = [harness.change("a", *first), harness.change("b", *second)]
    harness.serve_store("a")
    harness.run_until_idle()
    return [await outcome(reply) for reply in replies]


async def test_concurrent_changes_of_two_objects_are_both_accepted():
    """Guards against a lost update and against an unnecessary refusal."""
    harness = create_harness()
    outcomes = await change_at_once(
        harness, ("customer", "x", create_customer("x")), ("customer", "y", create_customer("y"))
    )
    assert [item.unwrap().revision for item in outcomes] == [1, 2]
    harness.run_until_idle()
    for entry in harness.entries.values():
        assert sorted(entry.state.replica.snapshot.customers) == ["x", "y"]


async def test_concurrent_changes_of_one_object_conflict():
    """Guards against a change that overwrites a state its operator never saw."""
    harness = create_harness()
    first, second = await change_at_once(
        harness,
        ("customer", "x", create_customer("x", 1)),
        ("customer", "x", create_customer("x", 2)),
    )
    assert first.is_ok()
    refusal = second.unwrap_err()
    assert (refusal.verdict, refusal.code) == (verdict.Verdict.NOT_RUN, verdict.Code.CONFLICT)
    assert "operator of a" in refusal.detail


async def test_a_conflicting_change_is_validated_again():
    """Guards against a guarantee for a customer that was deleted concurrently."""
    harness = create_harness()
    harness.change("a", "customer", "x", create_customer("x"))
    harness.run_until_idle()
    harness.run_until_idle()
    guarantee = customer.Guarantee("g", "x", GANG)
    first, second = await change_at_once(
        harness, ("customer", "x", None), ("guarantee", "g", guarantee)
    )
    assert first.is_ok()
    assert second.unwrap_err().field == "customer"


async def test_a_replica_that_lags_does_not_refuse():
    """Guards against "unknown customer" for a customer that another entry just accepted."""
    harness = create_harness()
    harness.change("a", "customer", "x", create_customer("x"))
    harness.serve_store("a")
    guarantee = customer.Guarantee("g", "x", GANG)
    reply = harness.change("b", "guarantee", "g", guarantee)
    harness.run_until_idle()
    assert (await outcome(reply)).unwrap().value.promised_by == "operator of b"


async def test_store_outcomes_give_true_verdicts():
    """Guards against "not run" for a change that may have been committed."""
    expected = {
        store.Outcome.UNKNOWN: verdict.Verdict.MAY_HAVE_RUN,
        store.Outcome.NOT_SENT: verdict.Verdict.NOT_RUN,
    }
    for store_outcome, expected_verdict in expected.items():
        harness = create_harness()
        harness.store_outcome = store_outcome
        reply = harness.change("a", "customer", "x", create_customer("x"))
        harness.run_until_idle()
        assert (await outcome(reply)).unwrap_err().verdict is expected_verdict


async def test_changes_are_listed_newest_first_from_memory_and_store():
    """Guards against a list that lacks the changes from before this process started."""
    harness = create_harness()
    for number in range(5):
        harness.change("a", "customer", f"x{number}", create_customer(f"x{number}"))
        harness.run_until_idle()
    restarted = config_harness.Harness(*ENTRIES)
    restarted.table = harness.table
    restarted.run_until_idle()
    restarted.change("b", "customer", "last", create_customer("last"))
    restarted.run_until_idle()
    reply = mailbox.Reply()
    config.handle(restarted.entries["b"].state, messages.ListChanges(4, reply))
    restarted.run_until_idle()
    assert [change.revision for change in await outcome(reply)] == [6, 5, 4, 3]


async def test_entries_read_the_store_when_their_reader_is_silent():
    """Guards against entries that wait forever for a reader that hangs."""
    harness = create_harness()
    harness.change("a", "customer", "x", create_customer("x"))
    harness.run_until_idle(["a", "b"])
    harness.now += 1.0
    harness.run_until_idle(["n", "o"])
    assert harness.entries["n"].state.revision == 0
    harness.now += 1.5
    harness.run_until_idle(["n", "o"])
    assert harness.entries["n"].state.revision == 1


async def test_only_the_reader_reads_for_its_region():
    """Guards against a store read by every entry, over a link that is billed by volume."""
    harness = create_harness()
    harness.run_until_idle()
    before = harness.table.reads
    for key in ("m", "n", "o"):
        harness.tick(key)
    depths = {key: harness.entries[key].state.ports.store.depth for key in ("m", "n", "o")}
    assert depths == {"m": 1, "n": 0, "o": 0}
    assert harness.table.reads == before


OPERATIONS = (
    "tick",
    "serve_store",
    "answer",
    "answer",
    "deliver",
    "deliver",
    "deliver",
    "change",
    "wait",
    "check_subscriber",
    "check_subscriber",
)
STEPS = 400


def check_subscriber(harness, entry, known):
    """Check the messages to a subscriber; ``known`` is the revision of its snapshot."""
    for message in mailbox.take_available(entry.subscriber, 4096):
        if isinstance(message, messages.ConfigChanged):
            assert message.snapshot.revision > known or message.snapshot.revision == 0
            known = message.snapshot.revision
        else:
            read_at = message.read_sent_at - entry.offset
            newest = max((number for at, number in harness.heads if at < read_at), default=0)
            assert newest <= message.revision == known
    return known


@pytest.mark.parametrize("seed", range(60))
async def test_confirmations_are_true_and_revisions_never_revert(seed):
    """Guards against a start in a data centre that was out of service.

    A false confirmation would tell the planner that an outdated snapshot was still the newest.
    """
    source = random.Random(seed)
    harness = config_harness.Harness(*ENTRIES, subscriber_messages=3)
    harness.run_until_idle()
    known = dict.fromkeys(harness.entries, -1)
    for _ in range(STEPS):
        harness.now += 0.01
        key, operation = source.choice(ENTRIES)[0], source.choice(OPERATIONS)
        if operation == "change":
            name = f"x{source.randrange(3)}"
            harness.change(key, "customer", name, create_customer(name, source.randrange(9)))
        elif operation == "wait":
            harness.now += source.choice([0.0, 0.0, 0.3, 3.0])
        elif operation == "check_subscriber":
            known[key] = check_subscriber(harness, harness.entries[key], known[key])
        else:
            getattr(harness, operation)(key)
    for _ in range(3):
        harness.now += 1.0
        harness.run_until_idle()
    newest = harness.heads[-1][1] if harness.heads else 0
    assert newest > 0
    assert {entry.state.revision for entry in harness.entries.values()} == {newest}


def test_a_full_subscriber_receives_the_snapshot_before_its_confirmation():
    """Guards against a planner that treats an old snapshot as confirmed."""
    harness = create_harness()
    entry = harness.entries["a"]
    mailbox.take_available(entry.subscriber, 4096)
    full = mailbox.create("full", 1)
    ports = entry.state.ports
    entry.state.ports = type(ports)(ports.inbox, ports.store, ports.links, (full,))
    mailbox.post(full, "earlier")
    harness.table = changed_table()
    harness.run_until_idle(["a"])
    assert mailbox.take_available(full, 9) == ["earlier"]
    harness.run_until_idle(["a"])
    (first,) = mailbox.take_available(full, 9)
    assert first.snapshot.revision == 1
    harness.run_until_idle(["a"])
    (second,) = mailbox.take_available(full, 9)
    assert second.revision == 1


def changed_table():
    harness = create_harness()

    async def run():
        harness.change("a", "customer", "x", create_customer("x"))

    asyncio.new_event_loop().run_until_complete(run())
    harness.run_until_idle()
    return harness.table


VALUES = [
    ("customer", customer.Customer("x", 8, "a" * 64)),
    ("guarantee", customer.Guarantee("x", "c", GANG, 2, "dc", "ama", 5.0)),
    ("guarantee", customer.Guarantee("x", "c", GANG, 2, "dc", "ama", 5.0, pinned=True)),
    ("class", workclass.WorkClass("x", workclass.Within(3600.0), True, "ama", 5.0)),
    ("class", workclass.WorkClass("x", workclass.ByTime(6, 30, "Africa/Accra"))),
    ("data_centre", datacentre.DataCentre("x", "r", datacentre.Service.OUT)),
    ("operator", "a" * 64),
    ("customer", None),
]


def test_every_kind_survives_its_rows():
    """Guards against a field that is lost in encoding or decoding."""
    for kind, value in VALUES:
        change = config_rows.config.Change(7, kind, "x", value, "ama", 9.0)
        assert config_rows.parse_change(config_rows.encode_change_json(change)) == change
        if value is not None:
            row = store.Row(config_rows.encode_object(change), 1)
            parsed = config_rows.parse_object(f"config/object/{kind}/x", row)
            assert parsed == (kind, "x", value)


def test_a_named_data_centre_in_an_older_row_stays_pinned():
    """Guards against moving a guarantee whose data centre an operator chose.

    Rows from before ``pinned`` existed lack the field.
    """
    change = config_rows.config.Change(7, "guarantee", "x", VALUES[2][1], "ama", 9.0)
    row = config_rows.encode_change(change)
    del row["value"]["pinned"]
    assert config_rows.parse_change(row).value.pinned


async def test_a_change_that_expects_an_older_object_is_refused():
    """Guards against a reassignment by the system that reverts an operator's change."""
    harness = create_harness()
    harness.change("a", "customer", "x", create_customer("x", 2))
    harness.run_until_idle()
    reply = mailbox.Reply()
    stale = messages.ChangeConfig(
        "customer", "x", create_customer("x", 3), "system", reply, create_customer("x", 1)
    )
    config.handle(harness.entries["a"].state, stale)
    harness.run_until_idle()
    refusal = (await outcome(reply)).unwrap_err()
    assert (refusal.verdict, refusal.code) == (verdict.Verdict.NOT_RUN, verdict.Code.CONFLICT)
    assert harness.entries["a"].state.replica.snapshot.customers["x"].quota_accelerators == 2


def test_a_bad_message_of_another_entry_is_ignored():
    """Guards against an invalid message of a peer that stops the task."""
    harness = create_harness()
    state = harness.entries["a"].state
    peer = harness.entries["b"].state.own
    for text in ("{", "[]", '{"revision": 1}'):
        config.handle(state, messages.ReceivedFromPeer(peer, link.ConfigRevision(1, text)))
    assert state.revision == 0
