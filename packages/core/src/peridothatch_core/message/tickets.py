"""Messages to and from the task that requests tickets from the ticket service."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Callable


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Request tickets that allow workers to run a step.

    Answered by an ``Answered`` with the same token.

    Attributes
    ----------
    step : str
        Name of the step: its job, occurrence and number, separated by dots.
    workers : tuple of str
        Ids of the workers.
    """

    token: typing.Any
    step: str
    workers: tuple[str, ...]
    answer: Callable[[Answered], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """Response of the ticket service.

    Attributes
    ----------
    granted : dict or None
        Tickets by worker id; ``None`` if the service gave no valid response.
    valid_ms : int
        Period of validity of the tickets.
    """

    token: typing.Any
    granted: dict[str, str] | None
    valid_ms: int = 0
    reason: str = ""
