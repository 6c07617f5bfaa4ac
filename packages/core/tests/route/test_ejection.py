"""Guards against requests to failing servers and against the ejection of too many servers."""

import hypothesis
from hypothesis import strategies

from peridothatch_core.route import ejection, retry_budget

GROUP = ("a", "b", "c")


def fail(state, peer_id, times=ejection.FAILURES_IN_WINDOW, group=GROUP, now=0.0):
    return [ejection.record_failure(state, peer_id, group, now) for _ in range(times)][-1]


def test_a_server_that_fails_in_a_row_is_ejected_and_probed_once():
    state = ejection.State()
    until = fail(state, "a")
    assert not ejection.admits(state, "a", until - 0.1)
    assert ejection.admits(state, "a", until)
    ejection.record_sent(state, "a", "r1")
    assert not ejection.admits(state, "a", until)
    ejection.record_success(state, "a")
    assert ejection.admits(state, "a", until)


def test_a_failed_probe_ejects_for_longer():
    state = ejection.State()
    until = fail(state, "a")
    again = fail(state, "a", 1, now=until)
    assert again - until == 2 * ejection.BASE_EJECTION_SECONDS


def test_a_few_failures_among_many_answers_do_not_eject():
    state = ejection.State()
    for _ in range(10):
        fail(state, "a", ejection.FAILURES_IN_WINDOW - 1)
        for _success in range(ejection.WINDOW):
            ejection.record_success(state, "a")
    assert ejection.admits(state, "a", 0.0)


def test_a_server_that_fails_three_in_ten_is_ejected():
    state = ejection.State()
    untils = []
    for number in range(2 * ejection.WINDOW):
        if number % 10 in (0, 3, 6):
            untils.append(fail(state, "a", 1))
        elif untils[-1] is None:
            ejection.record_success(state, "a")
    assert any(untils)


def test_a_probe_without_a_result_allows_the_next_one():
    state = ejection.State()
    until = fail(state, "a")
    ejection.record_sent(state, "a", "r1")
    ejection.release_probe(state, "a", "r1")
    assert ejection.admits(state, "a", until)


def test_a_smaller_group_readmits():
    state = ejection.State()
    fail(state, "a")
    ejection.enforce_cap(state, ("a", "b"))
    assert ejection.admits(state, "a", 0.0)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.integers(1, 9),
    strategies.lists(strategies.tuples(strategies.integers(0, 8), strategies.booleans())),
)
def test_at_most_a_third_is_ejected_and_never_the_last(size, outcomes):
    group = [f"s{index}" for index in range(size)]
    state = ejection.State()
    for index, good in outcomes:
        peer_id = group[index % size]
        if good:
            ejection.record_success(state, peer_id)
        else:
            fail(state, peer_id, group=group)
        ejected = sum(ejection.is_ejected(state, member) for member in group)
        assert ejected <= size // 3 < size


def test_retries_are_a_tenth_of_the_requests():
    budget = retry_budget.Budget()
    while retry_budget.take(budget):
        pass
    taken = 0
    for _ in range(1000):
        retry_budget.deposit(budget)
        taken += retry_budget.take(budget)
    assert 95 <= taken <= 100
