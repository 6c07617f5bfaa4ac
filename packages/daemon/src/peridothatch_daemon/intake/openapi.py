"""The OpenAPI document, generated from the endpoints and the models of their bodies."""

from __future__ import annotations

import re
import typing

import pydantic.json_schema
import result

from peridothatch_core.model import verdict
from peridothatch_daemon.intake import call, problem, schema

OPENAPI_VERSION = "3.1.0"
REF_TEMPLATE = "#/components/schemas/{model}"
PROBLEM_REF = {"$ref": REF_TEMPLATE.format(model="Problem")}

Json = dict[str, typing.Any]


def endpoint(endpoints: tuple[call.Endpoint, ...]) -> call.Endpoint:
    """Return the endpoint that serves the OpenAPI document of ``endpoints``."""
    answer = problem.json_answer(document(endpoints))

    async def serve(
        state: call.State, received: call.Call
    ) -> result.Result[call.Answer, verdict.Refusal]:
        del state, received
        return result.Ok(answer)

    return call.Endpoint("GET", "/v1/openapi.json", "This document", serve, call.Role.PUBLIC)


def document(endpoints: tuple[call.Endpoint, ...]) -> Json:
    """Return the OpenAPI document of ``endpoints``."""
    paths: dict[str, Json] = {}
    for item in endpoints:
        paths.setdefault(item.path, {})[item.method.lower()] = _operation(item)
    return {
        "openapi": OPENAPI_VERSION,
        "info": {"title": "peridothatch", "version": "1"},
        "paths": paths,
        "components": {
            "schemas": _schemas(endpoints),
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
        },
        "security": [{"token": []}],
    }


def _schemas(endpoints: tuple[call.Endpoint, ...]) -> Json:
    models = {item.document for item in endpoints if item.document is not None}
    ordered = sorted(models | {schema.Problem}, key=lambda model: model.__name__)
    _, definitions = pydantic.json_schema.models_json_schema(
        [(model, "validation") for model in ordered], ref_template=REF_TEMPLATE
    )
    return definitions["$defs"]


def _operation(item: call.Endpoint) -> Json:
    operation: Json = {
        "summary": item.summary,
        "operationId": re.sub(r"[^a-z0-9]+", "_", f"{item.method}{item.path}".lower()),
        "parameters": _parameters(item),
        "responses": {
            "2XX": {"description": "Done.", "headers": _verdict_header()},
            "default": {
                "description": "Refused, with a verdict on whether it may have run.",
                "headers": _verdict_header(),
                "content": {problem.PROBLEM_CONTENT_TYPE: {"schema": PROBLEM_REF}},
            },
        },
    }
    if item.role is call.Role.PUBLIC:
        operation["security"] = []
    if item.role is call.Role.OPERATOR:
        operation["description"] = "For operators only."
    if item.document is not None:
        reference = {"$ref": REF_TEMPLATE.format(model=item.document.__name__)}
        operation["requestBody"] = {
            "required": True,
            "content": {call.JSON_CONTENT_TYPE: {"schema": reference}},
        }
    return operation


def _parameters(item: call.Endpoint) -> list[Json]:
    path_parameters = [
        {"name": name, "in": "path", "required": True, "schema": {"type": "string"}}
        for name in re.findall(r"{(\w+)}", item.path)
    ]
    return path_parameters + [
        {
            "name": parameter.name,
            "in": parameter.location,
            "description": parameter.description,
            "schema": {"type": "string"},
        }
        for parameter in item.parameters
    ]


def _verdict_header() -> Json:
    values = [item.value for item in verdict.Verdict]
    return {"Peridothatch-Verdict": {"schema": {"type": "string", "enum": values}}}
