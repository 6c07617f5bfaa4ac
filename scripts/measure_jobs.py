"""Simulate ``decide`` and two baselines, and compare completion times and fragmentation.

A seeded day of arrivals and faults, during which a data centre is taken out of service and put
back, is simulated on a virtual clock. Usage: ``python scripts/measure_jobs.py [SEEDS]``
(default 10).
"""

from __future__ import annotations

import concurrent.futures
import dataclasses
import heapq
import itertools
import statistics
import sys

import jobs_policies as policies
import jobs_workload as workload

from peridothatch_core.model import job, shape
from peridothatch_core.place import fleet, fragmentation

POLICIES = {
    "decide": policies.Ours,
    "first fit": lambda: policies.Baseline(counts=False),
    "quota counts": lambda: policies.Baseline(counts=True),
}
PROCESSES = 5
TICK_SECONDS = 10.0
HORIZON = workload.START + 96 * workload.HOUR
START_SECONDS = 1.0
"""Delay from a decision to running tasks."""

CHECKPOINTED_STOP_SECONDS, STOP_SECONDS = 20.0, 1.0
"""Delay from a stop decision to the end of the tasks, with and without a checkpoint."""

CHECKPOINT_SECONDS = 600.0
"""Interval between the checkpoints of a checkpointable job."""


@dataclasses.dataclass(slots=True)
class Run:
    """The current run of a job; ``base`` is the work in seconds that its checkpoint holds."""

    number: int
    started_at: float
    cells: tuple[job.Cell, ...]
    base: float
    stopping: bool = False


@dataclasses.dataclass(slots=True)
class Driver:
    """State of one simulation: a seeded workload under one policy."""

    policy: object
    work: dict[str, workload.Work]
    events: list = dataclasses.field(default_factory=list)
    order: object = dataclasses.field(default_factory=itertools.count)
    runs: dict[str, Run] = dataclasses.field(default_factory=dict)
    saved: dict[str, float] = dataclasses.field(default_factory=dict)
    numbers: dict[str, int] = dataclasses.field(default_factory=dict)
    first_start: dict[str, float] = dataclasses.field(default_factory=dict)
    done_at: dict[str, float] = dataclasses.field(default_factory=dict)
    dropped: set[str] = dataclasses.field(default_factory=set)
    bad: set[str] = dataclasses.field(default_factory=set)
    window_work: float = 0.0
    lost_work: float = 0.0
    stops: int = 0
    samples: list[float] = dataclasses.field(default_factory=list)
    free: list[int] = dataclasses.field(default_factory=list)
    open_work: dict[str, int] = dataclasses.field(default_factory=dict)
    promised: set[str] = dataclasses.field(default_factory=set)


def on_submit(driver: Driver, now: float, row: job.Job) -> None:
    """Submit a job and record whether it is within its customer's guarantee.

    It is if the customer's open jobs, including this one, fit in the guaranteed number of
    accelerators, and the gang fits in the guaranteed shape.
    """
    if row.id not in driver.numbers and row.submitted_at == now:
        wanted = shape.total_accelerators(row.shape)
        driver.open_work[row.customer] = driver.open_work.get(row.customer, 0) + wanted
        for one in workload.GUARANTEES:
            most = one.count * shape.total_accelerators(one.shape)
            if (
                one.customer == row.customer
                and driver.open_work[row.customer] <= most
                and row.shape.tasks <= one.shape.tasks
                and row.shape.task.accelerators <= one.shape.task.accelerators
            ):
                driver.promised.add(row.id)
    driver.policy.submit(row, now)


def close_work(driver: Driver, job_id: str) -> None:
    """Remove a job from the open work of its customer."""
    row = driver.work[job_id].row
    driver.open_work[row.customer] -= shape.total_accelerators(row.shape)


def post(driver: Driver, at: float, kind: str, *values: object) -> None:
    """Schedule an event."""
    heapq.heappush(driver.events, (at, next(driver.order), kind, values))


def play(name: str, seed: int) -> dict[str, float]:
    """Run one simulation and return its measures."""
    works = workload.arrivals(seed)
    driver = Driver(POLICIES[name](), {one.row.id: one for one in works})
    driver.policy.configure(workload.START, y_is_out=False)
    machines = {one.id: one for one in workload.workers()}
    for one in machines.values():
        driver.policy.joined(one, workload.START)
    for one in works:
        post(driver, one.row.submitted_at, "submit", one.row)
    for at, kind, worker_id in workload.faults(seed):
        post(driver, at, kind, machines[worker_id])
    post(driver, workload.LEAVES, "service", True)
    post(driver, workload.RETURNS, "service", False)
    post(driver, workload.START, "tick")
    while driver.events and driver.events[0][0] < HORIZON:
        now, _, kind, values = heapq.heappop(driver.events)
        HANDLERS[kind](driver, now, *values)
        if not driver.events or driver.events[0][0] > now:
            act(driver, now)
        if len(driver.done_at) + len(driver.dropped) == len(driver.work):
            break
    return measures(driver)


