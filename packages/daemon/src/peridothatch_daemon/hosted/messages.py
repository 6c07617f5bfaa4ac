"""Messages between the tasks of an entry or agent."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

from peridothatch_wire import mailbox

if typing.TYPE_CHECKING:
    from peridothatch_core.message import peers, rows
    from peridothatch_core.model import desired
    from peridothatch_core.reception import attempts, calls


@dataclasses.dataclass(frozen=True, slots=True)
class CallReceived:
    """A client has made a call; the reply is a ``calls.Answer``."""

    call: calls.Call
    reply: mailbox.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class DesiredConfirmed:
    """The store has confirmed which desired state is the newest.

    The message has the whole state each time, so that a message that is lost is made good by the
    next one.

    Attributes
    ----------
    desired : DesiredState
        The newest desired state.
    asked_at : float
        Local time in seconds of the request; the state is at least this recent.
    """

    desired: desired.DesiredState
    asked_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationsConfirmed:
    """The store has confirmed which data centres are out of service.

    Attributes
    ----------
    asked_at : float
        Local time in seconds of the request; the set is at least this recent.
    """

    data_centres: frozenset[str]
    asked_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class FeedFailed:
    """A request of the jobs feed failed or had an invalid response."""


@dataclasses.dataclass(frozen=True, slots=True)
class FollowAgents:
    """Follow the rows of the agents, because this entry leads and has read them.

    Attributes
    ----------
    after : int or None
        Version of the store after which changes are needed; ``None`` to follow them no longer.
    """

    after: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class RetryCall:
    """Retry the store request of a pending call."""

    pending: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class CheckReadiness:
    """Query whether calls can be served now; the reply is a bool."""

    reply: mailbox.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class AwaitInitialRows:
    """Wait for the first desired state and jobs, which are needed to serve calls."""

    reply: mailbox.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardCall:
    """Forward a call to another entry; the reply is an ``attempts.Answer``.

    Attributes
    ----------
    own : Attempt
        Outcome of the call at this entry.
    effect : Key or None
        Row that the call writes; ``None`` if it only reads.
    deadline : float
        Local time in seconds by which the caller needs the answer.
    """

    request: peers.Request
    own: attempts.Attempt
    effect: rows.Key | None
    deadline: float
    reply: mailbox.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class VersionSeen:
    """A caller is about to get another entry's answer, given by this desired version."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReportVersion:
    """Query the version of the known desired state; the reply is 0 if there is none."""

    reply: mailbox.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """A caller has been told that its call may have run."""

    call: calls.Call


@dataclasses.dataclass(frozen=True, slots=True)
class Resign:
    """Release the leadership because the process stops; the reply tells whether that succeeded."""

    reply: mailbox.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderWriteRefused:
    """A write of the leader on this entry was refused because the partition is full."""


def post_later(inbox: mailbox.Mailbox, message: typing.Any, seconds: float) -> asyncio.TimerHandle:
    """Post a message after a delay."""
    return asyncio.get_running_loop().call_later(seconds, mailbox.post, inbox, message)
