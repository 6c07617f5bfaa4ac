"""Reads and writes of the planner task in the table service."""

from __future__ import annotations

import logging
import typing

import pydantic

from peridothatch_core.message import link, store
from peridothatch_core.start import gang_event, gang_start, planner_lease
from peridothatch_daemon import messages
from peridothatch_daemon.decide import planner_state
from peridothatch_daemon.observe import actions
from peridothatch_daemon.outlet import rows
from peridothatch_wire import mailbox

if typing.TYPE_CHECKING:
    from peridothatch_core.model import job

logger = logging.getLogger(__name__)

INDEX_READ_INTERVAL_SECONDS = 10.0
READ_BATCH_SIZE = 500
REREAD_BATCH_SIZE = 200
LEASE_TIMEOUT_SECONDS = 4.0


def apply_lease_event(state: planner_state.State, event: planner_lease.Event, now: float) -> None:
    """Apply one event to the lease and execute its effects."""
    key = rows.planner_key(state.settings.data_centre)
    for effect in planner_lease.step(state.lease, event, now):
        match effect:
            case planner_lease.ReadRow():
                mailbox.post(state.rows, messages.Read("planner", (key,), (), state.inbox))
            case planner_lease.WriteRow():
                state.lease_writes += 1
                number = f"{state.settings.incarnation}.lease.{state.lease_writes}"
                transaction = store.Transaction(
                    f"{state.settings.entry_id}.{state.settings.data_centre}.{number}",
                    (store.VersionIs(key, effect.version),),
                    (store.Write(key, rows.encode_planner_lease(effect.row)),),
                    urgent=True,
                )
                state.lease_write_in_flight = (transaction.id, effect, now)
                mailbox.post(
                    state.rows, messages.Commit(transaction, state.inbox, LEASE_TIMEOUT_SECONDS)
                )


def sync_with_lease(state: planner_state.State, now: float) -> None:
    """Start planning after the lease was acquired, and stop it after the lease was lost."""
    lease = state.lease
    mode = planner_lease.mode(lease, now)
    if mode is planner_lease.Mode.FOLLOWING:
        if state.gangs is not None:
            logger.warning("%s: planner lease lost", state.settings.data_centre)
            state.gangs, state.policy, state.jobs_to_load = None, None, None
            state.saves_in_flight.clear()
            state.reads_in_flight.clear()
    elif state.gangs is None or state.gangs.epoch != lease.epoch:
        _begin_planning(state, now)
    if state.gangs is not None:
        holding = mode is planner_lease.Mode.HOLDING
        if (state.gangs.may_decide, state.gangs.contact_at) != (holding, lease.contact_at):
            planner_state.apply(state, gang_event.LeaseStatus(holding, lease.contact_at), now)
    current = (planner_lease.holder(lease), lease.row.epoch if lease.row else 0)
    if current != state.announced_planner:
        state.announced_planner = current
        for agent_id in sorted(state.agents):
            planner_state.announce_planner(state, agent_id)


def _begin_planning(state: planner_state.State, now: float) -> None:
    lease, data_centre = state.lease, state.settings.data_centre
    logger.info("%s: planner lease acquired, epoch %d", data_centre, lease.epoch)
    state.saves_in_flight.clear()
    state.gangs = gang_start.create(
        data_centre, lease.epoch, lease.acquired_at, state.wall_clock() - now
    )
    state.policy = state.create_policy(data_centre)
    state.policy.record_config(state.snapshot, state.wall_clock())
    planner_state.update_other_centres(state)
    planner_state.apply_service_status(state, now)
    state.jobs_to_load = None
    _read_active_index(state, now)
    # Agents that are already connected are asked to announce their members now, instead of after
    # their next heartbeat.
    ack = link.HeartbeatAck(0.0, False, -1.0, 0, lease.epoch, True, announce=True)
    for agent_id in sorted(state.agents):
        planner_state.to_peer(state, agent_id, ack)


def read_index_if_due(state: planner_state.State, now: float) -> None:
    """Read the index of active jobs when its interval has elapsed."""
    if state.gangs is None:
        return
    period = INDEX_READ_INTERVAL_SECONDS if state.gangs.loaded else 1.0
    if now - state.index_read_at >= period:
        _read_active_index(state, now)


def _read_active_index(state: planner_state.State, now: float) -> None:
    state.index_read_at = now
    prefix = rows.active_key(state.settings.data_centre, "")
    tag = f"active {state.gangs.epoch}"
    mailbox.post(state.rows, messages.Read(tag, (), (prefix,), state.inbox))


def read_changed_job(state: planner_state.State, message: link.JobChanged) -> None:
    """Read a job row that another process has written."""
    if state.gangs is not None and message.data_centre == state.settings.data_centre:
        planner_state.read_jobs(state, (message.job_id,))


