"""Calls of callers about jobs, and the answers to them."""

from __future__ import annotations

import dataclasses
import enum
import typing

if typing.TYPE_CHECKING:
    from peridothatch_core.model import steps, verdict


class Action(enum.Enum):
    """What a caller asks for."""

    SUBMIT = enum.auto()
    STATE = enum.auto()
    CANCEL = enum.auto()
    COUNT = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A job as a caller describes it."""

    spec: str
    steps: tuple[steps.Step, ...]
    timetable: steps.Timetable | None


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One call.

    Attributes
    ----------
    submission : Submission, Refusal or None
        Body of a submission, or what is wrong with it; said only to callers who may submit.
    budget_seconds : float
        How long the caller waits.
    """

    action: Action
    host: str
    path: str
    key: str
    submission: Submission | verdict.Refusal | None
    budget_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The job is stored, or its cancellation is."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reported:
    """The state of a job."""

    state: steps.JobState


@dataclasses.dataclass(frozen=True, slots=True)
class Counted:
    """The number of a queue's jobs that have not begun."""

    pending: int


@dataclasses.dataclass(frozen=True, slots=True)
class Absent:
    """There is no such job."""


Answer = typing.Union["Accepted", "Reported", "Counted", "Absent", "verdict.Refusal"]
