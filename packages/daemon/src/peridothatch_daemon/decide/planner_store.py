"""What the planner task reads from and writes to the table service."""

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

LIST_SECONDS = 10.0
READ_CHUNK = 500
REREAD_CHUNK = 200
LEASE_TIMEOUT_SECONDS = 4.0


def lease_event(state: planner_state.State, event: planner_lease.Event, now: float) -> None:
    """Run one event through the lease and carry its effects out."""
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
                    (store.Write(key, rows.planner_value(effect.row)),),
                    urgent=True,
                )
                state.lease_sent = (transaction.id, effect, now)
                mailbox.post(
                    state.rows, messages.Commit(transaction, state.inbox, LEASE_TIMEOUT_SECONDS)
                )


def sync_with_lease(state: planner_state.State, now: float) -> None:
    """Begin or end planning when the lease was taken or lost."""
    lease = state.lease
    mode = planner_lease.mode(lease, now)
    if mode is planner_lease.Mode.FOLLOWING:
        if state.gangs is not None:
            logger.warning("%s: planner lease lost", state.settings.data_centre)
            state.gangs, state.policy, state.loading = None, None, None
            state.attempts.clear()
            state.reads.clear()
    elif state.gangs is None or state.gangs.epoch != lease.epoch:
        _begin(state, now)
    if state.gangs is not None:
        holding = mode is planner_lease.Mode.HOLDING
        if (state.gangs.may_decide, state.gangs.contact_at) != (holding, lease.contact_at):
            planner_state.apply(state, gang_event.LeaseStatus(holding, lease.contact_at), now)
    known = (planner_lease.holder(lease), lease.row.epoch if lease.row else 0)
    if known != state.introduced:
        state.introduced = known
        for agent_id in sorted(state.agents):
            planner_state.introduce(state, agent_id)


def _begin(state: planner_state.State, now: float) -> None:
    lease, data_centre = state.lease, state.settings.data_centre
    logger.info("%s: planner lease taken, epoch %d", data_centre, lease.epoch)
    state.attempts.clear()
    state.gangs = gang_start.create(
        data_centre, lease.epoch, lease.acquired_at, state.wall() - now
    )
    state.policy = state.create_policy(data_centre)
    state.policy.record_config(state.snapshot, state.wall())
    planner_state.pass_digests(state)
    planner_state.apply_reading(state, now)
    state.loading = None
    _list(state, now)
    # Agents that are connected already announce their members without waiting for a heartbeat.
    ack = link.HeartbeatAck(0.0, False, -1.0, 0, lease.epoch, True, announce=True)
    for agent_id in sorted(state.agents):
        planner_state.to_peer(state, agent_id, ack)


def tick(state: planner_state.State, now: float) -> None:
    """Read the index of active jobs again after a while."""
    if state.gangs is None:
        return
    period = LIST_SECONDS if state.gangs.loaded else 1.0
    if now - state.listed_at >= period:
        _list(state, now)


def _list(state: planner_state.State, now: float) -> None:
    state.listed_at = now
    prefix = rows.active_key(state.settings.data_centre, "")
    tag = f"active {state.gangs.epoch}"
    mailbox.post(state.rows, messages.Read(tag, (), (prefix,), state.inbox))


def job_changed(state: planner_state.State, message: link.JobChanged) -> None:
    """Read a job row that another process wrote."""
    if state.gangs is not None and message.data_centre == state.settings.data_centre:
        planner_state.read_jobs(state, (message.job_id,))


def committed(state: planner_state.State, message: store.Committed, now: float) -> None:
    """Pass the outcome of a transaction on to the lease or to the gangs."""
    if state.lease_sent is not None and message.transaction.id == state.lease_sent[0]:
        _lease_committed(state, message, now)
        return
    effect = state.attempts.get(message.transaction.id)
    if effect is None or state.gangs is None:
        return
    if message.outcome in (store.Outcome.APPLIED, store.Outcome.CONFLICT):
        del state.attempts[message.transaction.id]
    if rows.planner_key(state.settings.data_centre) in message.failed:
        lease_event(state, planner_lease.Fenced(), now)
        return
    if message.outcome is store.Outcome.APPLIED:
        _log_saved(effect.job)
        planner_state.note_ended(state, effect.job)
    version = message.versions.get(rows.job_key(effect.job.id), 0)
    event = gang_event.SaveResult(effect.job.id, effect.attempt, message.outcome, version)
    planner_state.apply(state, event, now)
    entry = state.gangs.jobs.get(effect.job.id)
    if entry is None or entry.saving is None or entry.saving.attempt != effect.attempt:
        state.attempts.pop(message.transaction.id, None)


