"""Load: many agents that the store turns away commit through the entries."""

import base64

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


def test_a_group_respects_the_byte_limit_of_the_store():
    # The store refuses a call of more than 1 MB each time it is sent.
    commits = []
    for number in range(30):
        large = rows.Transaction((), ((tables.agent_key(f"n{number}"), b"x" * 60_000),))
        commits.append(rows.Commit(f"n{number}", large, 1.0, print))
    groups = group.pack(commits)
    assert [commit for commits in groups for commit in commits] == commits
    for packed in groups:
        values = [value for _, value in group.combine(packed).writes]
        assert sum(len(base64.b64encode(value)) for value in values) < 950_000


def test_two_transactions_on_one_row_are_not_combined():
    # The second one expects the version that the first one writes.
    assert len(group.pack([_commit("n1"), _commit("n2"), _commit("n1")])) == 2


def _route(*nodes):
    known = {
        node: entries.Entry(node, "10.0.0.1:80", f"10.0.0.{number}:7000")
        for number, node in enumerate(nodes, start=1)
    }
    return route.Route("side-1", known)


def _committed(outcome=rows.Outcome.COMMITTED):
    return rows.Committed("row", outcome, 1, 1, 100.0, 100.01)


@pytest.mark.parametrize("outcome", [rows.Outcome.COMMITTED, rows.Outcome.CONFLICT])
def test_commits_are_direct_while_the_store_answers(outcome):
    found = _route("front-1")
    route.record_direct(found, _committed(outcome), 100.0)
    assert route.address(found, 100.1) == ""


@pytest.mark.parametrize("outcome", [rows.Outcome.NOT_DONE, rows.Outcome.UNKNOWN])
def test_commits_go_through_an_entry_for_a_time_when_the_store_turns_the_agent_away(outcome):
    found = _route("front-1", "front-2")
    route.record_direct(found, _committed(outcome), 100.0)
    assert route.address(found, 100.1) in ("10.0.0.1:7000", "10.0.0.2:7000")
    assert route.address(found, 100.0 + route.RELAYED_SECONDS) == ""


def test_an_entry_that_fails_is_followed_by_a_direct_commit_and_then_another_entry():
    found = _route("front-1", "front-2")
    route.record_direct(found, _committed(rows.Outcome.NOT_DONE), 100.0)
    first = route.address(found, 100.1)
    route.record_relayed(found, _committed(rows.Outcome.UNKNOWN), 100.5)
    assert route.address(found, 100.6) == ""
    assert route.address(found, 100.5 + route.DIRECT_SECONDS) not in ("", first)


def test_commits_are_direct_while_no_entry_is_known():
    found = _route()
    route.record_direct(found, _committed(rows.Outcome.NOT_DONE), 100.0)
    assert route.address(found, 100.1) == ""


def test_agents_are_spread_over_the_entries():
    found = _route("front-1", "front-2", "front-3")
    route.record_direct(found, _committed(rows.Outcome.NOT_DONE), 100.0)
    used = set()
    for number in range(30):
        found.node = f"side-{number}"
        used.add(route.address(found, 100.1))
    assert len(used) == 3
