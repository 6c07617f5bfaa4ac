"""A whole installation on loopback, as separate processes, for the demo and failure tests."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import hashlib
import os
import pathlib
import signal
import socket
import sys
import typing

import yaml

HOST = "127.0.0.1"
OPERATOR_TOKEN = "operator-token-of-the-demo"
FIRST_PORT = 12_000
EPHEMERAL_PORT = 32_768
PORTS_IN_BLOCK = 100
READY_TIMEOUT_SECONDS = 60.0
STOP_TIMEOUT_SECONDS = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What an installation consists of.

    Attributes
    ----------
    data_centres : dict of str to str
        Region by data centre; each gets one entry.
    workers_per_data_centre : int
        Workers of one rack in each data centre.
    backend_servers : tuple of (id, service, data_centre)
        Backend servers.
    network_paths : bool
        Put a network path that can fail between each entry and the table service, and one in
        front of the links of each entry.
    """

    data_centres: dict[str, str]
    store_region: str
    workers_per_data_centre: int = 3
    accelerators: int = 8
    cores: int = 64
    memory_mb: int = 262_144
    backend_servers: tuple[tuple[str, str, str], ...] = ()
    network_paths: bool = False


@dataclasses.dataclass(slots=True)
class Process:
    """One process of the installation and what is needed to start it again."""

    name: str
    command: list[str]
    log_path: pathlib.Path
    child: asyncio.subprocess.Process | None = None


@dataclasses.dataclass(slots=True)
class Installation:
    """The running processes by name, and their addresses.

    Attributes
    ----------
    guard : socket
        Listener on the first port of the block; it keeps other installations off the block.
    """

    plan: Plan
    directory: pathlib.Path
    processes: dict[str, Process] = dataclasses.field(default_factory=dict)
    ports: dict[str, int] = dataclasses.field(default_factory=dict)
    block_listener: socket.socket | None = None


def entry_names(plan: Plan) -> dict[str, str]:
    """Return the data centre by entry name."""
    return {f"entry-{name}": name for name in plan.data_centres}


def worker_names(plan: Plan) -> dict[str, str]:
    """Return the data centre by worker name."""
    return {
        f"worker-{name}-{number}": name
        for name in plan.data_centres
        for number in range(1, plan.workers_per_data_centre + 1)
    }


def agent_name(beside: str) -> str:
    """Return the name of the agent beside a worker or backend server."""
    return f"agent-{beside}"


def url(installation: Installation, name: str) -> str:
    """Return the HTTP address of a process; of an agent, that of its debug server."""
    return f"http://{HOST}:{installation.ports[name]}"


def store_path(entry: str) -> str:
    """Return the name of the network path from an entry to the table service."""
    return f"path-{entry}-store"


def link_path(entry: str) -> str:
    """Return the name of the network path to the links of an entry."""
    return f"path-{entry}-link"


def switches_url(installation: Installation, name: str) -> str:
    """Return the address of the switches of a stand-in."""
    return f"http://{HOST}:{installation.ports[name]}"


async def start(plan: Plan, folder: pathlib.Path) -> Installation:
    """Start all processes and wait until they are ready.

    Raises
    ------
    TimeoutError, RuntimeError
        A process did not become ready; its log is in ``folder``.
    """
    installation = Installation(plan, folder)
    names = list(_all_names(plan))
    installation.block_listener, ports = _claim_ports(2 * len(names))
    for name in names:
        installation.ports[name] = ports.pop()
        installation.ports[f"{name}/link"] = ports.pop()
    for name, command in _commands(installation).items():
        installation.processes[name] = Process(name, command, folder / f"{name}.log")
    try:
        for stage in _stages(plan):
            await asyncio.gather(*(start_process(installation, name) for name in stage))
    except BaseException:
        await close(installation)
        raise
    return installation


