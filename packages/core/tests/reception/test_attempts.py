"""The answer to a call that several entries have tried to serve."""

import dataclasses

import hypothesis
import pytest
from hypothesis import strategies

from peridothatch_core.message import peers
from peridothatch_core.model import verdict
from peridothatch_core.reception import attempts, calls

NOT_RUN = verdict.Verdict.NOT_RUN
MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN
RAN = verdict.Verdict.RAN
OWN = verdict.Refusal(NOT_RUN, verdict.Code.STORE_UNAVAILABLE, "no answer")


@dataclasses.dataclass(frozen=True)
class Course:
    """What one attempt did, and what the entry that forwards the call learns of it."""

    effect: bool
    seen: attempts.Attempt


def _course(effect, found, status=None):
    response = None if status is None else peers.Response(status, (), b"")
    return Course(effect, attempts.Attempt(found, response))


OWN_COURSES = {
    "refused before the write": Course(False, attempts.of_answer(OWN)),
    "timed out without effect": Course(
        False, attempts.of_answer(dataclasses.replace(OWN, verdict=MAY_HAVE_RUN))
    ),
    "timed out with effect": Course(
        True, attempts.of_answer(dataclasses.replace(OWN, verdict=MAY_HAVE_RUN))
    ),
}
PEER_COURSES = {
    "committed": _course(True, RAN, 200),
    "refused": _course(False, NOT_RUN, 401),
    "overloaded": _course(False, NOT_RUN, 429),
    "without the store": _course(False, NOT_RUN),
    "not reached": _course(False, NOT_RUN),
    "connection lost, no effect": _course(False, MAY_HAVE_RUN),
    "connection lost after the effect": _course(True, MAY_HAVE_RUN),
    "gateway timeout, with effect": _course(True, MAY_HAVE_RUN, 504),
    "failed, no effect": _course(False, MAY_HAVE_RUN, 500),
}
COURSES = strategies.tuples(
    strategies.sampled_from(sorted(OWN_COURSES)),
    strategies.lists(strategies.sampled_from(sorted(PEER_COURSES)), max_size=4),
)


def _verdict_for_caller(answer):
    """Return what the caller reads from an answer."""
    if isinstance(answer, verdict.Refusal):
        return answer.verdict
    if isinstance(answer, peers.Response):
        return RAN if answer.status < 300 else NOT_RUN if answer.status < 500 else MAY_HAVE_RUN
    return MAY_HAVE_RUN if answer is None else RAN


def _is_true(conclude, own, others):
    """Return whether the answer that ``conclude`` gives is true."""
    courses = [OWN_COURSES[own], *(PEER_COURSES[name] for name in others)]
    told = _verdict_for_caller(conclude([course.seen for course in courses]))
    happened = any(course.effect for course in courses)
    return not (told is NOT_RUN and happened) and not (told is RAN and not happened)


@hypothesis.given(COURSES)
@hypothesis.settings(derandomize=True, max_examples=500)
def test_no_order_of_outcomes_gives_an_untrue_answer(courses):
    assert _is_true(attempts.conclude, *courses)


def test_the_property_fails_if_the_last_answer_counts():
    # A peer's refusal replaced the entry's own unknown outcome, and the job ran.
    def conclude(tried):
        return tried[-1].answer

    assert not _is_true(conclude, "timed out with effect", ["refused"])


@hypothesis.given(COURSES)
@hypothesis.settings(derandomize=True, max_examples=200)
def test_certain_refusals_stay_certain(courses):
    # An answer of "may have run" to everything would be true and of no use to callers.
    own, others = courses
    seen = [OWN_COURSES[own].seen, *(PEER_COURSES[name].seen for name in others)]
    if all(attempt.verdict is NOT_RUN for attempt in seen):
        assert _verdict_for_caller(attempts.conclude(seen)) is NOT_RUN


def test_the_last_refusal_is_given_when_nothing_has_run():
    refusal = PEER_COURSES["refused"].seen
    assert attempts.conclude([attempts.of_answer(OWN), refusal]) is refusal.answer


@pytest.mark.parametrize(
    ("action", "key"),
    [
        (calls.Action.SUBMIT, "j/00000000000000aa"),
        (calls.Action.CANCEL, "c/00000000000000aa"),
        (calls.Action.STATE, None),
        (calls.Action.COUNT, None),
    ],
)
def test_only_submissions_and_cancellations_write_a_row(action, key):
    call = calls.Call(action, "a.example", "/jobs/00000000000000aa", "k1", None, 3.0)
    found = calls.effect_key(call)
    assert (found and found.key) == key
