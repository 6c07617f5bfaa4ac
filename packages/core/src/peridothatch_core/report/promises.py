"""Reports the targets and guarantees of each customer, who set them, and how they are met."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from peridothatch_core.configure import targets
from peridothatch_core.model import customer, job
from peridothatch_core.place import guarantee_placement

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from peridothatch_core.model import config, shape

WHOLE = "whole"
SHORT = "short"
UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class ClassPromise:
    """The target of a class and how often it is met for one customer.

    Attributes
    ----------
    target : str
        Target in the format of ``targets.parse``; empty when the class was deleted.
    kept, missed : int
        Jobs that succeeded by their target, and jobs that failed, ended late or are overdue.
        Cancelled jobs are not counted.
    overdue : int
        Jobs in ``missed`` that have not ended.
    open : int
        Jobs that have not ended and are not overdue.
    kept_share : float or None
        ``kept / (kept + missed)``; ``None`` without such jobs.
    """

    customer: str
    work_class: str
    target: str
    urgent: bool
    promised_by: str
    promised_at: float
    kept: int
    missed: int
    overdue: int
    open: int
    kept_share: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class GuaranteePromise:
    """A guarantee and whether there is enough hardware for it.

    Attributes
    ----------
    state : str
        ``whole``, ``short``, or ``unknown`` while a planner has not reported.
    """

    customer: str
    name: str
    shape: shape.GangShape
    count: int
    data_centre: str
    promised_by: str
    promised_at: float
    state: str
    pinned: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Targets and guarantees of one customer or of all customers."""

    classes: tuple[ClassPromise, ...]
    guarantees: tuple[GuaranteePromise, ...]


def report(
    snapshot: config.Snapshot,
    jobs: Iterable[job.Job],
    short: Mapping[str, frozenset[str]],
    now: float,
    customer_name: str = "",
) -> Report:
    """Return the targets and guarantees, and how they are met.

    Parameters
    ----------
    short : mapping of str to frozenset of str
        Names of the guarantees that lack hardware, for each data centre whose planner has
        reported.
    now : float
        Seconds since 1970-01-01 UTC.
    customer_name : str
        The customer to report on; empty for all.
    """
    names = [name for name in sorted(snapshot.customers) if customer_name in ("", name)]
    counts = {(name, kind): _Counts() for name in names for kind in snapshot.classes}
    for item in jobs:
        if customer_name in ("", item.customer):
            key = (item.customer, item.work_class)
            _count_job(counts.setdefault(key, _Counts()), item, now)
    return Report(
        tuple(_class_promise(snapshot, *key, counts[key]) for key in sorted(counts)),
        tuple(
            _guarantee_promise(item, guarantee_state(item, snapshot, short))
            for _, item in sorted(snapshot.guarantees.items())
            if customer_name in ("", item.customer)
        ),
    )


def guarantee_state(
    item: customer.Guarantee, snapshot: config.Snapshot, short: Mapping[str, frozenset[str]]
) -> str:
    """Return the state of a guarantee according to the planners of its data centres.

    A guarantee is short while its data centre is out of service, because nothing starts there.
    """
    if item.data_centre and not guarantee_placement.is_in_service(snapshot, item.data_centre):
        return SHORT
    places = [item.data_centre] if item.data_centre else list(snapshot.data_centres)
    if any(item.name in short.get(place, ()) for place in places):
        return SHORT
    return WHOLE if places and all(place in short for place in places) else UNKNOWN


@dataclasses.dataclass(slots=True)
class _Counts:
    kept: int = 0
    missed: int = 0
    overdue: int = 0
    open: int = 0


def _count_job(count: _Counts, item: job.Job, now: float) -> None:
    if item.state is job.State.CANCELLED:
        return
    if item.state in job.FINAL_STATES:
        if item.state is job.State.SUCCEEDED and item.ended_at <= item.due_at:
            count.kept += 1
        else:
            count.missed += 1
    elif now > item.due_at:
        count.missed += 1
        count.overdue += 1
    else:
        count.open += 1


def _class_promise(
    snapshot: config.Snapshot, customer_name: str, class_name: str, count: _Counts
) -> ClassPromise:
    known = snapshot.classes.get(class_name)
    counted = count.kept + count.missed
    return ClassPromise(
        customer=customer_name,
        work_class=class_name,
        target=targets.format_target(known.target) if known else "",
        urgent=known.urgent if known else False,
        promised_by=known.promised_by if known else "",
        promised_at=known.promised_at if known else 0.0,
        kept=count.kept,
        missed=count.missed,
        overdue=count.overdue,
        open=count.open,
        kept_share=count.kept / counted if counted else None,
    )


def _guarantee_promise(item: customer.Guarantee, state: str) -> GuaranteePromise:
    return GuaranteePromise(
        item.customer,
        item.name,
        item.shape,
        item.count,
        item.data_centre,
        item.promised_by,
        item.promised_at,
        state,
        item.pinned,
    )
