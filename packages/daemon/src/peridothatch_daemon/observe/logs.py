"""Structured logs."""

from __future__ import annotations

import logging
import sys
from typing import TextIO

import eliot
import eliot.stdlib

MAX_FIELD_CHARACTERS = 2000


def start(path: str) -> TextIO:
    """Write eliot messages and standard logging to ``path``, or to stdout if it is ``-``."""
    # The file stays open until close() is called at the end of the process.
    stream = sys.stdout if path == "-" else open(path, "a", buffering=1)  # noqa: PTH123, SIM115
    eliot.to_file(stream)
    root = logging.getLogger()
    root.addHandler(eliot.stdlib.EliotHandler())
    root.setLevel(logging.INFO)
    # The access log of uvicorn would duplicate the actions of the requests.
    logging.getLogger("uvicorn.access").setLevel(logging.WARNING)
    return stream


def close(stream: TextIO) -> None:
    """Flush the log and close its file."""
    stream.flush()
    if stream is not sys.stdout:
        stream.close()
