"""One run of the soak: real processes, faults from outside, and checks while it runs.

``python tests/soak/soak_run.py --seeds 1-50 --at-once 3`` runs seeds by hand.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

import aiohttp
import platform_standin
import soak_checks
import soak_plan
import soak_proxy
import soak_worker
from aiohttp import web

HOST = "127.0.0.1"
ZONES = ("accra-a", "tema-b")
KEY = "k1"
REVOKED_KEY = "k2"
CALL_SECONDS = 3.0
PAUSE_SECONDS = 0.3
SETTLE_SECONDS = 45.0
"""Longest time that jobs may take to end after the last fault: lapsed leases, then the work."""

NEAR_SECONDS = 5.0
"""Time after a fault in which bounds in time do not hold; the platform calls it contact."""

MEMORY_FREE_SHARE = 0.25
"""A soak starts only with this much of the memory free; one seed takes about 1 % of 24 GB."""
BOUNDS = {"hold_max_ms": soak_worker.LONGEST_HOLD_MS, "status_s": 120, "grace_s": 2}


@dataclasses.dataclass
class Process:
    """A program of the product, and the proxies in front of what it calls."""

    name: str
    role: str
    settings: pathlib.Path
    store: soak_proxy.Proxy
    worker: soak_proxy.Proxy | None
    popen: subprocess.Popen | None = None


@dataclasses.dataclass
class Soak:
    """An installation under faults."""

    plan: soak_plan.Plan
    seen: soak_checks.Seen
    store: platform_standin.Store
    workers: list
    processes: list
    fronts: list
    heartbeats: list
    runners: list
    logs: pathlib.Path
    config_version: int = 1
    session: aiohttp.ClientSession | None = None


async def run(seed, folder, plan=None):
    """Run one seed and return what was seen; processes write their logs to ``folder``."""
    soak = await _start(plan or soak_plan.make(seed), pathlib.Path(folder))
    background = [asyncio.create_task(_heartbeat(soak)), asyncio.create_task(_work(soak))]
    try:
        await _until_ready(soak)
        began = time.monotonic()
        async with asyncio.TaskGroup() as group:
            group.create_task(_inject(soak, began))
            for submission in soak.plan.submissions:
                group.create_task(_use(soak, submission, began))
        await _settle(soak)
        soak.seen.at_the_end()
    finally:
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        await _close(soak)
    return soak.seen


async def _start(plan, folder):
    seen = soak_checks.Seen()
    store = platform_standin.Store()
    runners = []
    store_port = await _serve(store.application(), runners)
    workers = [
        soak_worker.SoakWorker(number, plan.clock_rates[number], seen)
        for number in range(soak_plan.AGENTS)
    ]
    seen.zones = {number: ZONES[number % len(ZONES)] for number in range(soak_plan.AGENTS)}
    soak = Soak(plan, seen, store, workers, [], [], [], runners, folder)
    ports = _free_ports(3 * soak_plan.ENTRIES + 2 * soak_plan.AGENTS)
    for number in range(soak_plan.ENTRIES):
        front, ready, metrics = (ports.pop() for _ in range(3))
        proxy = await soak_proxy.start(store_port)
        text = _settings(f"front-{number}", ZONES[0], "front", metrics, proxy.port,
                         front=front, ready=ready)  # fmt: skip
        soak.fronts.append((front, ready))
        soak.processes.append(_process(folder, f"front-{number}", "entry", text, proxy, None))
    for number, worker in enumerate(workers):
        control, metrics = ports.pop(), ports.pop()
        proxy = await soak_proxy.start(store_port)
        app = await soak_proxy.start(await _serve(worker.application(), runners))
        text = _settings(f"side-{number}", seen.zones[number], "side", metrics, proxy.port,
                         control=control, app=app.port)  # fmt: skip
        soak.heartbeats.append(control)
        soak.processes.append(_process(folder, f"side-{number}", "agent", text, proxy, app))
    _configure(soak, (KEY, REVOKED_KEY))
    for process in soak.processes:
        _spawn(soak, process)
    soak.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_SECONDS))
    return soak


async def _close(soak):
    await soak.session.close()
    for process in soak.processes:
        _signal(process, signal.SIGCONT)
        _signal(process, signal.SIGKILL)
        process.popen.wait()
        for proxy in (process.store, process.worker):
            if proxy is not None:
                await soak_proxy.close(proxy)
    for runner in soak.runners:
        await runner.cleanup()


async def _serve(application, runners):
    runner = web.AppRunner(application, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, HOST, 0)
    await site.start()
    runners.append(runner)
    return runner.addresses[0][1]


def _free_ports(count):
    """Return ports below the ephemeral range, which differ between processes of a soak."""
    luck = random.Random(os.getpid() * 1000 + time.monotonic_ns() % 1000)
    found = []
    while len(found) < count:
        port = luck.randrange(20_000, 32_000)
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((HOST, port))
            if port not in found:
                found.append(port)
    return found


def _settings(node, zone, machine_class, metrics, store_port, app=0, **listen):
    lines = [
        f'node = "{node}"', f'zone = "{zone}"', 'region = "gh-south"', f'ip = "{HOST}"',
        f'machine_class = "{machine_class}"', f"port_range = [{metrics}, {metrics}]",
        f'app = "{HOST}:{app}"' if app else "", "[listen]",
        *(f'{name} = "{HOST}:{port}"' for name, port in listen.items()),
        "[bounds]", *(f"{name} = {value}" for name, value in BOUNDS.items()),
        "[platform]", f'addr = "{HOST}:{store_port}"',
    ]  # fmt: skip
    return "\n".join(lines)


def _process(folder, name, role, text, store, worker):
    path = folder / f"{name}.toml"
    path.write_text(text)
    return Process(name, role, path, store, worker)


def _spawn(soak, process):
    environment = {**os.environ, "PERIDOTHATCH_SETTINGS": str(process.settings)}
    with (soak.logs / f"{process.name}.log").open("ab") as log:
        process.popen = subprocess.Popen(
            [sys.executable, "-m", "peridothatch_daemon.hosted", process.role],
            env=environment, stdout=log, stderr=log,
        )  # fmt: skip


def _signal(process, number):
    """Send a signal to a process that this soak started, by its id."""
    if process.popen is not None and process.popen.poll() is None:
        process.popen.send_signal(number)


def _configure(soak, keys):
    soak.config_version += 1
    route = {
        "name": "q", "host": "a.example", "prefix": "/jobs/", "service": "render",
        "priority": 1, "max_attempts": 50, "slack_factor": 3.0, "slo_ms": 1000,
    }  # fmt: skip
    urgent = {**route, "name": "urgent", "prefix": "/urgent/", "priority": 0}
    config = {
        "version": soak.config_version, "routes": [route, urgent],
        "services": [{"name": "render", "enforce_limits": True}],
        "tenants": [{"name": "ministry", "api_keys": list(keys), "guaranteed": {"gpu": 4}}],
    }  # fmt: skip
    soak.store.put("op", "", "config", platform_standin.encode(config))


async def _heartbeat(soak):
    """Let each worker send a heartbeat twice a second."""
    while True:
        await asyncio.gather(*(_heartbeat_one(soak, worker) for worker in soak.workers))
        await asyncio.sleep(0.5)


async def _heartbeat_one(soak, worker):
    path = f"http://{HOST}:{soak.heartbeats[worker.number]}/peridothatch/instances/"
    body = worker.heartbeat(soak.seen.zones[worker.number])
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        async with soak.session.put(
            path + worker.instance, json=body, timeout=aiohttp.ClientTimeout(total=1.0)
        ):
            pass


async def _work(soak):
    while True:
        for worker in soak.workers:
            worker.work()
        await asyncio.sleep(0.02)


async def _until_ready(soak):
    async with asyncio.timeout(60):
        while True:
            workers = [name for name in soak.store.rows if name[2].startswith("agent/")]
            ready = [await _is_ready(soak, port) for _, port in soak.fronts]
            if all(ready) and len(workers) == len(soak.workers):
                return
            await asyncio.sleep(0.2)


async def _is_ready(soak, port):
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        async with soak.session.get(f"http://{HOST}:{port}/peridothatch/ready") as response:
            return response.status == 200
    return False


async def _inject(soak, began):
    async with asyncio.TaskGroup() as group:
        for fault in soak.plan.faults:
            group.create_task(_fault(soak, fault, began))


async def _fault(soak, fault, began):
    await asyncio.sleep(max(0.0, began + fault.at - time.monotonic()))
    until = time.monotonic() + fault.seconds + NEAR_SECONDS
    soak.seen.disturbed_until = max(soak.seen.disturbed_until, until)
    process = soak.processes[fault.target]
    await _FAULTS[fault.kind](soak, process, fault)


async def _kill(soak, process, fault):
    old = process.popen
    _signal(process, signal.SIGCONT)
    _signal(process, signal.SIGKILL)
    old.wait()
    await asyncio.sleep(fault.seconds)
    if process.popen is old:
        _spawn(soak, process)


async def _terminate(soak, process, fault):
    """Stop a process as planned, and start it again while the old one may still be stopping."""
    _signal(process, signal.SIGTERM)
    old = process.popen
    try:
        await asyncio.to_thread(old.wait, BOUNDS["grace_s"])
    except subprocess.TimeoutExpired:
        old.kill()
        old.wait()
    await asyncio.sleep(fault.seconds / 4)
    if process.popen is old:
        _spawn(soak, process)


async def _pause(soak, process, fault):
    _signal(process, signal.SIGSTOP)
    await asyncio.sleep(fault.seconds)
    _signal(process, signal.SIGCONT)


def _proxied(mode, which):
    async def inject(soak, process, fault):
        proxy = process.worker if which == "worker" and process.worker else process.store
        soak_proxy.switch(proxy, mode)
        await asyncio.sleep(fault.seconds)
        soak_proxy.switch(proxy, "up")

    return inject


def _stored(mode):
    async def inject(soak, process, fault):
        soak.store.mode = mode
        await asyncio.sleep(fault.seconds)
        soak.store.mode = "up"

    return inject


async def _restart_worker(soak, process, fault):
    soak.workers[fault.target % len(soak.workers)].restart()


async def _fail_tasks(soak, process, fault):
    worker = soak.workers[fault.target % len(soak.workers)]
    worker.mode = "fails"
    await asyncio.sleep(fault.seconds)
    worker.mode = "up"


async def _revoke(soak, process, fault):
    _configure(soak, (KEY,))
    soak.seen.revoked_at = soak.seen.revoked_at or time.monotonic()


async def _evacuate(soak, process, fault):
    zone = ZONES[fault.target % len(ZONES)]
    soak.store.put("op", "", f"evacuate/{zone}", platform_standin.encode({}))
    soak.seen.evacuated.setdefault(zone, time.monotonic())
    await asyncio.sleep(fault.seconds + soak_checks.EVACUATE_SECONDS)
    soak.seen.evacuated.pop(zone, None)
    soak.store.put("op", "", f"evacuate/{zone}", None)


_FAULTS = {
    "kill": _kill, "pause": _pause, "terminate": _terminate,
    "store_reset": _proxied("reset", "store"), "store_silent": _proxied("silent", "store"),
    "store_slow": _proxied("slow", "store"), "store_one_way": _proxied("one_way", "store"),
    "store_lost": _stored("lost"), "store_refuse": _stored("refuse"),
    "store_forgets": _stored("forgotten"), "worker_silent": _proxied("silent", "worker"),
    "worker_reset": _proxied("reset", "worker"), "worker_restart": _restart_worker,
    "worker_fails": _fail_tasks, "revoke": _revoke, "evacuate": _evacuate,
}  # fmt: skip


async def _use(soak, submission, began):
    """Submit a job as a caller does: again at any entry until there is a final answer."""
    await asyncio.sleep(max(0.0, began + submission.at - time.monotonic()))
    luck = random.Random(soak.plan.seed * 1000 + submission.number)
    job = f"{soak.plan.seed % 65536:06x}{submission.number:010x}"
    prefix = "/urgent/" if submission.priority == 0 else "/jobs/"
    spec = json.dumps({
        "seconds": submission.task_seconds, "gpu": 1, "gang": submission.gang,
        "width": submission.width, "checkpointing": submission.checkpointing,
    })  # fmt: skip
    phase = {"count": submission.width, "cpu": 100, "gpu": 1, "gang": submission.gang,
             "checkpointing": submission.checkpointing}  # fmt: skip
    soak.seen.attempted[job] = spec
    body = {"spec": spec, "phases": [phase]}
    key = luck.choice((KEY, KEY, REVOKED_KEY))
    for _ in range(12):
        soak.seen.tries[job] = soak.seen.tries.get(job, 0) + 1
        status = await _call(soak, luck, "POST", prefix + job, job, key, body)
        if status in (200, 400, 401, 404):
            break
        await asyncio.sleep(PAUSE_SECONDS)
    if status == 200 and submission.cancel_after is not None:
        await asyncio.sleep(submission.cancel_after)
        # The cancellation may take effect although no answer arrives.
        soak.seen.cancel_sent.add(job)
        for _ in range(12):
            if await _call(soak, luck, "DELETE", prefix + job, job, KEY) in (200, 410):
                break
            await asyncio.sleep(PAUSE_SECONDS)


async def _call(soak, luck, method, path, job, key, body=None):
    """Call one entry and check the answer; return the status, or 0 without an answer."""
    port, _ = luck.choice(soak.fronts)
    sent_at = time.monotonic()
    headers = {"Host": "a.example", "Api-Key": key,
               "X-Request-Deadline": str(int(1000 * CALL_SECONDS))}  # fmt: skip
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        url = f"http://{HOST}:{port}{path}"
        async with soak.session.request(method, url, json=body, headers=headers) as response:
            answer = await response.json(content_type=None) or {}
            revoked = key == REVOKED_KEY
            soak.seen.answered(job, method, response.status, answer, sent_at, revoked)
            return response.status
    return 0


async def _settle(soak):
    """Ask for the state of all accepted jobs until each has its final one."""
    luck = random.Random(soak.plan.seed)
    deadline = time.monotonic() + SETTLE_SECONDS
    while time.monotonic() < deadline:
        left = [job for job in soak.seen.accepted if job not in soak.seen.final]
        if not left:
            return
        for job in left:
            prefix = "/jobs/"
            await _call(soak, luck, "GET", prefix + job, job, KEY)
        await asyncio.sleep(PAUSE_SECONDS)


def _enough_memory():
    lines = pathlib.Path("/proc/meminfo").read_text().splitlines()
    sizes = {line.split(":")[0]: int(line.split()[1]) for line in lines}
    return sizes["MemAvailable"] > MEMORY_FREE_SHARE * sizes["MemTotal"]


async def _run_all(seeds, at_once, logs):
    limit = asyncio.Semaphore(at_once)

    async def one(seed):
        async with limit:
            folder = pathlib.Path(logs) / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            command = [sys.executable, __file__, "--one", str(seed), "--logs", str(folder)]
            child = await asyncio.create_subprocess_exec(
                *command, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT
            )
            output, _ = await child.communicate()
            print(f"seed {seed}: {output.decode().strip()}", flush=True)
            return child.returncode

    return await asyncio.gather(*(one(seed) for seed in seeds))


def main():
    """Run seeds by hand; the exit status is 1 when a promise was broken."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="1-50")
    parser.add_argument("--at-once", type=int, default=3)
    parser.add_argument("--one", type=int)
    parser.add_argument("--logs", default=tempfile.mkdtemp(prefix="soak-"))
    given = parser.parse_args()
    if not _enough_memory():
        sys.exit("too little of the machine's memory is free")
    if given.one is not None:
        seen = asyncio.run(run(given.one, given.logs))
        counts = f"{len(seen.accepted)} jobs accepted, {len(seen.starts)} starts"
        print("\n".join([counts, *seen.breaches]))
        sys.exit(1 if seen.breaches else 0)
    first, last = (int(part) for part in given.seeds.split("-"))
    codes = asyncio.run(_run_all(range(first, last + 1), given.at_once, given.logs))
    print(f"{codes.count(0)} of {len(codes)} seeds kept all promises; logs in {given.logs}")
    sys.exit(0 if not any(codes) else 1)


if __name__ == "__main__":
    main()
