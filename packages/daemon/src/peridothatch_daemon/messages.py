"""Messages between the tasks of one process."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from peridothatch_core.message import link, store
    from peridothatch_core.model import config, job, request
    from peridothatch_core.report import promises
    from peridothatch_wire import mailbox


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A timer fired."""


@dataclasses.dataclass(frozen=True, slots=True)
class DumpState:
    """Get the state of the task as plain JSON types, without secrets."""

    reply: mailbox.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Refuse new work and reply ``True`` once the work in flight has finished."""

    reply: mailbox.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigChanged:
    """A newer configuration is in force in this process."""

    snapshot: config.Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigConfirmed:
    """A read of the store, sent at ``read_sent_at``, confirmed that ``revision`` is current."""

    revision: int
    read_sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesChanged:
    """The registered entries have changed; ``entries`` includes this one and is ordered by id."""

    entries: tuple[link.EntryAddress, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerConnected:
    """A peer has connected; a new connection of a peer replaces its previous one."""

    peer: link.Hello


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDisconnected:
    """The connection to a peer has closed and no other replaces it."""

    peer: link.Hello
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedFromPeer:
    """A message received from a peer."""

    peer: link.Hello
    message: link.Message


@dataclasses.dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a message to a peer; it is dropped if the peer is not connected."""

    peer_id: str
    message: link.Message


@dataclasses.dataclass(frozen=True, slots=True)
class SendToEntries:
    """Send a message to all connected entries."""

    message: link.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Apply a transaction; ``store.Committed`` goes to ``reply_to``."""

    transaction: store.Transaction
    reply_to: mailbox.Mailbox
    timeout_seconds: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """Read rows; ``store.Rows`` with this tag goes to ``reply_to``."""

    tag: str
    keys: tuple[str, ...]
    prefixes: tuple[str, ...]
    reply_to: mailbox.Mailbox
    timeout_seconds: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitRequest:
    """Serve a request; ``result.Result[request.Answer, verdict.Refusal]`` is the reply.

    ``idempotency_key`` is empty when the caller gave none.
    """

    request: request.Request
    idempotency_key: str
    reply: mailbox.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class FindRequest:
    """Look up the outcome of an earlier request; replies as ``SubmitRequest`` does."""

    request_id: str
    customer: str
    reply: mailbox.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class CallBackend:
    """Send a request to the backend server.

    ``Served`` or ``NotServed`` of ``route.agent_exchange`` goes to ``reply_to``.
    """

    request: request.Request
    timeout_seconds: float
    reply_to: mailbox.Mailbox


@dataclasses.dataclass(frozen=True, slots=True)
class WatchBackend:
    """Poll the backend server; ``agent_exchange.ServerSeen`` goes to ``reply_to``."""

    reply_to: mailbox.Mailbox


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitJob:
    """Accept a job; ``result.Result[job.Job, verdict.Refusal]`` is the reply."""

    job: job.Job
    idempotency_key: str
    reply: mailbox.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class JobView:
    """A job, as read ``age_seconds`` ago."""

    job: job.Job
    age_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobList:
    """Jobs, newest first, as read ``age_seconds`` ago.

    ``truncated`` means that older jobs were left out.
    """

    jobs: tuple[job.Job, ...]
    age_seconds: float = 0.0
    truncated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class FindJob:
    """Look up a job; ``result.Result[JobView, verdict.Refusal]`` is the reply.

    Attributes
    ----------
    customer : str
        Only jobs of this customer are found; empty for operators, who see all jobs.
    wait_seconds : float
        How long the reply may wait for the job to become final or to leave ``known_state``.
    """

    job_id: str
    customer: str
    reply: mailbox.Reply
    wait_seconds: float = 0.0
    known_state: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class EndLongPolls:
    """Answer all callers that wait for jobs now, and answer later ones without waiting."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListJobs:
    """List jobs; ``result.Result[JobList, verdict.Refusal]`` is the reply.

    An empty ``customer`` lists the jobs of all customers, and an empty ``state`` all states. The
    state ``open`` stands for every state that is not final.
    """

    customer: str
    state: str
    reply: mailbox.Reply
    limit: int = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class ListPromises:
    """Report on promises; ``result.Result[PromiseView, verdict.Refusal]`` is the reply.

    An empty ``customer`` asks for a report on all customers.
    """

    customer: str
    reply: mailbox.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class PromiseView:
    """A report on promises, computed from jobs as read ``age_seconds`` ago."""

    report: promises.Report
    age_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class GuaranteesShort:
    """Guarantees that the planner of a data centre cannot honour at present, for the jobs task."""

    data_centre: str
    names: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class CancelJob:
    """Cancel a job; replies as ``SubmitJob`` does."""

    job_id: str
    customer: str
    reply: mailbox.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class ExplainJob:
    """Explain a job; ``result.Result[list[str], verdict.Refusal]`` is the reply."""

    job_id: str
    customer: str
    reply: mailbox.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeConfig:
    """Change the configuration; ``result.Result[config.Change, verdict.Refusal]`` is the reply.

    ``value`` is an instance of the data class of ``kind``, or ``None`` to delete the object.

    Attributes
    ----------
    expected : object or None
        If set, the change is refused unless the object equals it. This keeps a change that the
        system derived from an older configuration from reverting an operator's later change.
    """

    kind: str
    name: str
    value: Any
    changed_by: str
    reply: mailbox.Reply
    expected: Any = None


@dataclasses.dataclass(frozen=True, slots=True)
class ListChanges:
    """List accepted changes; the reply is a list of ``config.Change``, newest first."""

    limit: int
    reply: mailbox.Reply