def act(driver: Driver, now: float) -> None:
    """Apply the actions that the policy returns."""
    for kind, job_id, cells in driver.policy.actions(now):
        if kind == "start":
            start(driver, now, job_id, cells)
        elif job_id in driver.runs and not driver.runs[job_id].stopping:
            driver.stops += 1
            run = driver.runs[job_id]
            run.stopping = True
            able = driver.work[job_id].row.checkpointable
            wait = CHECKPOINTED_STOP_SECONDS if able else STOP_SECONDS
            post(driver, now + wait, "stopped", job_id, run.number)


def start(driver: Driver, now: float, job_id: str, cells: tuple[job.Cell, ...]) -> None:
    """Start a run; it will fail on a faulty worker or if the job always fails."""
    one = driver.work[job_id]
    number = driver.numbers[job_id] = driver.numbers.get(job_id, 0) + 1
    base = driver.saved.get(job_id, 0.0)
    begin = now + START_SECONDS
    driver.first_start.setdefault(job_id, begin)
    driver.runs[job_id] = Run(number, begin, cells, base)
    broken = next((cell.worker for cell in cells if cell.worker in driver.bad), None)
    if broken or one.faulty:
        wait = 5.0 if broken else min(30.0, one.seconds)
        post(driver, begin + wait, "failed", job_id, number, broken or cells[0].worker)
        return
    post(driver, begin + one.seconds - base, "finished", job_id, number)
    if one.row.checkpointable:
        post(driver, begin + CHECKPOINT_SECONDS, "checkpointed", job_id, number)


def close(driver: Driver, now: float, job_id: str, kept: float) -> None:
    """End a run that preserves ``kept`` seconds of work; count the part within the window."""
    run = driver.runs.pop(job_id)
    accelerators = shape.total_accelerators(driver.work[job_id].row.shape)
    elapsed = max(0.0, now - run.started_at)
    gained = max(0.0, kept - run.base)
    driver.lost_work += max(0.0, elapsed - gained) * accelerators
    begin, end = workload.WINDOW
    inside = min(run.started_at + gained, end) - max(run.started_at, begin)
    driver.window_work += max(0.0, inside) * accelerators
    driver.saved[job_id] = kept


def is_current(driver: Driver, job_id: str, number: int) -> bool:
    """Return whether an event belongs to the job's current run."""
    return job_id in driver.runs and driver.runs[job_id].number == number


def on_finished(driver: Driver, now: float, job_id: str, number: int) -> None:
    """Complete a job."""
    if is_current(driver, job_id, number):
        close(driver, now, job_id, driver.work[job_id].seconds)
        driver.done_at[job_id] = now
        close_work(driver, job_id)
        driver.policy.ended(job_id, now, succeeded=True)


def on_stopped(driver: Driver, now: float, job_id: str, number: int) -> None:
    """Put a stopped job back; one that can write checkpoints keeps its work."""
    if is_current(driver, job_id, number):
        run = driver.runs[job_id]
        able = driver.work[job_id].row.checkpointable
        elapsed = max(0.0, now - run.started_at)
        requeue(driver, now, job_id, run.base + elapsed if able else 0.0)


def on_failed(driver: Driver, now: float, job_id: str, number: int, worker_id: str) -> None:
    """Retry a failed job, or drop it."""
    if not is_current(driver, job_id, number):
        return
    pause = driver.policy.failed(job_id, worker_id, now)
    close(driver, now, job_id, driver.saved.get(job_id, 0.0))
    if pause is None:
        driver.policy.ended(job_id, now, succeeded=False)
        driver.dropped.add(job_id)
        close_work(driver, job_id)
    else:
        post(driver, now + pause, "submit", driver.work[job_id].row)


def requeue(driver: Driver, now: float, job_id: str, kept: float) -> None:
    """End the run of a job and queue it again."""
    close(driver, now, job_id, kept)
    row = driver.work[job_id].row
    driver.policy.submit(dataclasses.replace(row, checkpoint="key" if kept else ""), now)


