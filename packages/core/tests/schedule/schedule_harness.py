"""Builders of jobs, agents and scheduler states for tests."""

import dataclasses

from peridothatch_core.model import agents, desired, steps
from peridothatch_core.schedule import cycle, state

NOW_MS = 100_000
UNIX_MS = 1_700_000_000_000
HOLD_MS = 9_500


def worker(node, **changes):
    fields = {
        "instance": f"w-{node}",
        "started_ms": 1,
        "service": "render",
        "zone": "accra-a",
        "state": agents.WorkerState.READY,
        "capacity": steps.Demand(64_000, 256_000, 8),
        "kind": "a",
        "rack": "r1",
    }
    return agents.Worker(**fields | changes)


def agent(node, hold_until_ms=NOW_MS + HOLD_MS, lapses=0, runs=(), **changes):
    return agents.Agent(node, "accra-a", 1, lapses, hold_until_ms, worker(node, **changes), runs)


def job(job_id, *parts, priority=1, customer="ministry", submitted_ms=NOW_MS, **changes):
    fields = {
        "id": job_id,
        "queue": "q",
        "service": "render",
        "customer": customer,
        "priority": priority,
        "max_attempts": 3,
        "slack_factor": 3.0,
        "objective_ms": 500,
        "steps": parts or (step(),),
        "timetable": None,
        "submitted_ms": submitted_ms,
    }
    return steps.Job(**fields | changes)


def step(count=1, accelerators=1, cpu=4_000, **changes):
    return steps.Step(count, steps.Demand(cpu, 8_000, accelerators), **changes)


def make_scheduler(jobs=(), nodes=(), guaranteed=None):
    scheduler = state.State(state.Limits(hold_ms=HOLD_MS))
    for number, item in enumerate(jobs):
        state.add_job(scheduler, item, number + 1)
    for row in nodes:
        scheduler.agents[row.node] = row
        scheduler.agent_versions[row.node] = 1
    scheduler.desired = desired.DesiredState(
        1,
        tenancies=tuple(
            desired.Tenancy(name, frozenset(), amount)
            for name, amount in (guaranteed or {}).items()
        ),
    )
    return scheduler


def run(scheduler, now_ms=NOW_MS, unix_ms=UNIX_MS):
    """Run a cycle; return its row changes after removing them from the state."""
    cycle.run(scheduler, now_ms, unix_ms)
    changes, scheduler.changes = scheduler.changes, {}
    scheduler.events.clear()
    return changes


def open_runs(job):
    return [run_ for progress in job.progress for run_ in progress.runs]


def end(scheduler, job, run_, kind, saved="", now_ms=NOW_MS):
    """Record the end of a run and run a cycle."""
    progress = next(part for part in job.progress if run_ in part.runs)
    task = steps.task_name(job.id, progress.occurrence, progress.step, run_.index)
    scheduler.ends[f"e/{task}/{run_.attempt}"] = steps.End(
        task, run_.attempt, run_.node, kind, saved
    )
    return run(scheduler, now_ms)


def renew_unclaimed(scheduler, now_ms):
    """Renew the leases of all agents, none of which has claimed an order."""
    for node, old in list(scheduler.agents.items()):
        renewed = dataclasses.replace(old, hold_until_ms=now_ms + HOLD_MS)
        state.update_agent(scheduler, renewed, scheduler.agent_versions.get(node, 0) + 1)


def renew(scheduler, now_ms):
    """Renew the leases of all agents; each has claimed all of its orders."""
    for node, old in list(scheduler.agents.items()):
        claimed = tuple(
            (steps.task_name(job.id, progress.occurrence, progress.step, run_.index), run_.attempt)
            for job, progress, run_ in scheduler.runs.get(node, ())
        )
        renewed = agents.Agent(
            node, old.zone, old.fence, old.lapses, now_ms + HOLD_MS, old.worker, old.runs,
            claimed,
        )  # fmt: skip
        state.update_agent(scheduler, renewed, scheduler.agent_versions.get(node, 0) + 1)


def run_renewed(scheduler, now_ms):
    """Run a cycle while all agents renew their leases and claim their orders."""
    renew(scheduler, now_ms)
    run(scheduler, now_ms)
    renew(scheduler, now_ms)


def learn(scheduler, like, seconds, now_ms):
    """Let runs of a job's customer and queue end after given times, one by one; return the end."""
    for number, duration in enumerate(seconds):
        finished = job(
            f"learned-{like.queue}-{like.customer}-{number}", step(1, 1, cpu=1_000),
            priority=like.priority, queue=like.queue, customer=like.customer, submitted_ms=now_ms,
        )  # fmt: skip
        state.add_job(scheduler, finished, 1)
        run_renewed(scheduler, now_ms)
        now_ms += round(1000 * duration)
        renew(scheduler, now_ms)
        end(scheduler, finished, open_runs(finished)[0], steps.EndKind.DONE, now_ms=now_ms)
        assert finished.state is steps.JobState.COMPLETED
    return now_ms
