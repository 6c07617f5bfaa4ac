"""Task that plans one data centre while this entry holds the planner lease."""

from __future__ import annotations

import dataclasses
import logging
import time
import typing

from peridothatch_core.message import link, store
from peridothatch_core.start import concurrent_runs, gang_event, planner_lease
from peridothatch_daemon import messages
from peridothatch_daemon.decide import loop, planner_reports, planner_state, planner_store, policy
from peridothatch_wire import mailbox, task

if typing.TYPE_CHECKING:
    from peridothatch_core.model import config

logger = logging.getLogger(__name__)

TICK_INTERVAL_SECONDS = 0.25
DECIDE_INTERVAL_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Planner:
    """The running planner task of one data centre."""

    mailbox: mailbox.Mailbox
    tasks: tuple[task.Task, ...]


def start(
    settings: planner_state.Settings,
    links: mailbox.Mailbox,
    rows: mailbox.Mailbox,
    create_policy: planner_state.CreatePolicy = policy.create,
    notify_local: planner_state.NotifyLocal = planner_state.ignore_notice,
    clock: planner_state.Clock = time.monotonic,
    wall_clock: planner_state.Clock = time.time,
) -> Planner:
    """Start the planner task of one data centre.

    Parameters
    ----------
    links : Mailbox
        Receives ``SendToPeer`` and ``SendToEntries``.
    rows : Mailbox
        Receives ``Commit`` and ``Read``.
    create_policy : callable
        Returns a placement policy with a new state; called once per epoch.
    notify_local : callable
        Sends a ``planner_state.Notice`` to the other tasks of this entry.
    """
    inbox = mailbox.create(f"planner {settings.data_centre}", 16_384)
    state = planner_state.create(
        settings, inbox, links, rows, create_policy, notify_local, clock, wall_clock
    )

    def handle(message: typing.Any) -> None:
        receive(state, message)

    ticks = task.post_periodically(TICK_INTERVAL_SECONDS, inbox, messages.Tick())
    return Planner(
        inbox,
        (
            task.start(inbox.name, loop.run(inbox, handle)),
            task.start(f"{inbox.name} ticks", ticks),
        ),
    )


async def close(planner: Planner) -> None:
    """Stop the task without releasing the lease; send ``Drain`` first to release it."""
    for item in planner.tasks:
        await task.close(item)


def receive(state: planner_state.State, message: typing.Any) -> None:
    """Process one message, and run placement when its inputs have changed."""
    now = state.clock()
    # The lease is checked before the message, so that a planner that resumes after a pause stops
    # planning if the lease has expired.
    planner_store.sync_with_lease(state, now)
    match message:
        case messages.ReceivedFromPeer():
            _handle_peer_message(state, message, now)
        case messages.Tick():
            _handle_tick(state, now)
        case messages.PeerConnected():
            _handle_peer_opened(state, message.peer)
        case messages.PeerDisconnected():
            _handle_peer_closed(state, message.peer, now)
        case store.Committed():
            planner_store.handle_commit(state, message, now)
        case store.Rows():
            planner_store.handle_rows(state, message, now)
        case link.JobChanged():
            planner_store.read_changed_job(state, message)
        case link.CapacityDigest():
            _record_capacity(state, message)
        case messages.ConfigChanged():
            _update_config(state, message.snapshot, now)
        case messages.ConfigConfirmed():
            _record_confirmation(state, message, now)
        case messages.Drain():
            state.drain_replies.append(message.reply)
            planner_store.apply_lease_event(state, planner_lease.Resign(), now)
        case messages.DumpState():
            mailbox.answer(message.reply, planner_state.dump(state, now))
    planner_store.sync_with_lease(state, now)
    if state.dirty:
        planner_state.decide(state, now)
    _answer_drains(state)


def _handle_peer_message(
    state: planner_state.State, message: messages.ReceivedFromPeer, now: float
) -> None:
    peer, content = message.peer, message.message
    if isinstance(content, link.CapacityDigest):
        _record_capacity(state, content)
        return
    if isinstance(content, link.JobChanged):
        planner_store.read_changed_job(state, content)
        return
    if peer.role != "agent" or peer.data_centre != state.settings.data_centre:
        return
    planner_reports.record_runs(state, peer.id, content)
    if state.gangs is not None:
        event = gang_event.FromAgent(peer.id, content, peer.incarnation)
        planner_state.apply(state, event, now)
    elif isinstance(content, link.Heartbeat):
        ack = link.HeartbeatAck(
            content.t0, False, -1.0, 0, state.lease.row.epoch if state.lease.row else 0
        )
        planner_state.to_peer(state, peer.id, ack)


def _record_capacity(state: planner_state.State, digest: link.CapacityDigest) -> None:
    if digest.data_centre != state.settings.data_centre:
        state.digests[digest.data_centre] = digest
        planner_state.update_other_centres(state)


def _handle_tick(state: planner_state.State, now: float) -> None:
    planner_store.apply_lease_event(state, planner_lease.Tick(), now)
    planner_store.sync_with_lease(state, now)
    planner_store.read_index_if_due(state, now)
    planner_reports.reassign_guarantees(state, now)
    if state.gangs is None:
        return
    planner_state.apply(state, gang_event.Tick(), now)
    if now >= state.decide_due_at:
        # Changes trigger a decision immediately. The periodic one serves the deadlines that
        # placement keeps internally.
        state.decide_due_at = now + DECIDE_INTERVAL_SECONDS
        state.dirty = True
    planner_reports.report_capacity(state, now)
    planner_reports.report_hardware(state, now)


def _handle_peer_opened(state: planner_state.State, peer: link.Hello) -> None:
    if peer.role == "agent" and peer.data_centre == state.settings.data_centre:
        state.agents.add(peer.id)
        planner_state.announce_planner(state, peer.id)


def _handle_peer_closed(state: planner_state.State, peer: link.Hello, now: float) -> None:
    if peer.id in state.agents:
        state.agents.discard(peer.id)
        concurrent_runs.record_disconnect(state.breaches.runs, peer.id)
        if state.gangs is not None:
            planner_state.apply(state, gang_event.AgentClosed(peer.id), now)


def _update_config(state: planner_state.State, snapshot: config.Snapshot, now: float) -> None:
    if snapshot.revision < state.snapshot.revision:
        return
    state.snapshot = snapshot
    if state.policy is not None:
        state.policy.record_config(snapshot, state.wall_clock())
    planner_state.apply_service_status(state, now)


def _record_confirmation(
    state: planner_state.State, message: messages.ConfigConfirmed, now: float
) -> None:
    # The confirmation of a revision that is newer than the snapshot does not confirm the snapshot.
    if message.revision <= state.snapshot.revision:
        state.confirmed_at = max(state.confirmed_at, message.read_sent_at)
        planner_state.apply_service_status(state, now)


def _answer_drains(state: planner_state.State) -> None:
    if state.drain_replies and not state.lease.held:
        for reply in state.drain_replies:
            mailbox.answer(reply, True)
        state.drain_replies.clear()
