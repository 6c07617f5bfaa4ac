"""Scheduling policies for measure_jobs.py: the placement of this project and two baselines.

A policy records events and returns actions: ("start", job, cells) and ("stop", job, ()).
"""

from __future__ import annotations

import dataclasses

import jobs_workload as workload

from peridothatch_core.model import job, shape, worker
from peridothatch_core.place import block, decide, fleet, guarantees

Action = tuple[str, str, tuple[job.Cell, ...]]
RETRY_SECONDS = 60.0
"""Delay before the baselines retry a failed job."""

MAX_RETRIES = 20


class PlacementPolicy:
    """One ``decide`` state per data centre; jobs go where the digests show free capacity."""

    def __init__(self) -> None:
        self.states = {name: decide.create(name) for name in "xyz"}
        self.data_centres: dict[str, str] = {}
        self.rows: dict[str, job.Job] = {}

    def configure(self, now: float, *, y_is_out: bool) -> None:
        """Apply the configuration."""
        for state in self.states.values():
            decide.record_config(state, workload.snapshot(y_is_out=y_is_out), now)

    def add_worker(self, one: worker.Worker, now: float) -> None:
        """Add a worker."""
        decide.record_worker_joined(self.states[one.data_centre], one, now)

    def remove_worker(self, worker_id: str, now: float) -> None:
        """Remove a worker."""
        decide.record_worker_lost(self.states[worker_id[0]], worker_id, now)

    def submit(self, row: job.Job, now: float) -> None:
        """Queue a job when it arrives, and again after it was stopped."""
        self.rows[row.id] = row
        home = self.data_centres.get(row.id) or self._choose_data_centre(row)
        self.data_centres[row.id] = home
        decide.record_waiting(self.states[home], row, now)

    def record_checkpoint(self, job_id: str, now: float) -> None:
        """Record that a running job has a checkpoint."""
        state = self.states[self.data_centres[job_id]]
        row = dataclasses.replace(state.running[job_id], checkpoint="key")
        decide.record_started(state, row, now)

    def record_ended(self, job_id: str, now: float, *, succeeded: bool) -> None:
        """Record that a job ended and will not run again."""
        state = self.states[self.data_centres[job_id]]
        decide.record_ended(state, job_id, now, succeeded=succeeded)

    def record_failed(self, job_id: str, worker_id: str, now: float) -> float | None:
        """Record a failed run; return the delay before a retry, or ``None`` for no retry."""
        state = self.states[self.data_centres[job_id]]
        return 1.0 if decide.record_failed(state, job_id, (worker_id,), now) else None

    def take_actions(self, now: float) -> list[Action]:
        """Return the actions that are due."""
        actions: list[Action] = []
        for name, state in self.states.items():
            self._exchange_digests(name, state)
            for one in decide.decide(state, now):
                match one:
                    case decide.Place(job_id, cells):
                        row = dataclasses.replace(state.running[job_id], started_at=now)
                        decide.record_started(state, row, now)
                        actions.append(("start", job_id, cells))
                    case decide.Preempt(job_id) | decide.Evacuate(job_id):
                        actions.append(("stop", job_id, ()))
                    case decide.Transfer(job_id, _, target) if target:
                        decide.record_ended(state, job_id, now)
                        self.data_centres[job_id] = target
                        decide.record_waiting(self.states[target], self.rows[job_id], now)
        return actions

    def waiting(self) -> list[shape.GangShape]:
        """Return the gang shapes of the waiting jobs."""
        return [w.shape for state in self.states.values() for w in state.waiting.values()]

    def fleets(self) -> list[fleet.Fleet]:
        """Return the fleets of data centres in service."""
        return [state.fleet for state in self.states.values() if state.in_service]

    def _exchange_digests(self, name: str, state: decide.State) -> None:
        others = {n: s for n, s in self.states.items() if n != name}
        digests = {n: fleet.digest(s.fleet) for n, s in others.items()}
        state.others = {
            n: decide.OtherCentre(others[n].in_service, d.free_accelerators, d.free_blocks)
            for n, d in digests.items()
        }
        held: dict[str, int] = {}
        for other in others.values():
            for owner, count in other.used_accelerators.items():
                held[owner] = held.get(owner, 0) + count
        state.used_elsewhere = held

    def _choose_data_centre(self, row: job.Job) -> str:
        """Choose by idle guarantee first, then by free blocks, then by the least load."""
        best: tuple[tuple[bool, bool, float], str] | None = None
        for name, state in self.states.items():
            if not state.in_service:
                continue
            guaranteed = guarantees.find_cells(state.ledger, row.customer, row.shape) is not None
            order = block.order_of(row.shape.task.accelerators)
            fits = state.fleet.allocatable[order] >= row.shape.tasks
            total = sum(m.capacity.mask.bit_count() for m in state.hardware.machines.values()) or 1
            load = sum(state.used_accelerators.values()) + sum(
                shape.total_accelerators(w.shape) for w in state.waiting.values()
            )
            rank = ((guaranteed, fits, -load / total), name)
            if best is None or rank > best:
                best = rank
        return best[1] if best else "x"


