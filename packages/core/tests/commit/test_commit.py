"""Load: many agents that the store turns away, or a busy partition, commit through entries."""

import base64
import dataclasses

import pytest

from peridothatch_core.commit import backoff, group, route, sharing
from peridothatch_core.message import rows
from peridothatch_core.model import entries, tables


def _commit(node, entries_=3):
    key = tables.agent_key(node)
    writes = ((key, b"{}"), *((rows.Key("work", f"e/{node}/{n}"), b"") for n in range(entries_)))
    return rows.Commit(node, rows.Transaction((rows.Condition(key, 1),), writes), 1.0, print)


def _pack(commits):
    """Return the groups in which the commits are sent one after the other."""
    groups = []
    while commits:
        taken, commits = group.next_group(commits)
        groups.append(taken)
    return groups


def test_transactions_of_different_agents_are_combined():
    commits = [_commit(f"n{number}") for number in range(10)]
    (packed,) = _pack(commits)
    assert packed == commits
    combined = group.combine(packed)
    assert len(combined.conditions) == 10
    assert len(combined.writes) == 40


def test_a_group_fits_into_a_transaction_of_the_store():
    groups = _pack([_commit(f"n{number}", 8) for number in range(40)])
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
    groups = _pack(commits)
    assert [commit for commits in groups for commit in commits] == commits
    for packed in groups:
        values = [value for _, value in group.combine(packed).writes]
        assert sum(len(base64.b64encode(value)) for value in values) < 950_000


def test_two_transactions_on_one_row_are_not_combined():
    # The second one expects the version that the first one writes.
    assert len(_pack([_commit("n1"), _commit("n2"), _commit("n1")])) == 2


def _due(node, due_at, entries_=3):
    return dataclasses.replace(_commit(node, entries_), due_at=due_at)


def test_the_next_group_takes_the_soonest_due_within_the_limits():
    waiting = [_due(f"n{number}", 100.0 - number, 8) for number in range(20)]
    taken, others = group.next_group(waiting)
    combined = group.combine(taken)
    assert len(combined.conditions) + len(combined.writes) <= 100
    assert [commit.token for commit in taken] == [f"n{n}" for n in range(19, 19 - len(taken), -1)]
    assert len(taken) + len(others) == 20


def test_a_large_transaction_does_not_keep_small_ones_out_of_the_group():
    taken, others = group.next_group([_due("n1", 1, 60), _due("n2", 2, 60), _due("n3", 3)])
    assert [commit.token for commit in taken] == ["n1", "n3"]
    assert [commit.token for commit in others] == ["n2"]


def test_two_transactions_on_one_row_go_one_after_the_other():
    taken, others = group.next_group([_due("n1", 2), _due("n1", 1), _due("n2", 3)])
    assert [(commit.token, commit.due_at) for commit in taken] == [("n1", 1), ("n2", 3)]
    assert [commit.due_at for commit in others] == [2]


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


def _agents(*nodes):
    agents = [_route(*nodes) for _ in range(30)]
    for number, found in enumerate(agents):
        found.node = f"side-{number}"
        route.record_direct(found, _refused(), 100.0)
    return agents


def _refused():
    return rows.Committed("row", rows.Outcome.NOT_DONE, 0, 0, 100.0, 100.3, busy=True)


def _relayed(outcome, leader="", store_seconds=0.3):
    return rows.Committed("row", outcome, relayed=rows.Relayed(leader, store_seconds))


@pytest.mark.parametrize("answered_at", [100.0 + route.SLOW_SECONDS, 101.2])
def test_commits_go_through_an_entry_while_direct_ones_are_slow(answered_at):
    # Agents that renew directly in a slow partition fill its queue, and all leases lapse.
    found = _route("front-1")
    slow = rows.Committed("row", rows.Outcome.COMMITTED, 1, 1, 100.0, answered_at)
    route.record_direct(found, slow, answered_at)
    assert route.address(found, answered_at)


def test_all_agents_use_the_same_entry_while_the_partition_is_busy():
    # Groups of 13 entries would take 13 times as many transactions as those of one.
    agents = _agents("front-1", "front-2", "front-3")
    assert len({route.address(found, 100.4) for found in agents}) == 1


def test_agents_move_to_the_leader_that_an_entry_names():
    agents = _agents("front-1", "front-2", "front-3")
    for found in agents:
        committed = _relayed(rows.Outcome.COMMITTED, "front-2")
        route.record_relayed(found, committed, 101.0, route.address(found, 101.0))
    assert {route.address(found, 101.1) for found in agents} == {"10.0.0.2:7000"}


