"""Customers and their guaranteed capacity."""

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
        Maximum number of accelerators held at a time, including borrowed ones.
    token_sha256 : str
        SHA-256 hex digest of the bearer token.
    """

    name: str
    quota_accelerators: int
    token_sha256: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Guarantee:
    """Capacity reserved for a customer: ``count`` gangs of one shape.

    Attributes
    ----------
    data_centre : str
        Data centre that provides the capacity; empty until the system has chosen one.
    promised_by, promised_at : str, float
        Operator who gave the guarantee, and its time in seconds since 1970-01-01 UTC.
    pinned : bool
        An operator set the data centre, so the system does not choose another one.
    """

    name: str
    customer: str
    shape: shape.GangShape
    count: int = 1
    data_centre: str = ""
    promised_by: str = ""
    promised_at: float = 0.0
    pinned: bool = False
