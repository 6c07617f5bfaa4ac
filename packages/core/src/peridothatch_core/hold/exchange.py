"""Events that an agent's filter takes, and the effects that it returns."""

from __future__ import annotations

import dataclasses
import enum
import typing

from peridothatch_core.message import rows

if typing.TYPE_CHECKING:
    from peridothatch_core.model import agents, steps

RunKey = tuple[str, int]
"""Task id and attempt number."""

ENDS_PER_LIST = 500
"""Most ends in one list of a worker; the others follow once these have been acknowledged."""


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Effect: start a run on the worker.

    The task that sends the call fills in ``spec`` once it has read the job's specification.
    """

    key: RunKey
    order: steps.Order
    lease_end_ms: int
    fence: int
    spec: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Effect: stop a run; the worker also refuses a start of the run that arrives later."""

    key: RunKey
    instance: str
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class ListRuns:
    """Effect: extend the deadline of all runs and list runs and ends.

    Attributes
    ----------
    lease_end_ms : int or None
        New deadline on the worker's clock; ``None`` leaves the deadline as it is.
    recorded_through : int
        Number up to which the worker may forget its ends, because all of them are recorded; 0
        acknowledges none.
    wait_ms : int
        Longest time that the worker may wait for an end before it answers.
    concurrent : bool
        Sent while another list call is waiting for an end.
    """

    instance: str
    lease_end_ms: int | None
    fence: int
    recorded_through: int
    wait_ms: int
    concurrent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class IdentifyWorker:
    """Effect: ask the worker's address whether an instance runs there, and since when.

    The call extends no deadline and acknowledges no end.
    """

    instance: str
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRow:
    """Effect: write the agent's row and new ends, provided that the row's version is unchanged.

    Attributes
    ----------
    answers_renewal_request : bool
        The write answers a leader's request to renew, so it also removes the request.
    claims : tuple of (RunKey, int)
        Orders that the row newly claims, with the versions that their rows must still have.
    obsolete_stops : tuple of RunKey
        Runs whose stop was written after they had ended; the write removes these stops.
    """

    row: agents.Agent
    version: int
    ends: tuple[steps.End, ...]
    answers_renewal_request: bool = False
    claims: tuple[tuple[RunKey, int], ...] = ()
    obsolete_stops: tuple[RunKey, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRow:
    """Effect: read the agent's own row."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replaced:
    """Effect: another process of this node has registered, so this one must exit."""

    fence: int


Effect = Start | Stop | ListRuns | IdentifyWorker | WriteRow | ReadRow | Replaced


@dataclasses.dataclass(frozen=True, slots=True)
class IncarnationChanged:
    """Observation: the worker has started a new incarnation.

    Attributes
    ----------
    previous_ms, started_ms : int
        Start times of both incarnations.
    recorded_through : int
        Number up to which the ends of the previous incarnation were recorded.
    ends_waiting, ends_in_flight : tuple of RunKey
        Runs whose ends waited to be recorded, and those among them whose write had no answer yet.
    list_calls_pending : int
        List calls that had no answer yet.
    """

    previous_ms: int
    started_ms: int
    recorded_through: int
    ends_waiting: tuple[RunKey, ...]
    ends_in_flight: tuple[RunKey, ...]
    list_calls_pending: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndsPassedOver:
    """Observation: ends from ``first`` to ``last`` count as recorded without a record.

    ``run`` and ``kind`` are those of a single end whose order is gone, and ``None`` for numbers
    that the worker does not list.
    """

    started_ms: int
    first: int
    last: int
    run: RunKey | None = None
    kind: steps.EndKind | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RunDisappeared:
    """Observation: an incarnation lists a run neither as running nor as ended any more."""

    run: RunKey
    started_ms: int
    recorded_through: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatIgnored:
    """Observation: a heartbeat does not describe the worker that runs at the worker's address."""

    instance: str
    started_ms: int
    service: str
    reason: str


Observation = IncarnationChanged | EndsPassedOver | RunDisappeared | HeartbeatIgnored


class StartOutcome(enum.Enum):
    """The worker's answer to a start; ``OUTDATED`` if it has seen a higher fencing token."""

    STARTED = enum.auto()
    REFUSED = enum.auto()
    OUTDATED = enum.auto()
    BUSY = enum.auto()
    NO_ANSWER = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class ListedRun:
    """A run in a worker's list; ``saved`` is its checkpoint and ``percent`` its progress."""

    task: str
    attempt: int
    saved: str
    percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class ListedEnd:
    """An end in a worker's list; ``number`` increases within an incarnation of the worker."""

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
        Start time of the incarnation that answered; 0 when the answer has none, which then counts
        as that of a worker whose heartbeats have none either.
    asked_at, answered_at : float
        Local time in seconds before the call and after the answer.
    unreadable_ends : int
        Number of ends that could not be read. The worker lists them again until a later end has
        been recorded.
    """

    instance: str
    started_ms: int
    worker_clock_ms: int
    running: tuple[ListedRun, ...]
    ended: tuple[ListedEnd, ...]
    asked_at: float
    answered_at: float
    unreadable_ends: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Event: the worker sent a heartbeat with its description."""

    worker: agents.Worker
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Deregistered:
    """Event: an incarnation of the worker has deregistered."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class OrdersLoaded:
    """Event: all orders and stops of this node were read, and the versions of the orders."""

    orders: dict[RunKey, steps.Order]
    stops: frozenset[RunKey]
    versions: dict[RunKey, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAdded:
    """Event: an order was added; ``version`` is the version of its row."""

    key: RunKey
    order: steps.Order
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRemoved:
    """Event: an order was removed from the store."""

    key: RunKey


@dataclasses.dataclass(frozen=True, slots=True)
class StopAdded:
    """Event: the scheduler ordered a run to stop."""

    key: RunKey


@dataclasses.dataclass(frozen=True, slots=True)
class RenewalRequested:
    """Event: whether a new leader waits for this agent to renew its row."""

    waiting: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StartAnswered:
    """Event: the worker answered a start, or the call timed out."""

    key: RunKey
    outcome: StartOutcome
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StopAnswered:
    """Event: the worker answered a stop, or the call timed out."""

    key: RunKey
    confirmed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RunsListed:
    """Event: a list call ended; ``listing`` is ``None`` without a usable answer.

    Attributes
    ----------
    no_listener : bool
        The worker's address refused the connection.
    concurrent, fence : bool, int or None
        Copied from the ``ListRuns`` effect. The answer to a call with an earlier fencing token is
        ignored; ``None`` stands for the current one.
    """

    listing: Listing | None
    no_listener: bool = False
    concurrent: bool = False
    fence: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerIdentified:
    """Event: a call of ``IdentifyWorker`` ended.

    Attributes
    ----------
    answered : bool
        The worker's address gave a usable answer.
    started_ms : int or None
        Start time of the incarnation that answered; ``None`` if it is of another instance.
    asked_at : float
        Local time in seconds before the call.
    fence : int
        Copied from the effect.
    """

    instance: str
    answered: bool
    started_ms: int | None
    asked_at: float
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class RowRead:
    """Event: a read of the agent's own row ended; ``read`` is false when it failed."""

    read: bool
    row: agents.Agent | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreTime:
    """Event: an answer of the store carried the store's time."""

    now_ms: int
    asked_at: float
    answered_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Event: the periodic timer fired."""


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
    | WorkerIdentified
    | RowRead
    | rows.Committed
    | StoreTime
    | Tick
)
