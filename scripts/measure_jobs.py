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
    "decide": policies.PlacementPolicy,
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
class Simulation:
    """State of one simulation: a seeded workload under one policy."""

    policy: object
    work: dict[str, workload.SimulatedJob]
    events: list = dataclasses.field(default_factory=list)
    order: object = dataclasses.field(default_factory=itertools.count)
    runs: dict[str, Run] = dataclasses.field(default_factory=dict)
    saved: dict[str, float] = dataclasses.field(default_factory=dict)
    numbers: dict[str, int] = dataclasses.field(default_factory=dict)
    first_start: dict[str, float] = dataclasses.field(default_factory=dict)
    done_at: dict[str, float] = dataclasses.field(default_factory=dict)
    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    faulty_workers: set[str] = dataclasses.field(default_factory=set)
    window_work: float = 0.0
    lost_work: float = 0.0
    stops: int = 0
    samples: list[float] = dataclasses.field(default_factory=list)
    free: list[int] = dataclasses.field(default_factory=list)
    open_work: dict[str, int] = dataclasses.field(default_factory=dict)
    within_guarantee: set[str] = dataclasses.field(default_factory=set)


def on_submit(simulation: Simulation, now: float, row: job.Job) -> None:
    """Submit a job and record whether it is within its customer's guarantee.

    It is if the customer's open jobs, including this one, fit in the guaranteed number of
    accelerators, and the gang fits in the guaranteed shape.
    """
    if row.id not in simulation.numbers and row.submitted_at == now:
        wanted = shape.total_accelerators(row.shape)
        simulation.open_work[row.customer] = simulation.open_work.get(row.customer, 0) + wanted
        for one in workload.GUARANTEES:
            most = one.count * shape.total_accelerators(one.shape)
            if (
                one.customer == row.customer
                and simulation.open_work[row.customer] <= most
                and row.shape.tasks <= one.shape.tasks
                and row.shape.task.accelerators <= one.shape.task.accelerators
            ):
                simulation.within_guarantee.add(row.id)
    simulation.policy.submit(row, now)


def remove_open_work(simulation: Simulation, job_id: str) -> None:
    """Remove a job from the open work of its customer."""
    row = simulation.work[job_id].row
    simulation.open_work[row.customer] -= shape.total_accelerators(row.shape)


def schedule(simulation: Simulation, at: float, kind: str, *values: object) -> None:
    """Schedule an event."""
    heapq.heappush(simulation.events, (at, next(simulation.order), kind, values))


def simulate(name: str, seed: int) -> dict[str, float]:
    """Run one simulation and return its measures."""
    works = workload.arrivals(seed)
    simulation = Simulation(POLICIES[name](), {one.row.id: one for one in works})
    simulation.policy.configure(workload.START, y_is_out=False)
    machines = {one.id: one for one in workload.workers()}
    for one in machines.values():
        simulation.policy.add_worker(one, workload.START)
    for one in works:
        schedule(simulation, one.row.submitted_at, "submit", one.row)
    for at, kind, worker_id in workload.faults(seed):
        schedule(simulation, at, kind, machines[worker_id])
    schedule(simulation, workload.TAKEN_OUT_AT, "service", True)
    schedule(simulation, workload.PUT_BACK_AT, "service", False)
    schedule(simulation, workload.START, "tick")
    while simulation.events and simulation.events[0][0] < HORIZON:
        now, _, kind, values = heapq.heappop(simulation.events)
        HANDLERS[kind](simulation, now, *values)
        if not simulation.events or simulation.events[0][0] > now:
            apply_actions(simulation, now)
        if len(simulation.done_at) + len(simulation.failed_jobs) == len(simulation.work):
            break
    return compute_measures(simulation)


