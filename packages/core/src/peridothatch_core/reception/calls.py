"""Calls of clients about jobs, and their answers."""

from __future__ import annotations

import dataclasses
import enum
import typing

from peridothatch_core.model import tables

if typing.TYPE_CHECKING:
    from peridothatch_core.message import rows
    from peridothatch_core.model import steps, verdict

JOB_ID_DIGITS = 16
"""Number of hexadecimal digits in the id of a job, which ends the path of a call."""


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
    min_version : int
        Version of the desired state that an entry which forwards the call has answered by; an
        older one must not decide the call.
    """

    action: Action
    host: str
    path: str
    key: str
    submission: Submission | verdict.Refusal | None
    budget_seconds: float
    min_version: int = 0


def effect_key(call: Call) -> rows.Key | None:
    """Return the key of the row that a call writes, or ``None`` if it only reads."""
    job_id = call.path[-JOB_ID_DIGITS:]
    match call.action:
        case Action.SUBMIT:
            return tables.job_key(job_id)
        case Action.CANCEL:
            return tables.cancel_key(job_id)
        case _:
            return None


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
