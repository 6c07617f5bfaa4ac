"""Stand-in for a network path: forwards TCP connections and can cut or silence them."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import typing

import typer
from starlette import applications, requests, responses, routing

from peridothatch_standins import server

CHUNK_BYTES = 65_536
HOST = "127.0.0.1"


class SwitchesBody(server.Body):
    """Body of ``POST /switches``.

    ``cut`` closes all connections and refuses new ones. ``silence`` stops forwarding on the
    connections that are open now, without closing them; new ones work.
    """

    mode: typing.Literal["up", "cut", "silence"]


@dataclasses.dataclass(slots=True)
class Pair:
    """A forwarded connection."""

    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    silent: bool = False


@dataclasses.dataclass(slots=True)
class Path:
    """A path to one address and the connections on it."""

    target_port: int
    cut: bool = False
    pairs: list[Pair] = dataclasses.field(default_factory=list)


async def start(listen_port: int, target_port: int, control_port: int) -> server.Running:
    """Forward ``listen_port`` to ``target_port``; switches are at ``control_port``."""
    path = Path(target_port)

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            await _forward(path, reader, writer)
        writer.close()

    listener = await asyncio.start_server(accept, HOST, listen_port)

    async def switch(request: requests.Request) -> responses.Response:
        body = await server.parse(request, SwitchesBody)
        _switch(path, body.mode)
        return responses.JSONResponse({"mode": body.mode, "connections": len(path.pairs)})

    async def stop() -> None:
        listener.close()
        _switch(path, "cut")

    app = applications.Starlette(
        routes=[routing.Route("/switches", switch, methods=["POST"])],
        exception_handlers=server.HANDLERS,
    )
    return await server.start(app, control_port, (stop,))


def _switch(path: Path, mode: str) -> None:
    path.cut = mode == "cut"
    for pair in path.pairs:
        pair.silent = pair.silent or mode == "silence"
        if path.cut:
            for writer in pair.writers:
                writer.transport.abort()


async def _forward(path: Path, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    if path.cut:
        writer.transport.abort()
        return
    far_reader, far_writer = await asyncio.open_connection(HOST, path.target_port)
    pair = Pair((writer, far_writer))
    path.pairs.append(pair)
    try:
        await asyncio.gather(_copy(pair, reader, far_writer), _copy(pair, far_reader, writer))
    finally:
        path.pairs.remove(pair)
        far_writer.close()


async def _copy(pair: Pair, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(CHUNK_BYTES):
        # A silent connection takes what is sent and says nothing, as after a lost NAT entry.
        if not pair.silent:
            writer.write(data)
            await writer.drain()
    if not pair.silent:
        writer.close()


def main(
    listen_port: int = typer.Option(...),
    target_port: int = typer.Option(...),
    port: int = typer.Option(0, help="Port of the switches."),
) -> None:
    """Run the stand-in."""
    server.run(lambda: start(listen_port, target_port, port))


if __name__ == "__main__":
    typer.run(main)
