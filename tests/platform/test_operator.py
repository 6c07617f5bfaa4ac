import json

import conftest
import pytest

from peridothatch_platform import operator, worker


def test_a_desired_state_is_read_into_queues_services_and_customers():
    state = operator.decode_desired_state(json.dumps(conftest.CONFIG).encode())
    assert state.version == 3
    assert (state.queues[0].prefix, state.queues[0].objective_ms) == ("/jobs/", 500)
    assert state.services[0].guards
    assert state.tenancies[0].keys == frozenset({"k1"})
    assert state.tenancies[0].guaranteed_accelerators == 8


def test_an_invalid_desired_state_is_an_error():
    for value in (b"", b"[]", b'{"routes": 3}', b"\xff"):
        with pytest.raises(ValueError):
            operator.decode_desired_state(value)


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
