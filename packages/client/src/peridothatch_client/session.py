"""What the commands share: the connection, the output and the exit codes."""

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

# Tables that are not shown on a terminal should not be folded.
PIPE_COLUMNS = 200

JsonOption = typing.Annotated[
    bool, typer.Option("--json", help="Print the answer as JSON, for scripts.")
]
Cell = str | int | float | bool | None


def connect(context: typer.Context, address: str = "") -> settings.Settings:
    """Return the settings of this call, or end with a usage error."""
    options = context.find_root().obj or {}
    loaded = settings.load(
        address or options.get("address", ""),
        options.get("token", ""),
        options.get("file", ""),
        os.environ,
    )
    if isinstance(loaded, result.Err):
        fail(loaded.err_value, exchange.Exit.USAGE)
    found = loaded.ok_value
    if not found.address:
        fail(
            f"no address: use --address, {settings.ADDRESS_VARIABLE} or the settings file",
            exchange.Exit.USAGE,
        )
    return found


def ask(context: typer.Context, asked: exchange.Ask, address: str = "") -> typing.Any:
    """Send a request and return the JSON answer, or end with the exit code of its verdict."""
    reply = exchange.send(connect(context, address), asked)
    check(reply)
    return exchange.document(reply)


def check(reply: exchange.Reply) -> None:
    """End with the exit code of the verdict unless the entry did what was asked."""
    if not exchange.done(reply):
        told = f"{exchange.explanation(reply)} (verdict: {reply.verdict})"
        fail(told, exchange.exit_code(reply))


def fail(reason: str, code: exchange.Exit) -> typing.NoReturn:
    """Say why on standard error, and end."""
    print(f"peridothatch: {plain(reason)}", file=sys.stderr)
    raise typer.Exit(int(code))


def show_json(document: typing.Any) -> None:
    """Print a document for scripts."""
    print(json.dumps(document, indent=2, sort_keys=True))


def show_table(
    columns: typing.Sequence[str], lines: typing.Iterable[typing.Sequence[Cell]]
) -> None:
    """Print a table for people."""
    table = rich.table.Table()
    for column in columns:
        table.add_column(column, overflow="fold")
    for line in lines:
        table.add_row(*(rich.text.Text(plain(_text(cell))) for cell in line))
    _console().print(table)


def show_text(text: str) -> None:
    """Print a line for people."""
    _console().print(rich.text.Text(plain(text)), soft_wrap=True)


def note(text: str) -> None:
    """Print a line about progress on standard error."""
    print(plain(text), file=sys.stderr)


def plain(text: str) -> str:
    """Return text that cannot steer the terminal."""
    return "".join(sign if sign.isprintable() or sign == "\n" else "?" for sign in text)


def progress(text: str) -> typing.ContextManager[typing.Any]:
    """Return a context that shows that the program waits; only on a terminal."""
    console = rich.console.Console(stderr=True)
    return console.status(rich.text.Text(plain(text)))


def _console() -> rich.console.Console:
    width = None if sys.stdout.isatty() else PIPE_COLUMNS
    return rich.console.Console(width=width, highlight=False)


def _text(cell: Cell) -> str:
    if cell is None:
        return "-"
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    return str(cell)
