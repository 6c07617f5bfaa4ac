"""A fleet of workers of given speeds for tests, whose agents report progress in whole percent."""

import dataclasses
import math
import random

import schedule_harness as harness

from peridothatch_core.model import agents, steps
from peridothatch_core.schedule import state

TICK_MS = 250
RENEWAL_MS = 2_000


@dataclasses.dataclass
class Fleet:
    """A scheduler, and what its workers do.

    Attributes
    ----------
    pace : dict
        Speed by node; may be changed by a test.
    deviation : float
        Standard deviation of the logarithm of the work of a task.
    percent : dict
        Progress by task and attempt.
    ended_ms : dict
        Time at which a job was completed, by job.
    """

    scheduler: state.State
    pace: dict
    rng: random.Random
    deviation: float = 0.2
    now_ms: int = harness.NOW_MS
    work: dict = dataclasses.field(default_factory=dict)
    percent: dict = dataclasses.field(default_factory=dict)
    ended_ms: dict = dataclasses.field(default_factory=dict)


def make_fleet(pace, seed=1, deviation=0.2, workers=None):
    workers = workers or {}
    rows = [harness.agent(node, **workers.get(node, {})) for node in pace]
    return Fleet(harness.make_scheduler([], rows), dict(pace), random.Random(seed), deviation)


def submit(fleet, job):
    """Add a job; its tasks run for about their declared duration on a worker of speed 1."""
    job = dataclasses.replace(job, submitted_ms=fleet.now_ms)
    state.add_job(fleet.scheduler, job, 1)
    return job


def advance(fleet, milliseconds):
    for _ in range(0, milliseconds, TICK_MS):
        fleet.now_ms += TICK_MS
        work(fleet)
        if fleet.now_ms % RENEWAL_MS == 0:
            renew(fleet)
        for entries in fleet.scheduler.runs.values():
            fleet.scheduler.claimed_runs.update(_key(*entry) for entry in entries)
        harness.run(fleet.scheduler, fleet.now_ms)
        for job in fleet.scheduler.jobs.values():
            if job.state is steps.JobState.COMPLETED:
                fleet.ended_ms.setdefault(job.id, job.ended_ms)


def work(fleet):
    for entries in list(fleet.scheduler.runs.values()):
        for job, progress, run in list(entries):
            key = _key(job, progress, run)
            step = job.steps[progress.step]
            nodes = {member.node for member in progress.runs} if step.gang else {run.node}
            pace = min(fleet.pace[node] for node in nodes)
            noise = 1.0 if step.gang else math.exp(fleet.rng.gauss(0.0, fleet.deviation))
            work_ms = fleet.work.setdefault(key, step.estimate_ms * noise)
            done = fleet.percent.get(key, 0.0) + 100.0 * TICK_MS * pace / work_ms
            fleet.percent[key] = done
            if done >= 100.0:
                task, attempt = key
                fleet.scheduler.ends[f"e/{task}/{attempt}"] = steps.End(
                    task, attempt, run.node, steps.EndKind.DONE
                )


def renew(fleet):
    for node, old in list(fleet.scheduler.agents.items()):
        keys = [_key(*entry) for entry in fleet.scheduler.runs.get(node, ())]
        reports = tuple(
            agents.RunReport(*key, "", int(min(99.0, fleet.percent.get(key, 0.0)))) for key in keys
        )
        renewed = dataclasses.replace(
            old, hold_until_ms=fleet.now_ms + harness.HOLD_MS, runs=reports, claimed=tuple(keys)
        )
        state.update_agent(fleet.scheduler, renewed, fleet.scheduler.agent_versions[node] + 1)


def _key(job, progress, run):
    return steps.task_name(job.id, progress.occurrence, progress.step, run.index), run.attempt
