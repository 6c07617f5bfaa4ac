"""Guards against double allocation, partly placed gangs, and inconsistent indexes."""

import hypothesis
import pytest
from hypothesis import strategies

from peridothatch_core.model import job, shape, worker
from peridothatch_core.place import block, fleet, fragmentation, gang

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
TASKS = strategies.builds(
    shape.TaskShape,
    accelerators=strategies.integers(0, 9),
    cores=strategies.integers(0, 6),
    memory_mb=strategies.sampled_from([0, 100, 900]),
)
GANGS = strategies.builds(
    shape.GangShape,
    tasks=strategies.integers(1, 9),
    task=TASKS,
    adjacency=strategies.sampled_from(shape.Adjacency),
)
WORKERS = strategies.lists(
    strategies.tuples(strategies.sampled_from([0, 1, 3, 6, 8, 16]), strategies.integers(0, 20)),
    min_size=1,
    max_size=9,
)


def build(offers):
    state = fleet.Fleet()
    for i, (accelerators, cores) in enumerate(offers):
        name, rack = f"w{i}", f"r{i // 3}"
        fleet.add_worker(state, worker.Worker(name, "dc", rack, accelerators, cores, 2000))
    return state


def capacity(state, wanted):
    """Return how many tasks each domain can hold, computed without the indexes."""
    totals = {}
    for machine in state.machines.values():
        limits = [shape.MAX_GANG_TASKS]
        if wanted.task.accelerators:
            size = 1 << block.order_of(wanted.task.accelerators)
            starts = range(0, machine.free_mask.bit_length(), size)
            whole = ((1 << size) - 1,)[0]
            limits.append(sum(machine.free_mask >> s & whole == whole for s in starts))
        if wanted.task.cores:
            limits.append(machine.free_cores // wanted.task.cores)
        if wanted.task.memory_mb:
            limits.append(machine.free_memory_mb // wanted.task.memory_mb)
        domain = {"worker": machine.id, "rack": machine.rack}.get(wanted.adjacency.value, "")
        totals[domain] = totals.get(domain, 0) + max(0, min(limits))
    return totals


@SETTINGS
@hypothesis.given(WORKERS, strategies.lists(strategies.tuples(GANGS, strategies.booleans())))
def test_a_gang_gets_cells_exactly_when_a_domain_has_room(offers, steps):
    """Guards against refusing a gang that fits, and against cells in more than one domain."""
    state = build(offers)
    for number, (wanted, release_previous) in enumerate(steps):
        totals = capacity(state, wanted)
        cells = gang.find_cells(state, wanted)
        room = max(totals.values()) >= wanted.tasks
        if wanted.task.cores or wanted.task.accelerators:
            assert (cells is not None) == room
        if cells is None:
            continue
        assert sorted(cell.task for cell in cells) == list(range(wanted.tasks))
        assert all(len(cell.accelerators) == wanted.task.accelerators for cell in cells)
        domains = {
            {"worker": c.worker, "rack": state.machines[c.worker].rack}.get(wanted.adjacency, "")
            for c in cells
        }
        assert len(domains) == 1
        fleet.allocate(state, f"j{number}", cells, wanted.task, True, "c")
        if release_previous and number % 2:
            fleet.release(state, f"j{number - 1}")
        check_indexes(state)


def check_indexes(state):
    """Compare the indexes and free capacity with those of a newly built fleet."""
    rebuilt = fleet.Fleet()
    for machine in state.machines.values():
        fleet.set_capacity(rebuilt, machine.id, machine.rack, machine.capacity)
    used = set()
    for allocation in state.allocations.values():
        for cell in allocation.cells:
            for accelerator in cell.accelerators:
                assert (cell.worker, accelerator) not in used
                used.add((cell.worker, accelerator))
        fleet.allocate(rebuilt, allocation.job_id, allocation.cells, allocation.task, True, "c")
    assert fleet.digest(rebuilt) == fleet.digest(state)
    for name in ("by_block", "by_allocatable", "racks_by_allocatable", "racks_by_cores"):
        assert getattr(rebuilt, name) == getattr(state, name)
    assert (rebuilt.unaccelerated_by_cores, rebuilt.allocatable) == (
        state.unaccelerated_by_cores,
        state.allocatable,
    )


def test_best_fit_keeps_large_blocks_whole():
    """Guards against a small task that splits a whole worker while a fragment is free."""
    state = build([(8, 16), (8, 16)])
    one = shape.TaskShape(1)
    fleet.allocate(state, "a", (job.Cell(0, "w1", (0,)),), one, True, "c")
    for size in (1, 2, 3):
        cells = gang.find_cells(state, shape.GangShape(1, shape.TaskShape(size)))
        assert [cell.worker for cell in cells] == ["w1"]
        fleet.allocate(state, f"s{size}", cells, shape.TaskShape(size), True, "c")
    assert fleet.digest(state) == fleet.Digest(8, (0, 0, 0, 1))


def test_tasks_without_accelerators_avoid_free_accelerators():
    """Guards against using cores that leave free accelerators of the same worker unusable."""
    state = build([(8, 16), (0, 16)])
    cells = gang.find_cells(state, shape.GangShape(3, shape.TaskShape(0, 4)))
    assert {cell.worker for cell in cells} == {"w1"}


def test_cells_on_a_returning_worker_stay_allocated():
    """Guards against double allocation after a worker was lost and joined again."""
    state = build([(8, 16)])
    cells = gang.find_cells(state, shape.GangShape(1, shape.TaskShape(5)))
    fleet.allocate(state, "a", cells, shape.TaskShape(5), True, "c")
    assert fleet.remove_worker(state, "w0") == ("a",)
    fleet.add_worker(state, worker.Worker("w0", "dc", "r0", 8, 16, 2000))
    assert gang.find_cells(state, shape.GangShape(1, shape.TaskShape(1))) is None
    with pytest.raises(ValueError, match="not free"):
        fleet.allocate(state, "b", (job.Cell(0, "w0", (7,)),), shape.TaskShape(1), True, "c")
    fleet.release(state, "a")
    assert fleet.digest(state).free_accelerators == 8


def test_a_claim_gets_freed_resources_first():
    """Guards against assigning a preempted job's cells to a job other than the preempting one."""
    state = build([(8, 16)])
    task = shape.TaskShape(8)
    cells = (job.Cell(0, "w0", tuple(range(8))),)
    fleet.allocate(state, "small", (job.Cell(0, "w0", (2,)),), shape.TaskShape(1), True, "c")
    fleet.claim(state, "large", cells, task)
    assert not fleet.is_claim_full(state, "large")
    allocation = state.allocations["small"]
    fleet.release(state, "small")
    assert fleet.is_claim_full(state, "large")
    fleet.undo_release(state, allocation)
    assert not fleet.is_claim_full(state, "large")
    fleet.release(state, "small")
    fleet.drop_claim(state, "large")
    assert fleet.digest(state) == fleet.Digest(8, (0, 0, 0, 1))


def test_fragmentation_counts_blocks_too_small_for_the_largest_task():
    """Guards against counting blocks as usable that are too small for any waiting task."""
    state = build([(8, 16), (8, 16)])
    one = shape.TaskShape(1)
    fleet.allocate(state, "a", (job.Cell(0, "w1", (0,)),), one, True, "c")
    digest = fleet.digest(state)
    assert digest == fleet.Digest(15, (1, 1, 1, 1))
    assert fragmentation.share(digest, [shape.GangShape(2, shape.TaskShape(5))]) == 7 / 15
    assert fragmentation.share(digest, [shape.GangShape(2, one)]) == 0.0
    assert fragmentation.share(digest, []) == 0.0
