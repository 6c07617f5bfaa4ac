"""Helpers that all commands share: settings, requests, output and exit codes."""

from __future__ import annotations

import json
import os
import sys
import typing

import result
import rich.console
import rich.table
import rich.text
import typer

from peridothatch_client import exchange, settings

# Width of tables when standard output is not a terminal, wide enough to avoid folding.
NON_TERMINAL_WIDTH = 200

JsonOption = typing.Annotated[
    bool, typer.Option("--json", help="Print the response as JSON, for scripts.")
]
Cell = str | int | float | bool | None


def load_settings(context: typer.Context, address: str = "") -> settings.Settings:
    """Load the settings of this invocation, or exit with a usage error."""
    options = context.find_root().obj or {}
    loaded = settings.load(
        address or options.get("address", ""),
        options.get("token", ""),
        options.get("file", ""),
        os.environ,
    )
    if isinstance(loaded, result.Err):
        exit_with_error(loaded.err_value, exchange.ExitCode.USAGE)
    resolved = loaded.ok_value
    if not resolved.address:
        exit_with_error(
            f"no address given: use --address, {settings.ADDRESS_VARIABLE} or the settings file",
            exchange.ExitCode.USAGE,
        )
    return resolved


def send_request(context: typer.Context, request: exchange.Ask, address: str = "") -> typing.Any:
    """Send a request and return the decoded JSON, or exit with the code of its verdict."""
    response = exchange.send(load_settings(context, address), request)
    require_success(response)
    return exchange.decode_json(response)


def require_success(response: exchange.Response) -> None:
    """Exit with the code of the verdict unless the request succeeded."""
    if not exchange.succeeded(response):
        message = f"{exchange.error_message(response)} (verdict: {response.verdict})"
        exit_with_error(message, exchange.exit_code(response))


def exit_with_error(reason: str, code: exchange.ExitCode) -> typing.NoReturn:
    """Print the reason to standard error and exit."""
    print(f"peridothatch: {replace_unprintable(reason)}", file=sys.stderr)
    raise typer.Exit(int(code))


def print_json(document: typing.Any) -> None:
    """Print a document as indented JSON."""
    print(json.dumps(document, indent=2, sort_keys=True))


def print_table(
    columns: typing.Sequence[str], rows: typing.Iterable[typing.Sequence[Cell]]
) -> None:
    """Print a human-readable table."""
    table = rich.table.Table()
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(rich.text.Text(replace_unprintable(_format_cell(cell))) for cell in row))
    _console().print(table)


def print_text(text: str) -> None:
    """Print human-readable text without wrapping."""
    _console().print(rich.text.Text(replace_unprintable(text)), soft_wrap=True)


def print_status(text: str) -> None:
    """Print a status message to standard error."""
    print(replace_unprintable(text), file=sys.stderr)


def replace_unprintable(text: str) -> str:
    """Replace unprintable characters, so that the text contains no terminal escape sequences."""
    return "".join(
        character if character.isprintable() or character == "\n" else "?" for character in text
    )


def show_progress(text: str) -> typing.ContextManager[typing.Any]:
    """Return a context manager that shows a spinner on standard error if it is a terminal."""
    console = rich.console.Console(stderr=True)
    return console.status(rich.text.Text(replace_unprintable(text)))


def _console() -> rich.console.Console:
    width = None if sys.stdout.isatty() else NON_TERMINAL_WIDTH
    return rich.console.Console(width=width, highlight=False)


def _format_cell(cell: Cell) -> str:
    if cell is None:
        return "-"
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    return str(cell)
