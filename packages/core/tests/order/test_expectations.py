"""Learned run times under the load patterns of the queues; all random numbers are seeded."""

import math
import random

import pytest

from peridothatch_core.order import expectations, survival

QUEUE = "q"


def _history(customer, samples, weight=1.0):
    history = expectations.History()
    for seconds in samples:
        expectations.record(history, customer, QUEUE, seconds, weight)
    return history


def _draw(seed, count, median=10.0, spread=0.4):
    source = random.Random(seed)
    return [median * math.exp(source.gauss(0.0, spread)) for _ in range(count)]


def _estimate(history, customer, quantile=0.5, declared=0.0):
    return expectations.estimate(history, customer, QUEUE, declared, quantile)


def test_an_estimate_falls_back_step_by_step_when_samples_are_few():
    # An estimate from one or two steps would be taken for the customer's usual work.
    history = expectations.History()
    declared = _estimate(history, "a", declared=77.0)
    assert (declared.level, declared.seconds) == (expectations.Level.DECLARED, 77.0)
    assert _estimate(history, "a").level is expectations.Level.DEFAULT
    expectations.record(history, "b", QUEUE, 30.0)
    for _ in range(4):
        expectations.record(history, "a", QUEUE, 10.0)
    pooled = _estimate(history, "a")
    assert (pooled.level, pooled.samples) == (expectations.Level.QUEUE, 4.0)
    expectations.record(history, "a", QUEUE, 10.0)
    own = _estimate(history, "a")
    assert (own.level, own.samples) == (expectations.Level.CUSTOMER, 5.0)
    assert own.seconds == pytest.approx(10.0, rel=0.06)
    assert _estimate(history, "a", declared=77.0).level is expectations.Level.CUSTOMER


def test_the_tasks_of_one_wide_step_count_as_one_sample():
    # The 39 tasks of the first wide step are alike and say little about other steps.
    history = _history("a", [10.0] * 39, weight=1 / 39)
    assert _estimate(history, "a").samples == pytest.approx(1.0)
    assert _estimate(history, "a", 0.95).seconds > 15.0
    assert sum(expectations.summarize(history.series["a", QUEUE]).values()) == pytest.approx(1.0)


@pytest.mark.parametrize("count", [3, 6, 12, 40])
@pytest.mark.parametrize("quantile", [0.5, 0.8, 0.95])
def test_quantiles_cover_new_runs_also_after_few_samples(count, quantile):
    # The largest of n samples as the 0.95 quantile would be exceeded by one new run in n + 1.
    within, trials = 0, 400
    for seed in range(trials):
        *known, new = _draw(seed, count + 1)
        within += new <= _estimate(_history("a", known), "a", quantile).seconds
    assert within / trials == pytest.approx(quantile, abs=0.1)


def test_a_shift_of_the_work_takes_effect_within_a_few_steps():
    # With equal weights, forty earlier samples would hide a change for most of a day.
    history = _history("a", _draw(1, 60, median=4.0, spread=0.2))
    assert _estimate(history, "a").seconds == pytest.approx(4.0, rel=0.2)
    for seconds in _draw(2, 12, median=20.0, spread=0.2):
        expectations.record(history, "a", QUEUE, seconds)
    assert _estimate(history, "a").seconds == pytest.approx(20.0, rel=0.25)


def test_steady_work_is_not_taken_for_a_shift():
    # A false shift would throw away most of the history.
    history = expectations.History()
    least = math.inf
    for number, seconds in enumerate(_draw(3, 400)):
        expectations.record(history, "a", QUEUE, seconds)
        if number > expectations.MAX_SAMPLES:
            least = min(least, _estimate(history, "a").samples)
    assert least > 0.8 * expectations.MAX_SAMPLES