class Baseline:
    """First fit in order of arrival; with ``counts``, guarantees are accelerator counts.

    Jobs that do not fit are skipped, and all jobs in a data centre that is taken out of service
    are stopped. With ``counts``, a job within its customer's guaranteed count preempts the
    youngest borrowed jobs of a data centre until enough accelerators are free there, whatever
    blocks they form.
    """

    def __init__(self, *, counts: bool) -> None:
        self.counts = counts
        self.fleets_by_name = {name: fleet.Fleet() for name in "xyz"}
        self.queue: dict[str, job.Job] = {}
        self.running: dict[str, tuple[job.Job, str, float, bool]] = {}
        self.stopping: set[str] = set()
        self.retries: dict[str, int] = {}
        self.out_of_service: set[str] = set()
        self.guaranteed_counts = {
            g.customer: g.count * shape.total_accelerators(g.shape) for g in workload.GUARANTEES
        }

    def configure(self, now: float, *, y_is_out: bool) -> None:  # noqa: ARG002
        """Apply the configuration."""
        self.out_of_service = {"y"} if y_is_out else set()

    def add_worker(self, one: worker.Worker, now: float) -> None:  # noqa: ARG002
        """Add a worker."""
        fleet.add_worker(self.fleets_by_name[one.data_centre], one)

    def remove_worker(self, worker_id: str, now: float) -> None:  # noqa: ARG002
        """Remove a worker."""
        fleet.remove_worker(self.fleets_by_name[worker_id[0]], worker_id)

    def submit(self, row: job.Job, now: float) -> None:  # noqa: ARG002
        """Queue a job when it arrives, and again after it was stopped."""
        self._release(row.id)
        self.queue[row.id] = row

    def record_checkpoint(self, job_id: str, now: float) -> None:
        """Ignore the checkpoint of a running job."""

    def record_ended(self, job_id: str, now: float, *, succeeded: bool) -> None:  # noqa: ARG002
        """Record that a job ended and will not run again."""
        self._release(job_id)

    def record_failed(self, job_id: str, worker_id: str, now: float) -> float | None:  # noqa: ARG002
        """Record a failed run; return the delay before a retry, or ``None`` for no retry."""
        self.retries[job_id] = self.retries.get(job_id, 0) + 1
        return RETRY_SECONDS if self.retries[job_id] <= MAX_RETRIES else None

    def take_actions(self, now: float) -> list[Action]:
        """Return the actions that are due."""
        actions: list[Action] = []
        for job_id, (_, name, _, _) in self.running.items():
            if name in self.out_of_service and job_id not in self.stopping:
                actions.append(self._stop(job_id))
        for job_id in sorted(self.queue, key=lambda i: self.queue[i].submitted_at):
            row = self.queue[job_id]
            wanted = shape.total_accelerators(row.shape)
            if self._accelerators_in_use(row.customer) + wanted > workload.CUSTOMERS[row.customer]:
                continue
            borrowed = self._accelerators_in_use(
                row.customer, kept=True
            ) + wanted > self.guaranteed_counts.get(row.customer, 0)
            placed = self._place(row, now, borrowed=borrowed)
            if placed:
                actions.append(placed)
            elif self.counts and not borrowed:
                actions += self._reclaim(wanted)
        return actions

    def waiting(self) -> list[shape.GangShape]:
        """Return the gang shapes of the waiting jobs."""
        return [row.shape for row in self.queue.values()]

    def fleets(self) -> list[fleet.Fleet]:
        """Return the fleets of data centres in service."""
        return [
            one for name, one in self.fleets_by_name.items() if name not in self.out_of_service
        ]

    def _place(self, row: job.Job, now: float, *, borrowed: bool) -> Action | None:
        for name, one in self.fleets_by_name.items():
            cells = first_fit(one, row.shape) if name not in self.out_of_service else None
            if cells is not None:
                fleet.allocate(one, row.id, cells, row.shape.task, borrowed, row.customer)
                del self.queue[row.id]
                self.running[row.id] = (row, name, now, borrowed)
                return ("start", row.id, cells)
        return None

    def _reclaim(self, wanted: int) -> list[Action]:
        for name, one in self.fleets_by_name.items():
            if name in self.out_of_service:
                continue
            free = one.free_accelerators
            stop = []
            borrowed_jobs = [
                (at, i) for i, (_, n, at, b) in self.running.items() if n == name and b
            ]
            for _, job_id in sorted(borrowed_jobs, reverse=True):
                if free >= wanted:
                    break
                free += shape.total_accelerators(self.running[job_id][0].shape)
                if job_id not in self.stopping:
                    stop.append(job_id)
            if free >= wanted:
                return [self._stop(job_id) for job_id in stop]
        return []

    def _stop(self, job_id: str) -> Action:
        self.stopping.add(job_id)
        return ("stop", job_id, ())

    def _accelerators_in_use(self, owner: str, *, kept: bool = False) -> int:
        return sum(
            shape.total_accelerators(row.shape)
            for row, _, _, borrowed in self.running.values()
            if row.customer == owner and not (kept and borrowed)
        )

    def _release(self, job_id: str) -> None:
        self.queue.pop(job_id, None)
        self.stopping.discard(job_id)
        if job_id in self.running:
            fleet.release(self.fleets_by_name[self.running.pop(job_id)[1]], job_id)


def first_fit(state: fleet.Fleet, wanted: shape.GangShape) -> tuple[job.Cell, ...] | None:
    """Return cells on the first workers, by name, that have free blocks, or ``None``."""
    domains: dict[str, list[fleet.Machine]] = {}
    for name in sorted(state.machines):
        machine = state.machines[name]
        key = {"rack": machine.rack, "worker": name}.get(wanted.adjacency.value, "")
        domains.setdefault(key, []).append(machine)
    order = block.order_of(wanted.task.accelerators)
    for machines in domains.values():
        cells: list[job.Cell] = []
        for machine in machines:
            for offset in range(0, machine.free_mask.bit_length(), 1 << order):
                full = ((1 << (1 << order)) - 1) << offset
                if machine.free_mask & full == full and len(cells) < wanted.tasks:
                    chosen = block.indices(full, wanted.task.accelerators)
                    cells.append(job.Cell(len(cells), machine.id, chosen))
        if len(cells) == wanted.tasks:
            return tuple(cells)
    return None
