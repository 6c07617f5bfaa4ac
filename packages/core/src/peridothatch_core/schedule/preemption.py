"""Preemption: which runs are stopped to make room for more urgent jobs, with minimal loss.

Answers bursts of urgent jobs in a full fleet. Guaranteed jobs may stop any borrowed work. Other
urgent jobs may discard little work, or more of it if its owners can spare it; see `spare`.
"""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.model import desired, steps
from peridothatch_core.order import expectations
from peridothatch_core.schedule import expected, fit, spare, victims
from peridothatch_core.schedule import state as states

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

URGENT_PRIORITY = 0
"""Priority of urgent jobs; guarantees apply to these jobs only."""

MAX_URGENT_LOSS = 500.0
"""Core-seconds that may be lost for an urgent job beyond its customer's guarantee."""

MAX_URGENT_LOSS_SHARE = 0.5
"""Additional loss allowed for such a job, as a share of its own work.

Larger jobs justify larger losses. Beyond this limit the lost work costs more than a late urgent
job, unless the owners of the work still meet their objectives; then the limit is the job's own
work.
"""

MAX_GANGS_TRIED = 8
"""Number of gangs that are tried as first victims in a group of workers.

It bounds the time of a search; there are only few gangs that are cheap enough.
"""

DEFAULT_TASK_SECONDS = 1.0
"""Assumed duration of tasks that declare none, until a run of their queue has ended.

It is short so that little work is lost for tasks of unknown size.
"""


