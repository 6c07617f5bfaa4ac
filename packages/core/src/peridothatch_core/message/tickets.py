"""Messages to and from the task that asks the ticket service."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Callable


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Ask which workers may run a step, and answer with ``Answered`` under the same token.

    Attributes
    ----------
    step : str
        Name of the step: job, occurrence and number, joined by dots.
    workers : tuple of str
        Ids of workers.
    """

    token: typing.Any
    step: str
    workers: tuple[str, ...]
    answer: Callable[[Answered], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """Answer of the ticket service.

    Attributes
    ----------
    granted : dict or None
        Tickets by worker; ``None`` when the service gave no usable answer.
    valid_ms : int
        How long the tickets are valid.
    """

    token: typing.Any
    granted: dict[str, str] | None
    valid_ms: int = 0
    reason: str = ""
