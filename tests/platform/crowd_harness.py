"""An entry and an agent as processes of their own, and clients that they do not control."""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import sys

import process_harness as harness

MEMORY_MB = 128
MAX_DESCRIPTORS = 160
"""Limits in the settings of the processes, lower than those of any machine, so that a small crowd
reaches them. They are also the bounds that the tests check."""

SEND_SECONDS = 8.0
"""Time after which a client of the crowd stops sending. A closed connection ends it earlier."""

HOLD_SECONDS = 1.0
"""Time for which the crowd keeps its connections open after it has sent everything."""

HEARTBEAT = json.dumps(
    {
        "service": "render",
        "zone": "accra-a",
        "state": "ready",
        "born": 1,
        "capacity": {"cpu": 64000, "mem_mb": 1000, "gpu": 8},
        "labels": ["a", "r1"],
        "seq": 1,
    }
).encode()

SETTINGS = """
node = "{node}"
zone = "accra-a"
region = "gh-south"
ip = "127.0.0.1"
machine_class = "{kind}"
port_range = [{metrics}, {metrics}]
app = "{worker}"
[zones]
accra-a = "gh-south"
[listen]
{listen}
[bounds]
grace_s = 0.2
[limits]
memory_mb = {memory_mb}
max_fds = {max_fds}
[platform]
addr = "{store}"
"""


@dataclasses.dataclass
class Process:
    """A started process and the ports of its listeners, that of ordinary clients first."""

    running: asyncio.subprocess.Process
    ports: tuple[int, ...]

    @property
    def peak_mb(self):
        """Highest resident memory of the process so far."""
        status = pathlib.Path(f"/proc/{self.running.pid}/status").read_text()
        (line,) = [line for line in status.splitlines() if line.startswith("VmHWM")]
        return int(line.split()[1]) / 1024

    @property
    def descriptors(self):
        """Number of open descriptors of the process."""
        return len(list(pathlib.Path(f"/proc/{self.running.pid}/fd").iterdir()))


@contextlib.asynccontextmanager
async def running(tmp_path, role, store, worker, ports):
    """Run the process of a role; a process that is still alive at the end is stopped."""
    port, ready, metrics = ports(), ports(), ports()
    if role == "entry":
        listen = f'front = "127.0.0.1:{port}"\nready = "127.0.0.1:{ready}"'
    else:
        listen = f'control = "127.0.0.1:{port}"'
    path = tmp_path / f"{role}.toml"
    path.write_text(
        SETTINGS.format(
            node=f"{role}-1",
            kind="front" if role == "entry" else "side",
            metrics=metrics,
            worker=worker.address.text if role == "agent" else "",
            listen=listen,
            store=store.address.text,
            memory_mb=MEMORY_MB,
            max_fds=MAX_DESCRIPTORS,
        )
    )
    with (tmp_path / f"{role}.log").open("wb") as log:
        started = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "peridothatch_daemon.hosted",
            role,
            env={**os.environ, "PERIDOTHATCH_SETTINGS": str(path)},
            stdout=log,
            stderr=log,
        )
    process = Process(started, (port, ready, metrics) if role == "entry" else (port, metrics))
    try:
        await harness.until(lambda: is_answering(process, role))
        yield process
    finally:
        with contextlib.suppress(ProcessLookupError):
            started.kill()
        await started.wait()


async def is_answering(process, role):
    """Return whether one ordinary request on a new connection is answered."""
    if role == "entry":
        request = b"GET /jobs/ HTTP/1.1\r\nHost: a.example\r\nApi-Key: k1\r\n"
        body = b""
    else:
        request = b"PUT /peridothatch/instances/w1 HTTP/1.1\r\nHost: x\r\n"
        body = HEARTBEAT
    request += b"Connection: close\r\nContent-Length: %d\r\n\r\n" % len(body)
    return (await ask(process.ports[0], request + body)).startswith(b"HTTP/1.1 200")


async def ask(port, request):
    """Send one request; return what was answered until the connection closed."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request)
        answer = await reader.read()
        writer.close()
    except OSError:
        return b""
    return answer


async def attack(ports, connections, chunks, read_bytes):
    """Let clients send the chunks, to each port in turn; return after all have stopped.

    Parameters
    ----------
    chunks : callable
        Returns an iterator over the bytes that one client sends; ``None`` stands for a pause of
        a second.
    read_bytes : int
        How much of the answers a client reads at a time; 1 is followed by a pause of a second, and
        with 0 the client reads nothing.
    """
    targets = itertools.islice(itertools.cycle(ports), connections)
    await asyncio.gather(*(_attack_once(port, chunks(), read_bytes) for port in targets))


async def _attack_once(port, chunks, read_bytes):
    with contextlib.suppress(OSError, TimeoutError):
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
        reading = asyncio.create_task(_discard(reader, read_bytes))
        try:
            async with asyncio.timeout(SEND_SECONDS):
                await _send(writer, chunks)
            await asyncio.sleep(HOLD_SECONDS)
        finally:
            reading.cancel()
            writer.transport.abort()


async def _send(writer, chunks):
    for chunk in chunks:
        if chunk is None:
            await asyncio.sleep(1.0)
            continue
        writer.write(chunk)
        await writer.drain()


async def _discard(reader, read_bytes):
    with contextlib.suppress(OSError):
        while read_bytes and await reader.read(read_bytes):
            if read_bytes == 1:
                await asyncio.sleep(1.0)
