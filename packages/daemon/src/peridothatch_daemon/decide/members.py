"""Task that manages the gang members on the agent's worker."""

from __future__ import annotations

import dataclasses
import time
import typing

from peridothatch_core.message import link
from peridothatch_core.start import gang_member, member_state
from peridothatch_daemon import messages
from peridothatch_daemon.decide import loop
from peridothatch_daemon.observe import actions
from peridothatch_wire import mailbox, task

TICK_SECONDS = 1.0
HEARTBEAT_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Members:
    """The running members task."""

    mailbox: mailbox.Mailbox
    tasks: tuple[task.Task, ...]


@dataclasses.dataclass(slots=True)
class State:
    """State that the members task owns."""

    members: member_state.State
    links: mailbox.Mailbox
    worker: mailbox.Mailbox
    heartbeat_at: float = float("-inf")
    drains: list[mailbox.Reply] = dataclasses.field(default_factory=list)


def start(
    worker_id: str,
    links: mailbox.Mailbox,
    worker: mailbox.Mailbox,
    inbox: mailbox.Mailbox | None = None,
    clock: typing.Callable[[], float] = time.monotonic,
) -> Members:
    """Start the members task of an agent with a worker.

    Parameters
    ----------
    links : Mailbox
        Receives ``SendToPeer``, including heartbeats and announcements to entries.
    worker : Mailbox
        Mailbox of the worker outlet.
    inbox : Mailbox, optional
        The task's own mailbox, if the worker outlet was already started with it.
    """
    inbox = inbox or mailbox.create("members")
    state = State(gang_member.create(worker_id, clock()), links, worker)

    def handle(message: typing.Any) -> None:
        receive(state, message, clock())

    ticks = task.post_periodically(TICK_SECONDS, inbox, messages.Tick())
    return Members(
        inbox,
        (
            task.start("members", loop.run(inbox, handle)),
            task.start("members ticks", ticks),
        ),
    )


async def close(members: Members) -> None:
    """Stop the task; tasks on the worker keep running until their leases expire."""
    for item in members.tasks:
        await task.close(item)


def receive(state: State, message: typing.Any, now: float) -> None:
    """Process one message."""
    match message:
        case messages.DumpState():
            mailbox.answer(message.reply, dump(state.members, now))
            return
        case messages.Drain():
            # Tasks keep running without an agent, and the next agent takes over their management.
            mailbox.answer(message.reply, True)
            return
    event = _to_event(state, message, now)
    if event is None:
        return
    if isinstance(message, messages.ReceivedFromPeer) and isinstance(message.message, link.Start):
        start = message.message
        with actions.resume(start.trace, "gang member start", job=start.job, run=start.run):
            _apply(state, event, now)
    else:
        _apply(state, event, now)


def _apply(state: State, event: member_state.Event, now: float) -> None:
    """Run the decision function and post its effects."""
    for effect in gang_member.step(state.members, event, now):
        if isinstance(effect, member_state.SendMessage):
            mailbox.post(state.links, messages.SendToPeer(effect.entry_id, effect.message))
        else:
            mailbox.post(state.worker, effect)


def _to_event(state: State, message: typing.Any, now: float) -> member_state.Event | None:
    match message:
        case messages.ReceivedFromPeer():
            return member_state.FromEntry(message.peer.id, message.message)
        case messages.PeerConnected() if message.peer.role == "entry":
            return member_state.EntryOpened(message.peer.id)
        case messages.PeerDisconnected() if message.peer.role == "entry":
            return member_state.EntryClosed(message.peer.id)
        case messages.Tick():
            due = now - state.heartbeat_at >= HEARTBEAT_SECONDS - TICK_SECONDS / 2
            if due:
                state.heartbeat_at = now
            return member_state.Tick(heartbeat=due)
        case member_state.WorkerListed() | member_state.StartRefused():
            return message
    return None


def dump(state: member_state.State, now: float) -> dict[str, typing.Any]:
    """Return the state as JSON-compatible values."""
    return {
        "worker": state.worker_id,
        "worker_answered": state.tasks_listed,
        "epoch": state.epoch,
        "planner": state.planner,
        "revision": state.revision,
        "entries": sorted(state.entries),
        "counters": dataclasses.asdict(state.counters),
        "breaches": {"no_start_after_out": state.counters.started_after_out},
        "members": [
            {
                "job": local_run.job,
                "run": local_run.run,
                "epoch": local_run.epoch,
                "tasks": {str(index): item.state for index, item in local_run.tasks.items()},
                "lease_seconds": round(local_run.lease_until - now, 3)
                if local_run.started
                else 0.0,
            }
            for local_run in state.runs.values()
        ],
    }
