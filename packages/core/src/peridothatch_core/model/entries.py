"""Entries, as stored in the row store."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Addresses of an entry, as stored in its row.

    Attributes
    ----------
    node : str
        Machine that the entry runs on.
    callers : str
        Address that accepts client requests, as ``host:port``.
    internal : str
        Address that answers other processes of the system, as ``host:port``; empty if there is
        none.
    data_centre : str
        Data centre of the machine; empty if the entry did not state it.
    """

    node: str
    callers: str
    internal: str = ""
    data_centre: str = ""
