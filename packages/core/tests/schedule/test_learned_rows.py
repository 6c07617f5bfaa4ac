"""What a leader writes of what it has learned, and what the next one takes over."""

import pytest

from peridothatch_core.commit import limits
from peridothatch_core.message import rows
from peridothatch_core.model import learned, tables
from peridothatch_core.order import expectations
from peridothatch_core.schedule import learned as learned_state
from peridothatch_core.schedule import learned_rows

EPOCH_VERSION = 77
LATER_MS = 100_000


def _learned(found=(), odd_keys=()):
    state = learned_state.Learned()
    learned_rows.apply_rows(state, found, odd_keys, 0)
    return state


def _record(state, customer, seconds, count=1):
    for _ in range(count):
        expectations.record(state.history, customer, "q", seconds)
        state.unsaved_runs += 1


def _write(state, now_ms=LATER_MS):
    """Return the next write and the data classes by the keys that it writes or deletes."""
    values = {}

    def encode(value):
        encoded = b"%d" % len(values) + b"x" * 300
        values[encoded] = value
        return encoded

    write = learned_rows.build_write(state, EPOCH_VERSION, now_ms, encode)
    if write is None:
        return None, {}
    return write, {key: values.get(value) for key, value in write.transaction.writes}


def _estimate(state, customer):
    return expectations.estimate(state.history, customer, "q", 99.0, 0.5)


def test_the_next_leader_expects_what_the_previous_one_has_written():
    # Each takeover lost all that had been learned, so that declared run times were used again.
    state = _learned()
    _record(state, "a", 4.0, 5)
    _record(state, "b", 30.0, 5)
    speed = learned.LastingSpeed("n1", 1, 0.5, 6.0)
    state.speeds["n1"] = speed
    write, values = _write(state)
    assert write.transaction.conditions == (rows.Condition(tables.EPOCH_KEY, EPOCH_VERSION),)
    successor = _learned(values.values())
    for customer in ("a", "b", "new"):
        assert _estimate(successor, customer) == _estimate(state, customer)
    assert successor.speeds == {"n1": speed}


def test_what_was_learned_while_the_rows_were_read_is_kept():
    # The read is not waited for, and runs end meanwhile.
    state = learned_state.Learned()
    _record(state, "a", 4.0, 2)
    row = learned.RunTimes("a", "q", ((125, 3.0),))
    learned_rows.apply_rows(state, [row], (), 0)
    assert _estimate(state, "a").samples == pytest.approx(5.0)
    state.speeds["n1"] = learned.LastingSpeed("n1", 2, 0.1, 1.0)
    learned_rows.apply_rows(state, [learned.LastingSpeed("n1", 1, 0.9, 9.0)], (), 0)
    assert state.speeds["n1"].started_ms == 2


def test_nothing_is_written_before_the_read_and_while_the_store_is_slow():
    # The rows of the previous leader would be replaced by the few runs of the new one, or the
    # write would go before the leader's decisions in the queue of the partition.
    state = learned_state.Learned()
    _record(state, "a", 4.0, 1000)
    assert not learned_rows.is_due(state, LATER_MS, 0.0)
    learned_rows.apply_rows(state, (), (), 0)
    assert not learned_rows.is_due(state, LATER_MS, 2 * learned_rows.MAX_WRITE_LATENCY_MS)
    assert learned_rows.is_due(state, LATER_MS, 0.0)


def test_rows_are_written_seldom_and_the_number_of_lost_runs_is_bounded():
    # Each write takes a transaction from the work; too few writes would lose much at a takeover.
    state = _learned()
    _record(state, "a", 4.0)
    assert not learned_rows.is_due(state, learned_rows.WRITE_INTERVAL_MS - 1, 0.0)
    assert learned_rows.is_due(state, learned_rows.WRITE_INTERVAL_MS, 0.0)
    _record(state, "a", 4.0, learned_rows.MAX_UNSAVED_RUNS)
    assert learned_rows.is_due(state, learned_rows.MIN_WRITE_INTERVAL_MS, 0.0)
    assert not learned_rows.is_due(state, learned_rows.MIN_WRITE_INTERVAL_MS - 1, 0.0)
    _write(state)
    assert not learned_rows.is_due(state, LATER_MS + 1, 0.0)


