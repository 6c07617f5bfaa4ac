"""Benchmark the time of one placement decision at several fleet sizes.

The fleet is filled to about 90 % of its accelerators. Then single jobs arrive and end at random,
and each ``decide`` call after an arrival is timed. Usage: ``python scripts/bench_placement.py``.
"""

from __future__ import annotations

import dataclasses
import random
import resource
import sys
import time

from peridothatch_core.model import config, customer, datacentre, job, shape, workclass, worker
from peridothatch_core.place import decide

SIZES = (
    (10, 80, 200),
    (272, 362, 5_800),
    (1_090, 1_450, 23_300),
    (4_900, 6_500, 105_000),
    (9_800, 13_000, 210_000),
)
"""Workers, accelerators and running tasks. The third size is one of nine data centres in two
years, the last is all nine as one fleet."""

DECISIONS = 400
RACK = shape.Adjacency.RACK
CLASSES = {
    "batch": workclass.WorkClass("batch", workclass.Within(28800)),
    "notice": workclass.WorkClass("notice", workclass.Within(120), urgent=True),
}


def build(workers: int, accelerators: int, source: random.Random) -> decide.State:
    """Return a state with the workers; some have 8 accelerators, most have none."""
    state = decide.create("dc")
    customer_count = 71 if workers > 100 else 4
    accelerated_workers = min(workers, accelerators // 8)
    guaranteed_shape = shape.GangShape(
        2 if accelerated_workers < 100 else 4, shape.TaskShape(8), RACK
    )
    guarantee_count = min(customer_count, accelerated_workers // (4 * guaranteed_shape.tasks))
    snapshot = config.Snapshot(
        customers={
            f"t{i}": customer.Customer(f"t{i}", accelerators) for i in range(customer_count)
        },
        guarantees={
            f"g{i}": customer.Guarantee(f"g{i}", f"t{i}", guaranteed_shape, 1, "dc")
            for i in range(guarantee_count)
        },
        classes=CLASSES,
        data_centres={"dc": datacentre.DataCentre("dc", "r")},
    )
    decide.record_config(state, snapshot, 0.0)
    shuffled = list(range(workers))
    source.shuffle(shuffled)
    for number in sorted(range(workers), key=lambda i: shuffled[i] // 16):
        # Racks of 16; workers with accelerators share racks, because they are bought together.
        count = 8 if number < accelerated_workers else 0
        one = worker.Worker(f"w{number}", "dc", f"r{number // 16}", count, 64, 262144)
        decide.record_worker_joined(state, one, 0.0)
    decide.decide(state, 0.0)
    return state


def submit(state: decide.State, number: int, gang: shape.GangShape, now: float, kind: str) -> str:
    """Add a waiting job of a random team, and return its id."""
    owner = f"t{number % len(state.snapshot.customers)}"
    one = job.Job(f"j{number}", owner, kind, gang, ("x",), "dc", now, now + 28800)
    one = dataclasses.replace(one, checkpointable=number % 2 == 0)
    decide.record_waiting(state, one, now)
    return one.id


def fill(state: decide.State, accelerators: int, tasks: int, source: random.Random) -> int:
    """Run jobs until 90 % of the accelerators are in use and ``tasks`` tasks run."""
    number = placed = 0
    while state.fleet.free_accelerators > 0.1 * accelerators:
        gang = shape.GangShape(source.choice((1, 1, 2, 4)), shape.TaskShape(
            source.choice((1, 2, 4, 8)), 1, 512))  # fmt: skip
        submit(state, number, gang, 0.0, "batch")
        placed += gang.tasks
        number += 1
        if number % 50 == 0 or accelerators < 200:
            decide.decide(state, 0.0)
        if len(state.waiting) > 200:
            break
    while placed < tasks:
        size = min(source.choice((1, 8, 64, 256, 1024)), tasks - placed)
        submit(state, number, shape.GangShape(size, shape.TaskShape(0, 1, 512)), 0.0, "batch")
        placed += size
        number += 1
        decide.decide(state, 0.0)
    for job_id in list(state.waiting):
        decide.record_ended(state, job_id, 0.0)
    return number


def run(workers: int, accelerators: int, tasks: int) -> str:
    """Run the benchmark at one size and return its table row."""
    source = random.Random(1)
    state = build(workers, accelerators, source)
    number = fill(state, accelerators, tasks, source)
    running_tasks = sum(one.shape.tasks for one in state.running.values())
    times: dict[str, list[float]] = {"batch": [], "notice": []}
    placed = 0
    for step in range(DECISIONS):
        now = 1.0 + step
        kind = "notice" if step % 4 == 0 else "batch"
        gang = shape.GangShape(
            source.choice((1, 1, 2, 8, 64)), shape.TaskShape(0 if step % 2 else 1, 1, 512)
        )
        if step % 5 == 0:
            gang = shape.GangShape(2, shape.TaskShape(8), RACK)
        job_id = submit(state, number, gang, now, kind)
        number += 1
        begin = time.perf_counter()
        decide.decide(state, now)
        times[kind].append(1000 * (time.perf_counter() - begin))
        placed += job_id in state.running
        for victim in list(state.stopping):
            decide.record_ended(state, victim, now)
        while state.running and state.fleet.free_accelerators < 0.1 * accelerators:
            decide.record_ended(state, source.choice(list(state.running)), now)
    all_times = sorted(times["batch"] + times["notice"])
    p50, p99 = all_times[len(all_times) // 2], all_times[int(0.99 * len(all_times))]
    urgent = sorted(times["notice"])
    memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024
    return (
        f"| {workers:,} | {accelerators:,} | {running_tasks:,} | {len(state.running):,} "
        f"| {p50:.2f} | {p99:.2f} | {all_times[-1]:.2f} "
        f"| {urgent[int(0.99 * len(urgent))]:.2f} | {100 * placed // DECISIONS} % | {memory} |"
    )


def main() -> None:
    """Print a Markdown table."""
    print("| workers | accelerators | tasks | jobs | p50 ms | p99 ms | max ms | urgent p99 ms "
          "| placed at once | peak MiB |")  # fmt: skip
    print("|---" * 10 + "|")
    for size in SIZES[: int(sys.argv[1]) if len(sys.argv) > 1 else None]:
        print(run(*size), flush=True)


if __name__ == "__main__":
    main()
