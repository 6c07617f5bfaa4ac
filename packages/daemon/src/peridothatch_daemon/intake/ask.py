"""Questions to the deciding tasks and their answers."""

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
    """Send the message that ``build_message`` returns and wait for the answer.

    Parameters
    ----------
    on_timeout : Verdict
        Whether the work may have run when no answer comes in time.
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
