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
from peridothatch_wire import task

EXIT_BAD_SETTINGS = 2

EXIT_TASK_ENDED = 70
"""Exit status after a task of the process has ended unexpectedly."""

CLOSE_MARGIN_SECONDS = 5.0
"""Time for closing a process beyond the time in which it finishes its calls."""


class Role(typing.Protocol):
    """Module of a role: closes a process and lists the tasks that it cannot go on without."""

    def close(self, process: typing.Any) -> typing.Awaitable[None]:
        """Close a process that the role has started."""

    def tasks(self, process: typing.Any) -> tuple[task.Task, ...]:
        """Return the tasks of a process."""


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
    serving = _serve(machine, lambda _: entry.start(machine, context.obj), entry)
    raise typer.Exit(asyncio.run(serving))


@application.command("agent")
def run_agent(context: typer.Context) -> None:
    """Run an agent for the worker on the same machine."""
    machine = _load()
    agent = importlib.import_module("peridothatch_daemon.hosted.agent")
    serving = _serve(machine, lambda stop: agent.start(machine, stop, context.obj), agent)
    raise typer.Exit(asyncio.run(serving))


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
    role: Role,
) -> int:
    """Start a process, wait for a reason to stop, then close it; return the exit status.

    The reasons are SIGTERM, SIGINT, the process's own stop request and the end of one of its
    tasks: a process must not go on without a task, because nothing would notice.
    """
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
    tasks = role.tasks(process)
    ended = task.start("end of a task", task.wait_any(tasks))
    stopping = task.start("stop", _set_after(stopped, ended))
    await stopped.wait()
    failed = [item for item in tasks if not item.running]
    for item in failed:
        log.event("process:task_ended", task=item.name, reason=repr(task.failure(item)))
    await asyncio.wait_for(role.close(process), 2 * machine.stop_seconds + CLOSE_MARGIN_SECONDS)
    for item in (stopping, ended):
        await task.close(item)
    return EXIT_TASK_ENDED if failed else 0


async def _set_after(stopped: asyncio.Event, ended: task.Task) -> None:
    await task.join(ended)
    stopped.set()
