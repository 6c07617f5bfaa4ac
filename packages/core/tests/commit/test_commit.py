"""Load: 160 agents commit claims, ends and renewals in a partition that is busy."""

import pytest

from peridothatch_core.commit import group, route
from peridothatch_core.message import rows
from peridothatch_core.model import entries, tables


def _commit(node, entries_=3):
    key = tables.agent_key(node)
    writes = ((key, b"{}"), *((rows.Key("work", f"e/{node}/{n}"), b"") for n in range(entries_)))
    return rows.Commit(node, rows.Transaction((rows.Condition(key, 1),), writes), 1.0, print)


def test_transactions_of_different_agents_are_combined():
    commits = [_commit(f"n{number}") for number in range(10)]
    (packed,) = group.pack(commits)
    assert packed == commits
    combined = group.combine(packed)
    assert len(combined.conditions) == 10
    assert len(combined.writes) == 40


def test_a_group_fits_into_a_transaction_of_the_store():
    groups = group.pack([_commit(f"n{number}", 8) for number in range(40)])
    for commits in groups:
        combined = group.combine(commits)
        assert len(combined.conditions) + len(combined.writes) <= 100
    assert [commit.token for commits in groups for commit in commits] == [
        f"n{number}" for number in range(40)
    ]


def test_two_transactions_on_one_row_are_not_combined():
    # The second one expects the version that the first one writes.
    assert len(group.pack([_commit("n1"), _commit("n2"), _commit("n1")])) == 2


def _route(**addresses):
    known = {
        node: entries.Entry(node, "10.0.0.1:80", f"10.0.0.{number}:7000", centre)
        for number, (node, centre) in enumerate(addresses.items(), start=1)
    }
    return route.Route("side-1", known, leader="leader")


def _committed(outcome=rows.Outcome.COMMITTED, seconds=0.01):
    return rows.Committed("row", outcome, 1, 1, 100.0, 100.0 + seconds)


def test_commits_are_direct_while_the_store_answers_quickly():
    # The way through an entry costs a millisecond and the entry's processor time.
    found = _route(leader="a", second="a")
    route.record_direct(found, _committed(), 100.0)
    assert route.address(found, 100.1) == ""


@pytest.mark.parametrize(
    "committed",
    [
        _committed(seconds=route.SLOW_COMMIT_SECONDS),
        _committed(rows.Outcome.NOT_DONE),
        _committed(rows.Outcome.UNKNOWN),
    ],
)
def test_commits_are_grouped_for_a_time_when_the_store_is_busy_or_refuses(committed):
    found = _route(leader="a", second="a", far="b")
    route.record_direct(found, committed, 100.0)
    assert route.address(found, 100.1) in ("10.0.0.1:7000", "10.0.0.2:7000")
    assert route.address(found, 100.0 + route.GROUPED_SECONDS) == ""


def test_an_entry_that_fails_is_not_used_for_a_while():
    found = _route(leader="a")
    route.record_direct(found, _committed(rows.Outcome.NOT_DONE), 100.0)
    route.record_grouped(found, _committed(rows.Outcome.UNKNOWN), 100.5)
    assert route.address(found, 100.6) == ""
    assert route.address(found, 100.5 + route.DIRECT_SECONDS)


def test_commits_are_direct_while_no_entry_near_the_store_is_known():
    found = _route(other="b")
    route.record_direct(found, _committed(rows.Outcome.NOT_DONE), 100.0)
    assert route.address(found, 100.1) == ""


def test_agents_prefer_entries_that_do_not_lead():
    found = _route(leader="a", b="a", c="a", d="a")
    route.record_direct(found, _committed(rows.Outcome.NOT_DONE), 100.0)
    leader = found.known["leader"].internal
    for number in range(20):
        found.node = f"side-{number}"
        assert route.address(found, 100.1) != leader
