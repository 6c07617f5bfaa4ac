"""Length-prefixed frames on asyncio streams."""

from __future__ import annotations

import asyncio
import struct

MAX_FRAME_BYTES = 2 * 1024 * 1024

_LENGTH = struct.Struct(">I")


class FrameTooLongError(ValueError):
    """The other end announced a frame over the limit."""


async def read(reader: asyncio.StreamReader, limit_bytes: int = MAX_FRAME_BYTES) -> bytes:
    """Read one frame.

    Raises
    ------
    FrameTooLongError
        The announced length is over ``limit_bytes``; nothing of the body was read.
    asyncio.IncompleteReadError
        The connection ended.
    """
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > limit_bytes:
        raise FrameTooLongError(f"a frame of {length} bytes; expected at most {limit_bytes}")
    return await reader.readexactly(length)


def pack(body: bytes) -> bytes:
    """Return ``body`` with its length in front."""
    if len(body) > MAX_FRAME_BYTES:
        raise FrameTooLongError(
            f"a frame of {len(body)} bytes; expected at most {MAX_FRAME_BYTES}"
        )
    return _LENGTH.pack(len(body)) + body
