"""Entry point of the ``peridothatch`` command-line program."""

from __future__ import annotations

import sys
import typing

import typer

from peridothatch_client import configuration, exchange, jobs, reports, settings

app = typer.Typer(
    help="Submit jobs and requests to peridothatch, and operate it.",
    no_args_is_help=True,
    # Rich tracebacks can print local variables, which include the token.
    pretty_exceptions_enable=False,
)
app.add_typer(jobs.commands, name="job")
app.add_typer(configuration.classes, name="class")
app.add_typer(configuration.customers, name="customer")
app.add_typer(configuration.guarantees, name="guarantee")
app.add_typer(configuration.data_centres, name="data-centre")
reports.register_commands(app)


@app.callback()
def main(
    context: typer.Context,
    address: typing.Annotated[
        str, typer.Option(help=f"Address of an entry [{settings.ADDRESS_VARIABLE}].")
    ] = "",
    token: typing.Annotated[
        str, typer.Option(help=f"Bearer token [{settings.TOKEN_VARIABLE}].")
    ] = "",
    settings_file: typing.Annotated[
        str,
        typer.Option("--settings", help=f"YAML settings file [{settings.FILE_VARIABLE}]."),
    ] = "",
) -> None:
    """Store the global options in the context for the subcommands."""
    context.obj = {"address": address, "token": token, "file": settings_file}


def run() -> None:
    """Run the program and report a response of an unexpected form as a failure."""
    # A response without the fields that ``/v1/openapi.json`` defines comes from another program
    # or from another version of the entry.
    try:
        app()
    except (KeyError, TypeError, IndexError) as error:
        print(f"peridothatch: the response has an unexpected form: {error!r}", file=sys.stderr)
        sys.exit(int(exchange.ExitCode.FAILED))
