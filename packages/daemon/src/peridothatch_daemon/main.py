"""Command line of the daemon."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import typing

import result
import typer
import uvloop

from peridothatch_daemon import agent, entry, settings
from peridothatch_daemon.observe import logs

EXIT_NOT_DRAINED = 1
EXIT_BAD_SETTINGS = 2

application = typer.Typer(
    help="The peridothatch daemon.", no_args_is_help=True, pretty_exceptions_enable=False
)

SettingsOption = typing.Annotated[
    pathlib.Path, typer.Option("--settings", help="Settings file in YAML.")
]
SettingsArgument = typing.Annotated[pathlib.Path, typer.Argument(help="Settings file in YAML.")]


@application.command("entry")
def run_entry(path: SettingsOption) -> None:
    """Run an entry, which accepts calls, plans jobs and routes requests."""
    _run(path, settings.Entry, entry.start, entry.close)


@application.command("agent")
def run_agent(path: SettingsOption) -> None:
    """Run the agent of a worker or a backend server."""
    _run(path, settings.Agent, agent.start, agent.close)


@application.command("check-settings")
def check_settings(path: SettingsArgument) -> None:
    """Check a settings file and print each error."""
    checked = _load(path)
    typer.echo(f"{path}: settings of {checked.role} {checked.id} are valid")


def run() -> None:
    """Run the command line."""
    application()


def _load(path: pathlib.Path) -> settings.Entry | settings.Agent:
    loaded = settings.load(path)
    if isinstance(loaded, result.Err):
        for line in loaded.err_value:
            typer.echo(line, err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS)
    return loaded.ok_value


def _run(path: pathlib.Path, kind: type, start: typing.Any, close: typing.Any) -> None:
    loaded = _load(path)
    if not isinstance(loaded, kind):
        expected = kind.__name__.lower()
        typer.echo(f"{path}: role: {loaded.role!r}; expected {expected!r}", err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS)
    stream = logs.start(loaded.log.path)
    try:
        drained = uvloop.run(_serve(loaded, start, close))
    finally:
        logs.close(stream)
    if not drained:
        raise typer.Exit(EXIT_NOT_DRAINED)


async def _serve(loaded: typing.Any, start: typing.Any, close: typing.Any) -> bool:
    """Run until SIGTERM or SIGINT, then drain and close.

    Returns
    -------
    bool
        Whether all work in flight finished in time.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    process = await start(loaded)
    typer.echo(f"{loaded.role} {loaded.id} ready {process.addresses}")
    await stopped.wait()
    return await close(process)
