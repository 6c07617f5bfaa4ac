"""A small planner to which random histories are applied, with checks of the invariants."""

import dataclasses

from peridothatch_core.model import config, customer, datacentre, job, shape, workclass, worker
from peridothatch_core.place import decide, fleet, guarantees

RACK, ANY = shape.Adjacency.RACK, shape.Adjacency.DATA_CENTRE
SHAPES = (
    shape.GangShape(1, shape.TaskShape(1)),
    shape.GangShape(1, shape.TaskShape(3, 2)),
    shape.GangShape(2, shape.TaskShape(2), RACK),
    shape.GangShape(1, shape.TaskShape(8, 4)),
    shape.GangShape(2, shape.TaskShape(8, 4), RACK),
    shape.GangShape(5, shape.TaskShape(0, 4, 2000), ANY),
    shape.GangShape(3, shape.TaskShape(4, 2), ANY),
)
GUARANTEES = (
    customer.Guarantee("g-a", "a", SHAPES[4], 1, "dc"),
    customer.Guarantee("g-b", "b", shape.GangShape(1, shape.TaskShape(4, 4)), 2, "dc"),
)
QUOTAS = {"a": 30, "b": 20, "c": 40}
CLASSES = {
    "batch": workclass.WorkClass("batch", workclass.Within(3600)),
    "notice": workclass.WorkClass("notice", workclass.Within(60), urgent=True),
}


def snapshot(service=datacentre.Service.IN, kept=GUARANTEES):
    return config.Snapshot(
        customers={name: customer.Customer(name, quota) for name, quota in QUOTAS.items()},
        guarantees={one.name: one for one in kept},
        classes=CLASSES,
        data_centres={"dc": datacentre.DataCentre("dc", "region", service)},
    )


def machine(number):
    return worker.Worker(f"w{number}", "dc", f"r{number // 3}", 8, 16, 32000)


class Planner:
    """A planner whose agents carry out each decision at once."""

    def __init__(self, workers=6):
        self.state = decide.create("dc")
        self.now = 1000.0
        self.number = 0
        decide.record_config(self.state, snapshot(), self.now)
        for number in range(workers):
            decide.record_worker_joined(self.state, machine(number), self.now)

    def submit(self, owner, work_class, gang, checkpointable=False):
        self.number += 1
        due = self.now + CLASSES[work_class].target.seconds
        one = job.Job(
            f"j{self.number}", owner, work_class, gang, ("x",), "dc", self.now, due,
            checkpointable=checkpointable,
        )  # fmt: skip
        decide.record_waiting(self.state, one, self.now)
        return one.id

    def decide(self):
        free = {
            (name, index)
            for name, one in self.state.fleet.machines.items()
            if not one.cordoned
            for index in range(8)
            if one.capacity.mask >> index & 1
        }
        for allocation in self.state.fleet.allocations.values():
            for name, resources in allocation.resources.items():
                free -= {(name, index) for index in range(8) if resources.mask >> index & 1}
        decisions = decide.decide(self.state, self.now)
        for one in decisions:
            if isinstance(one, decide.Place):
                assert len(one.cells) == self.state.running[one.job_id].shape.tasks
                for cell in one.cells:
                    taken = {(cell.worker, index) for index in cell.accelerators}
                    assert taken <= free, "an accelerator is allocated twice"
                    free -= taken
                decide.record_started(self.state, self.state.running[one.job_id], self.now)
        return decisions

    def requeue(self, job_id):
        one = self.state.running[job_id]
        back = dataclasses.replace(one, cells=(), borrowed=False, started_at=0.0)
        decide.record_waiting(self.state, back, self.now)

    def let_stop(self):
        for job_id in list(self.state.stopping):
            self.requeue(job_id)

    def check(self):
        state = self.state
        assert guarantees.breaches(state.ledger, state.fleet) == []
        used = {}
        held = dict.fromkeys(QUOTAS, 0)
        for allocation in state.fleet.allocations.values():
            one = state.running[allocation.job_id]
            assert len(allocation.cells) == one.shape.tasks, "a gang is placed only partly"
            held[one.customer] += shape.total_accelerators(one.shape)
            for cell in allocation.cells:
                for index in cell.accelerators:
                    key = (cell.worker, index)
                    assert key not in used, f"{key} is held by {used[key]} and {one.id}"
                    used[key] = one.id
        assert set(state.running) == set(state.fleet.allocations)
        for name, quota in QUOTAS.items():
            assert held[name] <= quota
        for job_id in state.claims:
            held[state.waiting[job_id].customer] += shape.total_accelerators(
                state.waiting[job_id].shape
            )
        assert {name: state.used_accelerators.get(name, 0) for name in QUOTAS} == held
        assert set(state.claims) == set(state.fleet.claimed) <= set(state.waiting)
        for machine_state in state.fleet.machines.values():
            assert machine_state.free_cores >= 0
            assert machine_state.free_memory_mb >= 0

    def check_reclaimable(self):
        """Check that each idle slot's gang starts after only borrowed work has stopped."""
        state = self.state
        state.faults.by_job.clear()
        self.decide()
        self.let_stop()
        self.decide()
        for slot in list(state.ledger.slots.values()):
            by_worker = fleet.resources_by_worker(slot.cells, slot.shape.task)
            own = state.ledger.customer_fleets.get(slot.customer)
            idle = all(
                fleet.has_free(own, name, resources) for name, resources in by_worker.items()
            )
            if not slot.cells or not idle:
                continue
            kept = {h.job_id for h in state.fleet.allocations.values() if not h.borrowed}
            job_id = self.submit(slot.customer, "batch", slot.shape)
            self.decide()
            assert not kept & set(state.stopping), "work that is not borrowed is preempted"
            self.let_stop()
            self.decide()
            assert job_id in state.running, f"slot {slot.id} cannot be reclaimed"
            assert not state.running[job_id].borrowed
            self.check()
