import dataclasses

from peridothatch_core.model import steps, verdict
from peridothatch_core.reception import calls, peers

REFUSAL = verdict.Refusal(verdict.Verdict.NOT_RUN, verdict.Code.STORE_UNAVAILABLE, "no answer")


def _peers(leader="front-3"):
    addresses = {f"front-{number}": f"10.0.0.{number}:80" for number in range(1, 5)}
    return peers.Peers("front-1", addresses, leader)


def test_the_leader_is_tried_first_and_the_entry_itself_never():
    assert peers.candidates(_peers(), 0.0) == ["front-3", "front-2"]
    assert peers.candidates(_peers(leader="front-1"), 0.0) == ["front-2", "front-3"]


def test_an_entry_that_failed_gets_no_calls_for_a_while():
    # Otherwise each call would wait for the timeout of an entry that is unreachable.
    known = _peers()
    peers.mark_unavailable(known, "front-3", 10.0)
    assert peers.candidates(known, 10.1) == ["front-2", "front-4"]
    assert peers.candidates(known, 10.0 + peers.UNAVAILABLE_SECONDS)[0] == "front-3"


def test_only_calls_refused_for_lack_of_the_store_are_forwarded():
    assert peers.can_forward(REFUSAL)
    assert not peers.can_forward(dataclasses.replace(REFUSAL, code=verdict.Code.UNAUTHORIZED))
    assert not peers.can_forward(calls.Reported(steps.JobState.QUEUED))
    assert not peers.can_forward(None)