def _log_saved(saved: job.Job) -> None:
    fields = {"job": saved.id, "run": saved.run, "state": saved.state.value}
    with actions.resume(saved.trace, "job row written", **fields):
        pass


def _lease_committed(state: planner_state.State, message: store.Committed, now: float) -> None:
    _, effect, sent_at = state.lease_sent
    state.lease_sent = None
    if message.outcome is store.Outcome.APPLIED:
        version = message.versions[rows.planner_key(state.settings.data_centre)]
        lease_event(state, planner_lease.RowWritten(effect.row, version, sent_at), now)
    else:
        lease_event(state, planner_lease.WriteFailed(), now)


def rows_read(state: planner_state.State, message: store.Rows, now: float) -> None:
    """Pass rows that were read on to the lease or to the gangs."""
    if message.tag == "planner":
        if message.ok:
            _planner_read(state, message, now)
        return
    job_ids = state.reads.pop(message.tag, ())
    kind, epoch = message.tag.split()[:2]
    if state.gangs is None or str(state.gangs.epoch) != epoch or not message.ok:
        return
    if kind == "active":
        _active_read(state, message, now)
    else:
        _jobs_read(state, job_ids, message, now)


def _planner_read(state: planner_state.State, message: store.Rows, now: float) -> None:
    found = message.rows.get(rows.planner_key(state.settings.data_centre))
    if found is None:
        lease_event(state, planner_lease.RowRead(None, 0), now)
        return
    try:
        row = rows.read_planner(found.value)
    except pydantic.ValidationError as error:
        state.bad_rows += 1
        logger.error("%s: bad planner row: %s", state.settings.data_centre, error)
        return
    lease_event(state, planner_lease.RowRead(row, found.version), now)


def _active_read(state: planner_state.State, message: store.Rows, now: float) -> None:
    prefix = rows.active_key(state.settings.data_centre, "")
    listed = {key.removeprefix(prefix) for key in message.rows if key.startswith(prefix)}
    known = set(state.gangs.jobs)
    wanted = listed ^ known
    if not state.gangs.loaded:
        state.loading = listed - known
        _finish_loading(state, now)
    # Any other change is found by reading a part of the known rows in turn.
    later = sorted(job_id for job_id in listed & known if job_id > state.reread_after)
    turn = later[:REREAD_CHUNK]
    state.reread_after = turn[-1] if len(later) > len(turn) else ""
    ids = sorted(wanted | set(turn))
    for begin in range(0, len(ids), READ_CHUNK):
        planner_state.read_jobs(state, tuple(ids[begin : begin + READ_CHUNK]))


def _jobs_read(
    state: planner_state.State, job_ids: tuple[str, ...], message: store.Rows, now: float
) -> None:
    for job_id in job_ids:
        row = message.rows.get(rows.job_key(job_id))
        if row is None:
            planner_state.apply(state, gang_event.JobRead(job_id, None, 0), now)
        else:
            found = _job(state, job_id, row)
            if found is not None:
                planner_state.apply(state, gang_event.JobRead(job_id, found, row.version), now)
        if state.loading is not None:
            state.loading.discard(job_id)
    if state.loading is not None:
        _finish_loading(state, now)


def _job(state: planner_state.State, job_id: str, row: store.Row) -> job.Job | None:
    try:
        return rows.read_job(row.value)
    except pydantic.ValidationError as error:
        state.bad_rows += 1
        logger.error("job %s: bad row: %s", job_id, error)
        return None


def _finish_loading(state: planner_state.State, now: float) -> None:
    if not state.loading and not state.gangs.loaded:
        state.loading = None
        planner_state.apply(state, gang_event.JobsLoaded(), now)
        state.dirty = True
