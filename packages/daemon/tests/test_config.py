"""Guards against lost, doubled or untruly refused changes, and against false freshness."""

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


def harness():
    made = config_harness.Harness(*ENTRIES)
    made.settle()
    return made


def team(name, quota=8):
    return customer.Customer(name, quota)


async def outcome(reply):
    return await mailbox.wait(reply, 1)


async def both(made, first, second):
    """Make two changes at once on entries a and b; return their outcomes."""
    replies = [made.change("a", *first), made.change("b", *second)]
    made.serve_store("a")
    made.settle()
    return [await outcome(reply) for reply in replies]


async def test_two_operators_on_two_objects_are_both_accepted():
    """Guards against a lost update and against a needless refusal."""
    made = harness()
    outcomes = await both(made, ("customer", "x", team("x")), ("customer", "y", team("y")))
    assert [item.unwrap().revision for item in outcomes] == [1, 2]
    made.settle()
    for entry in made.entries.values():
        assert sorted(entry.state.replica.snapshot.customers) == ["x", "y"]


async def test_two_operators_on_one_object_cannot_overwrite_each_other():
    """Guards against a change made on a state that its operator never saw."""
    made = harness()
    one, two = await both(made, ("customer", "x", team("x", 1)), ("customer", "x", team("x", 2)))
    assert one.is_ok()
    refusal = two.unwrap_err()
    assert (refusal.verdict, refusal.code) == (verdict.Verdict.NOT_RUN, verdict.Code.CONFLICT)
    assert "operator of a" in refusal.detail


async def test_the_loser_is_validated_again():
    """Guards against a guarantee of a customer that was deleted meanwhile."""
    made = harness()
    made.change("a", "customer", "x", team("x"))
    made.settle()
    made.settle()
    guarantee = customer.Guarantee("g", "x", GANG)
    one, two = await both(made, ("customer", "x", None), ("guarantee", "g", guarantee))
    assert one.is_ok()
    assert two.unwrap_err().field == "customer"


async def test_a_replica_that_lags_does_not_refuse():
    """Guards against "unknown customer" for a customer accepted a moment ago elsewhere."""
    made = harness()
    made.change("a", "customer", "x", team("x"))
    made.serve_store("a")
    guarantee = customer.Guarantee("g", "x", GANG)
    reply = made.change("b", "guarantee", "g", guarantee)
    made.settle()
    assert (await outcome(reply)).unwrap().value.promised_by == "operator of b"


async def test_store_outcomes_give_true_verdicts():
    """Guards against "not run" for a change that may have been made."""
    expected = {
        store.Outcome.UNKNOWN: verdict.Verdict.MAY_HAVE_RUN,
        store.Outcome.NOT_SENT: verdict.Verdict.NOT_RUN,
    }
    for stored, wanted in expected.items():
        made = harness()
        made.store_outcome = stored
        reply = made.change("a", "customer", "x", team("x"))
        made.settle()
        assert (await outcome(reply)).unwrap_err().verdict is wanted


async def test_changes_are_listed_newest_first_from_memory_and_store():
    """Guards against a list that ends where this process began."""
    made = harness()
    for number in range(5):
        made.change("a", "customer", f"x{number}", team(f"x{number}"))
        made.settle()
    late = config_harness.Harness(*ENTRIES)
    late.table = made.table
    late.settle()
    late.change("b", "customer", "last", team("last"))
    late.settle()
    reply = mailbox.Reply()
    config.handle(late.entries["b"].state, messages.ListChanges(4, reply))
    late.settle()
    assert [change.revision for change in await outcome(reply)] == [6, 5, 4, 3]


async def test_a_region_goes_on_reading_when_its_reader_is_silent():
    """Guards against entries that wait for ever for a reader that hangs."""
    made = harness()
    made.change("a", "customer", "x", team("x"))
    made.settle(["a", "b"])
    made.now += 1.0
    made.settle(["n", "o"])
    assert made.entries["n"].state.revision == 0
    made.now += 1.5
    made.settle(["n", "o"])
    assert made.entries["n"].state.revision == 1


async def test_only_the_reader_reads_for_its_region():
    """Guards against one read of each entry over the link that is paid for by volume."""
    made = harness()
    made.settle()
    before = made.table.reads
    for key in ("m", "n", "o"):
        made.tick(key)
    depths = {key: made.entries[key].state.ports.store.depth for key in ("m", "n", "o")}
    assert depths == {"m": 1, "n": 0, "o": 0}
    assert made.table.reads == before


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
    "hear",
    "hear",
)
STEPS = 400


