"""Guards against clients that use up the connections or the memory of a process."""

import pytest

from peridothatch_core.connect import limits, pool, usage

MEGABYTE = 1024 * 1024


def create_pool(connections=8, per_listener=7, per_address=6, memory_bytes=MEGABYTE):
    return pool.Pool(limits.Budget(connections, per_listener, per_address, 1, memory_bytes))


def admit(members, key, listener="callers", address="", now=0.0):
    used = usage.Usage(changed_at=now)
    return used, pool.admit(members, key, used, listener, address or str(key), now)


def answer_one(members, key, used, now):
    usage.begin_head(used, now)
    usage.end_head(used, now)
    usage.end_message(used, now)
    usage.end_answer(used, now)
    pool.update(members, key, now)


@pytest.mark.parametrize(
    ("memory_mb", "descriptors", "listeners"), [(168, 4096, 2), (200, 4100, 3), (552, 8192, 3)]
)
def test_a_budget_leaves_descriptors_and_memory_to_the_process(memory_mb, descriptors, listeners):
    # Each listener accepts batches before the first connection of the flood is refused.
    budget = limits.derive_budget(memory_mb * MEGABYTE, descriptors, listeners)
    accepted = budget.connections + limits.TURNS_TO_REFUSE * budget.accept_batch * listeners
    assert accepted + 100 < descriptors
    assert budget.connections > 2_000
    assert budget.connections * usage.CONNECTION_BYTES < budget.memory_bytes
    assert budget.memory_bytes < (memory_mb - 100) * MEGABYTE


def test_at_the_budget_silent_connections_close_before_those_that_were_served():
    members = create_pool(connections=3, per_listener=3)
    served, _ = admit(members, "served", now=0.0)
    answer_one(members, "served", served, 1.0)
    admit(members, "silent-1", now=2.0)
    admit(members, "silent-2", now=3.0)
    _, admission = admit(members, "new", now=4.0)
    assert (admission.refused, admission.victim) == (None, "silent-1")


def test_at_the_budget_connections_outside_the_limits_close_first():
    members = create_pool(connections=2, per_listener=2)
    served, _ = admit(members, "idle", now=0.0)
    answer_one(members, "idle", served, 1.0)
    admit(members, "silent", now=20.0)
    _, admission = admit(members, "new", now=20.5)
    assert admission.victim == "idle"


def test_a_connection_with_a_request_in_progress_does_not_close_for_a_new_one():
    members = create_pool(connections=1, per_listener=1)
    used, _ = admit(members, "busy")
    usage.begin_head(used, 0.0)
    usage.end_head(used, 0.0)
    usage.end_message(used, 0.0)
    _, admission = admit(members, "new", now=100.0)
    assert admission.refused is limits.Reason.BUDGET_CONNECTIONS
    assert pool.count(members) == 1


def test_one_listener_or_address_does_not_take_the_places_of_others():
    members = create_pool(connections=8, per_listener=4, per_address=3)
    for number in range(3):
        admit(members, number, address="crowd")
    _, admission = admit(members, "fourth", address="crowd")
    assert admission.reason is limits.Reason.BUDGET_ADDRESS
    assert admission.victim == 0
    admit(members, "other")
    _, admission = admit(members, "another")
    assert admission.reason is limits.Reason.BUDGET_CONNECTIONS
    _, admission = admit(members, "probe", listener="readiness")
    assert admission == pool.Admission()


def test_the_largest_connections_close_at_the_memory_budget():
    members = create_pool(memory_bytes=100_000)
    small, _ = admit(members, "small")
    large, _ = admit(members, "large")
    small.waiting_bytes, large.unread_bytes = 5_000, 90_000
    assert pool.update(members, "small", 1.0) == []
    assert pool.update(members, "large", 1.0) == ["large"]
    assert members.memory_bytes == usage.memory_bytes(small)


def test_released_connections_leave_nothing_behind():
    # Counts that only grow would refuse ordinary clients for good.
    members = create_pool()
    for number in range(6):
        used, _ = admit(members, number, address="a")
        used.unread_bytes = 1_000
        pool.update(members, number, 1.0)
    for number in (*range(6), 0):
        pool.release(members, number)
    assert (pool.count(members), members.memory_bytes) == (0, 0)
    assert not members.by_listener
    assert not members.by_address
