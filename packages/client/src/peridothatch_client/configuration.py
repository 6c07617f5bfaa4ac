"""Commands for classes, customers, guarantees and data centres."""

from __future__ import annotations

import hashlib
import pathlib
import typing

import typer

from peridothatch_client import exchange, formats, jobs, session

classes = typer.Typer(help="Classes of work and their targets.", no_args_is_help=True)
customers = typer.Typer(help="Customers and their quotas.", no_args_is_help=True)
guarantees = typer.Typer(help="Shapes that customers can always have.", no_args_is_help=True)
data_centres = typer.Typer(help="Data centres in and out of service.", no_args_is_help=True)

NameArgument = typing.Annotated[str, typer.Argument(help="Its name.")]


@classes.command("set")
def set_class(
    context: typer.Context,
    name: NameArgument,
    target: typing.Annotated[
        str, typer.Argument(help="Such as 'within 8h' or 'by 06:00 Africa/Accra'.")
    ],
    urgent: typing.Annotated[
        bool, typer.Option("--urgent", help="May stop borrowed work to start at once.")
    ] = False,
    as_json: session.JsonOption = False,
) -> None:
    """Create a class or change its target."""
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
        int, typer.Option(help="Most accelerators that it may hold at a time.")
    ],
    token_file: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help="File with its bearer token; only the hash is sent."),
    ] = None,
    as_json: session.JsonOption = False,
) -> None:
    """Create a customer, or change its quota or token."""
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
    customer: typing.Annotated[str, typer.Option(help="Who holds the guarantee.")],
    tasks: jobs.TasksOption = 1,
    accelerators: jobs.AcceleratorsOption = 1,
    cores: jobs.CoresOption = 1,
    memory_mb: jobs.MemoryOption = 256,
    adjacency: jobs.AdjacencyOption = jobs.Adjacency.DATA_CENTRE,
    count: typing.Annotated[int, typer.Option(help="How many such gangs at a time.")] = 1,
    data_centre: typing.Annotated[
        str, typer.Option(help="Where it is kept; the system chooses if absent.")
    ] = "",
    as_json: session.JsonOption = False,
) -> None:
    """Promise a shape to a customer, or change the promise."""
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
    yes: typing.Annotated[bool, typer.Option("--yes", help="Do not ask.")] = False,
    as_json: session.JsonOption = False,
) -> None:
    """Vouch that nothing runs in a data centre any more, so that its jobs run elsewhere."""
    question = f"Is it certain that nothing runs in {name} any more?"
    if not yes and not typer.confirm(question, err=True):
        session.exit_with_error(f"{name} was not declared lost", exchange.ExitCode.NOT_RUN)
    _change_service(context, name, "lost", as_json=as_json)


def _add_service_command(verb: str, summary: str) -> None:
    """Add the command that takes a data centre out or puts it back."""

    def command(
        context: typer.Context, name: NameArgument, as_json: session.JsonOption = False
    ) -> None:
        _change_service(context, name, verb, as_json=as_json)

    data_centres.command(verb, help=summary)(command)


def _add_delete_command(commands: typer.Typer, kind: str, summary: str) -> None:
    """Add the command that deletes an object."""

    def command(
        context: typer.Context, name: NameArgument, as_json: session.JsonOption = False
    ) -> None:
        request = exchange.Ask("DELETE", f"/v1/{kind}/{formats.quote_segment(name)}")
        _print_change(session.send_request(context, request), as_json=as_json)

    commands.command("delete", help=summary)(command)


_add_service_command("out", "Take a data centre out of service: nothing starts there any more.")
_add_service_command("in", "Put a data centre back into service.")
_add_delete_command(classes, "classes", "Delete a class.")
_add_delete_command(customers, "customers", "Delete a customer.")
_add_delete_command(guarantees, "guarantees", "Take a guarantee back.")


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
        reason = f"{path}: cannot be read: {type(error).__name__}"
        session.exit_with_error(reason, exchange.ExitCode.USAGE)
    if not token:
        session.exit_with_error(f"{path}: holds no token", exchange.ExitCode.USAGE)
    return hashlib.sha256(token.encode()).hexdigest()
