"""Faults that the soak test injects from outside the processes."""

import asyncio
import contextlib
import signal
import subprocess
import time

import platform_standin
import soak_checks
import soak_installation
import soak_proxy

RECOVERY_SECONDS = 5.0
"""Time after a fault in which time limits are suspended; the platform calls it contact."""


async def inject(soak, began):
    async with asyncio.TaskGroup() as group:
        for fault in soak.plan.faults:
            group.create_task(_fault(soak, fault, began))


async def _fault(soak, fault, began):
    await asyncio.sleep(max(0.0, began + fault.at - time.monotonic()))
    until = time.monotonic() + fault.seconds + RECOVERY_SECONDS
    soak.observations.exempt_until = max(soak.observations.exempt_until, until)
    process = soak.processes[fault.target]
    await _FAULTS[fault.kind](soak, process, fault)


async def _kill(soak, process, fault):
    old = process.popen
    soak_installation.send_signal(process, signal.SIGCONT)
    soak_installation.send_signal(process, signal.SIGKILL)
    old.wait()
    await asyncio.sleep(fault.seconds)
    if process.popen is old:
        soak_installation.spawn(soak, process)


async def _terminate(soak, process, fault):
    """Stop a process with SIGTERM, or SIGKILL after the grace period, and start it again."""
    soak_installation.send_signal(process, signal.SIGTERM)
    old = process.popen
    try:
        await asyncio.to_thread(old.wait, soak_installation.BOUNDS["grace_s"])
    except subprocess.TimeoutExpired:
        old.kill()
        old.wait()
    await asyncio.sleep(fault.seconds / 4)
    if process.popen is old:
        soak_installation.spawn(soak, process)


async def _pause(soak, process, fault):
    soak_installation.send_signal(process, signal.SIGSTOP)
    await asyncio.sleep(fault.seconds)
    soak_installation.send_signal(process, signal.SIGCONT)


def _proxy_fault(mode, which):
    async def inject_fault(soak, process, fault):
        proxy = process.worker if which == "worker" and process.worker else process.store
        soak_proxy.set_mode(proxy, mode)
        await asyncio.sleep(fault.seconds)
        soak_proxy.set_mode(proxy, "up")

    return inject_fault


def _store_fault(mode):
    async def inject_fault(soak, process, fault):
        soak.store.mode = mode
        await asyncio.sleep(fault.seconds)
        soak.store.mode = "up"

    return inject_fault


async def _restart_worker(soak, process, fault):
    soak.workers[fault.target % len(soak.workers)].restart()


async def _fail_tasks(soak, process, fault):
    worker = soak.workers[fault.target % len(soak.workers)]
    worker.mode = "fails"
    await asyncio.sleep(fault.seconds)
    worker.mode = "up"


async def _revoke(soak, process, fault):
    soak_installation.configure(soak, (soak_installation.KEY,))
    soak.observations.revoked_at = soak.observations.revoked_at or time.monotonic()


async def _evacuate(soak, process, fault):
    zone = soak_installation.ZONES[fault.target % len(soak_installation.ZONES)]
    soak.store.put("op", "", f"evacuate/{zone}", platform_standin.encode({}))
    soak.observations.evacuated.setdefault(zone, time.monotonic())
    await asyncio.sleep(fault.seconds + soak_checks.EVACUATE_SECONDS)
    soak.observations.evacuated.pop(zone, None)
    soak.store.put("op", "", f"evacuate/{zone}", None)


async def _exceed_limits(soak, process, fault):
    """Let clients of one entry send heads without end, and requests whose answers go unread."""
    port, _ = soak.entry_ports[fault.target % len(soak.entry_ports)]
    until = time.monotonic() + fault.seconds
    endless = (b"GET /jobs/ HTTP/1.1\r\n" + b"a: b\r\n" * 1000, b"a: b\r\n" * 1000)
    pipelined = (b"GET /jobs/ HTTP/1.1\r\n\r\n" * 100,) * 2
    clients = (_send_until(port, until, *parts) for parts in (endless, pipelined) * 4)
    await asyncio.gather(*clients)


async def _send_until(port, until, first, then):
    with contextlib.suppress(OSError, TimeoutError):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(first)
        while time.monotonic() < until:
            writer.write(then)
            await asyncio.wait_for(writer.drain(), max(0.01, until - time.monotonic()))
            await asyncio.sleep(0.01)
        writer.transport.abort()


async def _send_foreign_heartbeat(soak, process, fault):
    """Let another writer send one odd heartbeat or deregistration to an agent."""
    worker = soak.workers[fault.target % len(soak.workers)]
    later = {"born": worker.started_ms + 60_000, "seq": 2**40}
    odd = [
        ("other-1", later | {"service": "no-such-service"}),
        ("other-2", later | {"state": "draining"}),
        (worker.instance, later),
        (worker.instance, {"service": "no-such-service", "seq": 2**40}),
        (worker.instance, None),
    ]
    instance, changes = odd[int(1000 * fault.at) % len(odd)]
    await soak_installation.send_heartbeat(soak, worker, instance, changes)


_FAULTS = {
    "kill": _kill, "pause": _pause, "terminate": _terminate,
    "store_reset": _proxy_fault("reset", "store"), "store_silent": _proxy_fault("silent", "store"),
    "store_slow": _proxy_fault("slow", "store"), "store_one_way": _proxy_fault("one_way", "store"),
    "store_lost": _store_fault("lost"), "store_refuse": _store_fault("refuse"),
    "store_forgets": _store_fault("forgotten"), "store_late": _store_fault("late"),
    "worker_silent": _proxy_fault("silent", "worker"),
    "worker_reset": _proxy_fault("reset", "worker"), "worker_restart": _restart_worker,
    "worker_fails": _fail_tasks, "revoke": _revoke, "evacuate": _evacuate,
    "clients_exceed_limits": _exceed_limits, "foreign_heartbeat": _send_foreign_heartbeat,
}  # fmt: skip
