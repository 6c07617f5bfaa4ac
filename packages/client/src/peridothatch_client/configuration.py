"""Commands that configure classes, customers, guarantees and data centres."""

from __future__ import annotations

import hashlib
import pathlib
import typing

import typer

from peridothatch_client import exchange, formats, jobs, session

classes = typer.Typer(
    help="Manage classes of work and their completion targets.", no_args_is_help=True
)
customers = typer.Typer(help="Manage customers and their quotas.", no_args_is_help=True)
guarantees = typer.Typer(help="Manage capacity guarantees of customers.", no_args_is_help=True)
data_centres = typer.Typer(
    help="Take data centres out of service and put them back.", no_args_is_help=True
)

NameArgument = typing.Annotated[str, typer.Argument(help="Name of the object.")]


@classes.command("set")
def set_class(
    context: typer.Context,
    name: NameArgument,
    target: typing.Annotated[
        str,
        typer.Argument(help="Completion target, such as 'within 8h' or 'by 06:00 Africa/Accra'."),
    ],
    urgent: typing.Annotated[
        bool, typer.Option("--urgent", help="Allow stopping borrowed work to start at once.")
    ] = False,
    as_json: session.JsonOption = False,
) -> None:
    """Create a class or update its target."""
    _put_object(context, "classes", name, {"target": target, "urgent": urgent}, as_json=as_json)


@classes.command("list")
def list_classes(context: typer.Context, as_json: session.JsonOption = False) -> None:
    """List classes and their targets."""
    _list_objects(
        context,
        "classes",
        ("class", "target", "urgent", "promised by", "since"),
        lambda item: (
            item["name"],
            item["target"],
            item["urgent"],
            item["promised_by"],
            formats.format_time(item["promised_at"]),
        ),
        as_json=as_json,
    )


@customers.command("set")
def set_customer(
    context: typer.Context,
    name: NameArgument,
    quota_accelerators: typing.Annotated[
        int, typer.Option(help="Maximum number of accelerators held at a time.")
    ],
    token_file: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help="File with the customer's bearer token; only its hash is sent."),
    ] = None,
    as_json: session.JsonOption = False,
) -> None:
    """Create a customer, or update its quota or token."""
    document: dict[str, typing.Any] = {"quota_accelerators": quota_accelerators}
    if token_file is not None:
        document["token_sha256"] = _hash_token(token_file)
    _put_object(context, "customers", name, document, as_json=as_json)


@customers.command("list")
def list_customers(context: typer.Context, as_json: session.JsonOption = False) -> None:
    """List customers and their quotas."""
    _list_objects(
        context,
        "customers",
        ("customer", "accelerators at most", "has a token"),
        lambda item: (item["name"], item["quota_accelerators"], item["has_token"]),
        as_json=as_json,
    )


@guarantees.command("set")
def set_guarantee(
    context: typer.Context,
    name: NameArgument,
    customer: typing.Annotated[str, typer.Option(help="Customer that holds the guarantee.")],
    tasks: jobs.TasksOption = 1,
    accelerators: jobs.AcceleratorsOption = 1,
    cores: jobs.CoresOption = 1,
    memory_mb: jobs.MemoryOption = 256,
    adjacency: jobs.AdjacencyOption = jobs.Adjacency.DATA_CENTRE,
    count: typing.Annotated[int, typer.Option(help="Number of such gangs at a time.")] = 1,
    data_centre: typing.Annotated[
        str, typer.Option(help="Data centre of the guarantee; chosen by the system if absent.")
    ] = "",
    as_json: session.JsonOption = False,
) -> None:
    """Create a capacity guarantee for a customer, or update it."""
    document = {
        "customer": customer,
        "shape": formats.shape_document(tasks, accelerators, cores, memory_mb, adjacency.value),
        "count": count,
        "data_centre": data_centre,
    }
    _put_object(context, "guarantees", name, document, as_json=as_json)


@guarantees.command("list")
def list_guarantees(context: typer.Context, as_json: session.JsonOption = False) -> None:
    """List guarantees."""
    _list_objects(
        context,
        "guarantees",
        ("guarantee", "customer", "gang", "count", "data centre", "promised by", "since"),
        lambda item: (
            item["name"],
            item["customer"],
            formats.format_gang(item["shape"]),
            item["count"],
            formats.format_location(item),
            item["promised_by"],
            formats.format_time(item["promised_at"]),
        ),
        as_json=as_json,
    )


