"""Load: a large fleet whose renewals alone fill a partition that is well."""

import pytest

from peridothatch_core.commit import route, sharing
from peridothatch_core.message import rows
from peridothatch_core.model import entries

ZONES = {"front-1": "accra-a", "front-2": "accra-a", "front-3": "accra-a", "front-4": "wa-a"}
NOW = 100.0


def _route(node="side-1", data_centre="accra-a", waited=True):
    found = route.Route(node, sharing=sharing.Sharing(data_centre))
    for name, zone in ZONES.items():
        found.known[name] = entries.Entry(name, "", f"{name}:7000", zone)
    if waited:
        _record_direct(found, sharing.WAITED_SECONDS + 0.01)
    return found


def _record_direct(found, seconds, outcome=rows.Outcome.COMMITTED, now=NOW):
    route.record_direct(found, rows.Committed("row", outcome, 1, 1, now - seconds, now), now)


def _record_relayed(found, used, outcome, was_reached=True, now=NOW, store_seconds=0.03):
    relayed = rows.Relayed("", store_seconds)
    done = rows.Committed("row", outcome, relayed=relayed)
    route.record_relayed(found, done, now, used, was_reached)


def _shared(found, now=NOW):
    return route.address(found, now, is_sharable=True)


def test_a_commit_that_has_waited_makes_the_agents_of_a_data_centre_share_an_entry():
    agents = [_route(f"side-{number}") for number in range(20)]
    (used,) = {_shared(found) for found in agents}
    assert used.split(":")[0] in ("front-1", "front-2", "front-3")
    assert _shared(_route("side-30", "wa-a")) == "front-4:7000"


def test_claims_stay_direct_while_renewals_are_shared():
    # In a group, a claim whose order is withdrawn fails for all others.
    assert route.address(_route(), NOW) == ""


def test_commits_that_do_not_wait_are_direct():
    found = _route(waited=False)
    _record_direct(found, 0.05)
    assert _shared(found) == ""


def test_agents_stop_sharing_at_different_times():
    ends = {round(_route(f"side-{number}").sharing.until, 1) for number in range(20)}
    assert min(ends) >= NOW + sharing.SHARED_SECONDS
    assert max(ends) - min(ends) > 5.0


def test_an_entry_that_fails_while_the_store_answers_is_followed_by_a_direct_commit():
    found = _route()
    first = _shared(found)
    _record_relayed(found, first, rows.Outcome.UNKNOWN)
    assert _shared(found) == ""
    _record_direct(found, 0.01)
    second = _shared(found, NOW + 0.1)
    assert second not in ("", first)
    assert _shared(found, NOW + sharing.AVOIDED_SECONDS) == first


def test_an_entry_that_is_gone_is_tried_less_and_less_often():
    # Its row stays in the store. The agents of its data centre tried it first every 5 s, and each
    # renewal after that was 0.25 s late.
    found = _route()
    first = _shared(found)
    now, tried = NOW, []
    while now < NOW + 40.0:
        _record_direct(found, sharing.WAITED_SECONDS + 0.01, now=now)
        used = _shared(found, now)
        tried += [now] if used == first else []
        outcome = rows.Outcome.NOT_DONE if used == first else rows.Outcome.COMMITTED
        _record_relayed(found, used, outcome, now=now)
        now += 0.5
    assert len(tried) <= 4
    _record_relayed(found, first, rows.Outcome.COMMITTED, now=now)
    assert not found.sharing.avoided_seconds


def test_during_an_outage_agents_stay_at_the_entries_of_their_data_centre():
    # When all of them commit directly as the store comes back, the last waits for the others.
    found = _route()
    first = _shared(found)
    used = []
    for number in range(12):
        now = NOW + 0.3 * number
        used.append(_shared(found, now))
        _record_relayed(found, used[-1], rows.Outcome.UNKNOWN, was_reached=False, now=now)
    assert "" not in used
    assert used[::2] == [first] * 6
    _record_relayed(found, first, rows.Outcome.COMMITTED, now=NOW + 4.0)
    assert _shared(found, NOW + 4.0) == first


def test_an_entry_that_refuses_for_a_full_partition_is_kept():
    # Agents committed directly after such a refusal, and filled the partition further.
    found = _route()
    first = _shared(found)
    refused = rows.Committed(
        "row", rows.Outcome.NOT_DONE, busy=True, relayed=rows.Relayed("", 1.0)
    )
    for number in range(4):
        route.record_relayed(found, refused, NOW + number, first, True)
        assert _shared(found, NOW + number) == first


def test_a_shared_commit_gets_more_time_while_the_store_is_slow():
    # It waits for the group before its own.
    found = _route()
    _record_direct(found, 0.05)
    assert route.is_quick(found, NOW)
    _record_direct(found, 0.4)
    assert route.is_shared(found, NOW)
    assert not route.is_quick(found, NOW)


def test_entries_that_are_all_lost_leave_direct_commits():
    found = _route()
    for node in ZONES:
        found.sharing.suspects.add(node)
    _record_direct(found, 0.01)
    assert _shared(found) == ""
    assert _shared(found, NOW + sharing.AVOIDED_SECONDS)


@pytest.mark.parametrize("outcome", [rows.Outcome.NOT_DONE, rows.Outcome.UNKNOWN])
def test_claims_go_through_the_entry_as_well_when_the_store_turns_the_agent_away(outcome):
    found = _route()
    _record_direct(found, 0.01, outcome)
    assert route.address(found, NOW) == _shared(found) != ""


def test_a_partition_that_was_slow_leaves_no_sharing_behind():
    # What has waited then has waited for a slow partition, not for a large fleet.
    found = _route()
    _record_direct(found, route.SLOW_SECONDS)
    assert found.busy
    _record_direct(found, 0.01, now=NOW + 8.0)
    assert _shared(found, NOW + 8.0) == ""