def test_after_the_leaders_entry_all_agents_use_the_same_other_one_and_then_commit_directly():
    agents = _agents("front-1", "front-2", "front-3")
    used = set()
    for found in agents:
        found.leader = "front-2"
        gone = rows.Committed("row", rows.Outcome.NOT_DONE)
        route.record_relayed(found, gone, 101.0, route.address(found, 101.0))
        used.add(route.address(found, 101.1))
        route.record_relayed(found, gone, 101.2, route.address(found, 101.1))
        assert route.address(found, 101.3) == ""
        assert route.address(found, 101.2 + route.DIRECT_SECONDS) not in ("", *used)
    assert len(used) == 1
    assert used != {"10.0.0.2:7000"}


def test_an_entry_whose_partition_is_full_is_kept():
    # The partition is full for all entries; moving on would spread the agents.
    (found, *_) = _agents("front-1", "front-2", "front-3")
    before = route.address(found, 100.4)
    for number in range(5):
        route.record_relayed(found, _refused(), 101.0 + number, before)
        assert route.address(found, 101.1 + number) == before


def test_an_entry_that_never_learns_an_outcome_is_left():
    # It is cut off from the store; without this its agents stay until their leases lapse.
    (found, *_) = _agents("front-1", "front-2", "front-3")
    first = route.address(found, 100.4)
    for _ in range(route.MAX_FAILURES):
        route.record_relayed(found, _relayed(rows.Outcome.UNKNOWN, "", 1.5), 102.0, first)
    assert route.address(found, 102.1) not in ("", first)


def test_commits_stay_with_the_entry_until_its_transactions_are_quick():
    # 73 agents that try a direct commit every 5 s take twice what a slow partition applies.
    (found, *_) = _agents("front-1")
    for number in range(8):
        now = 101.0 + 2 * number
        used = route.address(found, now)
        assert used
        route.record_relayed(found, _relayed(rows.Outcome.COMMITTED), now, used)
    quick = _relayed(rows.Outcome.COMMITTED, store_seconds=0.02)
    route.record_relayed(found, quick, 117.0, "10.0.0.1:7000")
    back = 115.0 + route.RELAYED_SECONDS * (1 + route.RELAYED_SPREAD)
    assert route.address(found, back) == ""
    route.record_direct(found, _committed(), back)
    assert route.address(found, back + 0.1) == ""


def test_agents_return_to_direct_commits_at_different_times():
    # All at once would fill a partition that has just recovered.
    ends = {round(found.relayed_until, 2) for found in _agents("front-1")}
    assert max(ends) - min(ends) > 1.0


def test_delays_grow_and_differ_between_processes():
    # Agents that were refused together came again together.
    delays = [backoff.delay_seconds(f"side-{n}", 3, 0.25, 0.8) for n in range(73)]
    assert 0.4 <= min(delays) < max(delays) <= 0.8
    assert max(backoff.delay_seconds(f"side-{n}", 1, 0.25, 0.8) for n in range(73)) <= 0.25
    assert backoff.delay_seconds("side-1", 10**9, 0.25, 0.8) <= 0.8


def test_an_answer_that_only_names_the_leader_is_followed_once():
    # Otherwise two entries that disagree about the leader send an agent to and fro for ever.
    (found, *_) = _agents("front-1", "front-2")
    assert route.wanted_leader(found) == ""
    named = _relayed(rows.Outcome.NOT_DONE, "front-2", store_seconds=0.0)
    assert route.is_redirected(found, named)
    found.leader = "front-2"
    assert not route.is_redirected(found, named)
    unknown = _relayed(rows.Outcome.NOT_DONE, "front-9", store_seconds=0.0)
    assert not route.is_redirected(found, unknown)


def test_the_agents_of_a_large_fleet_are_spread_over_an_entry_of_each_data_centre():
    # The partition of 304 machines is full in normal operation, and one entry served too few.
    zones = [f"zone-{number}" for number in range(6)]
    addresses = {zone: set() for zone in zones}
    for number in range(60):
        zone = zones[number % len(zones)]
        way = route.Route(f"n{number}", sharing=sharing.Sharing(zone))
        for other in range(route.MAX_ENTRIES + 1):
            entry = entries.Entry(
                f"front-{other}",
                f"10.0.0.{other}:1",
                f"10.0.0.{other}:2",
                zones[other % len(zones)],
            )
            way.known[entry.node] = entry
        route.record_direct(way, _refused(), 100.5)
        assert not way.busy
        addresses[zone].add(route.address(way, 101.0))
    assert {len(used) for used in addresses.values()} == {1}
    assert len(set.union(*addresses.values())) == len(zones)