@data_centres.command("list")
def list_data_centres(context: typer.Context, as_json: session.JsonOption = False) -> None:
    """List data centres and whether they are in service."""
    _list_objects(
        context,
        "data-centres",
        ("data centre", "region", "service"),
        lambda item: (item["name"], item["region"], item["service"]),
        as_json=as_json,
    )


@data_centres.command("lost")
def declare_lost(
    context: typer.Context,
    name: NameArgument,
    yes: typing.Annotated[bool, typer.Option("--yes", help="Skip the confirmation.")] = False,
    as_json: session.JsonOption = False,
) -> None:
    """Declare that nothing runs in a data centre any more, so that its jobs run elsewhere."""
    question = f"Are you certain that nothing runs in {name} any more?"
    if not yes and not typer.confirm(question, err=True):
        session.exit_with_error(f"{name} was not declared lost", exchange.ExitCode.NOT_RUN)
    _change_service(context, name, "lost", as_json=as_json)


def _add_service_command(verb: str, summary: str) -> None:
    """Register a command that changes whether a data centre is in service."""

    def command(
        context: typer.Context, name: NameArgument, as_json: session.JsonOption = False
    ) -> None:
        _change_service(context, name, verb, as_json=as_json)

    data_centres.command(verb, help=summary)(command)


def _add_delete_command(commands: typer.Typer, kind: str, summary: str) -> None:
    """Register a ``delete`` command for a kind of object."""

    def command(
        context: typer.Context, name: NameArgument, as_json: session.JsonOption = False
    ) -> None:
        request = exchange.Ask("DELETE", f"/v1/{kind}/{formats.quote_segment(name)}")
        _print_change(session.send_request(context, request), as_json=as_json)

    commands.command("delete", help=summary)(command)


_add_service_command("out", "Take a data centre out of service: no new work starts there.")
_add_service_command("in", "Put a data centre back into service.")
_add_delete_command(classes, "classes", "Delete a class.")
_add_delete_command(customers, "customers", "Delete a customer.")
_add_delete_command(guarantees, "guarantees", "Delete a guarantee.")


def _put_object(
    context: typer.Context,
    kind: str,
    name: str,
    document: dict[str, typing.Any],
    *,
    as_json: bool,
) -> None:
    request = exchange.Ask("PUT", f"/v1/{kind}/{formats.quote_segment(name)}", document=document)
    _print_change(session.send_request(context, request), as_json=as_json)


def _change_service(context: typer.Context, name: str, verb: str, *, as_json: bool) -> None:
    request = exchange.Ask("POST", f"/v1/data-centres/{formats.quote_segment(name)}/{verb}")
    _print_change(session.send_request(context, request), as_json=as_json)


def _list_objects(
    context: typer.Context,
    kind: str,
    columns: tuple[str, ...],
    to_row: typing.Callable[[dict[str, typing.Any]], tuple[session.Cell, ...]],
    *,
    as_json: bool,
) -> None:
    response = session.send_request(context, exchange.Ask("GET", f"/v1/{kind}"))
    if as_json:
        session.print_json(response)
    else:
        session.print_table(columns, [to_row(item) for item in response[kind.replace("-", "_")]])


def _print_change(change: dict[str, typing.Any], *, as_json: bool) -> None:
    if as_json:
        session.print_json(change)
        return
    verb = "deleted" if change["deleted"] else "set"
    kind = change["kind"].replace("_", " ")
    session.print_text(f"{kind} {change['name']} {verb} in revision {change['revision']}.")


def _hash_token(path: pathlib.Path) -> str:
    try:
        token = path.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        reason = f"{path}: cannot read the file: {type(error).__name__}"
        session.exit_with_error(reason, exchange.ExitCode.USAGE)
    if not token:
        session.exit_with_error(f"{path}: the file contains no token", exchange.ExitCode.USAGE)
    return hashlib.sha256(token.encode()).hexdigest()
