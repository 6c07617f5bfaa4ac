"""Runs an installation as separate processes on loopback, for the demo and failure tests."""

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
PORTS_PER_BLOCK = 100
READY_TIMEOUT_SECONDS = 60.0
STOP_TIMEOUT_SECONDS = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Composition of an installation.

    Attributes
    ----------
    data_centres : dict of str to str
        Region by data centre; each gets one entry.
    workers_per_data_centre : int
        Number of workers in each data centre; all of them are in one rack.
    backend_servers : tuple of (id, service, data_centre)
        Backend servers to start, each with an agent.
    network_paths : bool
        Route the calls of each entry to the table service, and the links to each entry, through
        a proxy that can inject network faults.
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
    """A process of the installation, with the command that starts it."""

    name: str
    command: list[str]
    log_path: pathlib.Path
    child: asyncio.subprocess.Process | None = None


@dataclasses.dataclass(slots=True)
class Installation:
    """The processes of an installation and their ports, by name.

    Attributes
    ----------
    block_listener : socket
        Listener on the first port of the block; while it is open, no other installation uses the
        block.
    """

    plan: Plan
    directory: pathlib.Path
    processes: dict[str, Process] = dataclasses.field(default_factory=dict)
    ports: dict[str, int] = dataclasses.field(default_factory=dict)
    block_listener: socket.socket | None = None


def entry_names(plan: Plan) -> dict[str, str]:
    """Return a mapping from entry name to data centre."""
    return {f"entry-{name}": name for name in plan.data_centres}


def worker_names(plan: Plan) -> dict[str, str]:
    """Return a mapping from worker name to data centre."""
    return {
        f"worker-{name}-{number}": name
        for name in plan.data_centres
        for number in range(1, plan.workers_per_data_centre + 1)
    }


def agent_name(target: str) -> str:
    """Return the name of the agent of a worker or backend server."""
    return f"agent-{target}"


def url(installation: Installation, name: str) -> str:
    """Return the base URL of a process; for an agent, that of its debug server."""
    return f"http://{HOST}:{installation.ports[name]}"


def store_path(entry: str) -> str:
    """Return the name of the network path from an entry to the table service."""
    return f"path-{entry}-store"


def link_path(entry: str) -> str:
    """Return the name of the network path to the links of an entry."""
    return f"path-{entry}-link"


def switches_url(installation: Installation, name: str) -> str:
    """Return the base URL of the fault switches of a stand-in."""
    return f"http://{HOST}:{installation.ports[name]}"


async def start(plan: Plan, directory: pathlib.Path) -> Installation:
    """Start all processes and wait until they are ready.

    Raises
    ------
    TimeoutError, RuntimeError
        A process did not become ready; its log is in ``directory``.
    """
    installation = Installation(plan, directory)
    names = list(_process_names(plan))
    installation.block_listener, ports = _reserve_ports(2 * len(names))
    for name in names:
        installation.ports[name] = ports.pop()
        installation.ports[f"{name}/link"] = ports.pop()
    for name, command in _build_commands(installation).items():
        installation.processes[name] = Process(name, command, directory / f"{name}.log")
    try:
        for stage in _start_stages(plan):
            await asyncio.gather(*(start_process(installation, name) for name in stage))
    except BaseException:
        await close(installation)
        raise
    return installation


async def close(installation: Installation) -> None:
    """Stop all processes in reverse start order: agents and entries before the stand-ins."""
    for stage in reversed(list(_start_stages(installation.plan))):
        await asyncio.gather(*(stop_process(installation, name) for name in stage))
    if installation.block_listener is not None:
        installation.block_listener.close()


async def start_process(installation: Installation, name: str) -> None:
    """Start or restart a process and wait until it logs that it is ready."""
    process = installation.processes[name]
    # Append mode keeps the log of the process before a restart.
    with process.log_path.open("ab") as log:
        offset = log.tell()
        process.child = await asyncio.create_subprocess_exec(
            *process.command, stdout=log, stderr=log, env=os.environ | {"PYTHONUNBUFFERED": "1"}
        )
    await asyncio.wait_for(_wait_ready(process, offset), READY_TIMEOUT_SECONDS)


async def stop_process(installation: Installation, name: str) -> int | None:
    """Send SIGTERM, then SIGKILL after a timeout; return the exit status."""
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
    """Send SIGKILL and wait until the process has ended."""
    child = installation.processes[name].child
    assert child is not None
    with contextlib.suppress(ProcessLookupError):
        child.kill()
    await child.wait()
    installation.processes[name].child = None


def pause_process(installation: Installation, name: str) -> None:
    """Suspend a process until ``resume_process``."""
    child = installation.processes[name].child
    assert child is not None
    child.send_signal(signal.SIGSTOP)


def resume_process(installation: Installation, name: str) -> None:
    """Resume a suspended process."""
    child = installation.processes[name].child
    assert child is not None
    child.send_signal(signal.SIGCONT)


def _reserve_ports(count: int) -> tuple[socket.socket, list[int]]:
    """Reserve a block of ports; return the listener that holds it and the ports.

    The blocks lie below the ephemeral range: an outgoing connection could otherwise take the port
    of a process before that process is restarted.
    """
    for first in range(FIRST_PORT, EPHEMERAL_PORT - PORTS_PER_BLOCK, PORTS_PER_BLOCK):
        try:
            listener = socket.create_server((HOST, first))
        except OSError:
            continue
        return listener, list(range(first + 1, first + 1 + count))
    raise RuntimeError(f"no free block of {PORTS_PER_BLOCK} ports below port {EPHEMERAL_PORT}")


