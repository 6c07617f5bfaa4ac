"""Processor time and memory of a real entry process against the agents connected to it.

The agents are connections of this process that announce a worker without tasks and send a
heartbeat every 2 s, so the cost covers the socket, the codec, the links task, the planner task
and the answer.
"""

from __future__ import annotations

import asyncio
import pathlib
import tempfile

import aiohttp
import capacity_fit
import capacity_processes

from peridothatch_core.message import link
from peridothatch_core.model import worker
from peridothatch_core.start import gang_report
from peridothatch_standins import installation
from peridothatch_wire import connection, mailbox, task

SIZES = (0, 50, 100, 200, 400)
SETTLE_SECONDS = 8.0
MEASURED_SECONDS = 16.0
HEARTBEAT_SECONDS = 2.0
ENTRY = "entry-dc"
PLAN = installation.Plan({"dc": "r"}, "r", workers_per_data_centre=0)
Measured = tuple[float, float, float, float]


async def series() -> list[capacity_fit.Series]:
    """Return the costs of one entry process against the agents connected to it."""
    costs: dict[int, Measured] = {}
    for size in SIZES:
        with tempfile.TemporaryDirectory(prefix="peridothatch-capacity-") as folder:
            site = await installation.start(PLAN, pathlib.Path(folder))
            try:
                costs[size] = await _measure(site, size)
            finally:
                await installation.close(site)
    names = (
        ("entry process, processor time a second", "µs"),
        ("entry process, resident memory", "KiB"),
        ("entry process, link bytes in a second", "bytes"),
        ("entry process, link bytes out a second", "bytes"),
    )
    return [
        capacity_fit.Series(
            name, "agents", unit, tuple((size, costs[size][index]) for size in SIZES)
        )
        for index, (name, unit) in enumerate(names)
    ]


async def _measure(site: installation.Installation, agents: int) -> Measured:
    inbox = mailbox.create("agents", 65_536)
    port = site.ports[f"{ENTRY}/link"]
    dial_tasks = [
        task.start(f"dial {index}", connection.dial("127.0.0.1", port, _hello(index), inbox))
        for index in range(agents)
    ]
    opened: list[connection.Connection] = []
    receive_task = task.start("agents", _receive(inbox, opened))
    heartbeat_task = task.start("heartbeats", _send_heartbeats(opened))
    try:
        await asyncio.sleep(SETTLE_SECONDS)
        async with aiohttp.ClientSession() as session:
            before = await capacity_processes.read(session, site, ENTRY)
            await asyncio.sleep(MEASURED_SECONDS)
            after = await capacity_processes.read(session, site, ENTRY)
    finally:
        for running in (heartbeat_task, receive_task, *dial_tasks):
            await task.close(running)
    if len(opened) != agents:
        raise RuntimeError(f"{len(opened)} connections were opened; expected {agents}")
    rate = {key: (after[key] - before[key]) / MEASURED_SECONDS for key in before}
    return 1e6 * rate["seconds"], 1024 * after["mebibytes"], rate["bytes_in"], rate["bytes_out"]


def _hello(index: int) -> link.Hello:
    return link.Hello(link.PROTOCOL_VERSION, "agent", f"agent-{index}", "1", "dc", "r")


async def _receive(inbox: mailbox.Mailbox, opened: list[connection.Connection]) -> None:
    """Announce a worker on each new connection, and again whenever the entry requests it."""
    while True:
        event = await mailbox.take(inbox)
        if isinstance(event, connection.Opened):
            _announce(event.connection, len(opened))
            opened.append(event.connection)
        elif isinstance(event, connection.Received):
            message = event.message
            if isinstance(message, link.HeartbeatAck) and message.announce:
                _announce(event.connection, opened.index(event.connection))


def _announce(target: connection.Connection, number: int) -> None:
    one = worker.Worker(f"w{number}", "dc", f"r{number // 16}", 8, 64, 262_144, "v1")
    connection.send(target, link.AnnounceWorker(one))


async def _send_heartbeats(opened: list[connection.Connection]) -> None:
    """Send the heartbeats of all agents, spread evenly over the interval."""
    empty = gang_report.digest(())
    loop = asyncio.get_running_loop()
    due = loop.time()
    while True:
        for target in tuple(opened):
            connection.send(target, link.Heartbeat(loop.time(), empty))
            due += HEARTBEAT_SECONDS / len(opened)
            await asyncio.sleep(max(0.0, due - loop.time()))
        if not opened:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            due = loop.time()