def test_both_peaks_of_two_peaked_work_are_kept():
    # A mean or a fitted distribution would lie between the peaks, where no run ends.
    source = random.Random(4)
    samples = [source.choice((2.0, 2.0, 2.0, 20.0)) for _ in range(200)]
    history = _history("a", samples)
    assert _estimate(history, "a", 0.5).seconds == pytest.approx(2.0, rel=0.06)
    assert _estimate(history, "a", 0.95).seconds == pytest.approx(20.0, rel=0.06)
    rest = expectations.remaining(history, "a", QUEUE, 5.0, 0.0, 0.5)
    assert rest == pytest.approx(15.0, rel=0.08)


def test_a_heavy_tail_moves_the_upper_quantile_only():
    # 3 % of the tasks run seven times as long; a mean of the samples would follow them.
    source = random.Random(5)
    samples = [7 * s if source.random() < 0.03 else s for s in _draw(6, 300, spread=0.1)]
    history = _history("a", samples)
    assert _estimate(history, "a", 0.5).seconds == pytest.approx(10.0, rel=0.1)
    assert _estimate(history, "a", 0.8).seconds < 13.0
    assert _estimate(history, "a", 0.995).seconds > 50.0


@pytest.mark.parametrize(
    "seconds", [0.0, -1.0, math.nan, math.inf, -math.inf, 1e-9, 10 * survival.MAX_SECONDS]
)
def test_a_bad_sample_is_dropped(seconds):
    # Clock faults and odd rows would otherwise move all later estimates, or raise.
    history = _history("a", [10.0] * 3)
    before = _estimate(history, "a", 0.95)
    assert not expectations.record(history, "a", QUEUE, seconds)
    assert _estimate(history, "a", 0.95) == before
    assert not expectations.record(history, "a", QUEUE, 10.0, weight=math.nan)


def test_the_runs_of_one_customer_do_not_move_the_own_estimate_of_another():
    # A customer could otherwise delay or hurry the jobs of its competitors.
    history = _history("a", [10.0] * 5)
    before = _estimate(history, "a", 0.95)
    for _ in range(500):
        expectations.record(history, "liar", QUEUE, 50_000.0)
    assert _estimate(history, "a", 0.95) == before


def test_one_customer_moves_the_pooled_estimate_only_by_a_bounded_share():
    # Five hundred runs of one customer would otherwise set the estimate of every new customer.
    honest = _draw(7, 40, spread=0.1)
    history = expectations.History()
    for number, seconds in enumerate(honest):
        expectations.record(history, f"c{number % 4}", QUEUE, seconds)
    for _ in range(500):
        expectations.record(history, "liar", QUEUE, 50_000.0)
    expectations.observe_running(history, [expectations.OpenRun("liar", QUEUE, 90_000.0)] * 500)
    new = _estimate(history, "new", 0.5)
    assert new.level is expectations.Level.QUEUE
    assert sorted(honest)[20] <= new.seconds <= sorted(honest)[32]


@pytest.mark.parametrize(
    "weights", [[1.0], [9.0, 0.1], [40.0, 9.0, 8.0, 1.0], [40.0] * 6, [40.0, 40.0, 6, 5, 4, 3, 2]]
)
def test_no_customer_exceeds_its_share_of_a_pool(weights):
    # An error in the limit would let one customer dominate, or drop customers from the pool.
    limit = expectations._pool_limit(weights)
    limited = [min(weight, limit) for weight in weights]
    share = max(expectations.MAX_POOL_SHARE, 1 / len(weights))
    allowed = max(expectations.MIN_POOL_LIMIT, share * sum(limited) * (1 + 1e-9))
    assert max(limited) <= allowed
    assert min(weights) <= limit


def test_runs_that_have_not_ended_count_as_longer_than_they_have_taken():
    # At the beginning only short runs have ended. Without the runs that have not ended, all runs
    # would be expected to be short.
    history = _history("a", [1.0, 1.1, 1.2])
    alone = _estimate(history, "a").seconds
    expectations.observe_running(history, [expectations.OpenRun("a", QUEUE, 30.0)] * 9)
    assert alone < 1.3
    assert _estimate(history, "a", 0.8).seconds > 1.3 * _estimate(history, "a", 0.2).seconds
    expectations.observe_running(history, [])
    assert _estimate(history, "a").seconds == alone


