"""Settings for processes on loopback, and waiting for a condition."""

import asyncio
import time

from peridothatch_platform import settings

JOB = "/jobs/00000000000000aa"
ONE_TASK = {"spec": "text", "phases": [{"count": 1, "cpu": 100, "gpu": 1}]}
STEP_SECONDS = 0.05
PATIENCE_SECONDS = 20.0


def machine(store, node, ports, worker):
    def address():
        return settings.Address("127.0.0.1", ports())

    return settings.Machine(
        node=node,
        data_centre="accra-a",
        region="gh-south",
        data_centres={"accra-a": "gh-south"},
        callers=None if worker else address(),
        readiness=None if worker else address(),
        heartbeats=address() if worker else None,
        worker=worker.address if worker else None,
        metrics=address(),
        store=store.address,
        revoke_seconds=5.0,
        longest_hold_ms=10_000,
        stop_seconds=0.1,
        retention_ms=120_000,
    )


async def until(probe):
    deadline = time.monotonic() + PATIENCE_SECONDS
    while time.monotonic() < deadline:
        if await probe():
            return True
        await asyncio.sleep(STEP_SECONDS)
    raise AssertionError(f"the condition was not met within {PATIENCE_SECONDS} s")
