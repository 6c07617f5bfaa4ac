"""Workers as their agents announce them."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """A worker VM and what it offers.

    Attributes
    ----------
    incarnation : str
        Changes when the worker VM restarts; tasks of an earlier incarnation have stopped.
    """

    id: str
    data_centre: str
    rack: str
    accelerators: int
    cores: int
    memory_mb: int
    incarnation: str = ""
