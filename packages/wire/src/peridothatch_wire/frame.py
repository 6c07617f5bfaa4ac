"""Length-prefixed frames for asyncio streams."""

from __future__ import annotations

import asyncio
import struct

MAX_FRAME_BYTES = 2 * 1024 * 1024

_LENGTH = struct.Struct(">I")


class FrameTooLongError(ValueError):
    """Raised for a frame that is longer than the limit."""


async def read(reader: asyncio.StreamReader, limit_bytes: int = MAX_FRAME_BYTES) -> bytes:
    """Read one frame.

    Raises
    ------
    FrameTooLongError
        The length in the header exceeds ``limit_bytes``; the body has not been read.
    asyncio.IncompleteReadError
        The connection ended before the frame was complete.
    """
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > limit_bytes:
        raise FrameTooLongError(f"frame has {length} bytes; expected at most {limit_bytes}")
    return await reader.readexactly(length)


def pack(body: bytes) -> bytes:
    """Return ``body`` prefixed with its length."""
    if len(body) > MAX_FRAME_BYTES:
        raise FrameTooLongError(f"frame has {len(body)} bytes; expected at most {MAX_FRAME_BYTES}")
    return _LENGTH.pack(len(body)) + body
