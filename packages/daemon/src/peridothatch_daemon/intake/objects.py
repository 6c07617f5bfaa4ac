"""Endpoints that show configuration: classes, customers, guarantees and data centres."""

from __future__ import annotations

import typing

import result

from peridothatch_core.configure import targets
from peridothatch_core.model import customer, datacentre, verdict, workclass
from peridothatch_daemon.intake import call, problem

if typing.TYPE_CHECKING:
    from collections.abc import Mapping

    from peridothatch_core.model import config

Outcome = result.Result[call.Answer, verdict.Refusal]
Select = typing.Callable[["config.Snapshot"], "Mapping[str, typing.Any]"]


def show_all(name: str, select: Select) -> call.Handler:
    """Return a handler that lists the selected objects that the caller may see."""

    async def serve(state: call.State, received: call.Call) -> Outcome:
        shown = [
            to_document(item)
            for _, item in sorted(select(state.snapshot).items())
            if is_visible(item, received.caller)
        ]
        return result.Ok(
            problem.json_answer({name: shown, "config_revision": state.snapshot.revision})
        )

    return serve


def show_one(kind: str, select: Select) -> call.Handler:
    """Return a handler that shows one object; hidden objects are answered like unknown ones."""

    async def serve(state: call.State, received: call.Call) -> Outcome:
        name = received.path["name"]
        item = select(state.snapshot).get(name)
        if item is None or not is_visible(item, received.caller):
            return result.Err(not_found(kind, name))
        return result.Ok(problem.json_answer(to_document(item)))

    return serve


def is_visible(item: typing.Any, caller: call.Caller) -> bool:
    """Return whether the caller may see an object.

    A customer sees itself, its own guarantees, and all classes and data centres.
    """
    if caller.is_operator:
        return True
    match item:
        case customer.Customer():
            return item.name == caller.name
        case customer.Guarantee():
            return item.customer == caller.name
        case _:
            return True


def to_document(item: typing.Any) -> typing.Any:
    """Return the JSON document of a configuration object, without token digests."""
    match item:
        case workclass.WorkClass():
            return {
                "name": item.name,
                "target": targets.format_target(item.target),
                "urgent": item.urgent,
                "promised_by": item.promised_by,
                "promised_at": item.promised_at,
            }
        case customer.Customer():
            return {
                "name": item.name,
                "quota_accelerators": item.quota_accelerators,
                "has_token": bool(item.token_sha256),
            }
        case customer.Guarantee():
            return {
                "name": item.name,
                "customer": item.customer,
                "shape": item.shape,
                "count": item.count,
                "data_centre": item.data_centre,
                "pinned": item.pinned,
                "promised_by": item.promised_by,
                "promised_at": item.promised_at,
            }
        case datacentre.DataCentre():
            return {"name": item.name, "region": item.region, "service": item.service.value}
        case _:
            return None


def not_found(kind: str, name: str) -> verdict.Refusal:
    """Return the refusal for an unknown object."""
    return verdict.not_run(verdict.Code.NOT_FOUND, f"there is no {kind} {name[:100]!r}")


def _classes(snapshot: config.Snapshot) -> Mapping[str, typing.Any]:
    return snapshot.classes


def _customers(snapshot: config.Snapshot) -> Mapping[str, typing.Any]:
    return snapshot.customers


def _guarantees(snapshot: config.Snapshot) -> Mapping[str, typing.Any]:
    return snapshot.guarantees


def _data_centres(snapshot: config.Snapshot) -> Mapping[str, typing.Any]:
    return snapshot.data_centres


ENDPOINTS: typing.Final = (
    call.Endpoint("GET", "/v1/classes", "List classes", show_all("classes", _classes)),
    call.Endpoint("GET", "/v1/customers", "List customers", show_all("customers", _customers)),
    call.Endpoint("GET", "/v1/guarantees", "List guarantees", show_all("guarantees", _guarantees)),
    call.Endpoint(
        "GET", "/v1/data-centres", "List data centres", show_all("data_centres", _data_centres)
    ),
    call.Endpoint("GET", "/v1/classes/{name}", "Show a class", show_one("class", _classes)),
    call.Endpoint(
        "GET", "/v1/customers/{name}", "Show a customer", show_one("customer", _customers)
    ),
    call.Endpoint(
        "GET", "/v1/guarantees/{name}", "Show a guarantee", show_one("guarantee", _guarantees)
    ),
)
