import hypothesis
from hypothesis import strategies

from peridothatch_core.model import storeclock

SKEW = 0.009


def test_the_answer_of_a_long_poll_does_not_widen_the_bounds():
    # A poll that waited a second replaced the bounds of a short call, and orders were rejected.
    clock = storeclock.StoreClock()
    storeclock.observe(clock, 50_005, 10.0, 10.01)
    storeclock.observe(clock, 51_010, 10.02, 11.02)
    assert storeclock.latest_ms(clock, 11.02) <= 51_050
    assert storeclock.earliest_ms(clock, 11.02) >= 51_000


def test_clocks_that_were_set_apart_are_followed():
    # Bounds that no answer can replace would reject every order from then on.
    clock = storeclock.StoreClock()
    storeclock.observe(clock, 50_000, 10.0, 10.01)
    storeclock.observe(clock, 90_000, 12.0, 12.01)
    assert storeclock.earliest_ms(clock, 12.01) >= 90_000
    storeclock.observe(clock, 20_000, 14.0, 14.01)
    assert storeclock.latest_ms(clock, 14.01) <= 20_020


def test_the_uncertainty_is_about_the_shortest_round_trip():
    # An entry that had never led took its round trip for 50 ms and let 0.4 s pass before a claim.
    clock = storeclock.StoreClock()
    storeclock.observe(clock, 50_004, 10.0, 10.008)
    storeclock.observe(clock, 50_308, 10.01, 10.312)
    assert 7.0 <= storeclock.uncertainty_ms(clock, 10.4) <= 20.0


def test_an_answer_without_a_time_changes_nothing():
    clock = storeclock.StoreClock()
    storeclock.observe(clock, 0, 10.0, 10.01)
    assert not clock.known
    assert storeclock.age_seconds(clock, 11.0) == float("inf")


calls = strategies.lists(
    strategies.tuples(strategies.floats(0, 3), strategies.floats(0, 2), strategies.floats(0, 2)),
    min_size=1,
    max_size=8,
)


@hypothesis.given(
    calls=calls,
    rate=strategies.floats(1 - SKEW, 1 + SKEW),
    offset=strategies.integers(1_000_000, 10_000_000),
    later=strategies.floats(0, 30),
)
def test_the_bounds_hold_whatever_the_delays_and_the_rate(calls, rate, offset, later):
    # A bound that is too tight would let a run outlive its promise.
    clock = storeclock.StoreClock()

    def store_ms(local):
        return offset + 1000.0 * rate * local

    now = 100.0
    for pause, delay, answer in calls:
        asked = now + pause
        read = asked + delay
        now = read + answer
        storeclock.observe(clock, int(store_ms(read)), asked, now)
        # A tenth of a millisecond is for the rounding of floating-point numbers.
        assert storeclock.earliest_ms(clock, now) <= store_ms(now) + 0.1
        assert storeclock.latest_ms(clock, now) >= store_ms(now) - 0.1
    now += later
    assert storeclock.earliest_ms(clock, now) <= store_ms(now) + 0.1
    assert storeclock.latest_ms(clock, now) >= store_ms(now) - 0.1
    target = int(store_ms(now + 5.0))
    assert store_ms(storeclock.local_time_before(clock, target)) <= target + 0.1
