"""TCP proxy that can drop or silence its connections, as a stand-in for a network path."""

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

    ``cut`` aborts all open connections and each new one. ``silence`` stops forwarding on the open
    connections without closing them; new connections are forwarded.
    """

    mode: typing.Literal["up", "cut", "silence"]


@dataclasses.dataclass(slots=True)
class ForwardedConnection:
    """Client and target side of a forwarded connection."""

    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    silenced: bool = False


@dataclasses.dataclass(slots=True)
class Path:
    """State of the proxy for one target port."""

    target_port: int
    cut: bool = False
    connections: list[ForwardedConnection] = dataclasses.field(default_factory=list)


async def start(listen_port: int, target_port: int, control_port: int) -> server.RunningServer:
    """Forward ``listen_port`` to ``target_port`` and serve the switches at ``control_port``."""
    path = Path(target_port)

    async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            await _forward(path, reader, writer)
        writer.close()

    listener = await asyncio.start_server(accept, HOST, listen_port)

    async def switch(request: requests.Request) -> responses.Response:
        body = await server.parse_body(request, SwitchesBody)
        _set_mode(path, body.mode)
        return responses.JSONResponse({"mode": body.mode, "connections": len(path.connections)})

    async def stop() -> None:
        listener.close()
        _set_mode(path, "cut")

    app = applications.Starlette(
        routes=[routing.Route("/switches", switch, methods=["POST"])],
        exception_handlers=server.EXCEPTION_HANDLERS,
    )
    return await server.start(app, control_port, (stop,))


def _set_mode(path: Path, mode: str) -> None:
    path.cut = mode == "cut"
    for connection in path.connections:
        connection.silenced = connection.silenced or mode == "silence"
        if path.cut:
            for writer in connection.writers:
                writer.transport.abort()


async def _forward(path: Path, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    if path.cut:
        writer.transport.abort()
        return
    target_reader, target_writer = await asyncio.open_connection(HOST, path.target_port)
    connection = ForwardedConnection((writer, target_writer))
    path.connections.append(connection)
    try:
        await asyncio.gather(
            _copy(connection, reader, target_writer), _copy(connection, target_reader, writer)
        )
    finally:
        path.connections.remove(connection)
        target_writer.close()


async def _copy(
    connection: ForwardedConnection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while data := await reader.read(CHUNK_BYTES):
        # A silenced connection discards the data but stays open, as when a NAT entry is lost.
        if not connection.silenced:
            writer.write(data)
            await writer.drain()
    if not connection.silenced:
        writer.close()


def main(
    listen_port: int = typer.Option(...),
    target_port: int = typer.Option(...),
    port: int = typer.Option(0, help="Port of the switches."),
) -> None:
    """Run a network path on 127.0.0.1."""
    server.run(lambda: start(listen_port, target_port, port))


if __name__ == "__main__":
    typer.run(main)
