"""Classes of work and their targets."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Within:
    """A target counted from submission, in seconds."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ByTime:
    """A target at a local time of day, in a named time zone."""

    hour: int
    minute: int
    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkClass:
    """A class of work.

    Attributes
    ----------
    target : Within or ByTime
        When work of the class should be complete.
    urgent : bool
        Work of the class should start within 1.1 s and may stop borrowed work.
    """

    name: str
    target: Within | ByTime
    urgent: bool = False
    promised_by: str = ""
    promised_at: float = 0.0
