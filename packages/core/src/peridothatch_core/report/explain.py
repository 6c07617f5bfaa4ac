"""Why a job waits, where it runs and what was promised, in plain sentences."""

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

# More workers than this make a sentence that nobody reads to its end.
MOST_WORKERS_NAMED = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Facts:
    """What an explanation is drawn from.

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
    """Return sentences about the job, the promises that concern it, and its state."""
    return [
        _what(item),
        _target(item, facts),
        _guarantees(item, facts.snapshot),
        *_state(item, facts),
        *_history(item),
    ]


def moment(seconds: float) -> str:
    """Return a time in seconds since 1970-01-01 UTC as text."""
    when = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return when.strftime("%Y-%m-%d %H:%M:%S UTC")


def shape_text(gang: shape.GangShape) -> str:
    """Return a shape as people write it."""
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


def _what(item: job.Job) -> str:
    return (
        f"Job {item.id} of customer {item.customer} in class {item.work_class} needs "
        f"{shape_text(item.shape)}."
    )


def _target(item: job.Job, facts: Facts) -> str:
    known = facts.snapshot.classes.get(item.work_class)
    due = f"This job is due at {moment(item.due_at)}"
    if item.state not in job.FINAL_STATES:
        left = item.due_at - facts.now
        due += (
            f", in {targets.format_duration(left)}."
            if left >= 0
            else f", which was {targets.format_duration(-left)} ago."
        )
    else:
        due += "."
    if known is None:
        return f"Class {item.work_class} no longer exists; the job keeps its target. {due}"
    by = known.promised_by or "an unknown operator"
    return (
        f"Class {known.name} promises completion {targets.format_target(known.target)}; {by} set "
        f"this target at {moment(known.promised_at)}. {due}"
    )


def _guarantees(item: job.Job, snapshot: config.Snapshot) -> str:
    held = [one for one in snapshot.guarantees.values() if one.customer == item.customer]
    if not held:
        return (
            f"Customer {item.customer} holds no guarantee, so its jobs use what others leave free."
        )
    parts = [
        f"{one.name} ({one.count} x {shape_text(one.shape)}, promised by "
        f"{one.promised_by or 'an unknown operator'} at {moment(one.promised_at)})"
        for one in sorted(held, key=lambda one: one.name)
    ]
    return f"Customer {item.customer} holds the guarantees {'; '.join(parts)}."


def _state(item: job.Job, facts: Facts) -> list[str]:
    match item.state:
        case job.State.WAITING:
            return _waiting(item, facts)
        case job.State.RUNNING:
            return _running(item)
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
            return [_ended(item)]


def _waiting(item: job.Job, facts: Facts) -> list[str]:
    if item.cancel_requested:
        return ["It was cancelled; the planner of its data centre has yet to confirm this."]
    reasons = [*_quota_reasons(item, facts), *_place_reasons(item, facts)]
    return [f"It waits in data centre {item.data_centre}.", *reasons]


def _quota_reasons(item: job.Job, facts: Facts) -> list[str]:
    owner = facts.snapshot.customers.get(item.customer)
    needed = shape.accelerators(item.shape)
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


def _place_reasons(item: job.Job, facts: Facts) -> list[str]:
    centre = facts.snapshot.data_centres.get(item.data_centre)
    if centre is not None and centre.service is not datacentre.Service.IN:
        return [
            f"Data centre {centre.name} is {_service_text(centre.service)}, so nothing starts "
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
    return [_room_reason(item, digest)]


def _room_reason(item: job.Job, digest: link.CapacityDigest) -> str:
    needed = shape.accelerators(item.shape)
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
        adjacency = f" The whole gang must be {shape_text(item.shape).rpartition(', ')[2]}."
    return (
        f"In {digest.data_centre}, {free} accelerators are free and {digest.waiting_jobs} jobs "
        f"wait; jobs with less time left before their targets go first.{adjacency}"
    )


def _running(item: job.Job) -> list[str]:
    sentences = [
        f"It runs in data centre {item.data_centre} since {moment(item.started_at)} "
        f"(run {item.run}), on {_workers(item)}."
    ]
    if item.borrowed:
        sentences.append(
            "It uses borrowed accelerators, so it may be stopped when another customer claims "
            "its guarantee."
        )
    if item.cancel_requested:
        sentences.append("It was cancelled and will be stopped.")
    return sentences


def _ended(item: job.Job) -> str:
    ended = f"It {_ENDED[item.state]} at {moment(item.ended_at)}"
    if item.state is not job.State.SUCCEEDED:
        return f"{ended}." if not item.detail else f"{ended}: {item.detail}"
    difference = item.due_at - item.ended_at
    if difference >= 0:
        return f"{ended}, {targets.format_duration(difference)} before it was due."
    return f"{ended}, {targets.format_duration(-difference)} after it was due."


def _history(item: job.Job) -> list[str]:
    sentences = []
    if item.failures:
        last = f"; the last reason was: {item.detail}" if item.detail else ""
        sentences.append(f"Runs that failed so far: {item.failures}{last}.")
    if item.state is job.State.WAITING and item.run:
        start = "from its checkpoint" if item.checkpoint else "from the beginning"
        sentences.append(f"Run {item.run} was stopped; the next run starts {start}.")
    return sentences


def _workers(item: job.Job) -> str:
    names = sorted({cell.worker for cell in item.cells})
    shown = ", ".join(names[:MOST_WORKERS_NAMED])
    if len(names) > MOST_WORKERS_NAMED:
        shown += f" and {len(names) - MOST_WORKERS_NAMED} more"
    return f"worker{'s' if len(names) != 1 else ''} {shown}"


def _service_text(service: datacentre.Service) -> str:
    return "declared lost" if service is datacentre.Service.LOST else "out of service"


_ENDED = {
    job.State.SUCCEEDED: "succeeded",
    job.State.FAILED: "failed",
    job.State.CANCELLED: "was cancelled",
}
