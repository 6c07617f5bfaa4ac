"""Stand-in for a machine's link that loses packets: TCP sends them again after a time-out."""

import asyncio
import contextlib
import random

OPENING_TIMEOUT_SECONDS = 1.0
DATA_TIMEOUT_SECONDS = 0.2
CHUNK_BYTES = 14_480


class Link:
    """A proxy to one address.

    Attributes
    ----------
    loss : float
        Share of the packets that are lost, 0 to 1. An opening packet counts as one, and so does
        each piece of data that is read at once.
    """

    def __init__(self, host, port):
        self.loss = 0.0
        self._target = (host, port)
        self._rng = random.Random()
        self._server = None
        self._tasks = set()

    async def start(self):
        """Listen on a free port and return it."""
        self._server = await asyncio.start_server(self._accept, self._target[0], 0)
        return self._server.sockets[0].getsockname()[1]

    async def close(self):
        """Stop listening and close all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await self._lose(OPENING_TIMEOUT_SECONDS)
            upstream_reader, upstream_writer = await asyncio.open_connection(*self._target)
            await asyncio.gather(
                self._copy(reader, upstream_writer), self._copy(upstream_reader, writer)
            )
        self._tasks.discard(task)
        writer.close()

    async def _copy(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await self._lose(DATA_TIMEOUT_SECONDS)
                writer.write(data)
                await writer.drain()
        writer.close()

    async def _lose(self, timeout_seconds):
        """Wait as long as a packet is lost and sent again, with doubled time-outs."""
        while self._rng.random() < self.loss:
            await asyncio.sleep(timeout_seconds)
            timeout_seconds *= 2