def test_open_runs_do_not_distort_the_estimate_of_steady_work():
    # Kaplan and Meier: the estimate from a snapshot with open runs agrees with the one from all
    # run times, while that from the ended runs alone is too short.
    whole = _draw(8, 400, median=10.0, spread=0.6)
    history = expectations.History()
    cut = 9.0
    for number, seconds in enumerate(whole):
        if seconds <= cut:
            expectations.record(history, f"c{number % 8}", QUEUE, seconds)
    running = [
        expectations.OpenRun(f"c{number % 8}", QUEUE, cut)
        for number, seconds in enumerate(whole)
        if seconds > cut
    ]
    assert _estimate(history, "new").seconds < 7.0
    expectations.observe_running(history, running[: len(running) // 2])
    assert 7.0 < _estimate(history, "new").seconds < 11.0


def test_longer_declared_work_is_expected_to_take_longer():
    # Declared run times are wrong by large factors but tell which of two tasks is longer.
    source = random.Random(10)
    history = expectations.History()
    for seconds in _draw(11, 60, spread=0.4):
        declared = 3 * seconds * math.exp(source.gauss(0.0, 0.7))
        expectations.record(history, "a", QUEUE, seconds, declared_seconds=declared)
    short, usual, long = (
        _estimate(history, "a", declared=declared).seconds for declared in (6.0, 30.0, 150.0)
    )
    assert usual == pytest.approx(10.0, rel=0.2)
    assert 0.5 * usual < short < 0.7 * usual
    assert 1.4 * usual < long < 2.0 * usual


def test_the_remaining_time_of_a_run_beyond_all_known_runs_grows_with_its_age():
    # A remaining time of zero would make an endless run the last choice of a victim for ever.
    history = _history("a", [10.0] * 5)
    assert expectations.remaining(history, "a", QUEUE, 40.0, 0.0, 0.5) == 40.0
    assert expectations.remaining(history, "a", QUEUE, 0.0, 0.0, 0.5) == pytest.approx(
        10, rel=0.06
    )


def test_the_state_is_bounded():
    # The history of an installation with many customers would outgrow the entry's memory.
    source = random.Random(9)
    history = expectations.History()
    for number in range(2 * expectations.MAX_SERIES):
        expectations.record(history, f"c{number}", QUEUE, math.exp(source.uniform(-4, 16)))
    for _ in range(5000):
        expectations.record(history, "busy", QUEUE, math.exp(source.uniform(-4, 16)))
    assert len(history.series) == expectations.MAX_SERIES
    assert ("busy", QUEUE) in history.series
    bins = expectations.summarize(history.series["busy", QUEUE])
    assert len(bins) <= survival.MAX_BIN + 1
    assert sum(bins.values()) <= expectations.MAX_SAMPLES + 2 * expectations.RECENT_SAMPLES + 1


@pytest.mark.parametrize("weight", [1e-300, 1e-9, 1e-3])
def test_weights_that_are_almost_zero_do_not_raise(weight):
    # An odd row of the store would end the scheduler task of each new leader.
    history = expectations.History()
    expectations.restore(history, "a", QUEUE, {5: weight, 9: 4.0})
    running = expectations.OpenRun("a", QUEUE, 1e6, weight=1e12)
    expectations.observe_running(history, [running])
    for quantile in (0.0, 0.01, 0.5, 1.0):
        for customer in ("a", "new"):
            assert math.isfinite(_estimate(history, customer, quantile).seconds)
            rest = expectations.remaining(history, customer, QUEUE, 0.02, 0.0, quantile)
            assert math.isfinite(rest)


def test_restored_samples_count_as_older_than_those_of_the_new_leader():
    # The rows of an earlier leader must not replace what was learned while they were read.
    history = _history("a", [10.0] * 3)
    expectations.restore(history, "a", QUEUE, {survival.find_bin(30.0): 2.0})
    expectations.restore(history, "b", QUEUE, {survival.find_bin(30.0): 5.0})
    assert _estimate(history, "a").samples == pytest.approx(5.0)
    assert _estimate(history, "b").seconds == pytest.approx(30.0, rel=0.06)
