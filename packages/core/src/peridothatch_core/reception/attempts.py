"""Decides the answer to a call from the outcomes of all attempts to serve it."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.message import peers
from peridothatch_core.model import verdict

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

    from peridothatch_core.reception import calls

Answer = typing.Union["calls.Answer", peers.Response]
"""An answer of this entry, or the response of another one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to serve a call, by this entry or by another one.

    Attributes
    ----------
    verdict : Verdict
        Whether the call may have taken effect in this attempt.
    answer : Answer or None
        ``None`` if the attempt ended without an answer.
    """

    verdict: verdict.Verdict
    answer: Answer | None = None


def of_answer(answer: calls.Answer | None) -> Attempt:
    """Return the attempt of this entry, which ended with an answer or with none in time."""
    if answer is None:
        return Attempt(verdict.Verdict.MAY_HAVE_RUN)
    if isinstance(answer, verdict.Refusal):
        return Attempt(answer.verdict, answer)
    return Attempt(verdict.Verdict.RAN, answer)


def combine(attempts: Sequence[Attempt]) -> verdict.Verdict:
    """Return whether the call may have taken effect in any of its attempts.

    ``NOT_RUN`` needs certainty about every attempt: a later refusal says nothing about an earlier
    attempt whose outcome is unknown.
    """
    verdicts = {attempt.verdict for attempt in attempts}
    if verdict.Verdict.RAN in verdicts:
        return verdict.Verdict.RAN
    if verdicts <= {verdict.Verdict.NOT_RUN}:
        return verdict.Verdict.NOT_RUN
    return verdict.Verdict.MAY_HAVE_RUN


def conclude(attempts: Sequence[Attempt]) -> Answer | None:
    """Return the answer for the caller; ``None`` if no attempt ended with an answer.

    A call that took effect gets the answer of that attempt. Otherwise the last answer counts, as
    the refusal of a call that may have run unless all attempts certainly had no effect.
    """
    combined = combine(attempts)
    answered = [attempt for attempt in attempts if attempt.answer is not None]
    if combined is verdict.Verdict.RAN:
        served = [attempt for attempt in answered if attempt.verdict is verdict.Verdict.RAN]
        return served[-1].answer if served else None
    if combined is verdict.Verdict.NOT_RUN or not answered:
        return answered[-1].answer if answered else None
    refusals = [
        attempt.answer for attempt in answered if isinstance(attempt.answer, verdict.Refusal)
    ]
    if refusals:
        return dataclasses.replace(refusals[0], verdict=verdict.Verdict.MAY_HAVE_RUN)
    return None
