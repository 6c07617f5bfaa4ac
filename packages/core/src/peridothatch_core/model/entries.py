"""Entries as their rows in the store show them."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """An entry's row.

    Attributes
    ----------
    node : str
        Machine that the entry runs on.
    callers : str
        Address at which it takes calls, as ``host:port``.
    """

    node: str
    callers: str