@dataclasses.dataclass(slots=True)
class Plan:
    """Target workers for tasks, and the runs to stop there.

    Attributes
    ----------
    owners_on_time : bool
        The owners of all victims still meet their objectives, and the job meets its own.
    """

    victims: list[victims.Victim] = dataclasses.field(default_factory=list)
    targets: list[fit.Candidate] = dataclasses.field(default_factory=list)
    owners_on_time: bool = False

    @property
    def cost(self) -> float:
        """Work that is lost, in core-seconds."""
        return sum(victim.cost for victim in self.victims)


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Workers on which room is searched for.

    Attributes
    ----------
    free_later : dict
        Resources that will be free by node without stopping any run.
    """

    group: list[fit.Candidate]
    free_later: dict[str, list[int]]


@dataclasses.dataclass(slots=True)
class _Draft:
    """A plan that is being made.

    Attributes
    ----------
    free : dict
        Resources by node that neither the plan's tasks nor remaining runs will use.
    choices : dict
        Victims by node that make room for one more task, or ``None`` if there is no room.
    """

    free: dict[str, list[int]]
    plan: Plan = dataclasses.field(default_factory=Plan)
    tasks_on_node: dict[str, int] = dataclasses.field(default_factory=dict)
    choices: dict[str, list[victims.Victim] | None] = dataclasses.field(default_factory=dict)


def protected_jobs(state: states.State) -> set[str]:
    """Return the urgent jobs that fit their customer's guarantee, the earliest first.

    A job that exceeds what earlier ones leave of the guarantee is not protected, and leaves it to
    later ones unless it has runs, which use it.
    """
    if state.desired is None:
        return set()
    protected: set[str] = set()
    for customer, demand in urgent_demand(state).items():
        left = desired.guaranteed_accelerators(state.desired, customer)
        for job in sorted(map(state.jobs.__getitem__, demand), key=_arrival_order):
            if demand[job.id] <= left:
                protected.add(job.id)
                left -= demand[job.id]
            elif _has_runs(job):
                left = 0
    return protected


def urgent_demand(state: states.State) -> dict[str, dict[str, int]]:
    """Return the accelerators that each urgent job needs, by customer and job."""
    demand: dict[str, dict[str, int]] = {}
    for job in state.jobs.values():
        if job.priority == URGENT_PRIORITY and job.state not in steps.FINAL_STATES:
            needed = max(step.count * step.demand.accelerators for step in job.steps)
            demand.setdefault(job.customer, {})[job.id] = needed
    return demand


def _arrival_order(job: steps.Job) -> tuple[int, str]:
    return job.submitted_ms, job.id


def _has_runs(job: steps.Job) -> bool:
    return any(step_progress.runs for step_progress in job.progress)


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
    only runs of lower priority, and leave runs to end that do so in time for the job.

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

    is_limited_urgent = job.priority == URGENT_PRIORITY and not is_guaranteed
    terms = spare.terms(state, job, progress, now_ms) if is_limited_urgent else None
    step = job.steps[progress.step]
    fleets = [Fleet(group, victims.free_later(state, group, terms, now_ms)) for group in groups]
    find_victims = victims.finder(state, is_preemptible, terms, now_ms)
    cheapest = _cheapest(_plan_group(step, count, fleet, find_victims) for fleet in fleets)
    if terms is None or cheapest is None or not cheapest.victims:
        return cheapest
    find_affordable = victims.affordable_finder(state, find_victims, terms, now_ms)
    affordable = _affordable_plan(step, count, fleets, find_affordable)
    if affordable is None or not is_acceptable(state, job, step, affordable, protected):
        return cheapest
    return affordable


def is_acceptable(
    state: states.State, job: steps.Job, step: steps.Step, chosen: Plan, protected: set[str]
) -> bool:
    """Return whether the loss of a plan is justified by the job."""
    if job.id in protected:
        return True
    return chosen.cost <= _max_loss(state, job, step, chosen)


def execute(
    state: states.State, job: steps.Job, step: steps.Step, chosen: Plan, protected: set[str]
) -> None:
    """Stop the victims of a plan and reserve its targets."""
    reserve(step, chosen)
    kind = "guaranteed" if job.id in protected else f"priority {job.priority}"
    if chosen.victims:
        runs = sum(len(victim.runs) for victim in chosen.victims)
        detail = f"{runs} runs stop and about {chosen.cost:.0f} core-seconds are lost"
        event_kind = "preempting on slack" if chosen.owners_on_time else "preempting"
        state.events.append(states.Event(event_kind, job.id, detail=detail))
    for victim in chosen.victims:
        for run in victim.runs:
            reason = f"preempted by the {kind} job {job.id}"
            reason += "; its own job still meets its objective" if chosen.owners_on_time else ""
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


def _max_loss(state: states.State, job: steps.Job, step: steps.Step, chosen: Plan) -> float:
    """Return the core-seconds that a plan may discard so that tasks of a job can start now.

    Only urgent jobs preempt others; less urgent jobs wait on workers reserved for them.
    """
    if job.priority != URGENT_PRIORITY:
        return 0.0
    expectation = expected.run_expectation(state, job, step)
    unknown = expectation.level is expectations.Level.DEFAULT
    seconds = DEFAULT_TASK_SECONDS if unknown else expectation.seconds
    own_work = len(chosen.targets) * victims.cores(step) * seconds
    limit = MAX_URGENT_LOSS + MAX_URGENT_LOSS_SHARE * own_work
    return max(limit, own_work) if chosen.owners_on_time else limit


def _cheapest(plans: Iterable[Plan | None]) -> Plan | None:
    feasible = [candidate_plan for candidate_plan in plans if candidate_plan is not None]
    return min(feasible, key=lambda candidate_plan: candidate_plan.cost, default=None)


def _affordable_plan(
    step: steps.Step, count: int, fleets: list[Fleet], find_affordable: victims.FindVictims
) -> Plan | None:
    """Return the cheapest plan whose victims' owners still meet their objectives, or ``None``.

    Worker by worker, a gang looks expensive, although it makes room on several workers at once.
    Therefore each gang is also tried as the first victim.
    """
    plans = []
    for fleet in fleets:
        gangs = _gangs_on(fleet.free_later, find_affordable)
        for first in (None, *gangs[:MAX_GANGS_TRIED]):
            plans.append(_plan_group(step, count, fleet, find_affordable, first))
    affordable = _cheapest(plans)
    if affordable is not None:
        affordable.owners_on_time = True
    return affordable


def _gangs_on(
    free: dict[str, list[int]], find_victims: victims.FindVictims
) -> list[victims.Victim]:
    """Return the victims that make room on several of the nodes, cheapest first."""
    gangs = {
        id(victim.runs[0]): victim
        for node in free
        for victim in find_victims(node)
        if len({run.node for run in victim.runs} & free.keys()) > 1
    }
    return sorted(gangs.values(), key=lambda victim: victim.cost)


def _plan_group(
    step: steps.Step,
    count: int,
    fleet: Fleet,
    find_victims: victims.FindVictims,
    first: victims.Victim | None = None,
) -> Plan | None:
    """Return the cheapest plan that places ``count`` tasks on a group of workers, or ``None``.

    Parameters
    ----------
    first : Victim or None
        Runs that the plan stops in any case.
    """
    draft = _Draft({node: list(amounts) for node, amounts in fleet.free_later.items()})
    if first is not None:
        _stop_in_draft(draft, first)
    for _ in range(count):
        candidate = _cheapest_target(step, fleet, draft, find_victims)
        if candidate is None:
            return None
        node = candidate.agent.node
        for resource, amount in enumerate(states.reserved_demand(step)):
            draft.free[node][resource] -= amount
        draft.choices.pop(node, None)
        draft.tasks_on_node[node] = draft.tasks_on_node.get(node, 0) + 1
        draft.plan.targets.append(candidate)
    return draft.plan


def _cheapest_target(
    step: steps.Step, fleet: Fleet, draft: _Draft, find_victims: victims.FindVictims
) -> fit.Candidate | None:
    """Return the worker on which one more task costs least, or ``None``.

    The victims on that worker are added to the draft.
    """
    needed = states.reserved_demand(step)
    best: tuple[float, int, str, fit.Candidate] | None = None
    for candidate in fleet.group:
        node = candidate.agent.node
        if step.spread_limit and draft.tasks_on_node.get(node, 0) >= step.spread_limit:
            continue
        if node not in draft.choices:
            draft.choices[node] = _choose_victims(
                node, draft.free[node], needed, draft.plan.victims, find_victims
            )
        chosen = draft.choices[node]
        if chosen is None:
            continue
        key = (sum(victim.cost for victim in chosen), draft.free[node][2], node)
        if best is None or key < best[:3]:
            best = (*key, candidate)
    if best is None:
        return None
    for victim in draft.choices[best[2]] or ():
        _stop_in_draft(draft, victim)
    return best[3]


def _stop_in_draft(draft: _Draft, victim: victims.Victim) -> None:
    draft.plan.victims.append(victim)
    amounts = states.reserved_demand(victim.job.steps[victim.progress.step])
    for run in victim.runs:
        draft.choices.pop(run.node, None)
        if run.node in draft.free:
            for resource, amount in enumerate(amounts):
                draft.free[run.node][resource] += amount


def _choose_victims(
    node: str,
    free: list[int],
    needed: tuple[int, int, int],
    stopped: list[victims.Victim],
    find_victims: victims.FindVictims,
) -> list[victims.Victim] | None:
    """Return the cheapest victims on a node that make room for one task, or ``None``."""
    remaining = list(free)
    if fit.fits(remaining, needed):
        return []
    stopped_runs = {id(run) for victim in stopped for run in victim.runs}
    chosen: list[victims.Victim] = []
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
    chosen: list[victims.Victim], node: str, remaining: list[int], needed: tuple[int, int, int]
) -> list[victims.Victim]:
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