async def close(installation: Installation) -> None:
    """Stop all processes, agents and entries before the platform."""
    for stage in reversed(list(_stages(installation.plan))):
        await asyncio.gather(*(stop_process(installation, name) for name in stage))
    if installation.block_listener is not None:
        installation.block_listener.close()


async def start_process(installation: Installation, name: str) -> None:
    """Start a process, or start it again, and wait for its line of readiness."""
    process = installation.processes[name]
    # Appends, so that the log of an earlier life stays readable.
    with process.log_path.open("ab") as log:
        offset = log.tell()
        process.child = await asyncio.create_subprocess_exec(
            *process.command, stdout=log, stderr=log, env=os.environ | {"PYTHONUNBUFFERED": "1"}
        )
    await asyncio.wait_for(_wait_ready(process, offset), READY_TIMEOUT_SECONDS)


async def stop_process(installation: Installation, name: str) -> int | None:
    """Ask a process to stop gracefully; return its exit status."""
    process = installation.processes[name]
    child = process.child
    if child is None:
        return None
    if child.returncode is None:
        child.terminate()
        try:
            await asyncio.wait_for(child.wait(), STOP_TIMEOUT_SECONDS)
        except TimeoutError:
            child.kill()
            await child.wait()
    process.child = None
    return child.returncode


async def kill_process(installation: Installation, name: str) -> None:
    """End a process without notice."""
    child = installation.processes[name].child
    assert child is not None
    with contextlib.suppress(ProcessLookupError):
        child.kill()
    await child.wait()
    installation.processes[name].child = None


def pause_process(installation: Installation, name: str) -> None:
    """Stop a process from running until ``resume_process``."""
    child = installation.processes[name].child
    assert child is not None
    child.send_signal(signal.SIGSTOP)


def resume_process(installation: Installation, name: str) -> None:
    """Let a paused process run again."""
    child = installation.processes[name].child
    assert child is not None
    child.send_signal(signal.SIGCONT)


def _claim_ports(count: int) -> tuple[socket.socket, list[int]]:
    """Return a guard and the ports of a block that no other installation uses.

    The blocks lie below the range of ephemeral ports, because a process that is started again
    could find its port taken by an outgoing connection.
    """
    for first in range(FIRST_PORT, EPHEMERAL_PORT - PORTS_IN_BLOCK, PORTS_IN_BLOCK):
        try:
            guard = socket.create_server((HOST, first))
        except OSError:
            continue
        return guard, list(range(first + 1, first + 1 + count))
    raise RuntimeError("no block of ports is free")


def _all_names(plan: Plan) -> typing.Iterator[str]:
    for stage in _stages(plan):
        yield from stage


def _stages(plan: Plan) -> typing.Iterator[list[str]]:
    """Return the names of the processes in the order in which they start."""
    backends = [name for name, _, _ in plan.backend_servers]
    workers = list(worker_names(plan))
    yield ["table-service", "object-store"]
    if plan.network_paths:
        yield [path(name) for name in entry_names(plan) for path in (store_path, link_path)]
    yield [*workers, *backends]
    yield list(entry_names(plan))
    yield [agent_name(name) for name in [*workers, *backends]]


def _commands(installation: Installation) -> dict[str, list[str]]:
    plan = installation.plan
    commands = {
        name: _standin(installation, name, module)
        for name, module in (("table-service", "table_service"), ("object-store", "object_store"))
    }
    for name, data_centre in entry_names(plan).items():
        if plan.network_paths:
            store_port = installation.ports["table-service"]
            link_port = installation.ports[f"{name}/link"]
            for path, target in ((store_path(name), store_port), (link_path(name), link_port)):
                commands[path] = _network_path(installation, path, target)
        commands[name] = _daemon(installation, name, _entry(installation, name, data_centre))
    for name, data_centre in worker_names(plan).items():
        commands[name] = _worker(installation, name)
        rack = f"rack-{data_centre}"
        beside = {"worker": {"id": name, "url": url(installation, name), "rack": rack}}
        _add_agent(installation, commands, name, data_centre, beside)
    for name, service, data_centre in plan.backend_servers:
        commands[name] = [
            *_standin(installation, name, "backend_server"), "--id", name, "--service", service
        ]  # fmt: skip
        beside = {"backend_server": {"url": url(installation, name)}}
        _add_agent(installation, commands, name, data_centre, beside)
    return commands


