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
    """Answer with the state of the task as plain JSON types, without secrets."""

    reply: mailbox.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Take no new work, finish what is in flight, then answer with True."""

    reply: mailbox.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigChanged:
    """A newer configuration is in force."""

    snapshot: config.Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigConfirmed:
    """The store confirmed the configuration of a read that was sent at ``read_sent_at``."""

    revision: int
    read_sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesChanged:
    """Which entries exist, this one included, in the order of their ids."""

    entries: tuple[link.EntryAddress, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerConnected:
    """A peer connected; a second connection of one peer replaces the first."""

    peer: link.Hello


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDisconnected:
    """The last connection to a peer has ended."""

    peer: link.Hello
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedFromPeer:
    """A message from a peer."""

    peer: link.Hello
    message: link.Message


@dataclasses.dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a message to a peer; it is dropped when the peer is not connected."""

    peer_id: str
    message: link.Message


@dataclasses.dataclass(frozen=True, slots=True)
class SendToEntries:
    """Send a message to each connected entry."""

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
    """Pass a request to the backend server.

    ``Served`` or ``NotServed`` of ``route.agent_exchange`` goes to ``reply_to``.
    """

    request: request.Request
    timeout_seconds: float
    reply_to: mailbox.Mailbox


@dataclasses.dataclass(frozen=True, slots=True)
class WatchBackend:
    """Send ``agent_exchange.ServerSeen`` to ``reply_to`` at each look at the server."""

    reply_to: mailbox.Mailbox


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitJob:
    """Accept a job; ``result.Result[job.Job, verdict.Refusal]`` is the reply."""

    job: job.Job
    idempotency_key: str
    reply: mailbox.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class JobView:
    """A job as it was read ``age_seconds`` ago."""

    job: job.Job
    age_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobList:
    """Jobs as they were read ``age_seconds`` ago, newest first.

    ``truncated`` means that there are more, older jobs.
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
        Only its jobs are found; empty for operators.
    wait_seconds : float
        How long the reply may wait until the job is final, or has left ``known_state``.
    """

    job_id: str
    customer: str
    reply: mailbox.Reply
    wait_seconds: float = 0.0
    known_state: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class EndLongPolls:
    """Answer the callers who wait for jobs now, and let later ones not wait."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListJobs:
    """List jobs; ``result.Result[JobList, verdict.Refusal]`` is the reply.

    ``customer`` is empty for the jobs of all, and ``state`` for all states; ``open`` stands for
    every state that is not final.
    """

    customer: str
    state: str
    reply: mailbox.Reply
    limit: int = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class ListPromises:
    """Report on promises; ``result.Result[PromiseView, verdict.Refusal]`` is the reply.

    ``customer`` is empty for a report on all.
    """

    customer: str
    reply: mailbox.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class PromiseView:
    """A report on promises from jobs as they were read ``age_seconds`` ago."""

    report: promises.Report
    age_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class GuaranteesShort:
    """The guarantees that are short in a data centre, from its planner to the jobs task."""

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
    """Make a change; ``result.Result[config.Change, verdict.Refusal]`` is the reply.

    ``value`` is the data class of ``kind``, or ``None`` to delete.

    Attributes
    ----------
    expected : object or None
        The change is refused unless the object is still this, so that a change that the system
        derived from an older configuration cannot undo what an operator changed since.
    """

    kind: str
    name: str
    value: Any
    changed_by: str
    reply: mailbox.Reply
    expected: Any = None


@dataclasses.dataclass(frozen=True, slots=True)
class ListChanges:
    """List accepted changes, newest first; a list of ``config.Change`` is the reply."""

    limit: int
    reply: mailbox.Reply
