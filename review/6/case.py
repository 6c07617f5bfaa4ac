"""Sends an agent one check-in of another writer, whose service is not named, while a task runs."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins_2"))

import standins  # noqa: E402

WORK_SECONDS = 12.0
ODD_AFTER_SECONDS = 3.0
JOB = "/jobs/00000000000000aa"


async def main(trouble):
    """Run the case and return its exit status."""
    installation = standins.Installation(HERE, entries=2, workers=3)
    try:
        await installation.start([standins.route("q", "/jobs/")])
        if not await installation.ready():
            return 2
        return await _observe(installation, trouble)
    finally:
        await installation.close()


async def _observe(installation, trouble):
    fleet = installation.fleet
    body = standins.job(WORK_SECONDS)
    status, _ = await installation.call("POST", JOB, body=body)
    if status != 200 or not await installation.until(lambda: fleet.starts, 10):
        return 2
    await asyncio.sleep(ODD_AFTER_SECONDS)
    if trouble:
        await _check_in(installation, fleet.starts[0][1])
    await installation.until(lambda: _is_final(installation), 60, 0.5)
    return _judge(installation)


async def _check_in(installation, node):
    """Send what another writer has left: a runner of a service that no desired state names."""
    odd = {**standins.Worker(9, installation.fleet).heartbeat(), "service": "no-such-service"}
    port = installation.agents[node].port
    url = f"http://{standins.HOST}:{port}/peridothatch/instances/other-1"
    async with installation.session.put(url, json=odd) as response:
        installation.record.write("odd check-in", agent=node, status=response.status)


async def _is_final(installation):
    status, body = await installation.call("GET", JOB, installation.entries[1])
    return status == 200 and body["state"] in ("failed", "completed", "cancelled")


def _judge(installation):
    """Return 1 if two runs of one task were alive at the same time."""
    fleet = installation.fleet
    broken = False
    for at, _, task, attempt, _ in fleet.starts:
        for started_at, _, other, before, _ in fleet.starts:
            if other == task and started_at < at:
                ended_at = fleet.ends.get((task, before), [float("inf")])[0]
                if ended_at > at:
                    broken = True
                    installation.record.write(
                        "TWICE", task=task, attempt=attempt, still_running=before,
                        both_for_s=round(ended_at - at, 2),
                    )  # fmt: skip
    return int(broken)


standins.run(main)
