"""Customers and what they were guaranteed."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from peridothatch_core.model import shape


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """A tenant of the pool.

    Attributes
    ----------
    name : str
        Unique name.
    quota_accelerators : int
        Most accelerators that the customer may hold at a time, borrowed ones included.
    token_sha256 : str
        Hex digest of the bearer token.
    """

    name: str
    quota_accelerators: int
    token_sha256: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Guarantee:
    """A shape that a customer can always have, a number of times over.

    Attributes
    ----------
    data_centre : str
        Where the guarantee is kept; empty until the system has chosen.
    promised_by, promised_at : str, float
        Operator and time in seconds since 1970-01-01 UTC.
    pinned : bool
        An operator named the data centre, so the system does not choose another.
    """

    name: str
    customer: str
    shape: shape.GangShape
    count: int = 1
    data_centre: str = ""
    promised_by: str = ""
    promised_at: float = 0.0
    pinned: bool = False
