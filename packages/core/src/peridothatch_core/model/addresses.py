"""Addresses as text."""

from __future__ import annotations

import ipaddress

MAX_PORT = 65_535


def parse(text: str) -> tuple[str, int]:
    """Return the IP address and the port of an address such as ``10.0.0.1:8080``.

    Raises
    ------
    ValueError
        The text is not an IP address and a port from 1 to 65535.
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(f"{text[:100]!r}: expected an IP address and a port") from None
    if not port.isascii() or not port.isdecimal() or len(port) > len(str(MAX_PORT)):
        raise ValueError(f"{text[:100]!r}: expected an IP address and a port")
    if not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"{text[:100]!r}: expected a port from 1 to {MAX_PORT}")
    return host, int(port)
