"""Types that the stages of the HTTP interface exchange, and the state of its task."""

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
    """Who may call an endpoint: ``PUBLIC`` needs no token, ``ANYONE`` any valid token."""

    PUBLIC = "public"
    ANYONE = "anyone"
    OPERATOR = "operator"


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Size and time limits of the HTTP interface.

    Attributes
    ----------
    max_header_bytes : int
        Total size of the headers and the request target.
    max_memory_bytes : int
        Memory of which connections get a share (``core.connect.limits``). 1024 requests with the
        longest body need 2 GiB and a fifth of that is enough for ordinary ones.
    linger_timeout_seconds : float
        How long the remaining body of a refused request is read and discarded, so that the
        caller can read the refusal before the connection closes.
    reply_timeout_seconds : float
        How long a handler waits for the reply of another task, in addition to the wait time
        of a long poll.
    max_wait_seconds : float
        Longest wait time of a long poll.
    max_deadline_seconds, default_deadline_seconds : float
        Time for the answer of a backend server: the most that a caller may set, and the value
        for callers that set none.
    drain_timeout_seconds : float
        How long a planned stop waits for requests in progress. Exceeds
        ``max_deadline_seconds``, so that a planned stop does not interrupt any request.
    send_timeout_seconds : float
        How long a shutdown waits for callers to receive responses that are ready.
    """

    max_body_bytes: int = 1024 * 1024
    max_header_bytes: int = 16 * 1024
    header_timeout_seconds: float = 10.0
    body_timeout_seconds: float = 20.0
    linger_timeout_seconds: float = 5.0
    max_requests_in_progress: int = 1024
    max_memory_bytes: int = 2 * 1024**3
    reply_timeout_seconds: float = 10.0
    max_wait_seconds: float = 60.0
    max_deadline_seconds: float = 600.0
    default_deadline_seconds: float = 30.0
    drain_timeout_seconds: float = 660.0
    send_timeout_seconds: float = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """Mailboxes of the tasks behind the HTTP interface, and a function that renders metrics.

    Attributes
    ----------
    requests : Mailbox
        Takes ``SubmitRequest`` and ``FindRequest``.
    jobs : Mailbox
        Takes ``SubmitJob``, ``FindJob``, ``ListJobs``, ``CancelJob``, ``ExplainJob``,
        ``ListPromises`` and ``EndLongPolls``.
    config : Mailbox
        Takes ``ChangeConfig`` and ``ListChanges``.
    dumps : mapping of str to Mailbox
        Takes ``DumpState``; the key names the task in ``/debug/state``.
    render_metrics : callable
        Renders the metrics of a state dump in the Prometheus text format.
    """

    requests: mailbox.Mailbox
    jobs: mailbox.Mailbox
    config: mailbox.Mailbox
    dumps: Mapping[str, mailbox.Mailbox] = dataclasses.field(default_factory=dict)
    render_metrics: typing.Callable[[dict[str, typing.Any]], bytes] = lambda _: b""


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """An authenticated caller; ``name`` is the name of a customer or of an operator."""

    name: str
    is_operator: bool


@dataclasses.dataclass(slots=True)
class State:
    """State of the HTTP task, modified only by that task and the request handlers.

    Attributes
    ----------
    id_prefix : str
        Prefix of request ids: ``ENTRY.INCARNATION`` of this process.
    drain_replies : list of Reply
        Pending replies to ``Drain``, answered once no request is in progress.
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
    """An authenticated request, as the endpoint's handler receives it.

    Attributes
    ----------
    path, query : mapping of str to str
        Path and query parameters.
    headers : mapping of str to str
        Headers by lower-case name.
    document : pydantic.BaseModel or None
        The validated body, for endpoints that declare a model.
    """

    path: Mapping[str, str]
    query: Mapping[str, str]
    headers: Mapping[str, str]
    caller: Caller
    body: bytes = b""
    document: pydantic.BaseModel | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A response before it is encoded for HTTP."""

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
    """A query parameter or header of an endpoint, as the OpenAPI document describes it.

    Attributes
    ----------
    location : str
        ``query`` or ``header``; only query parameters are checked against the declaration.
    """

    name: str
    location: str
    description: str


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """An operation of the HTTP interface.

    Attributes
    ----------
    document : type or None
        Model of the JSON body; without a model the body is passed on unchanged.
    """

    method: str
    path: str
    summary: str
    serve: Handler
    role: Role = Role.ANYONE
    document: type[pydantic.BaseModel] | None = None
    parameters: tuple[Parameter, ...] = ()
