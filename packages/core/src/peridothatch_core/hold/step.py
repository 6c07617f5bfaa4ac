"""The filter of an agent: one event in, the calls that follow from it out."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.hold import lease, listing, orders, worker
from peridothatch_core.hold import state as states
from peridothatch_core.message import rows
from peridothatch_core.model import agents, steps, storeclock


@dataclasses.dataclass(frozen=True, slots=True)
class CheckedIn:
    """The worker has described itself."""

    worker: agents.Worker
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Left:
    """A life of the worker has ended in order."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class OrdersLoaded:
    """All orders and stops of this node in the store."""

    orders: dict[states.RunKey, steps.Order]
    stops: dict[states.RunKey, steps.Order]


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAdded:
    """A new order."""

    key: states.RunKey
    order: steps.Order


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRemoved:
    """An order is no longer in the store."""

    key: states.RunKey


@dataclasses.dataclass(frozen=True, slots=True)
class StopAdded:
    """A run is to stop."""

    key: states.RunKey
    order: steps.Order


@dataclasses.dataclass(frozen=True, slots=True)
class StartAnswered:
    """The worker's answer to a start."""

    key: states.RunKey
    outcome: orders.StartOutcome
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StopAnswered:
    """The worker's answer to a stop."""

    key: states.RunKey
    confirmed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Looked:
    """The worker's list, or ``None`` when it gave none."""

    listing: listing.Listing | None


@dataclasses.dataclass(frozen=True, slots=True)
class RowRead:
    """The agent's own row; ``read`` is false when the store could not be read."""

    read: bool
    row: agents.Agent | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreTime:
    """An answer of the store that carried its time."""

    now_ms: int
    asked_at: float
    answered_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event = (
    CheckedIn
    | Left
    | OrdersLoaded
    | OrderAdded
    | OrderRemoved
    | StopAdded
    | StartAnswered
    | StopAnswered
    | Looked
    | RowRead
    | rows.Committed
    | StoreTime
    | Tick
)


def step(state: states.State, event: Event, now: float) -> list[states.Effect]:
    """Take one event over and return the calls that are due.

    Parameters
    ----------
    now : float
        Local clock in seconds; it counts the time of a suspended machine.
    """
    effects = list(_take(state, event, now))
    worker.silent(state, now)
    worker.lapse(state, now)
    effects.extend(orders.calls(state, now))
    effects.extend(lease.writes(state, now))
    return effects


def _take(state: states.State, event: Event, now: float) -> typing.Iterator[states.Effect]:
    match event:
        case CheckedIn(described, sequence):
            worker.check_in(state, described, sequence, now)
        case Left(instance):
            worker.leave(state, instance)
        case OrdersLoaded(ordered, stops):
            orders.load(state, ordered)
            for key, order in stops.items():
                orders.stop(state, key, order)
        case OrderAdded(key, order):
            orders.add(state, key, order)
        case OrderRemoved(key):
            orders.remove(state, key)
        case StopAdded(key, order):
            orders.stop(state, key, order)
        case StartAnswered(key, outcome, reason):
            orders.started(state, key, outcome, reason, now)
        case StopAnswered(key, confirmed):
            orders.stopped(state, key, confirmed, now)
        case Looked(listed):
            _looked(state, listed, now)
        case rows.Committed():
            storeclock.observe(state.clock, event.now_ms, event.asked_at, event.answered_at)
            yield from lease.wrote(state, event, now)
        case RowRead(read, row, version):
            if read:
                yield from lease.take_row(state, row, version, now)
            else:
                lease.read_failed(state, now)
        case StoreTime(now_ms, asked_at, answered_at):
            storeclock.observe(state.clock, now_ms, asked_at, answered_at)
        case Tick():
            pass


def _looked(state: states.State, listed: listing.Listing | None, now: float) -> None:
    state.looking = False
    state.look_retry_at = now + states.LOOK_PAUSE_SECONDS
    if listed is None:
        state.look_retry_at = now + states.RETRY_SECONDS
        return
    known = state.worker
    if known is None or listed.instance != known.instance:
        return
    if listed.born_ms and listed.born_ms != known.born_ms:
        # A life that has not checked in yet; its check-in describes it.
        state.look_retry_at = now + states.RETRY_SECONDS
        return
    listing.take(state, listed)
    if state.ends:
        # The worker answers at once as long as it lists ends that it may not forget yet.
        state.look_retry_at = now + states.LISTED_PAUSE_SECONDS
