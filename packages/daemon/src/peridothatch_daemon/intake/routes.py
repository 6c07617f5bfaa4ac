"""The starlette application, built from the endpoint tables of the other modules."""

from __future__ import annotations

import typing

import starlette.applications
import starlette.exceptions
import starlette.requests
import starlette.responses
import starlette.routing

from peridothatch_core.model import verdict
from peridothatch_daemon.intake import (
    call,
    changes,
    jobs,
    objects,
    openapi,
    pipeline,
    problem,
    requests,
    status,
)

_DOCUMENTED_ENDPOINTS: typing.Final = (
    *requests.ENDPOINTS,
    *jobs.ENDPOINTS,
    *objects.ENDPOINTS,
    *changes.ENDPOINTS,
    *status.ENDPOINTS,
)
ENDPOINTS: typing.Final = (*_DOCUMENTED_ENDPOINTS, openapi.endpoint(_DOCUMENTED_ENDPOINTS))


def create_application(state: call.State) -> starlette.applications.Starlette:
    """Return the application that serves every endpoint."""
    routes = [
        starlette.routing.Route(
            endpoint.path, pipeline.create_handler(state, endpoint), methods=[endpoint.method]
        )
        for endpoint in ENDPOINTS
    ]
    return starlette.applications.Starlette(
        routes=routes,
        exception_handlers={starlette.exceptions.HTTPException: _handle_http_exception},
    )


async def _handle_http_exception(
    request: starlette.requests.Request, error: Exception
) -> starlette.responses.Response:
    """Return the problem document for an unknown path or method."""
    status_code = typing.cast("starlette.exceptions.HTTPException", error).status_code
    refusal = verdict.not_run(
        verdict.Code.NOT_FOUND, f"there is no {request.method} {request.url.path[:200]}"
    )
    return pipeline.encode_response(problem.from_refusal(refusal, status_code))
