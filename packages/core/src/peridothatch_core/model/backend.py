"""Backend servers, as announced by their agents."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server of a service.

    Attributes
    ----------
    slots : int
        Number of requests that the server processes at a time.
    connections : int
        Number of connections that the server accepts.
    leaving : bool
        The server is shutting down and accepts no new requests.
    """

    id: str
    service: str
    data_centre: str
    region: str
    slots: int = 8
    connections: int = 64
    leaving: bool = False
