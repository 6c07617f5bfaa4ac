"""A one-shot timer that posts ``Tick`` to its task at the next deadline."""

from __future__ import annotations

import asyncio

from peridothatch_daemon import messages
from peridothatch_wire import mailbox


class Alarm:
    """The one-shot timer of a task, with at most one pending deadline."""

    __slots__ = ("_at", "_handle", "_inbox")

    def __init__(self, inbox: mailbox.Mailbox) -> None:
        self._inbox = inbox
        self._at: float | None = None
        self._handle: asyncio.TimerHandle | None = None


def reschedule(alarm: Alarm, due_at: float | None, now: float) -> None:
    """Post ``Tick`` at ``due_at``, and cancel the earlier deadline; ``None`` only cancels it."""
    if due_at == alarm._at:
        return
    cancel(alarm)
    if due_at is None:
        return
    alarm._at = due_at
    loop = asyncio.get_running_loop()
    alarm._handle = loop.call_later(max(0.0, due_at - now), _fire, alarm)


def cancel(alarm: Alarm) -> None:
    """Cancel the pending deadline, if any."""
    if alarm._handle is not None:
        alarm._handle.cancel()
    alarm._at = None
    alarm._handle = None


def _fire(alarm: Alarm) -> None:
    alarm._at = None
    alarm._handle = None
    # A full mailbox may drop the tick. That loses no timeout, because the handler of every queued
    # message also processes expired timers.
    mailbox.post(alarm._inbox, messages.Tick())
