"""Bursts of large customers, when not all waiting jobs of a priority can be served."""

import collections

import hypothesis
import pytest
from hypothesis import strategies

from peridothatch_core.model import desired
from peridothatch_core.order import fair_share

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
GUARANTEED = {"large": 200, "middle": 40, "small": 20}

_jobs = strategies.lists(
    strategies.builds(
        fair_share.Waiting,
        job=strategies.uuids().map(str),
        customer=strategies.sampled_from([*GUARANTEED, "without"]),
        accelerators=strategies.integers(0, 80),
        submitted_ms=strategies.integers(0, 20_000),
        latest_start_ms=strategies.floats(0, 60_000),
        prospect=strategies.sampled_from(fair_share.Prospect),
        is_due=strategies.booleans(),
    ),
    max_size=40,
    unique_by=lambda job: job.job,
)
_usages = strategies.builds(
    fair_share.Usage,
    accelerators=strategies.dictionaries(
        strategies.sampled_from([*GUARANTEED, "without"]), strategies.integers(0, 400)
    ),
    guaranteed=strategies.just(GUARANTEED),
    out_of_turn=strategies.frozensets(strategies.sampled_from(list(GUARANTEED))),
    late_runs=strategies.booleans(),
)


def _job(number, customer, accelerators=10, latest_start_ms=10_000, **changes):
    fields = {"submitted_ms": number, "prospect": fair_share.Prospect.ON_TIME}
    return fair_share.Waiting(
        f"{customer}-{number}", customer, accelerators,
        latest_start_ms=latest_start_ms + number, **fields | changes,
    )  # fmt: skip


def _usage(**accelerators):
    return fair_share.Usage(accelerators, GUARANTEED)


def _names(jobs):
    return [job.job for job in jobs]


def _shares_before(ordered, usage):
    """Yield each job with the share of its customer at its turn."""
    used = collections.Counter(usage.accelerators)
    for job in ordered:
        yield job, fair_share.share(job.customer, used[job.customer], usage.guaranteed)
        used[job.customer] += max(1, job.accelerators)


@SETTINGS
@hypothesis.given(_jobs, _usages)
def test_no_job_in_turn_waits_behind_one_of_a_customer_that_used_a_larger_share(waiting, usage):
    # In order of arrival, a burst of one customer takes all room for as long as it lasts.
    ordered = fair_share.order(waiting, usage)
    in_turn = [(job, share) for job, share in _shares_before(ordered, usage) if not job.is_due]
    for position, (job, share) in enumerate(in_turn):
        for other, other_share in in_turn[:position]:
            if other.prospect is job.prospect:
                assert other_share <= share or other.customer == job.customer


@SETTINGS
@hypothesis.given(_jobs, _usages)
def test_all_jobs_are_kept_and_few_are_served_out_of_turn(waiting, usage):
    ordered = fair_share.order(waiting, usage)
    assert sorted(_names(ordered)) == sorted(_names(waiting))
    # A job that comes before a better one is out of turn: one of each customer, one late in all.
    first = [
        job
        for position, job in enumerate(ordered)
        if any(later.prospect < job.prospect for later in ordered[position:])
    ]
    assert len(first) <= (0 if usage.late_runs else 1)
    assert all(job.is_due and job.customer not in usage.out_of_turn for job in first)


def test_a_burst_of_a_large_customer_waits_behind_itself():
    burst = [_job(number, "large") for number in range(60)]
    late_comer = _job(900, "small")
    ordered = _names(fair_share.order([*burst, late_comer], _usage(large=180, small=0)))
    assert ordered[0] == late_comer.job
    assert ordered[1:] == _names(burst)


def test_customers_take_turns_by_the_share_of_their_guarantees():
    jobs = [_job(number, customer, 20) for customer in GUARANTEED for number in range(12)]
    first = fair_share.order(jobs, _usage())[:13]
    assert collections.Counter(job.customer for job in first) == {
        "large": 10, "middle": 2, "small": 1
    }  # fmt: skip


def test_jobs_of_a_customer_are_served_by_their_latest_start():
    jobs = [_job(1, "large", latest_start_ms=9_000), _job(2, "large", latest_start_ms=4_000)]
    assert _names(fair_share.order(jobs, _usage())) == ["large-2", "large-1"]


def test_a_job_that_can_no_longer_meet_its_objective_comes_after_those_that_can():
    late = _job(1, "small", prospect=fair_share.Prospect.LATE)
    too_late = _job(0, "middle", prospect=fair_share.Prospect.TOO_LATE)
    burst = [_job(number, "large") for number in range(30)]
    ordered = _names(fair_share.order([late, too_late, *burst], _usage(large=400)))
    assert ordered == [*_names(burst), late.job, too_late.job]


def test_a_late_job_that_is_soon_too_late_is_served_unless_another_one_runs():
    # With a permanent surplus of other jobs, late ones would never be served.
    late = [
        _job(number, "small", prospect=fair_share.Prospect.LATE, is_due=True)
        for number in range(3)
    ]
    burst = [_job(number, "large") for number in range(30)]
    ordered = _names(fair_share.order([*late, *burst], _usage(small=300)))
    assert ordered == [late[0].job, *_names(burst), *_names(late[1:])]
    usage = fair_share.Usage({"small": 300}, GUARANTEED, {"small"}, late_runs=True)
    assert _names(fair_share.order([*late, *burst], usage)) == [*_names(burst), *_names(late)]


def test_a_job_whose_slack_is_used_up_does_not_wait_for_its_customers_turn():
    due = [_job(number, "large", latest_start_ms=0, is_due=True) for number in range(3)]
    others = [_job(number, "small") for number in range(3)]
    ordered = _names(fair_share.order([*due, *others], _usage(large=400)))
    assert ordered == [due[0].job, *_names(others), *_names(due[1:])]


def test_every_customer_is_served_in_permanent_overload():
    # Each job runs for ten rounds, and each customer asks for most of the capacity.
    capacity, ends, number = 260, collections.defaultdict(list), 0
    used, served = collections.Counter(), collections.Counter()
    waiting = [_job(number, "large", 20) for number in range(60)]
    for round_ in range(400):
        for customer in ("large", "large", "middle", "small"):
            number += 1
            waiting.append(_job(1_000 + number, customer, 20))
        for customer in ends.pop(round_, ()):
            used[customer] -= 20
        for job in fair_share.order(waiting, fair_share.Usage(used, GUARANTEED)):
            if used.total() + 20 > capacity:
                break
            ends[round_ + 10].append(job.customer)
            waiting.remove(job)
            used[job.customer] += 20
            served[job.customer] += 1
    for customer, guaranteed in GUARANTEED.items():
        assert served[customer] > 0.7 * served.total() * guaranteed / capacity


@pytest.mark.parametrize(
    ("guarantees", "enabled"),
    [
        ((), False),
        ((200,), False),
        ((40, 40, 45), False),
        ((200, 100, 100, 80), False),
        ((200, 60, 40, 40, 30), True),
        ((200, 0, 60, 40, 40), True),
        ((0, 0, 200), False),
    ],
)
def test_customers_take_turns_only_if_a_few_are_much_larger(guarantees, enabled):
    tenancies = tuple(
        desired.Tenancy(f"c{number}", frozenset(), amount)
        for number, amount in enumerate(guarantees)
    )
    assert fair_share.is_enabled(desired.DesiredState(1, tenancies=tenancies)) is enabled


def test_without_a_desired_state_customers_take_no_turns():
    assert not fair_share.is_enabled(None)
