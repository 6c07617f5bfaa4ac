"""Candidates for preemption: what would be lost by stopping runs, and which runs end in time.

Answers full fleets in which only some of the work is cheap to stop: work that has just begun, that
writes checkpoints, or whose owner has time for a restart.
"""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.model import steps
from peridothatch_core.schedule import fit, spare
from peridothatch_core.schedule import state as states

RESTART_COST_SECONDS = 1.0
"""Minimum work lost by stopping a run.

It accounts for the restart and for the work since the last checkpoint.
"""

IsPreemptible = typing.Callable[[steps.Job], bool]


@dataclasses.dataclass(slots=True)
class Victim:
    """Runs that are stopped together: one task or a whole gang.

    Attributes
    ----------
    cost : float
        Work that is lost by stopping the runs, in core-seconds.
    """

    job: steps.Job
    progress: steps.StepProgress
    runs: list[steps.Run]
    cost: float


FindVictims = typing.Callable[[str], list[Victim]]
"""Returns the preemptible runs on a node, cheapest first."""


def cores(step: steps.Step) -> float:
    """Return the demand of a task in cores; an accelerator counts as 8 cores."""
    return step.demand.cpu_millis / 1000.0 + 8.0 * step.demand.accelerators


def finder(
    state: states.State, is_preemptible: IsPreemptible, terms: spare.Terms | None, now_ms: int
) -> FindVictims:
    """Return a function that finds the victims on a node, and remembers them."""
    victims_by_node: dict[str, list[Victim]] = {}

    def find_victims(node: str) -> list[Victim]:
        if node not in victims_by_node:
            victims_by_node[node] = [
                victim
                for victim in _victims_on(state, node, is_preemptible, now_ms)
                if terms is None or not _ends_in_time(state, victim, terms, now_ms)
            ]
        return victims_by_node[node]

    return find_victims


def affordable_finder(
    state: states.State, find_victims: FindVictims, terms: spare.Terms, now_ms: int
) -> FindVictims:
    """Return a function that finds the victims whose owners still meet their objectives."""
    victims_by_node: dict[str, list[Victim]] = {}

    def find_affordable(node: str) -> list[Victim]:
        if node not in victims_by_node:
            victims_by_node[node] = [
                victim
                for victim in find_victims(node)
                if _stays_on_time(state, victim, terms, now_ms)
            ]
        return victims_by_node[node]

    return find_affordable


def free_later(
    state: states.State,
    group: list[fit.Candidate],
    terms: spare.Terms | None,
    now_ms: int,
) -> dict[str, list[int]]:
    """Return by node the resources that will be free without stopping any run.

    Besides the runs that are stopping, runs that end in time for the job count as ended.
    """
    free = {candidate.agent.node: list(candidate.free_after_stops) for candidate in group}
    if terms is None:
        return free
    for node, amounts in free.items():
        for victim in _victims_on(state, node, lambda _: True, now_ms):
            if not _ends_in_time(state, victim, terms, now_ms):
                continue
            demand = states.reserved_demand(victim.job.steps[victim.progress.step])
            here = sum(run.node == node for run in victim.runs)
            for resource, amount in enumerate(demand):
                amounts[resource] += here * amount
    return free


def _stays_on_time(state: states.State, victim: Victim, terms: spare.Terms, now_ms: int) -> bool:
    """Return whether the owner meets its objective if its runs start again after the job."""
    outlook = spare.outlook(state, victim.job, victim.progress, victim.runs, now_ms)
    return outlook.spare_seconds >= terms.occupied_seconds


def _ends_in_time(state: states.State, victim: Victim, terms: spare.Terms, now_ms: int) -> bool:
    """Return whether a job waits for runs to end, because stopping them would cost more.

    A run that has reported to be complete has no time left, however long it hangs. It is not
    awaited once the job has no time to wait either.
    """
    outlook = spare.outlook(state, victim.job, victim.progress, victim.runs, now_ms)
    step = victim.job.steps[victim.progress.step]
    rest = len(victim.runs) * cores(step) * outlook.remaining_seconds
    return outlook.remaining_seconds < terms.wait_seconds and rest <= victim.cost


def _victims_on(
    state: states.State, node: str, is_preemptible: IsPreemptible, now_ms: int
) -> list[Victim]:
    """Return the preemptible runs on a node, cheapest first."""
    victims: list[Victim] = []
    for job, progress, run in state.runs.get(node, ()):
        if run.stopping or not is_preemptible(job):
            continue
        step = job.steps[progress.step]
        if step.long_running and step.max_unavailable:
            continue
        runs = list(progress.runs) if step.gang else [run]
        if any(victim.runs[0] is runs[0] for victim in victims):
            continue
        victims.append(Victim(job, progress, runs, _cost(step, runs, now_ms)))
    return sorted(victims, key=lambda victim: victim.cost)


def _cost(step: steps.Step, runs: list[steps.Run], now_ms: int) -> float:
    """Return the work lost by stopping runs, in core-seconds."""
    worked = [max(0, now_ms - run.ordered_ms) / 1000.0 for run in runs]
    if step.checkpointing:
        worked = [min(seconds, RESTART_COST_SECONDS) for seconds in worked]
    return cores(step) * sum(seconds + RESTART_COST_SECONDS for seconds in worked)