def test_only_what_has_changed_is_written():
    # Rewriting all rows would multiply the bytes on the leader's link.
    state = _learned([learned.RunTimes("a", "q", ((125, 3.0),))])
    state.speeds["n1"] = learned.LastingSpeed("n1", 1, 0.5, 6.0)
    _record(state, "b", 4.0)
    write, values = _write(state)
    expected = {tables.run_times_key("b", "q"), tables.speed_key("n1")}
    assert values.keys() == expected
    learned_rows.record_outcome(state, write, committed=True)
    state.speeds["n1"] = learned.LastingSpeed("n1", 1, 0.51, 6.5)
    assert _write(state)[0] is None
    state.speeds["n1"] = learned.LastingSpeed("n1", 1, 0.9, 6.5)
    assert _write(state)[1].keys() == {tables.speed_key("n1")}


def test_a_write_is_bounded_and_the_rest_follows():
    # A burst of new customers must not make a transaction that the store rejects.
    state = _learned()
    for number in range(150):
        _record(state, f"c{number}", 4.0)
    state.speeds = {
        f"n{number}": learned.LastingSpeed(f"n{number}", 1, 0.5, 6.0) for number in range(150)
    }
    written = set()
    for _ in range(50):
        write, values = _write(state)
        if write is None:
            break
        assert len(values) <= learned_rows.MAX_WRITE_ROWS
        assert limits.estimate_bytes(write.transaction) <= learned_rows.MAX_WRITE_BYTES + 1000
        assert not written & values.keys()
        written |= values.keys()
        learned_rows.record_outcome(state, write, committed=True)
    assert len(written) == 300


def test_a_failed_write_is_retried():
    # A write that was refused once would be missing in the store until the customer's next run.
    odd = tables.run_times_key("x", "q")
    state = _learned(odd_keys=[odd])
    state.speeds["n1"] = learned.LastingSpeed("n1", 1, 0.5, 6.0)
    _record(state, "a", 4.0)
    write, values = _write(state)
    learned_rows.record_outcome(state, write, committed=False)
    assert state.unsaved_runs == 1
    assert _write(state)[1] == values


def test_rows_that_are_odd_or_without_an_owner_are_deleted():
    # They would be read and logged at each takeover, and the table would grow.
    odd = [tables.run_times_key("x", "q"), tables.run_times_key("a", "q")]
    gone = learned.LastingSpeed("gone", 1, 0.5, 6.0)
    state = _learned([gone], odd)
    del state.speeds["gone"]
    _record(state, "a", 4.0)
    write, values = _write(state)
    assert values[odd[0]] is None
    assert values[tables.speed_key("gone")] is None
    assert values[odd[1]].customer == "a"
    learned_rows.record_outcome(state, write, committed=True)
    assert _write(state) == (None, {})


def test_the_table_is_bounded():
    # The rows of customers and workers that come and go would accumulate.
    state = _learned()
    for number in range(expectations.MAX_SERIES + 20):
        _record(state, f"c{number}", 4.0)
    for number in range(learned_rows.MAX_SPEEDS + 20):
        node = f"n{number}"
        state.speeds[node] = learned.LastingSpeed(node, 1, 0.5, 6.0 + number)
    present = set()
    while True:
        write, values = _write(state)
        if write is None:
            break
        learned_rows.record_outcome(state, write, committed=True)
        present |= {key for key, value in values.items() if value is not None}
        present -= {key for key, value in values.items() if value is None}
    assert len(present) == expectations.MAX_SERIES + learned_rows.MAX_SPEEDS
    many = [learned.RunTimes(f"d{number}", "q", ((9, 1.0),)) for number in range(1000)]
    assert len(_learned(many).history.series) == expectations.MAX_SERIES
