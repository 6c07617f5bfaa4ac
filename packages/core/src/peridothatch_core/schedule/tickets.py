"""Tickets for queues whose policy lets only some workers run a step.

A service outside the product grants them for one step and one incarnation of a worker. It is slow
and answers in time proportional to the workers that are named, so the scheduler names a few at a
time, and more only when those that were granted are not enough.
"""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from peridothatch_core.schedule import fit
    from peridothatch_core.schedule import state as states

WORKERS_PER_REQUEST = 30
"""Workers named in one request."""

RETRY_MS = 500
"""Pause after a request without an answer."""

USE_MARGIN_MS = 700
"""Time before the end of its validity at which a ticket is no longer used for a new order: the
order has to reach the worker."""

StepKey = tuple[str, int, int]
"""Job, occurrence and step."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A question which workers may run a step."""

    step: StepKey
    workers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A ticket for one worker; ``until_ms`` is store time."""

    text: str
    until_ms: int


@dataclasses.dataclass(slots=True)
class StepTickets:
    """What is known of one step.

    Attributes
    ----------
    granted : dict
        Tickets by worker.
    denied : set of str
        Workers that may not run the step, which does not change.
    asking : bool
        A request is under way.
    retry_at_ms : int
        Store time before which no other request is made.
    """

    granted: dict[str, Ticket] = dataclasses.field(default_factory=dict)
    denied: set[str] = dataclasses.field(default_factory=set)
    asking: bool = False
    retry_at_ms: int = 0


def usable_rooms(
    known: StepTickets, found: typing.Iterable[fit.Room], now_ms: int
) -> list[fit.Room]:
    """Return the rooms of workers for which there is a valid ticket."""
    return [room for room in found if ticket(known, room.worker.instance, now_ms)]


def ticket(known: StepTickets, instance: str, now_ms: int) -> str:
    """Return the ticket of a worker that can still be used, or an empty text."""
    held = known.granted.get(instance)
    return held.text if held is not None and now_ms < held.until_ms - USE_MARGIN_MS else ""


def request(
    state: states.State,
    key: StepKey,
    suited: typing.Iterable[fit.Room],
    now_ms: int,
) -> Request | None:
    """Return a request for workers of which nothing is known, those with most room first.

    Parameters
    ----------
    suited : iterable of Room
        Rooms of workers of the kind that the step needs.
    """
    known = state.tickets.setdefault(key, StepTickets())
    if known.asking or now_ms < known.retry_at_ms:
        return None
    open_rooms = [
        room
        for room in suited
        if room.worker.instance not in known.denied
        and not ticket(known, room.worker.instance, now_ms)
    ]
    if not open_rooms:
        return None
    open_rooms.sort(key=lambda room: (-room.free[2], -room.free[0], room.agent.node))
    known.asking = True
    names = tuple(room.worker.instance for room in open_rooms[:WORKERS_PER_REQUEST])
    return Request(key, names)


def record_answer(
    state: states.State, asked: Request, granted: dict[str, str], valid_ms: int, now_ms: int
) -> None:
    """Take over an answer.

    Parameters
    ----------
    valid_ms : int
        How long the tickets are valid.
    now_ms : int
        Store time at the answer.
    """
    known = state.tickets.get(asked.step)
    if known is None:
        return
    known.asking = False
    for instance in asked.workers:
        if instance in granted:
            known.granted[instance] = Ticket(granted[instance], now_ms + valid_ms)
        else:
            known.denied.add(instance)


def record_no_answer(state: states.State, asked: Request, now_ms: int) -> None:
    """Note that a request had no answer."""
    known = state.tickets.get(asked.step)
    if known is not None:
        known.asking = False
        known.retry_at_ms = now_ms + RETRY_MS


def refused(state: states.State, key: StepKey, node: str) -> None:
    """Forget the ticket that a worker did not take."""
    known = state.tickets.get(key)
    agent = state.agents.get(node)
    if known is not None and agent is not None and agent.worker is not None:
        known.granted.pop(agent.worker.instance, None)
