"""Run the client as ``python -m peridothatch_client``."""

from peridothatch_client import main

main.run()
