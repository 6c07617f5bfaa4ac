"""What passes through the stages of the HTTP interface."""

from __future__ import annotations

import dataclasses
import enum
import typing
from collections.abc import Mapping

from peridothatch_core.model import config, verdict

if typing.TYPE_CHECKING:
    import pydantic
    import result

    from peridothatch_wire import mailbox

JSON_CONTENT_TYPE = "application/json"


class Role(enum.StrEnum):
    """Who may call an endpoint; ``PUBLIC`` needs no token."""

    PUBLIC = "public"
    ANYONE = "anyone"
    OPERATOR = "operator"


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of the HTTP interface.

    Attributes
    ----------
    drain_timeout_seconds : float
        A planned stop cuts no request, so this exceeds the longest deadline.
    send_timeout_seconds : float
        How long a shutdown waits for callers to take answers that are ready.
    linger_timeout_seconds : float
        How long the rest of a refused body is read and thrown away, so that the caller can
        read the refusal before the connection closes.
    """

    max_body_bytes: int = 1024 * 1024
    max_header_bytes: int = 16 * 1024
    header_timeout_seconds: float = 10.0
    body_timeout_seconds: float = 20.0
    linger_timeout_seconds: float = 5.0
    max_requests_in_progress: int = 1024
    reply_timeout_seconds: float = 10.0
    max_wait_seconds: float = 60.0
    max_deadline_seconds: float = 600.0
    default_deadline_seconds: float = 30.0
    drain_timeout_seconds: float = 660.0
    send_timeout_seconds: float = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """Mailboxes of the deciding tasks, and sources of reports.

    Attributes
    ----------
    requests : Mailbox
        Takes ``SubmitRequest`` and ``FindRequest``.
    jobs : Mailbox
        Takes ``SubmitJob``, ``FindJob``, ``ListJobs``, ``CancelJob``, ``ExplainJob``,
        ``ListPromises`` and ``EndWaits``.
    config : Mailbox
        Takes ``ChangeConfig`` and ``ListChanges``.
    dumps : mapping of str to Mailbox
        Takes ``DumpState``; the key names the part in ``/debug/state``.
    render_metrics : callable
        Turns a state dump into the metrics in the Prometheus text format.
    """

    requests: mailbox.Mailbox
    jobs: mailbox.Mailbox
    config: mailbox.Mailbox
    dumps: Mapping[str, mailbox.Mailbox] = dataclasses.field(default_factory=dict)
    render_metrics: typing.Callable[[dict[str, typing.Any]], bytes] = lambda _: b""


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """Who sent a request; ``name`` is that of a customer or of an operator."""

    name: str
    is_operator: bool


@dataclasses.dataclass(slots=True)
class State:
    """State of the HTTP intake, changed only by its own task and its handlers.

    Attributes
    ----------
    id_prefix : str
        ``ENTRY.INCARNATION`` of this process, with which request ids start.
    drain_replies : list of Reply
        Replies to ``Drain``, given once no request is in progress.
    """

    id_prefix: str
    limits: Limits
    ports: Ports
    snapshot: config.Snapshot = dataclasses.field(default_factory=config.Snapshot)
    draining: bool = False
    in_progress: int = 0
    accepted: int = 0
    refused: int = 0
    last_request_number: int = 0
    drain_replies: list[mailbox.Reply] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request that has passed the stages so far.

    Attributes
    ----------
    document : pydantic.BaseModel or None
        The checked body, for endpoints that declare one.
    """

    path: Mapping[str, str]
    query: Mapping[str, str]
    headers: Mapping[str, str]
    caller: Caller
    body: bytes = b""
    document: pydantic.BaseModel | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer before it is encoded for HTTP."""

    status: int
    body: bytes
    content_type: str = JSON_CONTENT_TYPE
    verdict: verdict.Verdict = verdict.Verdict.RAN
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


Handler = typing.Callable[
    [State, Call], typing.Awaitable["result.Result[Answer, verdict.Refusal]"]
]


@dataclasses.dataclass(frozen=True, slots=True)
class Parameter:
    """A query parameter or header of an endpoint, for the OpenAPI document."""

    name: str
    location: str
    description: str


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One operation of the interface.

    Attributes
    ----------
    document : type or None
        Model of the JSON body; without one the body is passed on as it came.
    """

    method: str
    path: str
    summary: str
    serve: Handler
    role: Role = Role.ANYONE
    document: type[pydantic.BaseModel] | None = None
    parameters: tuple[Parameter, ...] = ()
