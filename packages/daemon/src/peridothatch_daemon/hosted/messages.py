"""Messages between the tasks of a process on the platform."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

from peridothatch_wire import mailbox

if typing.TYPE_CHECKING:
    from peridothatch_core.message import peers
    from peridothatch_core.model import desired
    from peridothatch_core.reception import calls


@dataclasses.dataclass(frozen=True, slots=True)
class CallReceived:
    """A caller's call; the reply takes a ``calls.Answer``."""

    call: calls.Call
    reply: mailbox.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class DesiredChanged:
    """The desired state as of a read of the store; ``None`` when it has not changed.

    Attributes
    ----------
    asked_at : float
        When the store was asked, in local seconds; the state is at least as new.
    """

    desired: desired.DesiredState | None
    asked_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationsChanged:
    """The data centres that are out of service."""

    data_centres: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class FeedFailed:
    """A call of the feed of jobs had no usable answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryCall:
    """Time to send a call to the store again."""

    pending: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class CheckReadiness:
    """Ask whether calls can be served now; the reply takes a bool."""

    reply: mailbox.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class AwaitInitialRows:
    """Wait until calls can be judged: the desired state and the jobs have been read."""

    reply: mailbox.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardCall:
    """A call for another entry; the reply takes ``PassedOn``, until a local time at the latest."""

    request: peers.Request
    deadline: float
    reply: mailbox.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardOutcome:
    """What came of a call that was passed on.

    Attributes
    ----------
    response : Response or None
        ``None`` when no other entry has served it.
    carried_out : bool
        One may have carried it out without an answer.
    """

    response: peers.Response | None
    may_have_run: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Resign:
    """The process is about to stop; the reply is answered when the leadership is free."""

    reply: mailbox.Reply


def post_later(inbox: mailbox.Mailbox, message: typing.Any, seconds: float) -> asyncio.TimerHandle:
    """Post a message after a while."""
    return asyncio.get_running_loop().call_later(seconds, mailbox.post, inbox, message)
