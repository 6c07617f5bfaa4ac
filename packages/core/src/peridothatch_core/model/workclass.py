"""Classes of work and their completion targets."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Within:
    """A target relative to the time of submission, in seconds."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ByTime:
    """A target at a time of day in a named time zone."""

    hour: int
    minute: int
    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkClass:
    """A class of work with its completion target.

    Attributes
    ----------
    target : Within or ByTime
        Time by which work of the class should be complete.
    urgent : bool
        Work of the class should start within 1.1 s and may preempt work on borrowed capacity.
    """

    name: str
    target: Within | ByTime
    urgent: bool = False
    promised_by: str = ""
    promised_at: float = 0.0