def _standin(installation: Installation, name: str, module: str) -> list[str]:
    port = str(installation.ports[name])
    return [sys.executable, "-m", f"peridothatch_standins.{module}", "--port", port]


def _network_path(installation: Installation, name: str, target_port: int) -> list[str]:
    return [
        *_standin(installation, name, "network_path"),
        "--listen-port", str(installation.ports[f"{name}/link"]),
        "--target-port", str(target_port),
    ]  # fmt: skip


def _reached_at(installation: Installation, direct: str, path: str) -> int:
    """Return the port at which others reach something: its own, or that of its path."""
    name = f"{path}/link" if installation.plan.network_paths else direct
    return installation.ports[name]


def _worker(installation: Installation, name: str) -> list[str]:
    plan = installation.plan
    return [
        *_standin(installation, name, "worker"),
        "--id", name,
        "--accelerators", str(plan.accelerators),
        "--cores", str(plan.cores),
        "--memory-mb", str(plan.memory_mb),
        "--object-store", url(installation, "object-store"),
    ]  # fmt: skip


def _add_agent(
    installation: Installation,
    commands: dict[str, list[str]],
    name: str,
    data_centre: str,
    beside: dict[str, typing.Any],
) -> None:
    agent = agent_name(name)
    plan = installation.plan
    settings = {
        "role": "agent",
        "id": agent,
        "data_centre": data_centre,
        "region": plan.data_centres[data_centre],
        "entries": [
            {
                "host": HOST,
                "port": _reached_at(installation, f"{entry}/link", link_path(entry)),
            }
            for entry in entry_names(plan)
        ],
        "debug": {"host": HOST, "port": installation.ports[agent]},
        **beside,
    }
    commands[agent] = _daemon(installation, agent, settings)


def _entry(installation: Installation, name: str, data_centre: str) -> dict[str, typing.Any]:
    plan = installation.plan
    token = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
    return {
        "role": "entry",
        "id": name,
        "data_centre": data_centre,
        "region": plan.data_centres[data_centre],
        "http": {"host": HOST, "port": installation.ports[name]},
        "link": {"host": HOST, "port": installation.ports[f"{name}/link"]},
        "advertised_link_port": _reached_at(installation, f"{name}/link", link_path(name)),
        "store": {
            "url": f"http://{HOST}:{_reached_at(installation, 'table-service', store_path(name))}",
            "region": plan.store_region,
        },
        "data_centres": [
            {"name": item, "region": region} for item, region in plan.data_centres.items()
        ],
        "bootstrap": {"operator_name": "operator", "operator_token_sha256": token},
    }


def _daemon(installation: Installation, name: str, settings: dict[str, typing.Any]) -> list[str]:
    path = installation.directory / f"{name}.yaml"
    path.write_text(yaml.safe_dump(settings))
    role = settings["role"]
    return [
        sys.executable, "-m", "peridothatch_daemon", role, "--settings", str(path)
    ]  # fmt: skip


async def _wait_ready(process: Process, offset: int) -> None:
    """Wait for a line with "ready" in the part of the log after ``offset``."""
    assert process.child is not None
    while True:
        text = process.log_path.read_bytes()[offset:]
        if b" ready " in text or b"\nready" in text or text.startswith(b"ready"):
            return
        if process.child.returncode is not None:
            tail = text[-2000:].decode(errors="replace")
            raise RuntimeError(f"{process.name} ended with {process.child.returncode}: {tail}")
        # The log file offers nothing to wait on.
        await asyncio.sleep(0.05)
