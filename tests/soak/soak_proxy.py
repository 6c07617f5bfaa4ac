"""A TCP proxy on loopback that can delay, drop or reset the traffic to one address."""

import asyncio
import contextlib
import dataclasses

CHUNK_BYTES = 65_536
HOST = "127.0.0.1"


@dataclasses.dataclass
class Proxy:
    """A proxy and its open connections.

    ``mode`` is ``up``, ``reset`` (connections are aborted), ``silent`` (all data is dropped),
    ``one_way`` (requests pass, answers are dropped) or ``slow`` (each chunk is delayed).
    A connection that has dropped data keeps dropping it after the mode is ``up`` again; new
    connections work.
    """

    target: tuple
    mode: str = "up"
    delay_seconds: float = 0.25
    server: object = None
    tasks: set = dataclasses.field(default_factory=set)
    writers: set = dataclasses.field(default_factory=set)

    @property
    def port(self):
        """Port on which the proxy listens."""
        return self.server.sockets[0].getsockname()[1]


async def start(port):
    """Start a proxy in front of a loopback port."""
    proxy = Proxy((HOST, port))

    async def accept(reader, writer):
        task = asyncio.current_task()
        proxy.tasks.add(task)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await _forward(proxy, reader, writer)
        proxy.tasks.discard(task)
        writer.close()

    proxy.server = await asyncio.start_server(accept, HOST, 0)
    return proxy


async def close(proxy):
    """Stop listening and close all connections."""
    proxy.server.close()
    for task in list(proxy.tasks):
        task.cancel()
    await asyncio.gather(*proxy.tasks, return_exceptions=True)


def set_mode(proxy, mode):
    """Set the mode; ``reset`` also aborts the open connections."""
    proxy.mode = mode
    if mode == "reset":
        for writer in list(proxy.writers):
            writer.transport.abort()


async def _forward(proxy, reader, writer):
    if proxy.mode == "reset":
        writer.transport.abort()
        return
    upstream_reader, upstream_writer = await asyncio.open_connection(*proxy.target)
    ends = {writer, upstream_writer}
    proxy.writers |= ends
    dropping = []
    try:
        await asyncio.gather(
            _copy(proxy, reader, upstream_writer, dropping, ("silent",)),
            _copy(proxy, upstream_reader, writer, dropping, ("silent", "one_way")),
        )
    finally:
        proxy.writers -= ends
        upstream_writer.close()


async def _copy(proxy, reader, writer, dropping, drop_modes):
    while data := await reader.read(CHUNK_BYTES):
        if proxy.mode in drop_modes or dropping:
            dropping.append(True)
            continue
        if proxy.mode == "slow":
            await asyncio.sleep(proxy.delay_seconds)
        writer.write(data)
        await writer.drain()
    writer.close()
