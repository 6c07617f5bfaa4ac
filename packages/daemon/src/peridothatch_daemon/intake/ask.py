"""Requests from HTTP handlers to the other tasks, and their replies."""

from __future__ import annotations

import typing

import result

from peridothatch_core.model import verdict
from peridothatch_wire import mailbox

NOT_RUN = verdict.Verdict.NOT_RUN
BuildMessage = typing.Callable[[mailbox.Reply], typing.Any]


async def ask(
    target: mailbox.Mailbox,
    build_message: BuildMessage,
    timeout_seconds: float,
    on_timeout: verdict.Verdict,
) -> result.Result[typing.Any, verdict.Refusal]:
    """Post a message to ``target`` and wait for the reply.

    A message that does not fit in the mailbox is refused with ``not_run``.

    Parameters
    ----------
    build_message : callable
        Returns the message to post; takes the object through which the task replies.
    on_timeout : Verdict
        Verdict of the refusal when no reply arrives in time.
    """
    reply = mailbox.Reply()
    if not mailbox.post(target, build_message(reply)):
        return result.Err(
            verdict.not_run(verdict.Code.OVERLOADED, f"the queue {target.name} is full")
        )
    try:
        answer = await mailbox.wait(reply, timeout_seconds)
    except TimeoutError:
        return result.Err(
            verdict.Refusal(
                on_timeout,
                verdict.Code.DEADLINE,
                f"no answer from {target.name} within {timeout_seconds:g} s",
            )
        )
    if isinstance(answer, result.Ok | result.Err):
        return answer
    return result.Ok(answer)
