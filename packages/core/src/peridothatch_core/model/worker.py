"""Workers, as announced by their agents."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """A worker VM and its resources.

    Attributes
    ----------
    incarnation : str
        Changes with each restart of the worker VM; tasks of earlier incarnations have stopped.
    """

    id: str
    data_centre: str
    rack: str
    accelerators: int
    cores: int
    memory_mb: int
    incarnation: str = ""
