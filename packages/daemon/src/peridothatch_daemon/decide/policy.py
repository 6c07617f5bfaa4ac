"""The placement policy of a planner: functions bound to one placement state."""

from __future__ import annotations

import dataclasses
import functools
import typing

from peridothatch_core.place import decide, fleet, guarantees

if typing.TYPE_CHECKING:
    from peridothatch_core.model import config, job, worker


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Functions that share one placement state; times are in seconds since 1970-01-01 UTC.

    Attributes
    ----------
    record_failed : callable
        Records a failed run on some workers and returns whether to retry the job.
    short_guarantees : callable
        Returns the names of the guarantees for which hardware is missing.
    workers : callable
        Returns the connected workers, including ejected ones.
    breaches : callable
        Returns a description of each breach of ``guarantee_reclaimable``.
    """

    decide: typing.Callable[[float], list[decide.Decision]]
    record_config: typing.Callable[[config.Snapshot, float], None]
    record_waiting: typing.Callable[[job.Job, float], None]
    record_started: typing.Callable[[job.Job, float], None]
    record_ended: typing.Callable[[str, float, bool], None]
    record_failed: typing.Callable[[str, tuple[str, ...], float], bool]
    record_worker_joined: typing.Callable[[worker.Worker, float], None]
    record_worker_lost: typing.Callable[[str, float], object]
    record_other_centres: typing.Callable[[dict[str, decide.OtherCentre]], None]
    capacity: typing.Callable[[], fleet.Digest]
    short_guarantees: typing.Callable[[], frozenset[str]]
    workers: typing.Callable[[], list[worker.Worker]] = list
    breaches: typing.Callable[[], list[str]] = list


def create(data_centre: str) -> Policy:
    """Return a placement policy for a data centre, with a new state."""
    state = decide.create(data_centre)

    def record_ended(job_id: str, now: float, succeeded: bool) -> None:
        decide.record_ended(state, job_id, now, succeeded=succeeded)

    def record_other_centres(centres: dict[str, decide.OtherCentre]) -> None:
        state.others = centres

    return Policy(
        functools.partial(decide.decide, state),
        functools.partial(decide.record_config, state),
        functools.partial(decide.record_waiting, state),
        functools.partial(decide.record_started, state),
        record_ended,
        functools.partial(decide.record_failed, state),
        functools.partial(decide.record_worker_joined, state),
        functools.partial(decide.record_worker_lost, state),
        record_other_centres,
        lambda: fleet.digest(state.fleet),
        lambda: frozenset(item.guarantee for item in guarantees.shortfalls(state.ledger)),
        functools.partial(decide.workers, state),
        lambda: guarantees.breaches(state.ledger, state.fleet),
    )
