"""Guards against changes that would leave the configuration inconsistent."""

import dataclasses

import pytest
import result

from peridothatch_core.admit import changes
from peridothatch_core.model import config, customer, datacentre, shape, verdict, workclass

DIGEST = "a" * 64
GANG = shape.GangShape(2, shape.TaskShape(4))
NEGATIVE = shape.GangShape(1, shape.TaskShape(-1))
GUARANTEE = customer.Guarantee("g", "ges", GANG, 2, "accra-a")
OUT = datacentre.Service.OUT
SNAPSHOT = config.Snapshot(
    revision=4,
    customers={"ges": customer.Customer("ges", 24, DIGEST), "idle": customer.Customer("idle", 0)},
    guarantees={"g": GUARANTEE},
    classes={"day": workclass.WorkClass("day", workclass.Within(60), False, "kofi", 5.0)},
    data_centres={
        "accra-a": datacentre.DataCentre("accra-a", "gh-south", OUT),
        "tema-b": datacentre.DataCentre("tema-b", "gh-south"),
    },
    operator_tokens={"b" * 64: "ama"},
)


def keep_home(_snapshot, wanted):
    return result.Ok(wanted)


def check(kind, name, value, assign_home=keep_home):
    return changes.validate(SNAPSHOT, kind, name, value, assign_home)


def guarantee(**fields):
    return dataclasses.replace(GUARANTEE, **fields)


def by_time(hour=6, minute=0, zone="Africa/Accra"):
    return workclass.WorkClass("c", workclass.ByTime(hour, minute, zone))


ACCEPTED = [
    ("customer", "new", customer.Customer("new", 8, "c" * 64)),
    ("customer", "ges", customer.Customer("ges", 16, DIGEST)),
    ("customer", "idle", None),
    ("guarantee", "g", guarantee(count=3)),
    ("guarantee", "h", guarantee(name="h", count=1, data_centre="")),
    ("class", "c", by_time()),
    ("class", "day", None),
    ("data_centre", "tema-b", datacentre.DataCentre("tema-b", "gh-south", OUT)),
    ("operator", "kofi", "d" * 64),
]
REFUSED = [
    ("team", "x", None, "kind"),
    ("customer", "Bad Name", customer.Customer("Bad Name", 1), "name"),
    ("customer", "a/b", customer.Customer("a/b", 1), "name"),
    ("customer", "x", customer.Customer("y", 1), "name"),
    ("customer", "x", GUARANTEE, "value"),
    ("customer", "x", customer.Customer("x", -1), "quota_accelerators"),
    ("customer", "ges", customer.Customer("ges", 15), "quota_accelerators"),
    ("customer", "x", customer.Customer("x", 1, "short"), "token_sha256"),
    ("customer", "x", customer.Customer("x", 1, DIGEST), "token_sha256"),
    ("customer", "ges", None, "name"),
    ("customer", "absent", None, ""),
    ("guarantee", "g", guarantee(customer="nobody"), "customer"),
    ("guarantee", "g", guarantee(data_centre="nowhere"), "data_centre"),
    ("guarantee", "g", guarantee(data_centre="", pinned=True), "data_centre"),
    ("guarantee", "g", guarantee(count=0), "count"),
    ("guarantee", "g", guarantee(count=4), "count"),
    ("guarantee", "h", guarantee(name="h", count=2), "count"),
    ("guarantee", "g", guarantee(shape=shape.GangShape(1025, GANG.task)), "shape.tasks"),
    ("guarantee", "g", guarantee(shape=NEGATIVE), "shape.accelerators"),
    ("class", "c", workclass.WorkClass("c", workclass.Within(0)), "target"),
    ("class", "c", workclass.WorkClass("c", workclass.Within(float("nan"))), "target"),
    ("class", "c", by_time(hour=24), "target.hour"),
    ("class", "c", by_time(minute=60), "target.minute"),
    ("class", "c", by_time(zone="Africa/Nowhere"), "target.zone"),
    ("class", "c", by_time(zone="../etc/passwd"), "target.zone"),
    ("data_centre", "x", datacentre.DataCentre("x", "", OUT), ""),
    ("data_centre", "tema-b", None, "service"),
    ("data_centre", "accra-a", None, "name"),
    ("operator", "ama", None, "name"),
    ("operator", "kofi", DIGEST, "token_sha256"),
    ("operator", "system", "d" * 64, "name"),
]  # fmt: skip


@pytest.mark.parametrize(("kind", "name", "value"), ACCEPTED)
def test_valid_changes_are_accepted(kind, name, value):
    assert check(kind, name, value).is_ok()


@pytest.mark.parametrize(("kind", "name", "value", "field"), REFUSED)
def test_invalid_changes_are_refused_with_field_value_and_expected(kind, name, value, field):
    refusal = check(kind, name, value).unwrap_err()
    assert refusal.verdict is verdict.Verdict.NOT_RUN
    assert refusal.field == field
    assert bool(refusal.expected) == (refusal.code is verdict.Code.INVALID)
    assert DIGEST not in refusal.detail


def test_a_guarantee_that_does_not_fit_the_hardware_is_refused():
    wanted = verdict.invalid("shape", "4 racks", "at most 1 rack")
    refusal = check("guarantee", "g", GUARANTEE, lambda *_: result.Err(wanted)).unwrap_err()
    assert (refusal.field, refusal.expected) == ("shape", "at most 1 rack")


def test_a_class_keeps_its_author_until_it_changes():
    """Guards against a repeated call that overwrites the author and time of a class."""
    same = workclass.WorkClass("day", workclass.Within(60))
    assert changes.fill_defaults(SNAPSHOT, "class", "day", same, "ama", 9.0).promised_by == "kofi"
    other = workclass.WorkClass("day", workclass.Within(61))
    changed = changes.fill_defaults(SNAPSHOT, "class", "day", other, "ama", 9.0)
    assert (changed.promised_by, changed.promised_at) == ("ama", 9.0)


def test_a_moved_guarantee_keeps_its_author():
    """Guards against a moved guarantee that names the system as its author."""
    kept = guarantee(promised_by="kofi", promised_at=5.0)
    held = dataclasses.replace(SNAPSHOT, guarantees={"g": kept})
    moved = changes.fill_defaults(held, "guarantee", "g", guarantee(data_centre=""), "system", 9.0)
    assert moved == dataclasses.replace(kept, data_centre="")
    grown = changes.fill_defaults(held, "guarantee", "g", guarantee(count=3), "ama", 9.0)
    assert grown.promised_by == "ama"


def test_a_data_centre_out_of_service_keeps_its_region():
    """Guards against a data centre that loses its region when it is taken out of service."""
    value = datacentre.DataCentre("tema-b", "", OUT)
    completed = changes.fill_defaults(SNAPSHOT, "data_centre", "tema-b", value, "ama", 9.0)
    assert completed == datacentre.DataCentre("tema-b", "gh-south", OUT)


def test_a_customer_without_a_token_keeps_the_current_one():
    """Guards against a quota change that reverts a concurrent change of the token."""
    known = SNAPSHOT.customers[sorted(SNAPSHOT.customers)[0]]
    current = dataclasses.replace(known, token_sha256="ab" * 32)
    snapshot = dataclasses.replace(SNAPSHOT, customers={known.name: current})
    value = dataclasses.replace(known, quota_accelerators=1, token_sha256="")
    completed = changes.fill_defaults(snapshot, "customer", known.name, value, "ama", 9.0)
    assert completed == dataclasses.replace(current, quota_accelerators=1)