def apply_actions(simulation: Simulation, now: float) -> None:
    """Apply the actions that the policy returns."""
    for kind, job_id, cells in simulation.policy.take_actions(now):
        if kind == "start":
            start(simulation, now, job_id, cells)
        elif job_id in simulation.runs and not simulation.runs[job_id].stopping:
            simulation.stops += 1
            run = simulation.runs[job_id]
            run.stopping = True
            checkpointable = simulation.work[job_id].row.checkpointable
            wait = CHECKPOINTED_STOP_SECONDS if checkpointable else STOP_SECONDS
            schedule(simulation, now + wait, "stopped", job_id, run.number)


def start(simulation: Simulation, now: float, job_id: str, cells: tuple[job.Cell, ...]) -> None:
    """Start a run; it will fail on a faulty worker or if the job always fails."""
    one = simulation.work[job_id]
    number = simulation.numbers[job_id] = simulation.numbers.get(job_id, 0) + 1
    base = simulation.saved.get(job_id, 0.0)
    begin = now + START_SECONDS
    simulation.first_start.setdefault(job_id, begin)
    simulation.runs[job_id] = Run(number, begin, cells, base)
    broken = next(
        (cell.worker for cell in cells if cell.worker in simulation.faulty_workers), None
    )
    if broken or one.faulty:
        wait = 5.0 if broken else min(30.0, one.seconds)
        schedule(simulation, begin + wait, "failed", job_id, number, broken or cells[0].worker)
        return
    schedule(simulation, begin + one.seconds - base, "finished", job_id, number)
    if one.row.checkpointable:
        schedule(simulation, begin + CHECKPOINT_SECONDS, "checkpointed", job_id, number)


def end_run(simulation: Simulation, now: float, job_id: str, kept: float) -> None:
    """End a run that preserves ``kept`` seconds of work; count the part within the window."""
    run = simulation.runs.pop(job_id)
    accelerators = shape.total_accelerators(simulation.work[job_id].row.shape)
    elapsed = max(0.0, now - run.started_at)
    gained = max(0.0, kept - run.base)
    simulation.lost_work += max(0.0, elapsed - gained) * accelerators
    begin, end = workload.ABSENCE_WINDOW
    inside = min(run.started_at + gained, end) - max(run.started_at, begin)
    simulation.window_work += max(0.0, inside) * accelerators
    simulation.saved[job_id] = kept


def is_current(simulation: Simulation, job_id: str, number: int) -> bool:
    """Return whether an event belongs to the job's current run."""
    return job_id in simulation.runs and simulation.runs[job_id].number == number


def on_finished(simulation: Simulation, now: float, job_id: str, number: int) -> None:
    """Complete a job."""
    if is_current(simulation, job_id, number):
        end_run(simulation, now, job_id, simulation.work[job_id].seconds)
        simulation.done_at[job_id] = now
        remove_open_work(simulation, job_id)
        simulation.policy.record_ended(job_id, now, succeeded=True)


def on_stopped(simulation: Simulation, now: float, job_id: str, number: int) -> None:
    """Put a stopped job back; one that can write checkpoints keeps its work."""
    if is_current(simulation, job_id, number):
        run = simulation.runs[job_id]
        checkpointable = simulation.work[job_id].row.checkpointable
        elapsed = max(0.0, now - run.started_at)
        requeue(simulation, now, job_id, run.base + elapsed if checkpointable else 0.0)


def on_failed(
    simulation: Simulation, now: float, job_id: str, number: int, worker_id: str
) -> None:
    """Retry a failed job, or drop it."""
    if not is_current(simulation, job_id, number):
        return
    pause = simulation.policy.record_failed(job_id, worker_id, now)
    end_run(simulation, now, job_id, simulation.saved.get(job_id, 0.0))
    if pause is None:
        simulation.policy.record_ended(job_id, now, succeeded=False)
        simulation.failed_jobs.add(job_id)
        remove_open_work(simulation, job_id)
    else:
        schedule(simulation, now + pause, "submit", simulation.work[job_id].row)


def requeue(simulation: Simulation, now: float, job_id: str, kept: float) -> None:
    """End the run of a job and queue it again."""
    end_run(simulation, now, job_id, kept)
    row = simulation.work[job_id].row
    simulation.policy.submit(dataclasses.replace(row, checkpoint="key" if kept else ""), now)


