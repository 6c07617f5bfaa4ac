"""Memory, processor share and link traffic of idle processes."""

from __future__ import annotations

import asyncio
import os
import pathlib
import tempfile
import typing

import aiohttp

from peridothatch_standins import installation

SETTLE_SECONDS = 12.0
IDLE_SECONDS = 20.0
PLAN = installation.Plan(
    data_centres={"accra-a": "gh-south", "tamale-a": "gh-north"},
    store_region="gh-south",
    workers_per_data_centre=2,
    backend_servers=(("runner-1", "notices", "accra-a"),),
)
Reading = dict[str, float]


async def report() -> None:
    """Start a small installation, leave it idle and print a row for each daemon process."""
    with tempfile.TemporaryDirectory(prefix="peridothatch-capacity-") as folder:
        site = await installation.start(PLAN, pathlib.Path(folder))
        try:
            names = [name for name in site.processes if name.startswith(("entry-", "agent-"))]
            await asyncio.sleep(SETTLE_SECONDS)
            async with aiohttp.ClientSession() as session:
                before = {name: await read(session, site, name) for name in names}
                await asyncio.sleep(IDLE_SECONDS)
                after = {name: await read(session, site, name) for name in names}
            print("| process | resident MiB | % of a core | link bytes in/s | link bytes out/s |")
            print("|---|---|---|---|---|")
            for name in names:
                print(_row(name, before[name], after[name]))
        finally:
            await installation.close(site)


async def read(
    session: aiohttp.ClientSession, site: installation.Installation, name: str
) -> Reading:
    """Return processor seconds, memory and link bytes of a process since it started."""
    child = site.processes[name].child
    assert child is not None
    folder = pathlib.Path(f"/proc/{child.pid}")
    # The command name, in parentheses, may contain spaces; the other fields follow it.
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int((folder / "statm").read_text().split()[1])
    reading = {
        "seconds": ticks / os.sysconf("SC_CLK_TCK"),
        "mebibytes": pages * os.sysconf("SC_PAGE_SIZE") / 2**20,
        "bytes_in": 0.0,
        "bytes_out": 0.0,
    }
    headers = {"Authorization": f"Bearer {installation.OPERATOR_TOKEN}"}
    async with session.get(f"{installation.url(site, name)}/debug/state", headers=headers) as got:
        got.raise_for_status()
        _add_connections(await got.json(), reading)
    return reading


def _add_connections(dump: typing.Any, reading: Reading) -> None:
    """Add up the bytes of all connections that a state dump lists, at any depth."""
    if isinstance(dump, dict):
        if "bytes_in" in dump:
            reading["bytes_in"] += dump["bytes_in"]
            reading["bytes_out"] += dump["bytes_out"]
        for value in dump.values():
            _add_connections(value, reading)
    elif isinstance(dump, list):
        for value in dump:
            _add_connections(value, reading)


def _row(name: str, before: Reading, after: Reading) -> str:
    rate = {key: (after[key] - before[key]) / IDLE_SECONDS for key in before}
    return (
        f"| {name} | {after['mebibytes']:.1f} | {100 * rate['seconds']:.2f} "
        f"| {rate['bytes_in']:.0f} | {rate['bytes_out']:.0f} |"
    )
