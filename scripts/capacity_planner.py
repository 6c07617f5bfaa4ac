"""Processor time and memory of the planner against the gangs of its data centre."""

from __future__ import annotations

import itertools

import capacity_fit

from peridothatch_core.message import link
from peridothatch_core.model import job, shape, worker
from peridothatch_core.start import gang_event, gang_report, gang_start, gang_state, service_proof

TASKS_PER_WORKER = 21
"""210,000 tasks on 9,800 workers."""
TASK = shape.TaskShape(0, 1, 512)
TARGET_WORKERS = 1_089


def build(workers: int, tasks_per_worker: int, gang_tasks: int) -> gang_state.State:
    """Return a planner whose workers run complete gangs, with one task of a gang on each."""
    state = gang_start.create("dc", 2, 0.0, 1e9)
    gang_start.step(
        state,
        gang_event.ServiceStatusUpdated(service_proof.ServiceStatus(True, 1, 0.0), False),
        0.0,
    )
    members: dict[int, list[link.Member]] = {index: [] for index in range(workers)}
    hosts = itertools.cycle(range(workers))
    for number in range(workers * tasks_per_worker // gang_tasks):
        cells = tuple(job.Cell(task, f"w{next(hosts)}") for task in range(gang_tasks))
        row = job.Job(
            f"entry-dc.8f3a21c4.{number}", "team", "batch", shape.GangShape(gang_tasks, TASK),
            ("x",), "dc", 0.0, 9e9, state=job.State.RUNNING, run=1, epoch=1, cells=cells,
        )  # fmt: skip
        gang_start.step(state, gang_event.JobRead(row.id, row, 1), 0.0)
        for cell in cells:
            members[int(cell.worker[1:])].append(link.Member(row.id, 1, cell, "running"))
    for index, held in members.items():
        one = worker.Worker(f"w{index}", "dc", f"r{index // 16}", 8, 64, 262_144, "v1")
        message = link.AnnounceWorker(one, tuple(held))
        gang_start.step(state, gang_event.FromAgent(f"a{index}", message, "1"), 0.5)
    gang_start.step(state, gang_event.JobsLoaded(), 0.5)
    running = [gang for gang in state.gangs.values() if gang.phase is gang_state.Phase.RUNNING]
    if len(running) != len(state.gangs):
        raise RuntimeError(f"{len(running)} of {len(state.gangs)} gangs run; expected all")
    return state


def heartbeat_time(state: gang_state.State) -> float:
    """Return the processor time of one heartbeat, in microseconds."""
    agents = list(state.agents.values())[:64]
    events = [
        gang_event.FromAgent(
            agent.agent_id,
            link.Heartbeat(1.0, gang_report.digest(tuple(agent.members.values())), 0, 2),
            "1",
        )
        for agent in agents
    ]

    def beat() -> None:
        for event in events:
            gang_start.step(state, event, 1.0)

    return capacity_fit.microseconds(beat, 2) / len(events)


def tick_time(state: gang_state.State) -> float:
    """Return the processor time of one tick that searches for silent members, in microseconds."""

    def tick() -> None:
        state.silence_checked_at = float("-inf")
        gang_start.step(state, gang_event.Tick(), 1.0)

    return capacity_fit.microseconds(tick, 4)


def series() -> list[capacity_fit.Series]:
    """Return the costs against workers, gangs on a worker and tasks of a gang."""
    make = capacity_fit.Series
    by_workers = [(size, build(size, TASKS_PER_WORKER, 16)) for size in (64, 272, 544, 1_089)]
    by_gangs = [(held, build(256, held, 16)) for held in (2, 8, 16, 32)]
    by_gang = [(size, build(1_089, TASKS_PER_WORKER, size)) for size in (16, 64, 256, 1_024)]
    by_tasks = [
        (len(state.agents) * TASKS_PER_WORKER, tick_time(state)) for _, state in by_workers
    ]
    memory = tuple(
        (size, capacity_fit.kibibytes(lambda size=size: build(size, TASKS_PER_WORKER, 16)))
        for size in (32, 64, 128, 256)
    )
    idle_memory = tuple(
        (size, capacity_fit.kibibytes(lambda size=size: build(size, 0, 16)))
        for size in (272, 544, 1_089, 2_178)
    )
    return [
        make("planner heartbeat, 21 gangs of 16 on each worker", "workers", "µs",
             tuple((size, heartbeat_time(state)) for size, state in by_workers)),
        make("planner heartbeat, gangs of 16, 256 workers", "gangs on the worker", "µs",
             tuple((size, heartbeat_time(state)) for size, state in by_gangs)),
        make("planner heartbeat, 21 gangs on each of 1,089 workers", "tasks of a gang", "µs",
             tuple((size, heartbeat_time(state)) for size, state in by_gang)),
        make("planner tick, gangs of 16", "tasks running", "µs", tuple(by_tasks)),
        make("planner memory, 21 tasks on each worker, gangs of 16", "workers", "KiB", memory),
        make("planner memory, no tasks", "workers", "KiB", idle_memory),
    ]  # fmt: skip