def on_lost(simulation: Simulation, now: float, machine: object) -> None:
    """Lose a worker; its gangs are queued again from their last checkpoint after 63 s."""
    simulation.policy.remove_worker(machine.id, now)
    for job_id, run in list(simulation.runs.items()):
        if any(cell.worker == machine.id for cell in run.cells):
            elapsed = max(0.0, now - run.started_at)
            checkpointable = simulation.work[job_id].row.checkpointable
            saved = run.base + elapsed // CHECKPOINT_SECONDS * CHECKPOINT_SECONDS
            end_run(simulation, now, job_id, saved if checkpointable else 0.0)
            schedule(simulation, now + 63.0, "submit", simulation.work[job_id].row)


def on_tick(simulation: Simulation, now: float) -> None:
    """Sample the fragmentation during the arrival period."""
    fleets = simulation.policy.fleets()
    waiting = simulation.policy.waiting()
    if waiting and now < workload.START + workload.ARRIVALS_SECONDS:
        digests = [fleet.digest(one) for one in fleets]
        blocks = itertools.zip_longest(*(one.free_blocks for one in digests), fillvalue=0)
        total = fleet.Digest(
            sum(one.free_accelerators for one in digests), tuple(map(sum, blocks))
        )
        simulation.free.append(total.free_accelerators)
        if total.free_accelerators:
            simulation.samples.append(fragmentation.share(total, waiting))
    schedule(simulation, now + TICK_SECONDS, "tick")


def on_checkpointed(simulation: Simulation, now: float, job_id: str, number: int) -> None:
    """Record the first checkpoint of a run."""
    if is_current(simulation, job_id, number):
        simulation.policy.record_checkpoint(job_id, now)


HANDLERS = {
    "submit": on_submit,
    "finished": on_finished,
    "stopped": on_stopped,
    "failed": on_failed,
    "lost": on_lost,
    "joined": lambda simulation, now, machine: simulation.policy.add_worker(machine, now),
    "bad": lambda simulation, now, machine: simulation.faulty_workers.add(machine.id),  # noqa: ARG005
    "good": lambda simulation, now, machine: simulation.faulty_workers.discard(machine.id),  # noqa: ARG005
    "service": lambda simulation, now, out: simulation.policy.configure(now, y_is_out=out),
    "tick": on_tick,
    "checkpointed": on_checkpointed,
}


def compute_measures(simulation: Simulation) -> dict[str, float]:
    """Return the measures of a simulation; an incomplete job counts as ending at the horizon."""
    good = [one.row for one in simulation.work.values() if not one.faulty]
    times = sorted(simulation.done_at.get(r.id, HORIZON) - r.submitted_at for r in good)
    met = [simulation.done_at.get(r.id, HORIZON) <= r.due_at for r in good]
    urgent = sorted(
        simulation.first_start.get(r.id, HORIZON) - r.submitted_at
        for r in good
        if r.work_class == "notice"
    )
    large = [
        simulation.done_at.get(r.id, HORIZON) - r.submitted_at
        for r in good
        if r.work_class == "study"
    ]
    kept = sorted(
        simulation.first_start.get(r.id, HORIZON) - r.submitted_at
        for r in good
        if r.id in simulation.within_guarantee
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
        "fragmentation (%)": 100 * statistics.fmean(simulation.samples)
        if simulation.samples
        else 0.0,
        "free accelerators while work waits": statistics.fmean(simulation.free or [0]),
        "work while y leaves and returns (acc. h)": simulation.window_work / 3600,
        "work lost (acc. h)": simulation.lost_work / 3600,
        "planned stops": simulation.stops,
        "not completed": sum(r.id not in simulation.done_at for r in good),
    }


def main() -> None:
    """Print the mean and range of each measure over the seeds as a Markdown table."""
    seeds = range(int(sys.argv[1]) if len(sys.argv) > 1 else 10)
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        futures = {(n, s): pool.submit(simulate, n, s) for n in POLICIES for s in seeds}
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
