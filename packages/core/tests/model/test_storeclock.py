import hypothesis
from hypothesis import strategies

from peridothatch_core.model import storeclock

DRIFT = 0.009


def test_the_response_to_a_long_poll_does_not_widen_the_bounds():
    # Guards against the rejection of valid orders. The loose bounds of a long poll of one second
    # replaced the tight bounds of a short request.
    clock = storeclock.StoreClock()
    storeclock.observe(clock, 50_005, 10.0, 10.01)
    storeclock.observe(clock, 51_010, 10.02, 11.02)
    assert storeclock.latest_ms(clock, 11.02) <= 51_050
    assert storeclock.earliest_ms(clock, 11.02) >= 51_000


def test_bounds_follow_a_step_of_the_clock():
    # Guards against bounds that remain wrong after a clock step, so that every later order is
    # rejected.
    clock = storeclock.StoreClock()
    storeclock.observe(clock, 50_000, 10.0, 10.01)
    storeclock.observe(clock, 90_000, 12.0, 12.01)
    assert storeclock.earliest_ms(clock, 12.01) >= 90_000
    storeclock.observe(clock, 20_000, 14.0, 14.01)
    assert storeclock.latest_ms(clock, 14.01) <= 20_020


def test_the_uncertainty_is_about_the_shortest_round_trip():
    # Guards against a late claim of the lease. An entry that had never led assumed a round trip
    # of 50 ms and waited for 0.4 s before its claim.
    clock = storeclock.StoreClock()
    storeclock.observe(clock, 50_004, 10.0, 10.008)
    storeclock.observe(clock, 50_308, 10.01, 10.312)
    assert 7.0 <= storeclock.uncertainty_ms(clock, 10.4) <= 20.0


def test_a_response_without_a_time_changes_nothing():
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
    rate=strategies.floats(1 - DRIFT, 1 + DRIFT),
    offset=strategies.integers(1_000_000, 10_000_000),
    later=strategies.floats(0, 30),
)
def test_the_bounds_hold_whatever_the_delays_and_the_rate(calls, rate, offset, later):
    # Guards against bounds that exclude the true time, with which a run could continue after its
    # agent's lease has expired.
    clock = storeclock.StoreClock()

    def store_ms(local):
        return offset + 1000.0 * rate * local

    now = 100.0
    for pause, request_delay, response_delay in calls:
        asked = now + pause
        read = asked + request_delay
        now = read + response_delay
        storeclock.observe(clock, int(store_ms(read)), asked, now)
        # The tolerance of 0.1 ms covers floating-point rounding.
        assert storeclock.earliest_ms(clock, now) <= store_ms(now) + 0.1
        assert storeclock.latest_ms(clock, now) >= store_ms(now) - 0.1
    now += later
    assert storeclock.earliest_ms(clock, now) <= store_ms(now) + 0.1
    assert storeclock.latest_ms(clock, now) >= store_ms(now) - 0.1
    target = int(store_ms(now + 5.0))
    assert store_ms(storeclock.local_time_before(clock, target)) <= target + 0.1