def on_lost(driver: Driver, now: float, machine: object) -> None:
    """Lose a worker; its gangs are queued again from their last checkpoint after 63 s."""
    driver.policy.lost(machine.id, now)
    for job_id, run in list(driver.runs.items()):
        if any(cell.worker == machine.id for cell in run.cells):
            elapsed = max(0.0, now - run.started_at)
            able = driver.work[job_id].row.checkpointable
            saved = run.base + elapsed // CHECKPOINT_SECONDS * CHECKPOINT_SECONDS
            close(driver, now, job_id, saved if able else 0.0)
            post(driver, now + 63.0, "submit", driver.work[job_id].row)


def on_tick(driver: Driver, now: float) -> None:
    """Sample the fragmentation during the arrival period."""
    fleets = driver.policy.fleets()
    waiting = driver.policy.waiting()
    if waiting and now < workload.START + workload.ARRIVALS_SECONDS:
        digests = [fleet.digest(one) for one in fleets]
        blocks = itertools.zip_longest(*(one.free_blocks for one in digests), fillvalue=0)
        total = fleet.Digest(
            sum(one.free_accelerators for one in digests), tuple(map(sum, blocks))
        )
        driver.free.append(total.free_accelerators)
        if total.free_accelerators:
            driver.samples.append(fragmentation.share(total, waiting))
    post(driver, now + TICK_SECONDS, "tick")


def on_checkpointed(driver: Driver, now: float, job_id: str, number: int) -> None:
    """Record the first checkpoint of a run."""
    if is_current(driver, job_id, number):
        driver.policy.checkpointed(job_id, now)


HANDLERS = {
    "submit": on_submit,
    "finished": on_finished,
    "stopped": on_stopped,
    "failed": on_failed,
    "lost": on_lost,
    "joined": lambda driver, now, machine: driver.policy.joined(machine, now),
    "bad": lambda driver, now, machine: driver.bad.add(machine.id),  # noqa: ARG005
    "good": lambda driver, now, machine: driver.bad.discard(machine.id),  # noqa: ARG005
    "service": lambda driver, now, out: driver.policy.configure(now, y_is_out=out),
    "tick": on_tick,
    "checkpointed": on_checkpointed,
}


def measures(driver: Driver) -> dict[str, float]:
    """Return the measures of a simulation; an incomplete job counts as ending at the horizon."""
    good = [one.row for one in driver.work.values() if not one.faulty]
    times = sorted(driver.done_at.get(r.id, HORIZON) - r.submitted_at for r in good)
    met = [driver.done_at.get(r.id, HORIZON) <= r.due_at for r in good]
    urgent = sorted(
        driver.first_start.get(r.id, HORIZON) - r.submitted_at
        for r in good
        if r.work_class == "notice"
    )
    large = [
        driver.done_at.get(r.id, HORIZON) - r.submitted_at for r in good if r.work_class == "study"
    ]
    kept = sorted(
        driver.first_start.get(r.id, HORIZON) - r.submitted_at
        for r in good
        if r.id in driver.promised
    )
    return {
        "completion mean (min)": statistics.fmean(times) / 60,
        "completion p50 (min)": times[len(times) // 2] / 60,
        "completion p99 (min)": times[int(0.99 * len(times))] / 60,
        "within target (%)": 100 * sum(met) / len(met),
        "urgent start p99 (s)": urgent[int(0.99 * len(urgent))],
        "start within a guarantee, mean (s)": statistics.fmean(kept),
        "start within a guarantee, p99 (s)": kept[int(0.99 * len(kept))],
        "large-gang completion mean (min)": statistics.fmean(large) / 60 if large else 0.0,
        "fragmentation (%)": 100 * statistics.fmean(driver.samples) if driver.samples else 0.0,
        "free accelerators while work waits": statistics.fmean(driver.free or [0]),
        "work while y leaves and returns (acc. h)": driver.window_work / 3600,
        "work lost (acc. h)": driver.lost_work / 3600,
        "planned stops": driver.stops,
        "not completed": sum(r.id not in driver.done_at for r in good),
    }


def main() -> None:
    """Print the mean and range of each measure over the seeds as a Markdown table."""
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 10)
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        futures = {(n, s): pool.submit(play, n, s) for n in POLICIES for s in seeds}
        found = {key: future.result() for key, future in futures.items()}
    print(f"| mean of {len(seeds)} seeds (range) | " + " | ".join(POLICIES) + " |")
    print("|---" * (len(POLICIES) + 1) + "|")
    for measure in found["decide", 0]:
        row = []
        for name in POLICIES:
            values = [found[name, seed][measure] for seed in seeds]
            row.append(f"{statistics.fmean(values):.1f} ({min(values):.1f} to {max(values):.1f})")
        print(f"| {measure} | " + " | ".join(row) + " |")


if __name__ == "__main__":
    main()
