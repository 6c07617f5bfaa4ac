"""Conversion between documents of the HTTP interface and human-readable text."""

from __future__ import annotations

import datetime
import typing
import urllib.parse

from peridothatch_client import session

# A response is younger than this as long as the table service can be read.
STALE_SECONDS = 5.0

Document = dict[str, typing.Any]


def quote_segment(name: str) -> str:
    """Percent-encode a name as a single path segment."""
    return urllib.parse.quote(name, safe="")


def shape_document(
    tasks: int, accelerators: int, cores: int, memory_mb: int, adjacency: str
) -> Document:
    """Build the JSON document of a gang's shape."""
    task = {"accelerators": accelerators, "cores": cores, "memory_mb": memory_mb}
    return {"tasks": tasks, "task": task, "adjacency": adjacency}


def format_gang(shape: Document) -> str:
    """Format a shape as tasks x accelerators and the unit that the gang must fit in."""
    within = shape["adjacency"].replace("_", " ")
    return f"{shape['tasks']} x {shape['task']['accelerators']} in one {within}"


def format_time(seconds: float | None) -> str:
    """Format a Unix timestamp in UTC; 0 and ``None`` mean that the time is not set."""
    if not seconds:
        return "-"
    when = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return when.strftime("%Y-%m-%d %H:%M:%SZ")


def format_share(value: float | None) -> str:
    """Format a share as a percentage, rounded down so that 100.0% means all."""
    return "-" if value is None else f"{int(value * 1000) / 10:.1f}%"


def format_state(item: Document) -> str:
    """Format the state of a job, including a pending cancellation."""
    if item["cancel_requested"] and item["state"] != "cancelled":
        return f"{item['state']}, to be cancelled"
    return str(item["state"])


def format_location(item: Document) -> str:
    """Format the data centre of a guarantee; ``(pinned)`` means that an operator chose it."""
    if not item["data_centre"]:
        return "not chosen yet"
    return f"{item['data_centre']}{' (pinned)' if item['pinned'] else ''}"


def job_fields(item: Document) -> list[tuple[str, session.Cell]]:
    """Return the labelled fields that ``job show`` prints."""
    workers = sorted({cell["worker"] for cell in item["cells"]})
    return [
        ("job", item["id"]),
        ("customer", item["customer"]),
        ("class", item["work_class"]),
        ("state", format_state(item)),
        ("detail", item["detail"]),
        ("data centre", item["data_centre"]),
        ("gang", format_gang(item["shape"])),
        ("command", " ".join(item["command"])),
        ("run", item["run"]),
        ("runs that failed", item["failures"]),
        ("workers", ", ".join(workers)),
        ("borrowed", item["borrowed"]),
        ("submitted", format_time(item["submitted_at"])),
        ("due", format_time(item["due_at"])),
        ("started", format_time(item["started_at"])),
        ("ended", format_time(item["ended_at"])),
        ("results", "\n".join(item["results"])),
    ]


def warn_if_stale(document: Document) -> None:
    """Print a warning if the data is old because the table service is not responding."""
    age = document.get("age_seconds", 0.0)
    if age > STALE_SECONDS:
        session.print_status(f"This data is {age:.0f} s old; the table service is not responding.")