def _process_names(plan: Plan) -> typing.Iterator[str]:
    for stage in _start_stages(plan):
        yield from stage


def _start_stages(plan: Plan) -> typing.Iterator[list[str]]:
    """Yield the names of the processes in start order; those of one stage start together."""
    backends = [name for name, _, _ in plan.backend_servers]
    workers = list(worker_names(plan))
    yield ["table-service", "object-store"]
    if plan.network_paths:
        yield [path(name) for name in entry_names(plan) for path in (store_path, link_path)]
    yield [*workers, *backends]
    yield list(entry_names(plan))
    yield [agent_name(name) for name in [*workers, *backends]]


def _build_commands(installation: Installation) -> dict[str, list[str]]:
    plan = installation.plan
    commands = {
        name: _standin_command(installation, name, module)
        for name, module in (("table-service", "table_service"), ("object-store", "object_store"))
    }
    for name, data_centre in entry_names(plan).items():
        if plan.network_paths:
            store_port = installation.ports["table-service"]
            link_port = installation.ports[f"{name}/link"]
            for path, target in ((store_path(name), store_port), (link_path(name), link_port)):
                commands[path] = _network_path_command(installation, path, target)
        commands[name] = _daemon_command(
            installation, name, _entry_settings(installation, name, data_centre)
        )
    for name, data_centre in worker_names(plan).items():
        commands[name] = _worker_command(installation, name)
        rack = f"rack-{data_centre}"
        target_settings = {"worker": {"id": name, "url": url(installation, name), "rack": rack}}
        _add_agent(installation, commands, name, data_centre, target_settings)
    for name, service, data_centre in plan.backend_servers:
        commands[name] = [
            *_standin_command(installation, name, "backend_server"),
            "--id", name,
            "--service", service,
        ]  # fmt: skip
        target_settings = {"backend_server": {"url": url(installation, name)}}
        _add_agent(installation, commands, name, data_centre, target_settings)
    return commands


def _standin_command(installation: Installation, name: str, module: str) -> list[str]:
    port = str(installation.ports[name])
    return [sys.executable, "-m", f"peridothatch_standins.{module}", "--port", port]


def _network_path_command(installation: Installation, name: str, target_port: int) -> list[str]:
    return [
        *_standin_command(installation, name, "network_path"),
        "--listen-port", str(installation.ports[f"{name}/link"]),
        "--target-port", str(target_port),
    ]  # fmt: skip


def _advertised_port(installation: Installation, direct_name: str, path_name: str) -> int:
    """Return the port that clients connect to: that of the network path if there is one."""
    name = f"{path_name}/link" if installation.plan.network_paths else direct_name
    return installation.ports[name]


def _worker_command(installation: Installation, name: str) -> list[str]:
    plan = installation.plan
    return [
        *_standin_command(installation, name, "worker"),
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
    target_settings: dict[str, typing.Any],
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
                "port": _advertised_port(installation, f"{entry}/link", link_path(entry)),
            }
            for entry in entry_names(plan)
        ],
        "debug": {"host": HOST, "port": installation.ports[agent]},
        **target_settings,
    }
    commands[agent] = _daemon_command(installation, agent, settings)


def _entry_settings(
    installation: Installation, name: str, data_centre: str
) -> dict[str, typing.Any]:
    plan = installation.plan
    store_port = _advertised_port(installation, "table-service", store_path(name))
    token = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
    return {
        "role": "entry",
        "id": name,
        "data_centre": data_centre,
        "region": plan.data_centres[data_centre],
        "http": {"host": HOST, "port": installation.ports[name]},
        "link": {"host": HOST, "port": installation.ports[f"{name}/link"]},
        "advertised_link_port": _advertised_port(installation, f"{name}/link", link_path(name)),
        "store": {
            "url": f"http://{HOST}:{store_port}",
            "region": plan.store_region,
        },
        "data_centres": [
            {"name": item, "region": region} for item, region in plan.data_centres.items()
        ],
        "bootstrap": {"operator_name": "operator", "operator_token_sha256": token},
    }


def _daemon_command(
    installation: Installation, name: str, settings: dict[str, typing.Any]
) -> list[str]:
    path = installation.directory / f"{name}.yaml"
    path.write_text(yaml.safe_dump(settings))
    role = settings["role"]
    return [
        sys.executable, "-m", "peridothatch_daemon", role, "--settings", str(path)
    ]  # fmt: skip


async def _wait_ready(process: Process, offset: int) -> None:
    """Poll the log after ``offset`` until it contains a line with "ready"."""
    assert process.child is not None
    while True:
        text = process.log_path.read_bytes()[offset:]
        if b" ready " in text or b"\nready" in text or text.startswith(b"ready"):
            return
        if process.child.returncode is not None:
            tail = text[-2000:].decode(errors="replace")
            raise RuntimeError(f"{process.name} exited with {process.child.returncode}: {tail}")
        # asyncio cannot wait for data that is appended to a regular file.
        await asyncio.sleep(0.05)
