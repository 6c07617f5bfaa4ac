import dataclasses
import json

import conftest
import pytest

from peridothatch_platform import operator, worker


def _unexpected(source, key, reason):
    raise AssertionError(f"{source} {key}: {reason}")


def _decode(config, on_unreadable=_unexpected):
    return operator.decode_desired_state(json.dumps(config).encode(), on_unreadable)


def test_a_desired_state_is_read_into_queues_services_and_customers():
    state = _decode(conftest.CONFIG)
    assert state.version == 3
    assert (state.queues[0].prefix, state.queues[0].objective_ms) == ("/jobs/", 500)
    assert state.services[0].guards
    assert state.tenancies[0].keys == frozenset({"k1"})
    assert state.tenancies[0].guaranteed_accelerators == 8


def test_an_invalid_desired_state_is_an_error():
    for value in (b"", b"[]", b'{"routes": 3}', b"\xff"):
        with pytest.raises(ValueError):
            operator.decode_desired_state(value, _unexpected)


@pytest.mark.parametrize(
    ("part", "odd"),
    [
        ("routes", {"name": "odd", "host": 7}),
        ("routes", conftest.CONFIG["routes"][0] | {"name": "odd", "slo_ms": 10**12}),
        ("services", "odd"),
        ("tenants", {"name": "odd", "guaranteed": {"gpu": -1}}),
    ],
)
def test_a_part_that_cannot_be_read_does_not_hold_back_the_others(part, odd):
    # Guards against a version of which nothing comes into force because of one field.
    reported = []
    changed = conftest.CONFIG | {"version": 4, part: [odd, *conftest.CONFIG[part]]}
    state = _decode(changed, lambda _, key, __: reported.append(key))
    assert reported == [f"{part}/0"]
    assert state == dataclasses.replace(_decode(conftest.CONFIG), version=4)


def test_a_field_that_is_null_counts_as_left_out():
    tenant = {"name": "hotels", "api_keys": None, "guaranteed": None}
    state = _decode({"version": 4, "routes": None, "services": None, "tenants": [tenant]})
    assert (state.version, state.queues) == (4, ())
    assert state.tenancies[0].keys == frozenset()


def test_evacuations_are_distinguished_from_other_rows():
    assert operator.evacuated_data_centre("evacuate/accra-a") == "accra-a"
    assert operator.evacuated_data_centre("config") == ""


@pytest.mark.parametrize(
    "change",
    [{"state": "sleeping"}, {"seq": None}, {"capacity": 3}, {"labels": "a"}, {"born": "x"}],
)
def test_a_heartbeat_with_an_invalid_field_is_rejected(change):
    good = {"service": "render", "zone": "accra-a", "state": "ready", "seq": 4, "born": 77,
            "capacity": {"cpu": 1, "mem_mb": 2, "gpu": 3}, "labels": ["a", "r1-3"]}  # fmt: skip
    described, sequence = worker.decode_heartbeat("w-1", json.dumps(good).encode())
    assert (described.kind, described.rack, described.started_ms, sequence) == ("a", "r1-3", 77, 4)
    with pytest.raises(ValueError):
        worker.decode_heartbeat("w-1", json.dumps(good | change).encode())
