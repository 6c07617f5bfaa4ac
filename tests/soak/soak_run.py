"""Soak test: runs real processes under injected faults and checks the invariants meanwhile.

``make soak SEEDS=1-50`` runs a range of seeds.
"""

import argparse
import asyncio
import pathlib
import sys
import tempfile
import time

import soak_callers
import soak_faults
import soak_installation
import soak_plan

MEMORY_FREE_SHARE = 0.25
"""Share of memory that must be free at the start; one seed takes about 1 % of 24 GB."""


FIRST_REVOCATION_SEED = 1000
"""Seeds from this one on revoke a key while an entry does not hear from the store."""


FIRST_LATE_WRITE_SEED = 2000
"""Seeds from this one on let the store apply writes late while jobs wait for room."""


FIRST_EXCESS_SEED = 3000
"""Seeds from this one on have clients outside the limits among the ordinary ones."""


FIRST_RESTART_SEED = 4000
"""Seeds from this one on restart workers under their ids beside a slow or unreliable store."""


FIRST_FOREIGN_SEED = 5000
"""Seeds from this one on have heartbeats of other writers, while agents are killed."""


async def run(seed, folder, plan=None):
    """Run one seed and return the observations; processes write their logs to ``folder``."""
    soak = await soak_installation.start(plan or make_plan(seed), pathlib.Path(folder))
    background = [
        asyncio.create_task(soak_installation.send_heartbeats(soak)),
        asyncio.create_task(soak_installation.run_workers(soak)),
    ]
    try:
        await soak_installation.until_ready(soak)
        began = time.monotonic()
        async with asyncio.TaskGroup() as group:
            group.create_task(soak_faults.inject(soak, began))
            for submission in soak.plan.submissions:
                group.create_task(soak_callers.run_caller(soak, submission, began))
        await soak_callers.wait_until_final(soak)
        soak.observations.check_final_states()
    finally:
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        await soak_installation.close(soak)
    return soak.observations


def make_plan(seed):
    """Return the plan of a seed, whose range selects the kind of plan."""
    if seed >= FIRST_FOREIGN_SEED:
        return soak_plan.make_foreign(seed)
    if seed >= FIRST_RESTART_SEED:
        return soak_plan.make_restarts(seed)
    if seed >= FIRST_EXCESS_SEED:
        return soak_plan.make_excess(seed)
    if seed >= FIRST_LATE_WRITE_SEED:
        return soak_plan.make_late_writes(seed)
    if seed >= FIRST_REVOCATION_SEED:
        return soak_plan.make_revocation(seed)
    return soak_plan.make(seed)


def _enough_memory():
    lines = pathlib.Path("/proc/meminfo").read_text().splitlines()
    sizes = {line.split(":")[0]: int(line.split()[1]) for line in lines}
    return sizes["MemAvailable"] > MEMORY_FREE_SHARE * sizes["MemTotal"]


async def _run_all(seeds, at_once, logs):
    limit = asyncio.Semaphore(at_once)

    async def run_seed(seed):
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

    return await asyncio.gather(*(run_seed(seed) for seed in seeds))


def main():
    """Run a range of seeds; the exit status is 1 when an invariant was violated."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="1-50")
    parser.add_argument("--at-once", type=int, default=3)
    parser.add_argument("--one", type=int)
    parser.add_argument("--logs", default=tempfile.mkdtemp(prefix="soak-"))
    arguments = parser.parse_args()
    if not _enough_memory():
        sys.exit(f"less than {MEMORY_FREE_SHARE:.0%} of the memory is available")
    if arguments.one is not None:
        observations = asyncio.run(run(arguments.one, arguments.logs))
        counts = f"{len(observations.accepted)} jobs accepted, {len(observations.starts)} starts"
        print("\n".join([counts, *observations.breaches]))
        sys.exit(1 if observations.breaches else 0)
    first, last = (int(part) for part in arguments.seeds.split("-"))
    codes = asyncio.run(_run_all(range(first, last + 1), arguments.at_once, arguments.logs))
    print(f"{codes.count(0)} of {len(codes)} seeds passed; logs in {arguments.logs}")
    sys.exit(0 if not any(codes) else 1)


if __name__ == "__main__":
    main()