def handle_commit(state: planner_state.State, message: store.Committed, now: float) -> None:
    """Apply the outcome of a transaction to the lease or to the gangs."""
    if (
        state.lease_write_in_flight is not None
        and message.transaction.id == state.lease_write_in_flight[0]
    ):
        _handle_lease_commit(state, message, now)
        return
    effect = state.saves_in_flight.get(message.transaction.id)
    if effect is None or state.gangs is None:
        return
    if message.outcome in (store.Outcome.APPLIED, store.Outcome.CONFLICT):
        del state.saves_in_flight[message.transaction.id]
    if rows.planner_key(state.settings.data_centre) in message.failed:
        apply_lease_event(state, planner_lease.Fenced(), now)
        return
    if message.outcome is store.Outcome.APPLIED:
        _log_saved(effect.job)
        planner_state.count_ended_job(state, effect.job)
    version = message.versions.get(rows.job_key(effect.job.id), 0)
    event = gang_event.SaveResult(effect.job.id, effect.attempt, message.outcome, version)
    planner_state.apply(state, event, now)
    entry = state.gangs.jobs.get(effect.job.id)
    if entry is None or entry.saving is None or entry.saving.attempt != effect.attempt:
        state.saves_in_flight.pop(message.transaction.id, None)


def _log_saved(saved: job.Job) -> None:
    fields = {"job": saved.id, "run": saved.run, "state": saved.state.value}
    with actions.resume(saved.trace, "job row written", **fields):
        pass


def _handle_lease_commit(state: planner_state.State, message: store.Committed, now: float) -> None:
    _, effect, sent_at = state.lease_write_in_flight
    state.lease_write_in_flight = None
    if message.outcome is store.Outcome.APPLIED:
        version = message.versions[rows.planner_key(state.settings.data_centre)]
        apply_lease_event(state, planner_lease.RowWritten(effect.row, version, sent_at), now)
    else:
        apply_lease_event(state, planner_lease.WriteFailed(), now)


def handle_rows(state: planner_state.State, message: store.Rows, now: float) -> None:
    """Apply the rows of a read to the lease or to the gangs."""
    if message.tag == "planner":
        if message.ok:
            _handle_planner_row(state, message, now)
        return
    job_ids = state.reads_in_flight.pop(message.tag, ())
    kind, epoch = message.tag.split()[:2]
    if state.gangs is None or str(state.gangs.epoch) != epoch or not message.ok:
        return
    if kind == "active":
        _handle_active_index(state, message, now)
    else:
        _handle_job_rows(state, job_ids, message, now)


def _handle_planner_row(state: planner_state.State, message: store.Rows, now: float) -> None:
    found = message.rows.get(rows.planner_key(state.settings.data_centre))
    if found is None:
        apply_lease_event(state, planner_lease.RowRead(None, 0), now)
        return
    try:
        row = rows.parse_planner_lease(found.value)
    except pydantic.ValidationError as error:
        state.bad_rows += 1
        logger.error("%s: invalid planner row: %s", state.settings.data_centre, error)
        return
    apply_lease_event(state, planner_lease.RowRead(row, found.version), now)


def _handle_active_index(state: planner_state.State, message: store.Rows, now: float) -> None:
    prefix = rows.active_key(state.settings.data_centre, "")
    listed = {key.removeprefix(prefix) for key in message.rows if key.startswith(prefix)}
    known = set(state.gangs.jobs)
    changed = listed ^ known
    if not state.gangs.loaded:
        state.jobs_to_load = listed - known
        _finish_loading(state, now)
    # Other changes of known jobs are detected by rereading a batch of their rows each time, in
    # order of job id.
    remaining = sorted(job_id for job_id in listed & known if job_id > state.reread_after)
    reread = remaining[:REREAD_BATCH_SIZE]
    state.reread_after = reread[-1] if len(remaining) > len(reread) else ""
    job_ids = sorted(changed | set(reread))
    for begin in range(0, len(job_ids), READ_BATCH_SIZE):
        planner_state.read_jobs(state, tuple(job_ids[begin : begin + READ_BATCH_SIZE]))


def _handle_job_rows(
    state: planner_state.State, job_ids: tuple[str, ...], message: store.Rows, now: float
) -> None:
    for job_id in job_ids:
        row = message.rows.get(rows.job_key(job_id))
        if row is None:
            planner_state.apply(state, gang_event.JobRead(job_id, None, 0), now)
        else:
            found = _parse_job(state, job_id, row)
            if found is not None:
                planner_state.apply(state, gang_event.JobRead(job_id, found, row.version), now)
        if state.jobs_to_load is not None:
            state.jobs_to_load.discard(job_id)
    if state.jobs_to_load is not None:
        _finish_loading(state, now)


def _parse_job(state: planner_state.State, job_id: str, row: store.Row) -> job.Job | None:
    try:
        return rows.parse_job(row.value)
    except pydantic.ValidationError as error:
        state.bad_rows += 1
        logger.error("job %s: invalid row: %s", job_id, error)
        return None


def _finish_loading(state: planner_state.State, now: float) -> None:
    if not state.jobs_to_load and not state.gangs.loaded:
        state.jobs_to_load = None
        planner_state.apply(state, gang_event.JobsLoaded(), now)
        state.dirty = True
