"""Data centres and their service state."""

from __future__ import annotations

import dataclasses
import enum


class Service(enum.StrEnum):
    """Whether tasks may start in a data centre."""

    IN = "in"
    OUT = "out"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentre:
    """A data centre and its region.

    Attributes
    ----------
    service : Service
        ``LOST`` is set by an operator to confirm that no task runs in the data centre.
    """

    name: str
    region: str
    service: Service = Service.IN
