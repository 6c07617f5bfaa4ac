"""Command line of the processes on the platform.

The module of a role is imported when its command runs: the other one's would lengthen the start.
"""

from __future__ import annotations

import asyncio
import gc
import importlib
import signal
import typing

import result
import typer

from peridothatch_daemon.hosted import log
from peridothatch_platform import settings

EXIT_BAD_SETTINGS = 2

application = typer.Typer(
    help="peridothatch on the users' platform.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)


@application.command("entry")
def run_entry(context: typer.Context) -> None:
    """Run an entry; the settings file is the one that the environment names."""
    machine = _load()
    entry = importlib.import_module("peridothatch_daemon.hosted.entry")
    asyncio.run(_serve(machine, lambda _: entry.start(machine, context.obj), entry.close))


@application.command("agent")
def run_agent(context: typer.Context) -> None:
    """Run an agent beside a worker."""
    machine = _load()
    agent = importlib.import_module("peridothatch_daemon.hosted.agent")
    asyncio.run(_serve(machine, lambda stop: agent.start(machine, stop, context.obj), agent.close))


@application.command("check-settings")
def check_settings() -> None:
    """Check the settings file and name each error."""
    machine = _load()
    typer.echo(f"settings of {machine.node} are valid")


def _load() -> settings.Machine:
    loaded = settings.load()
    if isinstance(loaded, result.Err):
        for line in loaded.err_value:
            typer.echo(line, err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS)
    return loaded.ok_value


async def _serve(
    machine: settings.Machine,
    start: typing.Callable[[typing.Callable[[], None]], typing.Awaitable[typing.Any]],
    close: typing.Callable[[typing.Any], typing.Awaitable[None]],
) -> None:
    """Run until SIGTERM or SIGINT, then close."""
    # The launcher disabled collections; what has been imported by now is never garbage.
    gc.freeze()
    gc.enable()
    log.start(machine.node)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    # The settings that may change at run time, the seeds, are not used.
    loop.add_signal_handler(signal.SIGHUP, lambda: log.event("settings:reload_requested"))
    process = await start(stopped.set)
    await stopped.wait()
    await close(process)
