"""A snapshot of the configuration at one revision."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from peridothatch_core.model import customer, datacentre, workclass

SYSTEM = "system"
"""Author of automatic changes. The name is reserved, so no operator can have it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The configuration at one revision; its mappings must not be modified.

    Attributes
    ----------
    operator_tokens : mapping of str to str
        Operator names, keyed by the SHA-256 hex digest of the operator's token.
    """

    revision: int = 0
    customers: Mapping[str, customer.Customer] = dataclasses.field(default_factory=dict)
    guarantees: Mapping[str, customer.Guarantee] = dataclasses.field(default_factory=dict)
    classes: Mapping[str, workclass.WorkClass] = dataclasses.field(default_factory=dict)
    data_centres: Mapping[str, datacentre.DataCentre] = dataclasses.field(default_factory=dict)
    operator_tokens: Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """An accepted configuration change.

    Attributes
    ----------
    kind : str
        ``customer``, ``guarantee``, ``class``, ``data_centre`` or ``operator``.
    name : str
        Name of the changed object.
    value : object or None
        New value of the object (a token digest for ``operator``); ``None`` deletes the object.
    changed_by, changed_at : str, float
        Operator who made the change, and its time in seconds since 1970-01-01 UTC.
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
