"""Chooses the data centre of a submitted job by the free capacity that planners report."""

from __future__ import annotations

from typing import TYPE_CHECKING

from peridothatch_core.model import datacentre, shape

if TYPE_CHECKING:
    from collections.abc import Mapping

    from peridothatch_core.message import link
    from peridothatch_core.model import config, job


def choose(
    submitted: job.Job,
    snapshot: config.Snapshot,
    digests: Mapping[str, link.CapacityDigest],
    pledged: Mapping[str, int],
    here: datacentre.DataCentre,
) -> str:
    """Return the name of the data centre for a job, or an empty string when none is configured.

    The criteria, most significant first: it is in service, its free blocks can hold the gang,
    it keeps a guarantee of the customer, it is the entry's own, it is in the entry's region, it
    has the fewest waiting jobs, and it has the most free accelerators.

    Parameters
    ----------
    pledged : mapping of str to int
        Accelerators of the jobs assigned to each data centre since its last digest.
    here : DataCentre
        The data centre of the entry that accepts the job.
    """
    kept_in = {
        item.data_centre
        for item in snapshot.guarantees.values()
        if item.customer == submitted.customer and item.data_centre
    }

    def rank(centre: datacentre.DataCentre) -> tuple[bool | int | str, ...]:
        digest = digests.get(centre.name)
        sent = pledged.get(centre.name, 0)
        return (
            not in_service(centre, digest),
            digest is None or not has_room(submitted.shape, digest, sent),
            centre.name not in kept_in,
            centre.name != here.name,
            centre.region != here.region,
            digest.waiting_jobs if digest else 0,
            sent - (digest.free_accelerators if digest else 0),
            centre.name,
        )

    return min(snapshot.data_centres.values(), key=rank).name if snapshot.data_centres else ""


def in_service(centre: datacentre.DataCentre, digest: link.CapacityDigest | None) -> bool:
    """Return whether tasks may start there by the configuration and by the planner's digest."""
    return centre.service is datacentre.Service.IN and (digest is None or digest.in_service)


def has_room(gang: shape.GangShape, digest: link.CapacityDigest, pledged: int = 0) -> bool:
    """Return whether the free blocks can hold the gang, regardless of its adjacency."""
    needed = shape.total_accelerators(gang)
    if needed > digest.free_accelerators - pledged:
        return False
    return needed == 0 or tasks_that_fit(gang.task.accelerators, digest) >= gang.tasks


def tasks_that_fit(accelerators: int, digest: link.CapacityDigest) -> int:
    """Return how many tasks of this many adjacent accelerators the free blocks can hold."""
    return sum(
        count * (2**order // accelerators) for order, count in enumerate(digest.free_blocks)
    )
