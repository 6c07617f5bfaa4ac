"""The order of waiting jobs of one priority when not all of them can be served.

Answers bursts of a few large customers that demand more than the capacity. In order of arrival, a
burst takes all room for as long as it lasts, and jobs that are already late delay others until
those are late as well.

Jobs that can still meet their objectives come first. Among them, customers take turns: the next
job is one of the customer that uses the least share of its guarantee, where the jobs that come
before count as used. Therefore a job in turn waits behind no job of a customer whose share was
already larger than that of its own customer; a customer passes it by at most one job.

Before the turns come jobs whose slack is used up, at most one of each customer, and one late job
in all that is soon too late. While such a job runs, no other one follows it, so that a burst
cannot pass others by its own delay. In permanent overload, the jobs that end too late wait
longest.
"""

from __future__ import annotations

import dataclasses
import enum
import heapq
import statistics
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Iterator, Mapping

    from peridothatch_core.model import desired

MIN_GUARANTEE_RATIO = 3.0
"""Ratio of the largest guarantee to the median one from which customers take turns.

Customers of similar size are served in order of arrival, which treats them alike.
"""


class Prospect(enum.IntEnum):
    """What a job can still reach if it starts now, the best first."""

    ON_TIME = 0
    LATE = 1
    TOO_LATE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A job whose tasks wait for workers.

    Attributes
    ----------
    accelerators : int
        Demand of the waiting tasks.
    latest_start_ms : float
        Time at which the slack of the job's objective is used up.
    is_due : bool
        The job must not wait for its customer's turn: its slack is used up although it can still
        meet its objective, or it is late and soon too late.
    """

    job: str
    customer: str
    accelerators: int
    submitted_ms: int
    latest_start_ms: float
    prospect: Prospect
    is_due: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What customers use now.

    Attributes
    ----------
    accelerators : mapping
        Accelerators in use by customer.
    guaranteed : mapping
        Guaranteed accelerators by customer.
    out_of_turn : collection of str
        Customers of running jobs that began after their slack was used up.
    late_runs : bool
        A job that began late is running.
    """

    accelerators: Mapping[str, int]
    guaranteed: Mapping[str, int]
    out_of_turn: Collection[str] = ()
    late_runs: bool = False


def is_enabled(state: desired.DesiredState | None) -> bool:
    """Return whether customers take turns: a few of them are much larger than the others."""
    if state is None:
        return False
    guarantees = [
        tenancy.guaranteed_accelerators
        for tenancy in state.tenancies
        if tenancy.guaranteed_accelerators > 0
    ]
    if len(guarantees) < 2:
        return False
    return max(guarantees) >= MIN_GUARANTEE_RATIO * statistics.median(guarantees)


def order(waiting: Iterable[Waiting], usage: Usage) -> list[Waiting]:
    """Return the waiting jobs of one priority in the order in which they are to be served."""
    remaining = sorted(waiting, key=_order_key)
    used = dict(usage.accelerators)
    first = _out_of_turn(remaining, usage)
    for job in first:
        used[job.customer] = used.get(job.customer, 0) + _weight(job)
    ordered = list(first)
    chosen = {job.job for job in first}
    for prospect in Prospect:
        equal = [job for job in remaining if job.prospect is prospect and job.job not in chosen]
        ordered.extend(_by_turn(equal, used, usage.guaranteed))
    return ordered


def share(customer: str, accelerators: int, guaranteed: Mapping[str, int]) -> float:
    """Return a number of accelerators as a share of a customer's guarantee.

    A customer without a guarantee counts as if one accelerator were guaranteed to it.
    """
    return accelerators / max(1, guaranteed.get(customer, 0))


def _out_of_turn(waiting: list[Waiting], usage: Usage) -> list[Waiting]:
    """Return the jobs that are served before the turns, at most one of each customer."""
    customers = set(usage.out_of_turn)
    late_allowed = not usage.late_runs
    chosen = []
    for job in waiting:
        if not job.is_due or job.customer in customers:
            continue
        if job.prospect is not Prospect.ON_TIME:
            if not late_allowed:
                continue
            late_allowed = False
        customers.add(job.customer)
        chosen.append(job)
    return sorted(chosen, key=_order_key)


def _by_turn(
    waiting: list[Waiting], used: dict[str, int], guaranteed: Mapping[str, int]
) -> Iterator[Waiting]:
    """Yield jobs by turns of their customers; ``used`` is updated."""
    queues: dict[str, list[Waiting]] = {}
    for job in reversed(waiting):
        queues.setdefault(job.customer, []).append(job)
    turns = [
        (share(customer, used.get(customer, 0), guaranteed), _order_key(queue[-1]), customer)
        for customer, queue in queues.items()
    ]
    heapq.heapify(turns)
    while turns:
        _, _, customer = heapq.heappop(turns)
        queue = queues[customer]
        job = queue.pop()
        used[customer] = used.get(customer, 0) + _weight(job)
        if queue:
            key = (share(customer, used[customer], guaranteed), _order_key(queue[-1]), customer)
            heapq.heappush(turns, key)
        yield job


def _order_key(job: Waiting) -> tuple[int, float, int, str]:
    return (job.prospect, job.latest_start_ms, job.submitted_ms, job.job)


def _weight(job: Waiting) -> int:
    """Return what a job adds to its customer's use; also one without accelerators takes a turn."""
    return max(1, job.accelerators)
