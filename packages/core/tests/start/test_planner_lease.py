"""Tests of the planner lease: at most one holder, and a new one after a failure."""

import random

import hypothesis
from hypothesis import strategies

from peridothatch_core.start import planner_lease

MODE = planner_lease.Mode


class Store:
    """In-memory store of the lease row with conditional writes."""

    def __init__(self):
        self.row, self.version = None, 0

    def write(self, effect):
        if effect.version != self.version:
            return False
        self.row, self.version = effect.row, self.version + 1
        return True


class Entry:
    """An entry that contends for the lease, with its own clock rate."""

    def __init__(self, name, locality, rate):
        self.state = planner_lease.create(name, "1", locality)
        self.rate, self.inbox, self.paused_until = rate, [], 0.0

    def clock(self, now):
        return 1000.0 + self.rate * now

    def step(self, event, now):
        return planner_lease.step(self.state, event, self.clock(now))


def serve(entry, effects, store, now, draw, up):
    """Answer reads and writes after a random delay; answers to writes may be lost."""
    for effect in effects:
        delay = draw.choice((0.0, 0.1, 1.0))
        sent_at = entry.clock(now)
        if not up:
            entry.inbox.append((now + delay, planner_lease.WriteFailed(), None))
        elif isinstance(effect, planner_lease.ReadRow):
            seen = planner_lease.RowRead(store.row, store.version)
            entry.inbox.append((now + delay, seen, None))
        elif not store.write(effect) or draw.random() < 0.2:
            entry.inbox.append((now + delay, planner_lease.WriteFailed(), None))
        else:
            done = planner_lease.RowWritten(effect.row, store.version, sent_at)
            entry.inbox.append((now + delay, done, None))


def run(seed, faults):
    """Simulate three entries; return the ticks each held the lease, and the epochs observed."""
    draw, store = random.Random(seed), Store()
    places = ("data_centre", "region", "other")
    entries = [Entry(f"e{i}", places[i], draw.choice((0.96, 1.0, 1.04))) for i in range(3)]
    held, epochs, down = [0, 0, 0], [], [0.0, 0.0, 0.0]
    for tick in range(600):
        now = tick * 0.25
        for moment, target, kind, seconds in faults:
            if moment == tick and kind == "pause":
                entries[target].paused_until = now + seconds
            elif moment == tick:
                down[target] = now + seconds
        for index, entry in enumerate(entries):
            if now < entry.paused_until:
                continue
            due = [item for item in entry.inbox if item[0] <= now]
            entry.inbox = [item for item in entry.inbox if item[0] > now]
            for _, event, _ in due:
                effects = entry.step(event, now)
                serve(entry, effects, store, now, draw, now >= down[index])
            effects = entry.step(planner_lease.Tick(), now)
            serve(entry, effects, store, now, draw, now >= down[index])
        modes = [planner_lease.mode(entry.state, entry.clock(now)) for entry in entries]
        holders = [
            entry for entry, mode in zip(entries, modes, strict=True) if mode is MODE.HOLDING
        ]
        assert len(holders) <= 1, [entry.state for entry in holders]
        for entry in holders:
            held[entries.index(entry)] += 1
            epochs.append(entry.state.epoch)
    return held, epochs


FAULTS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 400),
        strategies.integers(0, 2),
        strategies.sampled_from(("pause", "down")),
        strategies.sampled_from((1, 5, 7, 10, 30)),
    ),
    max_size=6,
)


@hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
@hypothesis.given(strategies.integers(0, 2**32), FAULTS)
def test_at_most_one_holder_and_increasing_epochs(seed, faults):
    """Guards against two holders under pauses, clock drift, lost answers and store outages."""
    held, epochs = run(seed, faults)
    assert epochs == sorted(epochs)
    assert sum(held) > 0


def test_the_entry_in_the_data_centre_is_preferred():
    """Guards against a planner in another region while one in the data centre is available."""
    held, _ = run(1, [])
    assert held[0] > 0
    assert held[1:] == [0, 0]


def holder():
    state = planner_lease.create("e", "1", "data_centre")
    (effect,) = planner_lease.step(state, planner_lease.RowRead(None, 0), 3.0)
    planner_lease.step(state, planner_lease.RowWritten(effect.row, 1, 3.0), 3.0)
    return state


def test_renew_only_mode_starts_at_lease_expiry_and_ends_after_two_hours():
    """Guards against decisions without contact to the store, and against endless renewals."""
    state = holder()
    assert planner_lease.mode(state, 8.9) is MODE.HOLDING
    assert planner_lease.mode(state, 9.0) is MODE.RENEW_ONLY
    assert planner_lease.mode(state, 7202.9) is MODE.RENEW_ONLY
    assert planner_lease.mode(state, 7203.0) is MODE.FOLLOWING


def test_a_released_lease_is_acquired_immediately():
    """Guards against a planned stop that leaves the data centre without a planner for seconds."""
    state = holder()
    (effect,) = planner_lease.step(state, planner_lease.Resign(), 4.0)
    planner_lease.step(state, planner_lease.RowWritten(effect.row, 2, 4.0), 4.0)
    assert planner_lease.mode(state, 4.0) is MODE.FOLLOWING
    other = planner_lease.create("f", "1", "data_centre")
    (taken,) = planner_lease.step(other, planner_lease.RowRead(effect.row, 2), 50.0)
    assert (taken.row.holder, taken.row.epoch) == ("f", 2)


def test_a_restarted_entry_does_not_hold_its_previous_lease():
    """Guards against a process that claims the lease row written by its predecessor."""
    row = planner_lease.LeaseRow("e", 4, 7, "1")
    state = planner_lease.create("e", "2", "data_centre")
    assert planner_lease.step(state, planner_lease.RowRead(row, 9), 0.0) == []
    assert planner_lease.mode(state, 0.0) is MODE.FOLLOWING


def test_a_fenced_holder_steps_down_immediately():
    """Guards against a holder that continues after the store refused its epoch."""
    state = holder()
    planner_lease.step(state, planner_lease.Fenced(), 3.5)
    assert planner_lease.mode(state, 3.5) is MODE.FOLLOWING
