"""Hardware digests of data centres, as their planners report them."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Mapping, MutableMapping
from typing import TYPE_CHECKING

from peridothatch_core.admit import jobs
from peridothatch_core.message import link

if TYPE_CHECKING:
    from peridothatch_core.model import worker

DigestsByDataCentre = MutableMapping[str, link.HardwareDigest]
"""The latest digest of each data centre, by its name."""


def racks_of(workers: Iterable[worker.Worker]) -> tuple[link.RackHardware, ...]:
    """Return the racks of one data centre in an order that depends only on their workers."""
    racks: collections.Counter[tuple[link.WorkerKind, ...]] = collections.Counter()
    for rack in jobs.hardware_of(workers):
        kinds = [
            link.WorkerKind(kind.accelerators, kind.cores, kind.memory_mb, count)
            for kind, count in rack.items()
        ]
        racks[tuple(sorted(kinds, key=dataclasses.astuple))] += 1
    ordered = sorted(racks.items(), key=lambda item: [dataclasses.astuple(k) for k in item[0]])
    return tuple(link.RackHardware(kinds, count) for kinds, count in ordered)


def record(known: DigestsByDataCentre, digest: link.HardwareDigest) -> bool:
    """Store a digest unless one with a higher epoch is known; return whether it was stored."""
    current = known.get(digest.data_centre)
    if current is not None and current.epoch > digest.epoch:
        return False
    known[digest.data_centre] = digest
    return True


def for_admission(known: Mapping[str, link.HardwareDigest]) -> dict[str, jobs.Hardware]:
    """Return the known hardware in the form that ``jobs.admit`` takes."""
    return {
        name: tuple(
            {
                jobs.WorkerCapacity(kind.accelerators, kind.cores, kind.memory_mb): kind.workers
                for kind in rack.kinds
            }
            for rack in digest.racks
            for _ in range(rack.racks)
        )
        for name, digest in known.items()
    }
