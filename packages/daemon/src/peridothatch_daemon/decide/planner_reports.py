"""Reports and requests of the planner task that do not concern single jobs."""

from __future__ import annotations

import dataclasses
import logging
import typing

from peridothatch_core.admit import hardware
from peridothatch_core.message import link
from peridothatch_core.model import config
from peridothatch_core.place import guarantee_placement
from peridothatch_core.start import concurrent_runs, planner_lease
from peridothatch_daemon import messages
from peridothatch_daemon.decide import planner_state
from peridothatch_wire import mailbox

logger = logging.getLogger(__name__)

CAPACITY_INTERVAL_SECONDS = 2.0
# A digest of 330 racks that all differ is about 20 kB. It is sent rarely while nothing changes,
# and the minimum interval combines the changes during a restart of a rack.
HARDWARE_INTERVAL_SECONDS = 30.0
HARDWARE_MIN_INTERVAL_SECONDS = 5.0
# Agents connect to a new planner within this time. An earlier digest would lack workers, so jobs
# with shapes that do fit would be refused permanently.
HARDWARE_INITIAL_DELAY_SECONDS = 10.0
REASSIGN_INTERVAL_SECONDS = 1.0


def report_capacity(state: planner_state.State, now: float) -> None:
    """Report free capacity and short guarantees once per interval."""
    if state.gangs is None or now < state.digest_due_at:
        return
    state.digest_due_at = now + CAPACITY_INTERVAL_SECONDS
    planner_state.broadcast(state, planner_state.capacity_digest(state))
    name = state.settings.data_centre
    state.notify_local(messages.GuaranteesShort(name, planner_state.short_guarantees(state)))


def report_hardware(state: planner_state.State, now: float) -> None:
    """Report the hardware when it has changed or the report interval has elapsed."""
    if state.gangs is None or not state.gangs.loaded:
        return
    report = state.hardware_report
    initial_delay = now - state.lease.acquired_at < HARDWARE_INITIAL_DELAY_SECONDS
    if initial_delay or now - report.reported_at < HARDWARE_MIN_INTERVAL_SECONDS:
        return
    racks = hardware.racks_of(state.policy.workers())
    digest = link.HardwareDigest(state.settings.data_centre, state.gangs.epoch, racks)
    if digest != report.digest or now - report.reported_at >= HARDWARE_INTERVAL_SECONDS:
        state.hardware_report = planner_state.HardwareReport(digest, now)
        planner_state.broadcast(state, digest)


def reassign_guarantees(state: planner_state.State, now: float) -> None:
    """Request another data centre for each guarantee while this one is out of service.

    This is done by the entry that holds the lease, or by one to which the lease appears vacant.
    It is harmless if two entries do so at once: the second change is refused, because the
    guarantee no longer equals the expected object.
    """
    if now < state.reassign_due_at or not planner_lease.acts_as_planner(state.lease, now):
        return
    state.reassign_due_at = now + REASSIGN_INTERVAL_SECONDS
    name = state.settings.data_centre
    for item in guarantee_placement.due_for_reassignment(
        state.snapshot, name, state.reassigned_at, now
    ):
        state.reassigned_at[item.name] = now
        logger.info("%s: requesting another data centre for guarantee %s", name, item.name)
        wanted = dataclasses.replace(item, data_centre="")
        state.notify_local(
            messages.ChangeConfig(
                "guarantee", item.name, wanted, config.SYSTEM, mailbox.Reply(), expected=item
            )
        )
    state.reassigned_at = {
        key: at for key, at in state.reassigned_at.items() if key in state.snapshot.guarantees
    }


def record_runs(state: planner_state.State, peer_id: str, message: typing.Any) -> None:
    """Record the runs that an agent reports, to detect concurrent runs of a job.

    The records are cleared while this planner may not decide, because agents send no updates to
    a planner that lost its lease.
    """
    gangs, runs = state.gangs, state.breaches.runs
    if gangs is None or not gangs.may_decide or gangs.superseded:
        concurrent_runs.reset(runs)
        return
    match message:
        case link.AnnounceWorker():
            concurrent_runs.record_announcement(runs, peer_id, message.members)
        case link.MemberState():
            concurrent_runs.record_change(runs, peer_id, message.member)
