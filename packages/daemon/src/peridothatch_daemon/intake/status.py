"""Endpoints for the metrics and the state dump of an entry."""

from __future__ import annotations

import typing

import result

from peridothatch_daemon.intake import call, problem
from peridothatch_daemon.observe import dump as dumps

if typing.TYPE_CHECKING:
    from peridothatch_core.model import verdict

PROMETHEUS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


async def metrics(
    state: call.State, received: call.Call
) -> result.Result[call.Answer, verdict.Refusal]:
    """Return the metrics of this process in the Prometheus text format."""
    del received
    return result.Ok(
        call.Answer(
            200, state.ports.render_metrics(await _collect(state)), PROMETHEUS_CONTENT_TYPE
        )
    )


async def dump(
    state: call.State, received: call.Call
) -> result.Result[call.Answer, verdict.Refusal]:
    """Return the state of each task; one that does not answer in time is marked unavailable."""
    del received
    return result.Ok(problem.json_answer(await _collect(state)))


async def _collect(state: call.State) -> dict[str, typing.Any]:
    document = await dumps.collect({"id": state.id_prefix}, dict(state.ports.dumps))
    document["tasks"]["http"] = {
        "draining": state.draining,
        "config_revision": state.snapshot.revision,
        "gauges": {"in_progress": state.in_progress},
        "counters": {"accepted": state.accepted, "refused": state.refused},
    }
    return document


ENDPOINTS: typing.Final = (
    call.Endpoint("GET", "/metrics", "Metrics of this entry", metrics, call.Role.OPERATOR),
    call.Endpoint("GET", "/debug/state", "State of this entry", dump, call.Role.OPERATOR),
)
