"""Callers that submit jobs to random entries, cancel them and poll their states."""

import asyncio
import contextlib
import json
import random
import time

import aiohttp
import soak_installation

PAUSE_SECONDS = 0.3

MAX_ATTEMPTS = 12
"""Maximum number of attempts of one call."""

SETTLE_SECONDS = 45.0
"""Time limit for jobs to end after the last fault: leases lapse first, then the work runs."""


async def run_caller(soak, submission, began):
    """Submit a job, retrying at random entries until there is a final answer; then cancel it."""
    await asyncio.sleep(max(0.0, began + submission.at - time.monotonic()))
    rng = random.Random(soak.plan.seed * 1000 + submission.number)
    job = f"{soak.plan.seed % 65536:06x}{submission.number:010x}"
    prefix = "/urgent/" if submission.priority == 0 else "/jobs/"
    spec = json.dumps({
        "seconds": submission.task_seconds, "gpu": 1, "gang": submission.gang,
        "width": submission.width, "checkpointing": submission.checkpointing,
    })  # fmt: skip
    phase = {"count": submission.width, "cpu": 100, "gpu": 1, "gang": submission.gang,
             "checkpointing": submission.checkpointing}  # fmt: skip
    soak.observations.attempted[job] = spec
    body = {"spec": spec, "phases": [phase]}
    key = rng.choice((soak_installation.KEY, soak_installation.KEY, soak_installation.REVOKED_KEY))
    if submission.revoked_key is not None:
        key = soak_installation.REVOKED_KEY if submission.revoked_key else soak_installation.KEY
    for _ in range(MAX_ATTEMPTS):
        soak.observations.attempts[job] = soak.observations.attempts.get(job, 0) + 1
        status = await _call(soak, rng, "POST", prefix + job, job, key, body, submission.entry)
        if status in (200, 400, 401, 404):
            break
        await asyncio.sleep(PAUSE_SECONDS)
    if status == 200 and submission.cancel_after is not None:
        await asyncio.sleep(submission.cancel_after)
        # The cancellation may take effect even if its answer is lost.
        soak.observations.cancel_sent.add(job)
        for _ in range(MAX_ATTEMPTS):
            if await _call(soak, rng, "DELETE", prefix + job, job, soak_installation.KEY) in (
                200,
                410,
            ):
                break
            await asyncio.sleep(PAUSE_SECONDS)


async def _call(soak, rng, method, path, job, key, body=None, entry=None):
    """Call an entry, by default a random one, and check the answer; return its status or 0."""
    port, _ = rng.choice(soak.entry_ports) if entry is None else soak.entry_ports[entry]
    sent_at = time.monotonic()
    headers = {"Host": "a.example", "Api-Key": key,
               "X-Request-Deadline": str(int(1000 * soak_installation.CALL_SECONDS))}  # fmt: skip
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        url = f"http://{soak_installation.HOST}:{port}{path}"
        async with soak.session.request(method, url, json=body, headers=headers) as response:
            answer = await response.json(content_type=None) or {}
            revoked = key == soak_installation.REVOKED_KEY
            soak.observations.check_answer(job, method, response.status, answer, sent_at, revoked)
            return response.status
    return 0


async def wait_until_final(soak):
    """Poll all accepted jobs until each has a final state or the time limit passes."""
    rng = random.Random(soak.plan.seed)
    deadline = time.monotonic() + SETTLE_SECONDS
    while time.monotonic() < deadline:
        left = [job for job in soak.observations.accepted if job not in soak.observations.final]
        if not left:
            return
        for job in left:
            prefix = "/jobs/"
            await _call(soak, rng, "GET", prefix + job, job, soak_installation.KEY)
        await asyncio.sleep(PAUSE_SECONDS)
