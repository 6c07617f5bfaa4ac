"""Task that serves the job API: submissions, lookups, cancellations and reports."""

from __future__ import annotations

import dataclasses
import logging
import time
import typing
from collections.abc import Mapping

from peridothatch_core.admit import hardware
from peridothatch_core.admit import jobs as admission
from peridothatch_core.message import link, store
from peridothatch_daemon import messages
from peridothatch_daemon.decide import jobs_read, jobs_state, jobs_write, loop
from peridothatch_wire import mailbox, task

if typing.TYPE_CHECKING:
    import result

    from peridothatch_core.model import config, job, verdict

logger = logging.getLogger(__name__)

# Upper limit on how late a waiting caller learns of a change to a job that another entry plans.
REFRESH_INTERVAL_SECONDS = 1.0

KnownHardware = typing.Callable[[], Mapping[str, admission.Hardware]]


@dataclasses.dataclass(frozen=True, slots=True)
class Jobs:
    """The running task.

    Attributes
    ----------
    inbox : Mailbox
        Receives the messages of the HTTP interface, ``ConfigChanged``, ``CapacityDigest``,
        ``HardwareDigest`` and ``JobChanged`` from planners (also within ``ReceivedFromPeer``),
        ``GuaranteesShort``, ``EndLongPolls``, ``DumpState`` and ``Drain``.
    """

    inbox: mailbox.Mailbox
    tasks: tuple[task.Task, ...]


def start(
    settings: jobs_state.Settings,
    rows: mailbox.Mailbox,
    notify: jobs_state.Notify,
    admit: jobs_state.Admit | None = None,
    clock: jobs_state.Clock = time.monotonic,
    wall_clock: jobs_state.Clock = time.time,
) -> Jobs:
    """Start the task.

    Parameters
    ----------
    rows : Mailbox
        Receives ``Commit`` and ``Read``.
    notify : callable
        Sends ``JobChanged`` to the planner of the named data centre.
    admit : callable or None
        Accepts or refuses a job for a data centre; by default, ``admit_with`` the hardware that
        planners report.
    """
    inbox = mailbox.create("jobs", 16_384)
    known_hardware: dict[str, link.HardwareDigest] = {}
    admit = admit or admit_with(lambda: hardware.for_admission(known_hardware))
    state = jobs_state.State(
        settings, inbox, rows, admit, notify, clock, wall_clock, hardware=known_hardware
    )

    def handle(message: typing.Any) -> None:
        receive(state, message)

    ticks = task.post_periodically(REFRESH_INTERVAL_SECONDS, inbox, messages.Tick())
    return Jobs(
        inbox,
        (
            task.start("jobs", loop.run(inbox, handle)),
            task.start("jobs ticks", ticks),
        ),
    )


async def close(jobs: Jobs) -> None:
    """Stop the task; send ``Drain`` first, so that every caller gets an answer."""
    for item in jobs.tasks:
        await task.close(item)


def admit_with(known_hardware: KnownHardware) -> jobs_state.Admit:
    """Return an admission function that refuses shapes that no known hardware can hold.

    Parameters
    ----------
    known_hardware : callable
        Returns the currently known racks of each data centre.
    """

    def admit(
        submitted: job.Job, snapshot: config.Snapshot, data_centre: str, now: float
    ) -> result.Result[job.Job, verdict.Refusal]:
        submission = admission.Submission(
            submitted.customer,
            submitted.work_class,
            submitted.shape,
            submitted.command,
            submitted.checkpointable,
            submitted.expected_seconds,
        )
        return admission.admit(
            submission, snapshot, known_hardware(), submitted.id, data_centre, now
        )

    return admit


def receive(state: jobs_state.State, message: typing.Any) -> None:
    """Process one message."""
    match message:
        case messages.SubmitJob():
            jobs_write.submit(state, message)
        case messages.CancelJob():
            jobs_write.cancel(state, message)
        case messages.FindJob():
            jobs_read.find_job(state, message)
        case messages.ListJobs():
            jobs_read.list_jobs(state, message)
        case messages.ExplainJob():
            jobs_read.explain_job(state, message)
        case messages.ListPromises():
            jobs_read.report_promises(state, message)
        case store.Committed():
            jobs_state.handle_commit(state, message)
        case store.Rows():
            jobs_state.handle_rows(state, message)
        case messages.Tick():
            jobs_read.refresh_all(state)
        case messages.DumpState():
            mailbox.answer(message.reply, dump(state))
        case messages.EndLongPolls():
            state.waits_ended = True
            jobs_read.refresh_all(state)
        case messages.Drain():
            state.draining = state.waits_ended = True
            state.drain_replies.append(message.reply)
            jobs_read.refresh_all(state)
        case _:
            _record_report(state, message)
    _answer_drains(state)


def dump(state: jobs_state.State) -> dict[str, typing.Any]:
    """Return the state as JSON-compatible values."""
    return {
        "config_revision": state.snapshot.revision,
        "cached_jobs": len(state.cache),
        "transactions_in_flight": len(state.commit_callbacks),
        "reads_in_flight": len(state.read_callbacks),
        "lookups_waiting": len(state.queued_lookups),
        "callers_waiting": sum(len(waiting) for waiting in state.waiters.values()),
        "draining": state.draining,
        "pledged_accelerators": dict(state.pledged),
        "capacity": {name: dataclasses.asdict(digest) for name, digest in state.digests.items()},
        "hardware_epochs": {name: digest.epoch for name, digest in state.hardware.items()},
        "hardware_workers": {
            name: sum(kind.workers * rack.racks for rack in digest.racks for kind in rack.kinds)
            for name, digest in state.hardware.items()
        },
        "guarantees_short": {
            name: sorted(names) for name, names in state.short_guarantees.items()
        },
        "mailbox": {"waiting": state.inbox.depth, "dropped": state.inbox.dropped},
    }


def _record_report(state: jobs_state.State, message: typing.Any) -> None:
    """Update the state from a report of another task or process."""
    match message:
        case messages.ConfigChanged():
            state.snapshot = message.snapshot
        case messages.ReceivedFromPeer():
            _record_report(state, message.message)
        case link.CapacityDigest():
            known = state.digests.get(message.data_centre)
            if known is None or message.epoch >= known.epoch:
                state.digests[message.data_centre] = message
                state.pledged.pop(message.data_centre, None)
        case link.HardwareDigest():
            hardware.record(state.hardware, message)
        case link.JobChanged():
            jobs_read.refresh(state, message.job_id)
        case messages.GuaranteesShort():
            state.short_guarantees[message.data_centre] = message.names
        case messages.ConfigConfirmed():
            pass
        case _:
            logger.error("jobs: ignored a message of unexpected type %s", type(message).__name__)


def _answer_drains(state: jobs_state.State) -> None:
    if state.drain_replies and not (
        state.commit_callbacks or state.read_callbacks or state.waiters
    ):
        for reply in state.drain_replies:
            mailbox.answer(reply, True)
        state.drain_replies.clear()
