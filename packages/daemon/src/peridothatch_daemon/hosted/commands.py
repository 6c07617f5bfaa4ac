"""Command line of the entry and agent processes.

Each command imports the module of its role when it runs, because importing the other role's module
as well would lengthen the startup.
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
    """Run an entry with the settings file named by PERIDOTHATCH_SETTINGS."""
    machine = _load()
    entry = importlib.import_module("peridothatch_daemon.hosted.entry")
    asyncio.run(_serve(machine, lambda _: entry.start(machine, context.obj), entry.close))


@application.command("agent")
def run_agent(context: typer.Context) -> None:
    """Run an agent for the worker on the same machine."""
    machine = _load()
    agent = importlib.import_module("peridothatch_daemon.hosted.agent")
    asyncio.run(_serve(machine, lambda stop: agent.start(machine, stop, context.obj), agent.close))


@application.command("check-settings")
def check_settings() -> None:
    """Check the settings file and report each error."""
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
    """Start a process, wait for SIGTERM, SIGINT or its own stop request, then close it."""
    # ``__main__`` disabled garbage collection during the imports. Imported objects are never
    # garbage, so later collections need not scan them.
    gc.freeze()
    gc.enable()
    log.start(machine.node)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    # Reloading has no effect: the only settings that may change at run time are the seeds,
    # which these processes do not use.
    loop.add_signal_handler(signal.SIGHUP, lambda: log.event("settings:reload_requested"))
    process = await start(stopped.set)
    await stopped.wait()
    await close(process)
