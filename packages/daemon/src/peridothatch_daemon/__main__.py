"""Run the daemon as ``python -m peridothatch_daemon``."""

from peridothatch_daemon import main

main.run()
