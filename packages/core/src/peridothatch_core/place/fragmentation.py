"""Fragmentation of free accelerators: the share in blocks too small for the waiting tasks."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from peridothatch_core.place import block, fleet

if TYPE_CHECKING:
    from peridothatch_core.model import shape


def share(digest: fleet.Digest, waiting: Iterable[shape.GangShape]) -> float:
    """Return the share of free accelerators in blocks too small for the largest waiting task.

    The share is 0 when no accelerator is free or no waiting task needs one.
    """
    largest = max((gang.task.accelerators for gang in waiting), default=0)
    if not largest or not digest.free_accelerators:
        return 0.0
    order = block.order_of(largest)
    small = sum(count << small for small, count in enumerate(digest.free_blocks[:order]))
    return small / digest.free_accelerators
