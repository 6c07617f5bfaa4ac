"""A snapshot of the configuration at one revision."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from peridothatch_core.model import customer, datacentre, workclass

SYSTEM = "system"
"""Author of changes that no operator made; no operator has this name."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The configuration at one revision; the mappings must not be changed.

    Attributes
    ----------
    operator_tokens : mapping of str to str
        Operator name by the SHA-256 hex digest of its token.
    """

    revision: int = 0
    customers: Mapping[str, customer.Customer] = dataclasses.field(default_factory=dict)
    guarantees: Mapping[str, customer.Guarantee] = dataclasses.field(default_factory=dict)
    classes: Mapping[str, workclass.WorkClass] = dataclasses.field(default_factory=dict)
    data_centres: Mapping[str, datacentre.DataCentre] = dataclasses.field(default_factory=dict)
    operator_tokens: Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One accepted change.

    Attributes
    ----------
    kind : str
        ``customer``, ``guarantee``, ``class``, ``data_centre`` or ``operator``.
    name : str
        Name of the object.
    value : object or None
        The new data class of that kind (a token digest for ``operator``); ``None`` deletes.
    changed_by, changed_at : str, float
        Operator, and seconds since 1970-01-01 UTC.
    """

    revision: int
    kind: str
    name: str
    value: (
        customer.Customer
        | customer.Guarantee
        | workclass.WorkClass
        | datacentre.DataCentre
        | str
        | None
    )
    changed_by: str
    changed_at: float
