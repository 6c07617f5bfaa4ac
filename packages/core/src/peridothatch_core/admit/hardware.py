"""The hardware of data centres as their planners report it."""

from __future__ import annotations

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
    named: dict[str, list[worker.Worker]] = {}
    for one in workers:
        named.setdefault(one.rack, []).append(one)
    return tuple(
        link.RackHardware(
            tuple(
                link.WorkerKind(kind.accelerators, kind.cores, kind.memory_mb, count)
                for rack in jobs.hardware_of(named[name])
                for kind, count in sorted(rack.items(), key=lambda item: _key(item[0]))
            )
        )
        for name in sorted(named)
    )


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
        )
        for name, digest in known.items()
    }


def _key(kind: jobs.Kind) -> tuple[int, int, int]:
    return kind.accelerators, kind.cores, kind.memory_mb
