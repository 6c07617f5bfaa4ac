"""One answer of the store is lost, and the write is performed later, while the service is full."""

import asyncio
import sys
import uuid

import orjson
from standins import deployment

FILLING_JOBS = 79
FILLING_SECONDS = 20.0
TASK_SECONDS = 3.0
URGENT_SECONDS = 8.0
RETRY_SECONDS = 0.6
URGENT_DELAY_SECONDS = 0.4
LATE_SECONDS = 1.75
FINISH_SECONDS = 14.0
CONTACT_SECONDS = 4.0
WATCH_SECONDS = 6.0
IDLE_SECONDS = 3.0
RESTART_WATCH_SECONDS = 6.0
NEED = {"cpu": 2000, "mem_mb": 1024, "gpu": 1}


def job(seconds, steps=1, failures=0):
    """Return a job whose steps run one after the other, with one task each.

    Parameters
    ----------
    failures : int
        Runs of each task that fail by their own fault before one succeeds.
    """
    spec = orjson.dumps({"seconds": seconds, "need": NEED, "failures": failures}).decode()
    first = {"count": 1, "estimate_ms": int(1000 * seconds), **NEED}
    later = ({**first, "after": [number]} for number in range(steps - 1))
    return {"spec": spec, "phases": [first, *later]}


def lose_second_order(deployed, name):
    """Lose the answer of the write that orders a task again, and perform the write later."""
    pending = [name]
    lost = asyncio.Event()

    def lose(body):
        keys = [row["key"] for row in body.get("put_rows", ())]
        if not pending or not any(key.endswith(f"/{name}.0.0.0/2") for key in keys):
            return None
        pending.clear()
        lost.set()
        deployed.record.line(f"an answer is lost; the write is performed {LATE_SECONDS} s later")
        return LATE_SECONDS

    deployed.store.lose = lose
    return lost


async def play(deployed, trouble):
    """Fill the service, submit a job and an urgent one, and look what becomes of the job."""
    record = deployed.record
    await asyncio.gather(
        *(
            deployed.call("POST", f"/usual/{uuid.uuid4().hex[:16]}", job(FILLING_SECONDS))
            for _ in range(FILLING_JOBS)
        )
    )

    async def is_full():
        return len(record.runs) >= FILLING_JOBS

    await deployment.until(is_full, FILLING_SECONDS)
    await asyncio.sleep(0.5)
    name = uuid.uuid4().hex[:16]
    lost = lose_second_order(deployed, name) if trouble else None
    await deployed.call("POST", f"/usual/{name}", job(TASK_SECONDS, steps=2, failures=1))
    if lost is not None:
        await lost.wait()
    else:
        await asyncio.sleep(RETRY_SECONDS)
    await asyncio.sleep(URGENT_DELAY_SECONDS)
    await deployed.call("POST", f"/urgent/{uuid.uuid4().hex[:16]}", job(URGENT_SECONDS))
    # Both spans are waited for in full: `finish_s` after the traffic, then a calm `contact_ms`.
    await asyncio.sleep(FINISH_SECONDS + CONTACT_SECONDS)
    since = record.now()
    await asyncio.sleep(WATCH_SECONDS)
    _, answer = await deployed.call("GET", f"/usual/{name}")
    done = len(record.done_tasks(name))
    idle = record.idle_seconds(name, since)
    working = sum(run.ended_at is None for run in record.runs)
    record.line(f"job {name}: {done} of 2 tasks done, state {answer}; {working} tasks run")
    breaches = []
    if done < 2 and idle >= IDLE_SECONDS:
        breaches.append(
            f"LOST: job {name} has {done} of 2 tasks done and had nothing running for "
            f"{idle:.1f} s, while {working} tasks run on 88 accelerators; its state is {answer}"
        )
    if trouble:
        await deployed.stop_and_restart(deployed.leader())
        await asyncio.sleep(RESTART_WATCH_SECONDS)
    breaches += [
        f"TWICE: {second.task} attempt {second.attempt} on runner {second.runner} after attempt "
        f"{first.attempt} on runner {first.runner}, which had ended {first.how}"
        for first, second in record.repeated()
    ]
    return breaches


if __name__ == "__main__":
    sys.exit(deployment.run(__file__, play))
