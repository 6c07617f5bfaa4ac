"""Explains in sentences why a job waits, where it runs and what its customer was promised."""

from __future__ import annotations

import dataclasses
import datetime
from collections.abc import Mapping
from typing import TYPE_CHECKING

from peridothatch_core.configure import targets
from peridothatch_core.model import datacentre, job, shape
from peridothatch_core.place import choose_data_centre

if TYPE_CHECKING:
    from peridothatch_core.message import link
    from peridothatch_core.model import config

# Keeps the sentence short; only the number of the other workers is given.
MAX_WORKERS_NAMED = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Facts:
    """Input of an explanation.

    Attributes
    ----------
    digests : mapping of str to CapacityDigest
        Latest reports of the planners, by data centre.
    held_accelerators : int or None
        Accelerators that the customer's other jobs hold; ``None`` when it is not known.
    now : float
        Seconds since 1970-01-01 UTC.
    """

    snapshot: config.Snapshot
    digests: Mapping[str, link.CapacityDigest]
    held_accelerators: int | None
    now: float


def explain(item: job.Job, facts: Facts) -> list[str]:
    """Return sentences about the job, its target, its customer's guarantees and its state."""
    return [
        _describe_job(item),
        _describe_target(item, facts),
        _describe_guarantees(item, facts.snapshot),
        *_describe_state(item, facts),
        *_describe_history(item),
    ]


def format_time(seconds: float) -> str:
    """Format a time in seconds since 1970-01-01 UTC."""
    when = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return when.strftime("%Y-%m-%d %H:%M:%S UTC")


def format_shape(gang: shape.GangShape) -> str:
    """Format a gang shape as a phrase for an explanation."""
    tasks = f"{gang.tasks} task{'s' if gang.tasks != 1 else ''}"
    each = f"{gang.task.accelerators} adjacent accelerators"
    if gang.task.accelerators < 2:
        each = f"{gang.task.accelerators or 'no'} accelerator"
    place = {
        shape.Adjacency.WORKER: "on one worker",
        shape.Adjacency.RACK: "in one rack",
        shape.Adjacency.DATA_CENTRE: "in one data centre",
    }[gang.adjacency]
    return f"{tasks} with {each} each, {place}"


def _describe_job(item: job.Job) -> str:
    return (
        f"Job {item.id} of customer {item.customer} in class {item.work_class} needs "
        f"{format_shape(item.shape)}."
    )


def _describe_target(item: job.Job, facts: Facts) -> str:
    work_class = facts.snapshot.classes.get(item.work_class)
    due = f"This job is due at {format_time(item.due_at)}"
    if item.state not in job.FINAL_STATES:
        remaining_seconds = item.due_at - facts.now
        due += (
            f", in {targets.format_duration(remaining_seconds)}."
            if remaining_seconds >= 0
            else f", which was {targets.format_duration(-remaining_seconds)} ago."
        )
    else:
        due += "."
    if work_class is None:
        return f"Class {item.work_class} no longer exists; the job keeps its target. {due}"
    by = work_class.promised_by or "an unknown operator"
    return (
        f"Class {work_class.name} promises completion "
        f"{targets.format_target(work_class.target)}; {by} set this target at "
        f"{format_time(work_class.promised_at)}. {due}"
    )


def _describe_guarantees(item: job.Job, snapshot: config.Snapshot) -> str:
    held = [
        guarantee
        for guarantee in snapshot.guarantees.values()
        if guarantee.customer == item.customer
    ]
    if not held:
        return (
            f"Customer {item.customer} holds no guarantee, so its jobs use what others leave free."
        )
    parts = [
        f"{guarantee.name} ({guarantee.count} x {format_shape(guarantee.shape)}, promised by "
        f"{guarantee.promised_by or 'an unknown operator'} at "
        f"{format_time(guarantee.promised_at)})"
        for guarantee in sorted(held, key=lambda guarantee: guarantee.name)
    ]
    return f"Customer {item.customer} holds the guarantees {'; '.join(parts)}."


def _describe_state(item: job.Job, facts: Facts) -> list[str]:
    match item.state:
        case job.State.WAITING:
            return _describe_waiting(item, facts)
        case job.State.RUNNING:
            return _describe_running(item)
        case job.State.STOPPING:
            return [
                f"It is being stopped in data centre {item.data_centre}; "
                + (
                    "it will then be cancelled."
                    if item.cancel_requested
                    else "it will then wait to run again."
                )
            ]
        case _:
            return [_describe_ended(item)]


def _describe_waiting(item: job.Job, facts: Facts) -> list[str]:
    if item.cancel_requested:
        return ["It was cancelled; the planner of its data centre has yet to confirm this."]
    reasons = [*_quota_reasons(item, facts), *_data_centre_reasons(item, facts)]
    return [f"It waits in data centre {item.data_centre}.", *reasons]


