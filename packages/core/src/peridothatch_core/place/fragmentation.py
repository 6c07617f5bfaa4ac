"""How much free room is in blocks too small for the work that waits."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from peridothatch_core.place import block, fleet

if TYPE_CHECKING:
    from peridothatch_core.model import shape


def share(state: fleet.Digest, waiting: Iterable[shape.GangShape]) -> float:
    """Return the share of free accelerators in blocks too small for the largest waiting task.

    0 when nothing is free or no waiting task needs an accelerator.
    """
    largest = max((gang.task.accelerators for gang in waiting), default=0)
    if not largest or not state.free_accelerators:
        return 0.0
    order = block.order_of(largest)
    small = sum(count << small for small, count in enumerate(state.free_blocks[:order]))
    return small / state.free_accelerators
