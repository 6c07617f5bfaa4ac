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
    """A data centre; ``LOST`` means that an operator vouches that nothing runs there."""

    name: str
    region: str
    service: Service = Service.IN
