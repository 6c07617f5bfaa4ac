"""Processor time of the planner from the placement of a gang until all its members run."""

from __future__ import annotations

import time

import capacity_fit
import capacity_planner

from peridothatch_core.message import link, store
from peridothatch_core.model import job, shape
from peridothatch_core.start import gang_event, gang_start, gang_state, service_proof

SIZES = (16, 64, 256, 1_024)
REPEATS = 3
NOW = 2.0


def launch_time(tasks: int) -> float:
    """Return the processor time of one launch with one task on each worker, in microseconds.

    It covers the reservation, commit, start and report of each member, but neither the codec nor
    the sockets.
    """
    return min(_launch(tasks) for _ in range(REPEATS))


def _launch(tasks: int) -> float:
    state = capacity_planner.build(tasks, 0, 1)
    gang = shape.GangShape(tasks, capacity_planner.TASK)
    row = job.Job("j", "team", "urgent", gang, ("x",), "dc", 0.0, 9e9)
    gang_start.step(state, gang_event.JobRead("j", row, 1), NOW)
    reading = service_proof.ServiceStatus(True, 1, NOW)
    gang_start.step(state, gang_event.ServiceStatusUpdated(reading, False), NOW)
    cells = tuple(job.Cell(index, f"w{index}") for index in range(tasks))
    begin = time.process_time()
    gang_start.step(state, gang_event.Place("j", cells, False), NOW)
    for index in range(tasks):
        _deliver(state, index, link.Reserved("j", 1, NOW))
    attempt = state.jobs["j"].saving.attempt
    saved = gang_event.SaveResult("j", attempt, store.Outcome.APPLIED, 2)
    gang_start.step(state, saved, NOW)
    for cell in cells:
        member = link.Member("j", 1, cell, "running")
        _deliver(state, cell.task, link.MemberState(member, cell.worker))
    seconds = time.process_time() - begin
    if state.gangs["j"].phase is not gang_state.Phase.RUNNING:
        raise RuntimeError(f"the gang is {state.gangs['j'].phase}; expected running")
    return seconds * 1e6


def _deliver(state: gang_state.State, index: int, message: link.Message) -> None:
    gang_start.step(state, gang_event.FromAgent(f"a{index}", message, "1"), NOW)


def series() -> list[capacity_fit.Series]:
    """Return the cost of a launch against the tasks of the gang."""
    points = tuple((size, launch_time(size)) for size in SIZES)
    per_task = tuple((size, cost / size) for size, cost in points)
    make = capacity_fit.Series
    return [
        make("planner launches a gang", "tasks of the gang", "µs", points),
        make("planner launches a gang, each task", "tasks of the gang", "µs", per_task),
    ]
