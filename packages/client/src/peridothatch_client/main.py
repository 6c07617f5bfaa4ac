"""The ``peridothatch`` program, for callers and operators."""

from __future__ import annotations

import sys
import typing

import typer

from peridothatch_client import configuration, exchange, jobs, reports, settings

app = typer.Typer(
    help="Submit jobs and requests to peridothatch, and operate it.",
    no_args_is_help=True,
    # Local variables in a traceback would show the token.
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
    """Keep the options that all commands share."""
    context.obj = {"address": address, "token": token, "file": settings_file}


def run() -> None:
    """Run the program."""
    # An answer without the fields of ``/v1/openapi.json`` comes from another program or version.
    try:
        app()
    except (KeyError, TypeError, IndexError) as error:
        print(f"peridothatch: the answer has an unexpected form: {error!r}", file=sys.stderr)
        sys.exit(int(exchange.ExitCode.FAILED))
