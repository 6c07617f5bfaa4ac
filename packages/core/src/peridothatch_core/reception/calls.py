"""Calls of clients about jobs, and their answers."""

from __future__ import annotations

import dataclasses
import enum
import typing

if typing.TYPE_CHECKING:
    from peridothatch_core.model import steps, verdict


class Action(enum.Enum):
    """Operation that a call requests."""

    SUBMIT = enum.auto()
    STATE = enum.auto()
    CANCEL = enum.auto()
    COUNT = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A job as the caller submitted it."""

    spec: str
    steps: tuple[steps.Step, ...]
    timetable: steps.Timetable | None


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call of a client.

    Attributes
    ----------
    submission : Submission, Refusal or None
        Decoded body of a submission, or why it is invalid. The refusal is returned only to
        callers that may submit.
    budget_seconds : float
        Time that the caller waits for the answer.
    """

    action: Action
    host: str
    path: str
    key: str
    submission: Submission | verdict.Refusal | None
    budget_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """Answer: the job or its cancellation is stored."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reported:
    """Answer: the state of a job."""

    state: steps.JobState


@dataclasses.dataclass(frozen=True, slots=True)
class Counted:
    """Answer: the number of a queue's jobs that have not begun."""

    pending: int


@dataclasses.dataclass(frozen=True, slots=True)
class Absent:
    """Answer: the job does not exist."""


Answer = typing.Union["Accepted", "Reported", "Counted", "Absent", "verdict.Refusal"]
