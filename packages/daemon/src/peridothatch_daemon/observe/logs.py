"""Structured logs."""

from __future__ import annotations

import logging
import sys
from typing import TextIO

import eliot
import eliot.stdlib

MAX_FIELD_CHARACTERS = 2000


def start(path: str) -> TextIO:
    """Send eliot messages and those of the standard logging to ``path``; ``-`` is stdout."""
    # The file stays open for the life of the process; close() ends it.
    stream = sys.stdout if path == "-" else open(path, "a", buffering=1)  # noqa: PTH123, SIM115
    eliot.to_file(stream)
    root = logging.getLogger()
    root.addHandler(eliot.stdlib.EliotHandler())
    root.setLevel(logging.INFO)
    # uvicorn logs each access, which the request actions cover already.
    logging.getLogger("uvicorn.access").setLevel(logging.WARNING)
    return stream


def close(stream: TextIO) -> None:
    """Flush the log and close its file."""
    stream.flush()
    if stream is not sys.stdout:
        stream.close()