def _quota_reasons(item: job.Job, facts: Facts) -> list[str]:
    owner = facts.snapshot.customers.get(item.customer)
    needed = shape.total_accelerators(item.shape)
    if owner is None:
        return [f"Customer {item.customer} no longer exists."]
    if needed > owner.quota_accelerators:
        return [
            f"It can never run under the present quota: it needs {needed} accelerators and "
            f"customer {owner.name} may hold {owner.quota_accelerators}."
        ]
    held = facts.held_accelerators
    if held is not None and held + needed > owner.quota_accelerators:
        return [
            f"Customer {owner.name} holds {held} of the {owner.quota_accelerators} accelerators "
            f"of its quota, and this job needs {needed} more."
        ]
    return []


def _data_centre_reasons(item: job.Job, facts: Facts) -> list[str]:
    centre = facts.snapshot.data_centres.get(item.data_centre)
    if centre is not None and centre.service is not datacentre.Service.IN:
        return [
            f"Data centre {centre.name} is {_format_service(centre.service)}, so nothing starts "
            "there; its planner sends waiting jobs to another data centre that has room."
        ]
    digest = facts.digests.get(item.data_centre)
    if digest is None:
        return [
            f"The planner of {item.data_centre} has not reported its free capacity to this "
            "entry, so the reason is not known here."
        ]
    if not digest.in_service:
        return [
            f"The planner of {item.data_centre} reports that nothing may start there at present."
        ]
    return [_capacity_reason(item, digest)]


def _capacity_reason(item: job.Job, digest: link.CapacityDigest) -> str:
    needed = shape.total_accelerators(item.shape)
    free = digest.free_accelerators
    if needed > free:
        return f"It needs {needed} accelerators, and {free} are free in {digest.data_centre}."
    if not choose_data_centre.has_room(item.shape, digest):
        fit = choose_data_centre.tasks_that_fit(item.shape.task.accelerators, digest)
        return (
            f"In {digest.data_centre}, {free} accelerators are free, but in blocks that are too "
            f"small: {fit} of its {item.shape.tasks} tasks would find adjacent accelerators."
        )
    adjacency = ""
    if item.shape.adjacency is not shape.Adjacency.DATA_CENTRE and item.shape.tasks > 1:
        adjacency = f" The whole gang must be {format_shape(item.shape).rpartition(', ')[2]}."
    return (
        f"In {digest.data_centre}, {free} accelerators are free and {digest.waiting_jobs} jobs "
        f"wait; jobs with less time left before their targets go first.{adjacency}"
    )


def _describe_running(item: job.Job) -> list[str]:
    sentences = [
        f"It runs in data centre {item.data_centre} since {format_time(item.started_at)} "
        f"(run {item.run}), on {_format_workers(item)}."
    ]
    if item.borrowed:
        sentences.append(
            "It uses borrowed accelerators, so it may be stopped when another customer claims "
            "its guarantee."
        )
    if item.cancel_requested:
        sentences.append("It was cancelled and will be stopped.")
    return sentences


def _describe_ended(item: job.Job) -> str:
    ended = f"It {_END_VERBS[item.state]} at {format_time(item.ended_at)}"
    if item.state is not job.State.SUCCEEDED:
        return f"{ended}." if not item.detail else f"{ended}: {item.detail}"
    difference = item.due_at - item.ended_at
    if difference >= 0:
        return f"{ended}, {targets.format_duration(difference)} before it was due."
    return f"{ended}, {targets.format_duration(-difference)} after it was due."


def _describe_history(item: job.Job) -> list[str]:
    sentences = []
    if item.failures:
        last = f"; the last reason was: {item.detail}" if item.detail else ""
        sentences.append(f"Runs that failed so far: {item.failures}{last}.")
    if item.state is job.State.WAITING and item.run:
        start = "from its checkpoint" if item.checkpoint else "from the beginning"
        sentences.append(f"Run {item.run} was stopped; the next run starts {start}.")
    return sentences


def _format_workers(item: job.Job) -> str:
    names = sorted({cell.worker for cell in item.cells})
    shown = ", ".join(names[:MAX_WORKERS_NAMED])
    if len(names) > MAX_WORKERS_NAMED:
        shown += f" and {len(names) - MAX_WORKERS_NAMED} more"
    return f"worker{'s' if len(names) != 1 else ''} {shown}"


def _format_service(service: datacentre.Service) -> str:
    return "declared lost" if service is datacentre.Service.LOST else "out of service"


_END_VERBS = {
    job.State.SUCCEEDED: "succeeded",
    job.State.FAILED: "failed",
    job.State.CANCELLED: "was cancelled",
}
