"""Events and calls of an agent, as data: what its filter takes and what it asks for."""

from __future__ import annotations

import dataclasses
import enum
import typing

from peridothatch_core.message import rows

if typing.TYPE_CHECKING:
    from peridothatch_core.model import agents, steps

RunKey = tuple[str, int]
"""Task and attempt."""


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Call: start a run; the specification is added once it has been read."""

    key: RunKey
    order: steps.Order
    lease_end_ms: int
    fence: int
    spec: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Call: stop a run and bar it from starting later."""

    key: RunKey
    instance: str
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class ListRuns:
    """Call: extend the deadline of all runs and list runs and ends.

    Attributes
    ----------
    wait_ms : int
        How long the worker may wait for an end before it answers.
    concurrent : bool
        Another list, which waits for an end, is under way.
    """

    instance: str
    lease_end_ms: int | None
    fence: int
    recorded_through: int
    wait_ms: int
    concurrent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRow:
    """Write the agent's row with new ends, under the condition of its version.

    Attributes
    ----------
    answers_renewal_request : bool
        A leader's request to renew is answered by this.
    claims : tuple of (RunKey, int)
        Orders that the row newly claims, with the versions that their rows must still have.
    obsolete_stops : tuple of RunKey
        Runs that had ended before their stops were written, which are removed.
    """

    row: agents.Agent
    version: int
    ends: tuple[steps.End, ...]
    answers_renewal_request: bool = False
    claims: tuple[tuple[RunKey, int], ...] = ()
    obsolete_stops: tuple[RunKey, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRow:
    """Read the agent's own row."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replaced:
    """Another process of this node has registered; this one must end."""

    fence: int


Effect = Start | Stop | ListRuns | WriteRow | ReadRow | Replaced


class StartOutcome(enum.Enum):
    """Answer of a worker to a start."""

    STARTED = enum.auto()
    REFUSED = enum.auto()
    BUSY = enum.auto()
    NO_ANSWER = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class ListedRun:
    """A run in a worker's list; ``percent`` is its progress."""

    task: str
    attempt: int
    saved: str
    percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class ListedEnd:
    """An end in a worker's list; numbers rise within an incarnation of the worker."""

    number: int
    task: str
    attempt: int
    kind: steps.EndKind
    saved: str


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """A worker's answer to ``ListRuns``.

    Attributes
    ----------
    started_ms : int
        Start of the incarnation that answered; 0 when it did not say.
    asked_at, answered_at : float
        Local seconds around the call.
    """

    instance: str
    started_ms: int
    worker_clock_ms: int
    running: tuple[ListedRun, ...]
    ended: tuple[ListedEnd, ...]
    asked_at: float
    answered_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """The worker has described itself."""

    worker: agents.Worker
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Deregistered:
    """An incarnation of the worker has ended in order."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class OrdersLoaded:
    """All orders and stops of this node in the store, and the versions of the orders' rows."""

    orders: dict[RunKey, steps.Order]
    stops: frozenset[RunKey]
    versions: dict[RunKey, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAdded:
    """A new order, and the version of its row."""

    key: RunKey
    order: steps.Order
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRemoved:
    """An order is no longer in the store."""

    key: RunKey


@dataclasses.dataclass(frozen=True, slots=True)
class StopAdded:
    """A run is to stop."""

    key: RunKey


@dataclasses.dataclass(frozen=True, slots=True)
class RenewalRequested:
    """Whether a new leader waits to hear that this agent and its worker are there."""

    waiting: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StartAnswered:
    """The worker's answer to a start."""

    key: RunKey
    outcome: StartOutcome
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StopAnswered:
    """The worker's answer to a stop."""

    key: RunKey
    confirmed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RunsListed:
    """The worker's list, or ``None`` when it gave none.

    Attributes
    ----------
    no_listener : bool
        Nothing listens at the worker's address.
    concurrent : bool
        As in the call.
    """

    listing: Listing | None
    no_listener: bool = False
    concurrent: bool = False


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
    Heartbeat
    | Deregistered
    | OrdersLoaded
    | OrderAdded
    | OrderRemoved
    | StopAdded
    | RenewalRequested
    | StartAnswered
    | StopAnswered
    | RunsListed
    | RowRead
    | rows.Committed
    | StoreTime
    | Tick
)
