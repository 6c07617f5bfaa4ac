"""Backend servers as their agents announce them."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server of a service, with its slots and connections."""

    id: str
    service: str
    data_centre: str
    region: str
    slots: int = 8
    connections: int = 64
    leaving: bool = False
