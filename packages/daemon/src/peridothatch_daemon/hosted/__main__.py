"""Starts the command line as fast as can be: after a loss of power nothing runs until then.

The addresses of a process are listened on before its modules are imported, and there are no
garbage collections meanwhile, which would take an eighth of the time.
"""

from __future__ import annotations

import gc
import importlib
import sys

from peridothatch_platform import listeners

SERVING_COMMANDS = frozenset({"entry", "agent"})


def main() -> None:
    """Import the commands and run the one that the arguments name."""
    gc.disable()
    opened = listeners.open_early() if SERVING_COMMANDS & set(sys.argv[1:2]) else {}
    importlib.import_module("peridothatch_daemon.hosted.commands").application(obj=opened)


if __name__ == "__main__":
    main()
