"""Preemption: which runs are stopped to make room for more urgent jobs, with minimal loss."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.model import desired, steps
from peridothatch_core.schedule import expected, fit
from peridothatch_core.schedule import state as states

URGENT_PRIORITY = 0
"""Priority of urgent jobs; guarantees apply to these jobs only."""

RESTART_COST_SECONDS = 1.0
"""Minimum work lost by stopping a run.

It accounts for the restart and for the work since the last checkpoint.
"""

MAX_URGENT_LOSS = 500.0
"""Core-seconds that may be lost for an urgent job beyond its customer's guarantee."""

MAX_URGENT_LOSS_SHARE = 0.5
"""Additional loss allowed for such a job, as a share of its own work.

Larger jobs justify larger losses. Beyond this limit the lost work costs more than a late urgent
job.
"""

DEFAULT_TASK_SECONDS = 1.0
"""Assumed duration of tasks that declare none, until a run of their queue has ended.

It is short so that little work is lost for tasks of unknown size.
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


@dataclasses.dataclass(slots=True)
class Plan:
    """Target workers for tasks, and the runs to stop there."""

    victims: list[Victim] = dataclasses.field(default_factory=list)
    targets: list[fit.Candidate] = dataclasses.field(default_factory=list)

    @property
    def cost(self) -> float:
        """Work that is lost, in core-seconds."""
        return sum(victim.cost for victim in self.victims)


FindVictims = typing.Callable[[str], list[Victim]]
"""Returns the preemptible runs on a node, cheapest first."""


def protected_jobs(state: states.State) -> set[str]:
    """Return the urgent jobs of customers whose urgent jobs together fit their guarantee."""
    if state.desired is None:
        return set()
    demand_by_customer: dict[str, int] = {}
    urgent: dict[str, list[str]] = {}
    for job in state.jobs.values():
        if job.priority != URGENT_PRIORITY or job.state in steps.FINAL_STATES:
            continue
        demand = max(step.count * step.demand.accelerators for step in job.steps)
        demand_by_customer[job.customer] = demand_by_customer.get(job.customer, 0) + demand
        urgent.setdefault(job.customer, []).append(job.id)
    return {
        job_id
        for customer, jobs in urgent.items()
        if demand_by_customer[customer] <= desired.guaranteed_accelerators(state.desired, customer)
        for job_id in jobs
    }


def plan(
    state: states.State,
    job: steps.Job,
    progress: steps.StepProgress,
    count: int,
    groups: list[list[fit.Candidate]],
    protected: set[str],
    now_ms: int,
) -> Plan | None:
    """Return the cheapest plan that makes room for tasks, or ``None``.

    A guaranteed job may preempt any run of a job that is not guaranteed. Other jobs may preempt
    only runs of lower priority.

    Parameters
    ----------
    count : int
        Number of tasks to place.
    groups : list of list of Candidate
        Eligible workers; all tasks are placed within one of the groups.
    protected : set of str
        Jobs within their customer's guarantee.
    """
    is_guaranteed = job.id in protected
    if not is_guaranteed and job.priority >= _lowest_priority(state):
        return None

    def is_preemptible(other: steps.Job) -> bool:
        return other.id not in protected and (is_guaranteed or other.priority > job.priority)

    step = job.steps[progress.step]
    plans = [_plan_group(state, step, count, group, is_preemptible, now_ms) for group in groups]
    feasible = [candidate_plan for candidate_plan in plans if candidate_plan is not None]
    return min(feasible, key=lambda candidate_plan: candidate_plan.cost, default=None)


def is_acceptable(
    state: states.State, job: steps.Job, step: steps.Step, chosen: Plan, protected: set[str]
) -> bool:
    """Return whether the loss of a plan is justified by the job."""
    if job.id in protected:
        return True
    return chosen.cost <= _max_loss(state, job, step, len(chosen.targets))


def execute(
    state: states.State, job: steps.Job, step: steps.Step, chosen: Plan, protected: set[str]
) -> None:
    """Stop the victims of a plan and reserve its targets."""
    reserve(step, chosen)
    kind = "guaranteed" if job.id in protected else f"priority {job.priority}"
    for victim in chosen.victims:
        for run in victim.runs:
            reason = f"preempted by the {kind} job {job.id}"
            states.stop_run(state, victim.job, victim.progress, run, reason)


def reserve(step: steps.Step, chosen: Plan) -> None:
    """Reserve the targets of a plan for the rest of the cycle.

    Otherwise smaller tasks of less urgent jobs would take the resources as they become free, and
    the tasks of the plan would never fit.
    """
    for candidate in chosen.targets:
        fit.reserve(candidate, states.reserved_demand(step))


def _lowest_priority(state: states.State) -> int:
    return max(
        (job.priority for job in state.jobs.values() if job.state not in steps.FINAL_STATES),
        default=URGENT_PRIORITY,
    )


def _max_loss(state: states.State, job: steps.Job, step: steps.Step, count: int) -> float:
    """Return the core-seconds that may be lost so that tasks of a job can start now.

    Only urgent jobs preempt others; less urgent jobs wait on workers reserved for them.
    """
    if job.priority != URGENT_PRIORITY:
        return 0.0
    expectation = expected.run_expectation(state, job, step, default_seconds=DEFAULT_TASK_SECONDS)
    own_work = count * _cores(step) * expectation.seconds
    return MAX_URGENT_LOSS + MAX_URGENT_LOSS_SHARE * own_work


def _plan_group(
    state: states.State,
    step: steps.Step,
    count: int,
    group: list[fit.Candidate],
    is_preemptible: IsPreemptible,
    now_ms: int,
) -> Plan | None:
    """Return the cheapest plan that places ``count`` tasks on a group of workers, or ``None``."""
    needed = states.reserved_demand(step)
    free = {candidate.agent.node: list(candidate.free_after_stops) for candidate in group}
    victims_by_node: dict[str, list[Victim]] = {}

    def find_victims(node: str) -> list[Victim]:
        if node not in victims_by_node:
            victims_by_node[node] = _preemptible_on(state, node, is_preemptible, now_ms)
        return victims_by_node[node]

    plan = Plan()
    tasks_on_node: dict[str, int] = {}
    for _ in range(count):
        candidate = _cheapest_target(step, group, free, plan.victims, tasks_on_node, find_victims)
        if candidate is None:
            return None
        for resource, amount in enumerate(needed):
            free[candidate.agent.node][resource] -= amount
        tasks_on_node[candidate.agent.node] = tasks_on_node.get(candidate.agent.node, 0) + 1
        plan.targets.append(candidate)
    return plan


def _cheapest_target(
    step: steps.Step,
    candidates: list[fit.Candidate],
    free: dict[str, list[int]],
    stopped: list[Victim],
    tasks_on_node: dict[str, int],
    find_victims: FindVictims,
) -> fit.Candidate | None:
    """Return the worker on which one more task costs least, or ``None``.

    The victims on that worker are appended to ``stopped`` and their resources added to ``free``.
    """
    needed = states.reserved_demand(step)
    best: tuple[float, int, str, fit.Candidate, list[Victim]] | None = None
    for candidate in candidates:
        node = candidate.agent.node
        if step.spread_limit and tasks_on_node.get(node, 0) >= step.spread_limit:
            continue
        victims = _choose_victims(node, free[node], needed, stopped, find_victims)
        if victims is None:
            continue
        cost = sum(victim.cost for victim in victims)
        key = (cost, free[node][2], node)
        if best is None or key < best[:3]:
            best = (*key, candidate, victims)
    if best is None:
        return None
    for victim in best[4]:
        stopped.append(victim)
        for run in victim.runs:
            for resource, amount in enumerate(
                states.reserved_demand(victim.job.steps[victim.progress.step])
            ):
                if run.node in free:
                    free[run.node][resource] += amount
    return best[3]


def _choose_victims(
    node: str,
    free: list[int],
    needed: tuple[int, int, int],
    stopped: list[Victim],
    find_victims: FindVictims,
) -> list[Victim] | None:
    """Return the cheapest victims on a node that make room for one task, or ``None``."""
    remaining = list(free)
    if fit.fits(remaining, needed):
        return []
    stopped_runs = {id(run) for victim in stopped for run in victim.runs}
    chosen: list[Victim] = []
    for victim in find_victims(node):
        if any(id(run) in stopped_runs for run in victim.runs):
            continue
        chosen.append(victim)
        for run in victim.runs:
            stopped_runs.add(id(run))
            if run.node == node:
                amounts = states.reserved_demand(victim.job.steps[victim.progress.step])
                remaining = [
                    have + amount for have, amount in zip(remaining, amounts, strict=True)
                ]
        if fit.fits(remaining, needed):
            return _without_unneeded(chosen, node, remaining, needed)
    return None


def _without_unneeded(
    chosen: list[Victim], node: str, remaining: list[int], needed: tuple[int, int, int]
) -> list[Victim]:
    """Remove victims that are not needed to fit the task, the most expensive first."""
    kept = list(chosen)
    for victim in sorted(chosen, key=lambda item: -item.cost):
        amounts = states.reserved_demand(victim.job.steps[victim.progress.step])
        here = sum(run.node == node for run in victim.runs)
        without = [have - here * amount for have, amount in zip(remaining, amounts, strict=True)]
        if fit.fits(without, needed):
            remaining = without
            kept.remove(victim)
    return kept


def _preemptible_on(
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
    return _cores(step) * sum(seconds + RESTART_COST_SECONDS for seconds in worked)


def _cores(step: steps.Step) -> float:
    """Return the demand of a task in cores; an accelerator counts as 8 cores."""
    return step.demand.cpu_millis / 1000.0 + 8.0 * step.demand.accelerators