def check_subscriber(made, entry, known):
    """Check what a subscriber hears; ``known`` is the revision of its snapshot."""
    for message in mailbox.take_available(entry.subscriber, 4096):
        if isinstance(message, messages.ConfigChanged):
            assert message.snapshot.revision > known or message.snapshot.revision == 0
            known = message.snapshot.revision
        else:
            read_at = message.read_sent_at - entry.offset
            newest = max((number for at, number in made.heads if at < read_at), default=0)
            assert newest <= message.revision == known
    return known


@pytest.mark.parametrize("seed", range(60))
async def test_freshness_is_true_and_revisions_never_revert_in_any_interleaving(seed):
    """Guards against a start in a data centre that was out when its proof was read."""
    chosen = random.Random(seed)
    made = config_harness.Harness(*ENTRIES, subscriber_messages=3)
    made.settle()
    known = dict.fromkeys(made.entries, -1)
    for _ in range(STEPS):
        made.now += 0.01
        key, operation = chosen.choice(ENTRIES)[0], chosen.choice(OPERATIONS)
        if operation == "change":
            name = f"x{chosen.randrange(3)}"
            made.change(key, "customer", name, team(name, chosen.randrange(9)))
        elif operation == "wait":
            made.now += chosen.choice([0.0, 0.0, 0.3, 3.0])
        elif operation == "hear":
            known[key] = check_subscriber(made, made.entries[key], known[key])
        else:
            getattr(made, operation)(key)
    for _ in range(3):
        made.now += 1.0
        made.settle()
    newest = made.heads[-1][1] if made.heads else 0
    assert newest > 0
    assert {entry.state.revision for entry in made.entries.values()} == {newest}


def test_a_full_subscriber_hears_of_the_snapshot_before_its_freshness():
    """Guards against a planner that takes an old snapshot for the confirmed one."""
    made = harness()
    entry = made.entries["a"]
    mailbox.take_available(entry.subscriber, 4096)
    full = mailbox.create("full", 1)
    ports = entry.state.ports
    entry.state.ports = type(ports)(ports.inbox, ports.store, ports.links, (full,))
    mailbox.post(full, "earlier")
    made.table = changed_table()
    made.settle(["a"])
    assert mailbox.take_available(full, 9) == ["earlier"]
    made.settle(["a"])
    (first,) = mailbox.take_available(full, 9)
    assert first.snapshot.revision == 1
    made.settle(["a"])
    (second,) = mailbox.take_available(full, 9)
    assert second.revision == 1


def changed_table():
    made = harness()

    async def run():
        made.change("a", "customer", "x", team("x"))

    asyncio.new_event_loop().run_until_complete(run())
    made.settle()
    return made.table


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
    """Guards against a field that is lost between two entries."""
    for kind, value in VALUES:
        change = config_rows.config.Change(7, kind, "x", value, "ama", 9.0)
        assert config_rows.parse_change(config_rows.encode_change_json(change)) == change
        if value is not None:
            row = store.Row(config_rows.encode_object(change), 1)
            parsed = config_rows.parse_object(f"config/object/{kind}/x", row)
            assert parsed == (kind, "x", value)


def test_a_named_data_centre_in_an_older_row_stays_pinned():
    """Guards against a guarantee that moves although an operator named its data centre."""
    change = config_rows.config.Change(7, "guarantee", "x", VALUES[2][1], "ama", 9.0)
    row = config_rows.encode_change(change)
    del row["value"]["pinned"]
    assert config_rows.parse_change(row).value.pinned


async def test_a_change_that_expects_an_older_object_is_refused():
    """Guards against a move by the system that undoes an operator's change."""
    made = harness()
    made.change("a", "customer", "x", team("x", 2))
    made.settle()
    reply = mailbox.Reply()
    stale = messages.ChangeConfig("customer", "x", team("x", 3), "system", reply, team("x", 1))
    config.handle(made.entries["a"].state, stale)
    made.settle()
    refusal = (await outcome(reply)).unwrap_err()
    assert (refusal.verdict, refusal.code) == (verdict.Verdict.NOT_RUN, verdict.Code.CONFLICT)
    assert made.entries["a"].state.replica.snapshot.customers["x"].quota_accelerators == 2


def test_a_bad_message_of_another_entry_is_ignored():
    """Guards against a peer that stops the task."""
    made = harness()
    state = made.entries["a"].state
    peer = made.entries["b"].state.own
    for text in ("{", "[]", '{"revision": 1}'):
        config.handle(state, messages.ReceivedFromPeer(peer, link.ConfigRevision(1, text)))
    assert state.revision == 0
