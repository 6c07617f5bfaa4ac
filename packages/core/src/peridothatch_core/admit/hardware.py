"""The hardware of data centres as their planners report it."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Mapping, MutableMapping
from typing import TYPE_CHECKING

from peridothatch_core.admit import jobs
from peridothatch_core.message import link

if TYPE_CHECKING:
    from peridothatch_core.model import worker

Known = MutableMapping[str, link.HardwareDigest]
"""The latest digest of each data centre."""


def racks_of(workers: Iterable[worker.Worker]) -> tuple[link.RackHardware, ...]:
    """Return the racks of one data centre, equal for equal workers in any order."""
    racks: collections.Counter[tuple[link.WorkerKind, ...]] = collections.Counter()
    for rack in jobs.hardware_of(workers):
        kinds = [
            link.WorkerKind(kind.accelerators, kind.cores, kind.memory_mb, count)
            for kind, count in rack.items()
        ]
        racks[tuple(sorted(kinds, key=dataclasses.astuple))] += 1
    ordered = sorted(racks.items(), key=lambda item: [dataclasses.astuple(k) for k in item[0]])
    return tuple(link.RackHardware(kinds, count) for kinds, count in ordered)


def record(known: Known, digest: link.HardwareDigest) -> bool:
    """Keep a digest unless one of a later planner is known; return whether it was kept."""
    held = known.get(digest.data_centre)
    if held is not None and held.epoch > digest.epoch:
        return False
    known[digest.data_centre] = digest
    return True


def for_admission(known: Mapping[str, link.HardwareDigest]) -> dict[str, jobs.Hardware]:
    """Return the known hardware as the admission of jobs takes it."""
    return {
        name: tuple(
            {
                jobs.Kind(kind.accelerators, kind.cores, kind.memory_mb): kind.workers
                for kind in rack.kinds
            }
            for rack in digest.racks
            for _ in range(rack.racks)
        )
        for name, digest in known.items()
    }
