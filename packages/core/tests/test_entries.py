"""Guards against agents that lose all entries or dial a failed entry continuously."""

import hypothesis
from hypothesis import strategies

from peridothatch_core.member import entries
from peridothatch_core.message import link


def entry(name, data_centre="accra-a", region="gh-south"):
    return link.EntryAddress(name, "127.0.0.1", 1000 + ord(name[-1]), data_centre, region)


def dial_state(*known, planner=""):
    state = entries.DialState("accra-a", "gh-south", (("127.0.0.1", 1),))
    entries.apply_welcome(state, link.Welcome(tuple(known), planner, 1))
    return state


def test_the_planner_is_dialled_first_and_far_entries_last():
    far = entry("far-z", "tamale-a", "gh-north")
    near = entry("near-b", "tema-b")
    planner = entry("plan-c", "tamale-a", "gh-north")
    state = dial_state(far, near, planner, planner="plan-c")
    order = entries.addresses_to_dial(state, 0.0)
    assert order == [("127.0.0.1", item.port) for item in (planner, near, far)]


def test_a_new_planner_replaces_the_least_preferred_entry():
    """Guards against an agent that never reaches the planner because its limit is used up."""
    state = dial_state(entry("a"), entry("b"), entry("c"), entry("p", "tamale-a", "gh-north"))
    state.active.update(entries.addresses_to_dial(state, 0.0))
    assert len(state.active) == entries.MAX_CONNECTIONS
    entries.apply_welcome(state, link.Welcome((), "p", 2))
    assert entries.addresses_to_drop(state) == [("127.0.0.1", entry("c").port)]


def test_seeds_are_dialled_while_no_entry_is_known():
    assert entries.addresses_to_dial(entries.DialState("a", "r", (("h", 1),)), 0.0) == [("h", 1)]


@hypothesis.settings(derandomize=True, deadline=None, max_examples=50)
@hypothesis.given(strategies.integers(1, 20), strategies.floats(0, 1))
def test_a_failing_address_is_retried_with_a_bounded_delay(failures, jitter):
    """Guards against a failed entry that is dialled in a loop or never again."""
    state = entries.DialState("a", "r", (("h", 1),))
    now = 100.0
    for _ in range(failures):
        entries.record_failure(state, ("h", 1), now, jitter)
    assert entries.addresses_to_dial(state, now) == []
    assert entries.addresses_to_dial(state, now + entries.RETRY_MAX_SECONDS) == [("h", 1)]
