"""Processor time and memory of configuration revisions."""

from __future__ import annotations

import itertools
import random

import bench_placement
import capacity_fit

from peridothatch_core.configure import revisions
from peridothatch_core.model import config, customer, shape
from peridothatch_core.place import decide

SIZES = (100, 400, 1_600, 6_400)
MAX_RECENT_CHANGES = revisions.MAX_RECENT_CHANGES
FLEETS = ((68, 91), (272, 362), (545, 725), (1_090, 1_450))


def guarantee(index: int, count: int) -> customer.Guarantee:
    """Return a guarantee of one of 71 teams."""
    gang = shape.GangShape(4, shape.TaskShape(8))
    return customer.Guarantee(f"g{index}", f"t{index % 71}", gang, count, "dc", "operator", 1e9)


def build(objects: int) -> revisions.Replica:
    """Return a replica with a number of guarantees and a full list of recent changes."""
    state = revisions.Replica()
    held = {f"g{index}": guarantee(index, 1) for index in range(objects)}
    revisions.step(state, revisions.Loaded(config.Snapshot(1, guarantees=held)), 0.0)
    for _ in range(MAX_RECENT_CHANGES):
        apply_one(state, objects)
    return state


def apply_one(state: revisions.Replica, objects: int) -> None:
    """Apply the next change."""
    number = state.snapshot.revision + 1
    value = guarantee(number % objects, number % 7)
    change = config.Change(number, "guarantee", value.name, value, "operator", 1e9)
    revisions.step(state, revisions.Received((change,)), 0.0)


def placement_time(workers: int, accelerators: int) -> float:
    """Return the time in which placement applies a revision, in microseconds."""
    state = bench_placement.build(workers, accelerators, random.Random(1))
    counts = itertools.cycle((1, 2))
    name = next(iter(state.snapshot.guarantees))

    def change() -> None:
        held = dict(state.snapshot.guarantees)
        held[name] = customer.Guarantee(
            name, held[name].customer, held[name].shape, next(counts), "dc"
        )
        snapshot = config.Snapshot(
            state.snapshot.revision + 1, state.snapshot.customers, held,
            state.snapshot.classes, state.snapshot.data_centres,
        )  # fmt: skip
        decide.record_config(state, snapshot, 1.0)
        decide.decide(state, 1.0)

    return capacity_fit.microseconds(change, 2)


def series() -> list[capacity_fit.Series]:
    """Return the costs against objects and, for placement, against workers."""
    make = capacity_fit.Series
    applied = []
    for size in SIZES:
        state = build(size)
        cost = capacity_fit.microseconds(
            lambda state=state, size=size: apply_one(state, size), 200
        )
        applied.append((size, cost))
    memory = tuple((size, capacity_fit.kibibytes(lambda size=size: build(size))) for size in SIZES)
    placed = tuple((workers, placement_time(workers, count)) for workers, count in FLEETS)
    return [
        make("replica applies a revision", "objects", "µs", tuple(applied)),
        make("replica memory with 1,000 remembered changes", "objects", "KiB", memory),
        make("placement takes a revision over, empty fleet", "workers", "µs", placed),
    ]
