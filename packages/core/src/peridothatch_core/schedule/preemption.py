"""Room for jobs that come first: which other work stops for them, with the least work lost."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.model import desired, steps
from peridothatch_core.order import runtimes
from peridothatch_core.schedule import fit
from peridothatch_core.schedule import state as states

URGENT_PRIORITY = 0
"""Priority of the jobs that guarantees are for."""

RESTART_SECONDS = 1.0
"""Work of a run that a stop costs in any case: the restart, and what no checkpoint holds."""

URGENT_LOSS = 500.0
"""Core-seconds that may be lost for any urgent job beyond its customer's guarantee."""

URGENT_LOSS_SHARE = 0.5
"""Work that may be lost for such a job besides, as a part of its own work: large jobs are worth
more. Above it the work thrown away costs more than an urgent job that is late."""

UNDECLARED_SECONDS = 1.0
"""Duration of tasks that declare none, while none of their queue has ended: little is stopped
for work of unknown size."""


IsPreemptible = typing.Callable[[steps.Job], bool]


@dataclasses.dataclass(slots=True)
class Victim:
    """A set of runs that stops as a whole: one task, or a whole gang."""

    job: steps.Job
    progress: steps.StepProgress
    runs: list[steps.Run]
    cost: float


@dataclasses.dataclass(slots=True)
class Plan:
    """Where tasks go, and what stops for them."""

    victims: list[Victim] = dataclasses.field(default_factory=list)
    targets: list[fit.Room] = dataclasses.field(default_factory=list)

    @property
    def cost(self) -> float:
        """Work that is lost, in core-seconds."""
        return sum(victim.cost for victim in self.victims)


FindVictims = typing.Callable[[str], list[Victim]]
"""Returns what may stop on a node, the cheapest first."""


def protected_jobs(state: states.State) -> set[str]:
    """Return the urgent jobs of customers whose urgent jobs all fit their guarantee."""
    if state.desired is None:
        return set()
    needs: dict[str, int] = {}
    urgent: dict[str, list[str]] = {}
    for job in state.jobs.values():
        if job.priority != URGENT_PRIORITY or job.state in steps.FINAL_STATES:
            continue
        need = max(step.count * step.demand.accelerators for step in job.steps)
        needs[job.customer] = needs.get(job.customer, 0) + need
        urgent.setdefault(job.customer, []).append(job.id)
    return {
        job_id
        for customer, jobs in urgent.items()
        if needs[customer] <= desired.guaranteed(state.desired, customer)
        for job_id in jobs
    }


def plan(
    state: states.State,
    job: steps.Job,
    progress: steps.StepProgress,
    count: int,
    groups: list[list[fit.Room]],
    protected: set[str],
    now_ms: int,
) -> Plan | None:
    """Return the cheapest way to make room for tasks, or ``None``.

    A guaranteed job may stop any run that is not of a guaranteed job; another one only runs of
    lower priority.

    Parameters
    ----------
    count : int
        Tasks to place.
    groups : list of list of Room
        Workers of the kind that the step needs; all tasks go to one of the groups.
    """
    guaranteed = job.id in protected
    if not guaranteed and job.priority >= _lowest_priority(state):
        return None

    def may_stop(other: steps.Job) -> bool:
        return other.id not in protected and (guaranteed or other.priority > job.priority)

    step = job.steps[progress.step]
    plans = [_plan_group(state, step, count, group, may_stop, now_ms) for group in groups]
    possible = [found for found in plans if found is not None]
    return min(possible, key=lambda found: found.cost, default=None)


def bearable(
    state: states.State, job: steps.Job, step: steps.Step, chosen: Plan, protected: set[str]
) -> bool:
    """Tell whether the work that a plan loses is worth it."""
    if job.id in protected:
        return True
    return chosen.cost <= _bearable_loss(state, job, step, len(chosen.targets))


def carry_out(
    state: states.State, job: steps.Job, step: steps.Step, chosen: Plan, protected: set[str]
) -> None:
    """Stop the runs of a plan, and keep the room for the tasks."""
    keep_room(step, chosen)
    kind = "guaranteed" if job.id in protected else f"priority {job.priority}"
    for victim in chosen.victims:
        for run in victim.runs:
            reason = f"room for the {kind} job {job.id}"
            states.stop_run(state, victim.job, victim.progress, run, reason)


def keep_room(step: steps.Step, chosen: Plan) -> None:
    """Keep the room of a plan, so that lesser work does not fill each hole before all fit."""
    for room in chosen.targets:
        fit.subtract(room, states.counted(step))


def _lowest_priority(state: states.State) -> int:
    return max(
        (job.priority for job in state.jobs.values() if job.state not in steps.FINAL_STATES),
        default=URGENT_PRIORITY,
    )


def _bearable_loss(state: states.State, job: steps.Job, step: steps.Step, count: int) -> float:
    """Return the core-seconds that may be lost so that tasks of a job begin at once.

    Only urgent jobs stop others; the rest wait for room that is kept for them.
    """
    if job.priority != URGENT_PRIORITY:
        return 0.0
    hint_seconds = step.estimate_ms / 1000.0 or UNDECLARED_SECONDS
    seconds = runtimes.estimate(
        state.runtimes, job.customer, job.queue, hint_seconds, quantile=0.5
    )
    own_work = count * _width(step) * seconds
    return URGENT_LOSS + URGENT_LOSS_SHARE * own_work


