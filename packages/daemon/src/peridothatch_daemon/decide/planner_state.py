"""State of the planner task, and execution of its decisions."""

from __future__ import annotations

import collections
import dataclasses
import logging
import typing

from peridothatch_core.configure import targets
from peridothatch_core.message import link, store
from peridothatch_core.model import config, datacentre, job, shape
from peridothatch_core.place import decide as placement
from peridothatch_core.place import guarantee_placement
from peridothatch_core.start import (
    concurrent_runs,
    gang_event,
    gang_start,
    gang_state,
    planner_lease,
    service_proof,
)
from peridothatch_daemon import messages
from peridothatch_daemon.decide import policy
from peridothatch_daemon.outlet import rows
from peridothatch_wire import mailbox

logger = logging.getLogger(__name__)

Clock = typing.Callable[[], float]
CreatePolicy = typing.Callable[[str], policy.Policy]
Notice = (
    link.CapacityDigest
    | link.HardwareDigest
    | link.JobChanged
    | messages.GuaranteesShort
    | messages.ChangeConfig
)
NotifyLocal = typing.Callable[[Notice], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The data centre to plan, and the location of this entry.

    Attributes
    ----------
    locality : str
        Location of the entry relative to the data centre: in the same ``data_centre``, in the
        same ``region``, or ``other``.
    """

    entry_id: str
    incarnation: str
    data_centre: str
    locality: str


@dataclasses.dataclass(frozen=True, slots=True)
class HardwareReport:
    """The last hardware report, and the time at which it was sent."""

    digest: link.HardwareDigest | None = None
    reported_at: float = float("-inf")


@dataclasses.dataclass(slots=True)
class Breaches:
    """Breaches of invariants that this planner has detected.

    Attributes
    ----------
    guarantees : int
        Number of breaches of ``guarantee_reclaimable``, each counted when it first appears.
    current : frozenset of str
        Breaches of ``guarantee_reclaimable`` after the last decision.
    runs : State
        Counts breaches of ``gang_whole`` in the reports of agents.
    """

    guarantees: int = 0
    current: frozenset[str] = frozenset()
    runs: concurrent_runs.State = dataclasses.field(default_factory=concurrent_runs.State)


@dataclasses.dataclass(slots=True)
class State:
    """State that the planner task owns.

    Attributes
    ----------
    announced_planner : tuple of str and int
        Id of the planning entry and its epoch, as last sent to the agents.
    saves_in_flight : dict of str to SaveJob
        Job writes without a final outcome, by transaction id.
    jobs_to_load : set of str or None
        Active jobs that have not been read yet after the lease was acquired.
    reread_after : str
        Job id after which the next batch of known job rows begins.
    reassigned_at : dict of str to float
        When a new data centre was last requested for each guarantee, in seconds on the monotonic
        clock.
    dirty : bool
        Whether the inputs of placement have changed since its last decision.
    """

    settings: Settings
    inbox: mailbox.Mailbox
    links: mailbox.Mailbox
    rows: mailbox.Mailbox
    create_policy: CreatePolicy
    notify_local: NotifyLocal
    clock: Clock
    wall_clock: Clock
    lease: planner_lease.State
    gangs: gang_state.State | None = None
    policy: policy.Policy | None = None
    snapshot: config.Snapshot = dataclasses.field(default_factory=config.Snapshot)
    confirmed_at: float = float("-inf")
    digests: dict[str, link.CapacityDigest] = dataclasses.field(default_factory=dict)
    agents: set[str] = dataclasses.field(default_factory=set)
    announced_planner: tuple[str, int] = ("", 0)
    saves_in_flight: dict[str, gang_event.SaveJob] = dataclasses.field(default_factory=dict)
    lease_writes: int = 0
    lease_write_in_flight: tuple[str, planner_lease.WriteRow, float] | None = None
    jobs_to_load: set[str] | None = None
    reads_in_flight: dict[str, tuple[str, ...]] = dataclasses.field(default_factory=dict)
    read_number: int = 0
    index_read_at: float = float("-inf")
    reread_after: str = ""
    digest_due_at: float = 0.0
    decide_due_at: float = 0.0
    hardware_report: HardwareReport = dataclasses.field(default_factory=HardwareReport)
    reassign_due_at: float = 0.0
    reassigned_at: dict[str, float] = dataclasses.field(default_factory=dict)
    breaches: Breaches = dataclasses.field(default_factory=Breaches)
    drain_replies: list[mailbox.Reply] = dataclasses.field(default_factory=list)
    dirty: bool = False
    bad_rows: int = 0
    ended_by_class: dict[str, collections.Counter[str]] = dataclasses.field(default_factory=dict)


def ignore_notice(message: Notice) -> None:
    """Discard a notice for the other tasks of this entry."""


def create(
    settings: Settings,
    inbox: mailbox.Mailbox,
    links: mailbox.Mailbox,
    row_outlet: mailbox.Mailbox,
    create_policy: CreatePolicy,
    notify_local: NotifyLocal,
    clock: Clock,
    wall_clock: Clock,
) -> State:
    """Return the state of a planner that has not read the lease row yet."""
    lease = planner_lease.create(settings.entry_id, settings.incarnation, settings.locality)
    return State(
        settings, inbox, links, row_outlet, create_policy, notify_local, clock, wall_clock, lease
    )


def to_peer(state: State, peer_id: str, message: link.Message) -> None:
    """Send a message to a peer."""
    mailbox.post(state.links, messages.SendToPeer(peer_id, message))


def broadcast(
    state: State, message: link.CapacityDigest | link.HardwareDigest | link.JobChanged
) -> None:
    """Send a message to all entries, this one included."""
    state.notify_local(message)
    mailbox.post(state.links, messages.SendToEntries(message))


def announce_planner(state: State, agent_id: str) -> None:
    """Tell an agent which entry plans its data centre, if that is known."""
    planner, epoch = state.announced_planner
    if planner:
        to_peer(state, agent_id, link.Welcome((), planner, epoch))


def apply_service_status(state: State, now: float) -> None:
    """Pass the service state of the data centre, and when it was confirmed, to the gangs."""
    if state.gangs is None:
        return
    centre = state.snapshot.data_centres.get(state.settings.data_centre)
    # As in placement, a data centre that the snapshot does not contain is not in service.
    service = centre.service if centre else datacentre.Service.OUT
    status = service_proof.ServiceStatus(
        service is datacentre.Service.IN, state.snapshot.revision, state.confirmed_at
    )
    confirmed_lost = service is datacentre.Service.LOST
    apply(state, gang_event.ServiceStatusUpdated(status, confirmed_lost), now)


def apply(state: State, event: gang_event.Event, now: float) -> None:
    """Apply one event to the gangs and execute its effects."""
    if state.gangs is None:
        return
    state.gangs.wall_offset = state.wall_clock() - now
    for effect in gang_start.step(state.gangs, event, now):
        _execute_effect(state, effect, now)


def _execute_effect(state: State, effect: gang_event.Effect, now: float) -> None:
    wall_time = state.wall_clock()
    match effect:
        case gang_event.SendMessage():
            to_peer(state, effect.agent_id, effect.message)
        case gang_event.SaveJob():
            _save_job(state, effect)
        case gang_event.ReadJob():
            read_jobs(state, (effect.job_id,))
        case gang_event.JobWaiting():
            state.policy.record_waiting(effect.job, wall_time)
        case gang_event.JobPlaced():
            state.policy.record_started(effect.job, wall_time)
        case gang_event.JobEnded():
            state.policy.record_ended(effect.job_id, wall_time, effect.succeeded)
            broadcast(state, link.JobChanged(effect.job_id, effect.data_centre))
        case gang_event.RunFailed():
            retry = state.policy.record_failed(effect.job_id, effect.workers, wall_time)
            apply(state, gang_event.RetryDecided(effect.job_id, retry), now)
        case gang_event.WorkerJoined():
            state.policy.record_worker_joined(effect.worker, wall_time)
        case gang_event.WorkerLost():
            state.policy.record_worker_lost(effect.worker_id, wall_time)
    if not isinstance(effect, gang_event.SendMessage):
        state.dirty = True


def _save_job(state: State, effect: gang_event.SaveJob) -> None:
    data_centre = state.settings.data_centre
    saved = effect.job
    transaction = store.Transaction(
        f"{state.settings.entry_id}.{state.settings.incarnation}."
        f"{data_centre}.{state.gangs.epoch}.{effect.attempt}",
        (
            store.FieldIs(rows.planner_key(data_centre), "epoch", state.gangs.epoch),
            store.VersionIs(rows.job_key(saved.id), effect.version),
        ),
        rows.job_writes(saved, data_centre),
        urgent=saved.state is job.State.RUNNING,
    )
    state.saves_in_flight[transaction.id] = effect
    mailbox.post(state.rows, messages.Commit(transaction, state.inbox))


def read_jobs(state: State, job_ids: tuple[str, ...]) -> None:
    """Read job rows; the result is sent to the mailbox of the task."""
    keys = tuple(rows.job_key(job_id) for job_id in job_ids)
    state.read_number += 1
    tag = f"jobs {state.gangs.epoch} {state.read_number}"
    state.reads_in_flight[tag] = job_ids
    mailbox.post(state.rows, messages.Read(tag, keys, (), state.inbox))


def update_other_centres(state: State) -> None:
    """Pass the capacity of the other data centres to placement."""
    if state.policy is not None:
        state.policy.record_other_centres(
            {
                name: placement.OtherCentre(
                    item.in_service, item.free_accelerators, item.free_blocks
                )
                for name, item in state.digests.items()
            }
        )


def decide(state: State, now: float) -> None:
    """Run placement and apply its decisions to the gangs."""
    state.dirty = False
    gangs = state.gangs
    if gangs is None or not gangs.loaded or not gangs.may_decide:
        return
    status = gangs.service_status
    if status.in_service and service_proof.age(status, now) < 0:
        # No task may start until the configuration is confirmed again.
        return
    for decision in state.policy.decide(state.wall_clock()):
        match decision:
            case placement.Place():
                event = gang_event.Place(decision.job_id, decision.cells, decision.borrowed)
            case placement.Preempt():
                event = gang_event.Preempt(decision.job_id, f"for {decision.for_job}")
            case placement.Evacuate():
                event = gang_event.Evacuate(
                    decision.job_id, _choose_evacuation_target(state, decision.job_id)
                )
            case placement.Transfer():
                event = gang_event.Transfer(decision.job_id, decision.data_centre, decision.reason)
        apply(state, event, now)
    # Changes that result from these decisions are left to the next periodic decision.
    state.dirty = False
    _count_breaches(state)


def _count_breaches(state: State) -> None:
    """Count the breaches of guarantees that did not exist after the previous decision."""
    found = frozenset(state.policy.breaches())
    for breach in sorted(found - state.breaches.current):
        state.breaches.guarantees += 1
        logger.error("%s: guarantee_reclaimable: %s", state.settings.data_centre, breach)
    state.breaches.current = found


def _choose_evacuation_target(state: State, job_id: str) -> str:
    """Return the data centre in service with the most free accelerators, or an empty string.

    Only data centres with enough free accelerators for the job are considered.
    """
    entry = state.gangs.jobs.get(job_id)
    if entry is None:
        return ""
    needed = shape.total_accelerators(entry.job.shape)
    fitting = [
        (item.free_accelerators, name)
        for name, item in state.digests.items()
        if item.in_service and item.free_accelerators >= needed
    ]
    return max(fitting)[1] if fitting else ""


def capacity_digest(state: State) -> link.CapacityDigest:
    """Return the capacity digest of this data centre for the other entries."""
    capacity = state.policy.capacity()
    waiting = sum(
        entry.job.state is job.State.WAITING and job_id not in state.gangs.gangs
        for job_id, entry in state.gangs.jobs.items()
    )
    return link.CapacityDigest(
        state.settings.data_centre,
        state.gangs.epoch,
        capacity.free_accelerators,
        capacity.free_blocks,
        waiting,
        state.gangs.service_status.in_service,
    )


def short_guarantees(state: State) -> frozenset[str]:
    """Return the guarantees that lack hardware; all of them while out of service."""
    lacking = state.policy.short_guarantees() if state.policy is not None else frozenset()
    return lacking | guarantee_placement.out_of_service(state.snapshot, state.settings.data_centre)


def count_ended_job(state: State, saved: job.Job) -> None:
    """Count a succeeded job by whether it met the target of its class."""
    if saved.state is job.State.SUCCEEDED:
        met = "met" if saved.ended_at <= saved.due_at else "missed"
        state.ended_by_class.setdefault(saved.work_class, collections.Counter())[met] += 1


def dump(state: State, now: float) -> dict[str, typing.Any]:
    """Return the state as JSON-compatible values."""
    lease = state.lease
    gangs = state.gangs
    dumped: dict[str, typing.Any] = {
        "data_centre": state.settings.data_centre,
        "mode": planner_lease.mode(lease, now).value,
        "holder": planner_lease.holder(lease),
        "epoch": lease.row.epoch if lease.row else 0,
        "takeovers": lease.takeovers,
        "losses": lease.losses,
        "revision": state.snapshot.revision,
        "bad_rows": state.bad_rows,
        "classes": _dump_classes(state),
        "guarantees_short": sorted(short_guarantees(state)),
        "breaches": {
            "guarantee_reclaimable": state.breaches.guarantees,
            "gang_whole": state.breaches.runs.breaches,
        },
    }
    if gangs is None:
        return dumped
    dumped["loaded"] = gangs.loaded
    dumped["in_service"] = gangs.service_status.in_service
    dumped["proof_age_seconds"] = service_proof.age(gangs.service_status, now)
    dumped["jobs"] = len(gangs.jobs)
    dumped["agents"] = len(gangs.agents)
    dumped["counters"] = dataclasses.asdict(gangs.counters)
    dumped["gangs"] = [
        {
            "job": gang.job_id,
            "run": gang.run,
            "phase": gang.phase.value,
            "seconds": round(now - gang.phase_started_at, 3),
            "reason": gang.reason.value,
            "workers": sorted(gang.participants),
        }
        for gang in gangs.gangs.values()
    ]
    return dumped


def _dump_classes(state: State) -> dict[str, typing.Any]:
    """Return the target of each class, and how many jobs met or missed it here."""
    return {
        name: {
            "target": targets.format_target(item.target),
            "met": state.ended_by_class.get(name, {}).get("met", 0),
            "missed": state.ended_by_class.get(name, {}).get("missed", 0),
        }
        for name, item in state.snapshot.classes.items()
    }
