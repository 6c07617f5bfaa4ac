"""Kills the agent of a gang's failing member shortly before it fails, and counts the starts."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins_2"))

import standins  # noqa: E402

MAX_ATTEMPTS = 2
WORK_SECONDS = 4.0
KILL_AFTER_SECONDS = 3.4
RESTART_SECONDS = 2.0
"""Time from the kill of a process to its next start."""

JOB = "/jobs/00000000000000aa"
FIRST_TASK = "00000000000000aa.0.0.0"


async def main(trouble):
    """Run the case and return its exit status."""
    installation = standins.Installation(HERE, entries=2, workers=4)
    try:
        await installation.start([standins.route("q", "/jobs/", max_attempts=MAX_ATTEMPTS)])
        if not await installation.ready():
            return 2
        return await _observe(installation, trouble)
    finally:
        await installation.close()


async def _observe(installation, trouble):
    fleet = installation.fleet
    body = standins.job(WORK_SECONDS, count=2, gang=True, fails=True)
    status, _ = await installation.call("POST", JOB, body=body)
    if status != 200 or not await installation.until(lambda: _is_at_work(fleet), 10):
        return 2
    await asyncio.sleep(KILL_AFTER_SECONDS)
    if trouble:
        node = next(worker for _, worker, task, *_ in fleet.starts if task == FIRST_TASK)
        agent = installation.agents[node]
        installation.signal(agent, signal.SIGKILL)
        agent.popen.wait()
        await asyncio.sleep(RESTART_SECONDS)
        installation.spawn(agent)
    await installation.until(lambda: _is_final(installation), 50, 0.5)
    await asyncio.sleep(5)
    return _judge(installation)


def _is_at_work(fleet):
    runs = [run for worker in fleet.workers for run in worker.runs.values()]
    return any(run.works_until is not None for run in runs)


async def _is_final(installation):
    status, body = await installation.call("GET", JOB, installation.entries[1])
    return status == 200 and body["state"] in ("failed", "completed", "cancelled")


def _judge(installation):
    fleet = installation.fleet
    broken = False
    for at, _, task, attempt, _ in fleet.starts:
        failed = [
            key
            for key, (ended_at, how, noted) in fleet.ends.items()
            if key[0] == task and how == "failed" and noted and ended_at < at
        ]
        if len(failed) >= MAX_ATTEMPTS:
            broken = True
            installation.record.write(
                "BUDGET", task=task, attempt=attempt, failed_before=len(failed)
            )
    if not any(how == "failed" for _, how, _ in fleet.ends.values()):
        return 2
    return int(broken)


standins.run(main)
