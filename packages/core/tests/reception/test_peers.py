import dataclasses

from peridothatch_core.model import steps, verdict
from peridothatch_core.reception import calls, peers

REFUSAL = verdict.Refusal(verdict.Verdict.NOT_RUN, verdict.Code.STORE_UNAVAILABLE, "no answer")


def _known(leader="front-3"):
    addresses = {f"front-{number}": f"10.0.0.{number}:80" for number in range(1, 5)}
    return peers.Peers("front-1", addresses, leader)


def test_the_leader_is_asked_first_and_never_the_entry_itself():
    assert peers.candidates(_known(), 0.0) == ["front-3", "front-2"]
    assert peers.candidates(_known(leader="front-1"), 0.0) == ["front-2", "front-3"]


def test_an_entry_that_has_failed_is_not_asked_for_a_while():
    # Each call would be held for the whole wait for an entry that is cut off as well.
    known = _known()
    peers.mark_unavailable(known, "front-3", 10.0)
    assert peers.candidates(known, 10.1) == ["front-2", "front-4"]
    assert peers.candidates(known, 10.0 + peers.AVOID_SECONDS)[0] == "front-3"


def test_only_calls_that_need_the_store_are_passed_on():
    assert peers.can_forward(REFUSAL)
    assert not peers.can_forward(dataclasses.replace(REFUSAL, code=verdict.Code.UNAUTHORIZED))
    assert not peers.can_forward(calls.Reported(steps.JobState.QUEUED))
    assert not peers.can_forward(None)


def test_a_refusal_as_not_run_is_not_repeated_when_another_entry_may_have_run_the_call():
    # A caller would submit a job elsewhere that has been accepted.
    assert peers.with_unknown_outcome(REFUSAL).verdict is verdict.Verdict.MAY_HAVE_RUN