def _plan_group(
    state: states.State,
    step: steps.Step,
    count: int,
    group: list[fit.Room],
    may_stop: IsPreemptible,
    now_ms: int,
) -> Plan | None:
    """Return the cheapest way to place so many tasks on a group of workers."""
    needed = states.counted(step)
    soon = {room.agent.node: list(room.soon) for room in group}
    found: dict[str, list[Victim]] = {}

    def candidates(node: str) -> list[Victim]:
        if node not in found:
            found[node] = _candidates(state, node, may_stop, now_ms)
        return found[node]

    plan = Plan()
    on_node: dict[str, int] = {}
    for _ in range(count):
        room = _next_room(step, group, soon, plan.victims, on_node, candidates)
        if room is None:
            return None
        for place, amount in enumerate(needed):
            soon[room.agent.node][place] -= amount
        on_node[room.agent.node] = on_node.get(room.agent.node, 0) + 1
        plan.targets.append(room)
    return plan


def _next_room(
    step: steps.Step,
    suited: list[fit.Room],
    soon: dict[str, list[int]],
    stopped: list[Victim],
    on_node: dict[str, int],
    candidates: FindVictims,
) -> fit.Room | None:
    """Return the worker where one more task costs least, and stop what is in its way."""
    needed = states.counted(step)
    best: tuple[float, int, str, fit.Room, list[Victim]] | None = None
    for room in suited:
        node = room.agent.node
        if step.spread_limit and on_node.get(node, 0) >= step.spread_limit:
            continue
        victims = _victims(node, soon[node], needed, stopped, candidates)
        if victims is None:
            continue
        cost = sum(victim.cost for victim in victims)
        key = (cost, soon[node][2], node)
        if best is None or key < best[:3]:
            best = (*key, room, victims)
    if best is None:
        return None
    for victim in best[4]:
        stopped.append(victim)
        for run in victim.runs:
            for place, amount in enumerate(states.counted(victim.job.steps[victim.progress.step])):
                if run.node in soon:
                    soon[run.node][place] += amount
    return best[3]


def _victims(
    node: str,
    soon: list[int],
    needed: tuple[int, int, int],
    stopped: list[Victim],
    candidates: FindVictims,
) -> list[Victim] | None:
    """Return the cheapest runs on a node that make room for one task, or ``None``."""
    left = list(soon)
    if fit.holds(left, needed):
        return []
    gone = {id(run) for victim in stopped for run in victim.runs}
    chosen: list[Victim] = []
    for victim in candidates(node):
        if any(id(run) in gone for run in victim.runs):
            continue
        chosen.append(victim)
        for run in victim.runs:
            gone.add(id(run))
            if run.node == node:
                amounts = states.counted(victim.job.steps[victim.progress.step])
                left = [have + amount for have, amount in zip(left, amounts, strict=True)]
        if fit.holds(left, needed):
            return _without_needless(chosen, node, left, needed)
    return None


def _without_needless(
    chosen: list[Victim], node: str, left: list[int], needed: tuple[int, int, int]
) -> list[Victim]:
    """Drop victims, the dearest first, that the task can do without."""
    kept = list(chosen)
    for victim in sorted(chosen, key=lambda item: -item.cost):
        amounts = states.counted(victim.job.steps[victim.progress.step])
        here = sum(run.node == node for run in victim.runs)
        without = [have - here * amount for have, amount in zip(left, amounts, strict=True)]
        if fit.holds(without, needed):
            left = without
            kept.remove(victim)
    return kept


def _candidates(
    state: states.State, node: str, may_stop: IsPreemptible, now_ms: int
) -> list[Victim]:
    """Return what may stop on a node, the cheapest first."""
    found: list[Victim] = []
    for job, progress, run in state.runs.get(node, ()):
        if run.stopping or not may_stop(job):
            continue
        step = job.steps[progress.step]
        if step.long_running and step.max_unavailable:
            continue
        runs = list(progress.runs) if step.gang else [run]
        if any(victim.runs[0] is runs[0] for victim in found):
            continue
        found.append(Victim(job, progress, runs, _cost(step, runs, now_ms)))
    return sorted(found, key=lambda victim: victim.cost)


def _cost(step: steps.Step, runs: list[steps.Run], now_ms: int) -> float:
    """Return the work that stopping loses, in core-seconds; an accelerator counts as 8 cores."""
    worked = [max(0, now_ms - run.ordered_ms) / 1000.0 for run in runs]
    if step.checkpointing:
        worked = [min(seconds, RESTART_SECONDS) for seconds in worked]
    return _width(step) * sum(seconds + RESTART_SECONDS for seconds in worked)


def _width(step: steps.Step) -> float:
    """Return what a task takes, in cores."""
    return step.demand.cpu_millis / 1000.0 + 8.0 * step.demand.accelerators
