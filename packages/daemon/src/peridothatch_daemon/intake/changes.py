"""Endpoints that change the configuration and list the accepted changes."""

from __future__ import annotations

import typing

import result

from peridothatch_core.configure import targets
from peridothatch_core.model import config, customer, datacentre, verdict, workclass
from peridothatch_daemon import messages
from peridothatch_daemon.intake import ask, bodies, call, objects, problem, schema

# For a customer, this many of the newest changes are fetched and then filtered by visibility,
# so that the limit of the call applies to the changes that the customer may see.
MAX_CHANGES = 1000
DEFAULT_CHANGES = 100

Outcome = result.Result[call.Answer, verdict.Refusal]


async def put_class(state: call.State, received: call.Call) -> Outcome:
    """Create a class or change its target."""
    document = typing.cast("schema.ClassDocument", received.document)
    parsed = targets.parse(document.target)
    if isinstance(parsed, result.Err):
        return parsed
    value = workclass.WorkClass(received.path["name"], parsed.ok_value, document.urgent)
    return await _submit_change(state, received, "class", value)


async def put_customer(state: call.State, received: call.Call) -> Outcome:
    """Create a customer, or change its quota or token."""
    document = typing.cast("schema.CustomerDocument", received.document)
    name = received.path["name"]
    value = customer.Customer(name, document.quota_accelerators, document.token_sha256)
    return await _submit_change(state, received, "customer", value)


async def put_guarantee(state: call.State, received: call.Call) -> Outcome:
    """Create a guarantee of a shape for a customer, or change it."""
    document = typing.cast("schema.GuaranteeDocument", received.document)
    value = customer.Guarantee(
        received.path["name"],
        document.customer,
        schema.gang_shape(document.shape),
        document.count,
        document.data_centre,
        pinned=bool(document.data_centre),
    )
    return await _submit_change(state, received, "guarantee", value)


def delete(kind: str) -> call.Handler:
    """Return a handler that deletes an object of ``kind``."""

    async def serve(state: call.State, received: call.Call) -> Outcome:
        return await _submit_change(state, received, kind, None)

    return serve


def set_service(service: datacentre.Service) -> call.Handler:
    """Return a handler that sets whether a data centre is in service, out or lost."""

    async def serve(state: call.State, received: call.Call) -> Outcome:
        name = received.path["name"]
        if name not in state.snapshot.data_centres:
            return result.Err(objects.not_found("data centre", name))
        # The config task fills in the region.
        value = datacentre.DataCentre(name, "", service)
        return await _submit_change(state, received, "data_centre", value)

    return serve


async def list_changes(state: call.State, received: call.Call) -> Outcome:
    """List the newest accepted changes that the caller may see."""
    limit = bodies.parse_number(received.query, "limit", DEFAULT_CHANGES, MAX_CHANGES)
    if isinstance(limit, result.Err):
        return limit
    count = int(limit.ok_value)
    outcome = await ask.ask(
        state.ports.config,
        lambda reply: messages.ListChanges(
            count if received.caller.is_operator else MAX_CHANGES, reply
        ),
        state.limits.reply_timeout_seconds,
        verdict.Verdict.NOT_RUN,
    )
    if isinstance(outcome, result.Err):
        return outcome
    shown = [
        change_document(change)
        for change in outcome.ok_value
        if received.caller.is_operator or is_visible(change, received.caller.name)
    ]
    return result.Ok(problem.json_answer({"changes": shown[:count]}))


def is_visible(change: config.Change, customer_name: str) -> bool:
    """Return whether a customer may see a change.

    The deletion of a guarantee does not name the customer, so only operators see it.
    """
    match change.kind:
        case "customer":
            return change.name == customer_name
        case "guarantee":
            return isinstance(change.value, customer.Guarantee) and (
                change.value.customer == customer_name
            )
        case "class" | "data_centre":
            return True
        case _:
            return False


def change_document(change: config.Change) -> dict[str, typing.Any]:
    """Return the JSON document of a change, without token digests."""
    return {
        "revision": change.revision,
        "kind": change.kind,
        "name": change.name,
        "deleted": change.value is None,
        "value": objects.to_document(change.value),
        "changed_by": change.changed_by,
        "changed_at": change.changed_at,
    }


async def _submit_change(
    state: call.State, received: call.Call, kind: str, value: typing.Any
) -> Outcome:
    name = received.path["name"]
    outcome = await ask.ask(
        state.ports.config,
        lambda reply: messages.ChangeConfig(kind, name, value, received.caller.name, reply),
        state.limits.reply_timeout_seconds,
        verdict.Verdict.MAY_HAVE_RUN,
    )
    return outcome.map(lambda change: problem.json_answer(change_document(change)))


_LIMIT_PARAMETERS = (
    call.Parameter("limit", "query", f"Most changes to list; {DEFAULT_CHANGES} if absent."),
)
_OPERATOR = call.Role.OPERATOR
ENDPOINTS: typing.Final = (
    call.Endpoint(
        "PUT",
        "/v1/classes/{name}",
        "Set a class",
        put_class,
        _OPERATOR,
        document=schema.ClassDocument,
    ),
    call.Endpoint(
        "PUT",
        "/v1/customers/{name}",
        "Set a customer",
        put_customer,
        _OPERATOR,
        document=schema.CustomerDocument,
    ),
    call.Endpoint(
        "PUT",
        "/v1/guarantees/{name}",
        "Set a guarantee",
        put_guarantee,
        _OPERATOR,
        document=schema.GuaranteeDocument,
    ),
    call.Endpoint("DELETE", "/v1/classes/{name}", "Delete a class", delete("class"), _OPERATOR),
    call.Endpoint(
        "DELETE", "/v1/customers/{name}", "Delete a customer", delete("customer"), _OPERATOR
    ),
    call.Endpoint(
        "DELETE", "/v1/guarantees/{name}", "Delete a guarantee", delete("guarantee"), _OPERATOR
    ),
    call.Endpoint(
        "POST",
        "/v1/data-centres/{name}/out",
        "Take a data centre out of service",
        set_service(datacentre.Service.OUT),
        _OPERATOR,
    ),
    call.Endpoint(
        "POST",
        "/v1/data-centres/{name}/in",
        "Put a data centre back into service",
        set_service(datacentre.Service.IN),
        _OPERATOR,
    ),
    call.Endpoint(
        "POST",
        "/v1/data-centres/{name}/lost",
        "Vouch that nothing runs in a data centre any more",
        set_service(datacentre.Service.LOST),
        _OPERATOR,
    ),
    call.Endpoint(
        "GET",
        "/v1/changes",
        "List accepted changes, newest first",
        list_changes,
        parameters=_LIMIT_PARAMETERS,
    ),
)
