"""Identity of this process in handshakes."""

from __future__ import annotations

import secrets

from peridothatch_core.message import link


def create(process_id: str, role: str, data_centre: str, region: str) -> link.Hello:
    """Return the handshake of this process, with a new random incarnation at each start."""
    return link.Hello(
        protocol_version=link.PROTOCOL_VERSION,
        role=role,
        id=process_id,
        incarnation=secrets.token_hex(6),
        data_centre=data_centre,
        region=region,
    )
