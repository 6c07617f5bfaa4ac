"""Endpoints for metrics and the state of this entry."""

from __future__ import annotations

import asyncio
import typing

import result

from peridothatch_daemon import messages
from peridothatch_daemon.intake import ask, call, problem

if typing.TYPE_CHECKING:
    from peridothatch_core.model import verdict
    from peridothatch_wire import mailbox

PROMETHEUS = "text/plain; version=0.0.4; charset=utf-8"
DUMP_SECONDS = 2.0


async def metrics(
    state: call.State, received: call.Call
) -> result.Result[call.Answer, verdict.Refusal]:
    """Return the metrics of this process."""
    del received
    return result.Ok(call.Answer(200, state.ports.metrics(), PROMETHEUS))


async def dump(
    state: call.State, received: call.Call
) -> result.Result[call.Answer, verdict.Refusal]:
    """Return the state of each task; a part that does not answer in time is marked."""
    del received
    names = list(state.ports.dumps)
    parts = await asyncio.gather(*(_part(state.ports.dumps[name]) for name in names))
    document = dict(zip(names, parts, strict=True))
    document["http"] = {
        "draining": state.draining,
        "in_progress": state.in_progress,
        "accepted": state.accepted,
        "refused": state.refused,
        "config_revision": state.snapshot.revision,
    }
    return result.Ok(problem.answer(document))


async def _part(target: mailbox.Mailbox) -> typing.Any:
    answer = await ask.ask(target, messages.DumpState, DUMP_SECONDS, ask.NOT_RUN)
    if isinstance(answer, result.Err):
        return {"unavailable": answer.err_value.detail}
    return answer.ok_value


ENDPOINTS: typing.Final = (
    call.Endpoint("GET", "/metrics", "Metrics of this entry", metrics, call.Role.OPERATOR),
    call.Endpoint("GET", "/debug/state", "State of this entry", dump, call.Role.OPERATOR),
)
