"""Moves work away from workers that leave before it can end.

Answers workers that are taken away at short notice, several at a time. A worker that drains tells
the least time that it still has. A task that needs longer and writes no checkpoint is likely to
lose its work, so if its job cannot wait until then, it is stopped at once and starts elsewhere
that much sooner. Jobs with slack work on, because the worker may stay after all, and so do tasks
with checkpoints, which their agent stops shortly before the departure.
"""

from __future__ import annotations

import typing

from peridothatch_core.model import agents, steps
from peridothatch_core.schedule import expected, objectives, rejection
from peridothatch_core.schedule import state as states

if typing.TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

BROKEN_GANG_DELAY_MS = 400
"""Time after the first member of a gang has ended as broken at which the others count as ended.

Their own ends usually arrive within this time, with the checkpoints."""

CERTAIN_LOSS_FACTOR = 1.5
"""Expected rest of a run, in multiples of the announced time, from which it counts as lost.

Workers often stay longer than the least time that they announce, and a run that is moved begins
anew, so one that would miss that time by little is left to end."""


def observe(state: states.State) -> list[str]:
    """Record when draining workers leave at the earliest, from the rows of their agents.

    Returns
    -------
    list of str
        Nodes whose workers have not been known to leave before.
    """
    announced = []
    for node, agent in state.agents.items():
        worker = agent.worker
        if worker is None or worker.state is not agents.WorkerState.DRAINING:
            state.leaving_at_ms.pop(node, None)
            continue
        leaving_at_ms = agent.hold_until_ms - state.limits.hold_ms + worker.leaves_in_ms
        # The time left is that of the last heartbeat, which may be older than the row.
        if node not in state.leaving_at_ms:
            announced.append(node)
        known_ms = state.leaving_at_ms.get(node, leaving_at_ms)
        state.leaving_at_ms[node] = min(known_ms, leaving_at_ms)
    return announced


def stop_doomed_runs(state: states.State, nodes: Iterable[str], now_ms: int) -> None:
    """Stop the runs without checkpoints that cannot end before their worker leaves.

    It is decided once, when the departure is announced: the later a run is stopped, the more work
    it loses and the less time it gains.
    """
    for node in nodes:
        leaving_at_ms = state.leaving_at_ms[node]
        for job, progress, run in list(state.runs.get(node, ())):
            if _is_doomed(state, job, progress, run, leaving_at_ms, now_ms):
                reason = f"the worker leaves in {max(0, leaving_at_ms - now_ms)} ms"
                _stop(state, job, progress, run, reason)


def broken_members(
    state: states.State, now_ms: int
) -> Iterator[tuple[steps.Job, steps.StepProgress, steps.Run, agents.RunReport]]:
    """Yield the open runs of gangs that are known to be broken.

    A worker ends a member as broken when another member has ended, and then no member of that run
    is working. The end of a member whose worker is gone would be known only seconds later. Only
    members that their agent has reported as running are included, because a start that was never
    confirmed may still be carried out late. Their own ends may still come; see `unreported`.
    """
    for node, entries in list(state.runs.items()):
        agent = state.agents.get(node)
        for job, progress, run in list(entries):
            if agent is None or progress.broken_attempt != run.attempt:
                continue
            if rejection.is_suspended(state, job.id):
                continue
            key = (job.id, progress.occurrence, progress.step, run.attempt)
            broken_at_ms = state.broken_at_ms.setdefault(key, now_ms)
            task = steps.task_name(job.id, progress.occurrence, progress.step, run.index)
            report = agents.find_run_report(agent, task, run.attempt)
            delay_ms = 0 if _is_silent(state, agent, now_ms) else BROKEN_GANG_DELAY_MS
            if report is not None and now_ms - broken_at_ms >= delay_ms:
                yield job, progress, run, report


def _is_silent(state: states.State, agent: agents.Agent, now_ms: int) -> bool:
    """Return whether an agent has not renewed its lease in time, so that no end is expected."""
    lease_left_ms = agent.hold_until_ms - now_ms
    return lease_left_ms < state.limits.hold_ms - states.MAX_RENEWAL_AGE_MS


def _is_doomed(
    state: states.State,
    job: steps.Job,
    progress: steps.StepProgress,
    run: steps.Run,
    leaving_at_ms: int,
    now_ms: int,
) -> bool:
    step = job.steps[progress.step]
    if run.stopping or step.checkpointing or step.long_running:
        return False
    if rejection.is_suspended(state, job.id):
        return False
    left_seconds = max(0, leaving_at_ms - now_ms) / 1000.0
    if _can_start_again(state, job, left_seconds, now_ms):
        return False
    remaining_ms = 1000.0 * expected.remaining_seconds(state, job, progress, run, now_ms)
    return remaining_ms > CERTAIN_LOSS_FACTOR * max(0, leaving_at_ms - now_ms)


def _can_start_again(
    state: states.State, job: steps.Job, after_seconds: float, now_ms: int
) -> bool:
    """Return whether a job still meets its objective if it starts again after some time."""
    seconds = objectives.step_seconds(state, job, quantile=0.5)
    unfinished = objectives.unfinished(job, seconds)
    return objectives.slack_seconds(job, seconds, unfinished, now_ms) >= after_seconds


def _stop(
    state: states.State,
    job: steps.Job,
    progress: steps.StepProgress,
    run: steps.Run,
    reason: str,
) -> None:
    """Stop a run, or all members of its gang, which cannot work without it."""
    step = job.steps[progress.step]
    for member in list(progress.runs) if step.gang else [run]:
        states.stop_run(state, job, progress, member, reason)
