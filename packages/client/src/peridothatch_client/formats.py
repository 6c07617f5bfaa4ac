"""Documents of the HTTP interface as text for people."""

from __future__ import annotations

import datetime
import typing
import urllib.parse

from peridothatch_client import session

# An answer that was read from the table service is younger than this.
STALE_SECONDS = 5.0

Document = dict[str, typing.Any]


def quote_segment(name: str) -> str:
    """Return a name as one segment of a path."""
    return urllib.parse.quote(name, safe="")


def shape_document(
    tasks: int, accelerators: int, cores: int, memory_mb: int, adjacency: str
) -> Document:
    """Return the JSON form of a gang."""
    task = {"accelerators": accelerators, "cores": cores, "memory_mb": memory_mb}
    return {"tasks": tasks, "task": task, "adjacency": adjacency}


def format_gang(shape: Document) -> str:
    """Return a gang as tasks times accelerators and what must hold it."""
    within = shape["adjacency"].replace("_", " ")
    return f"{shape['tasks']} x {shape['task']['accelerators']} in one {within}"


def format_time(seconds: float | None) -> str:
    """Return a time in seconds since 1970-01-01 UTC as text; 0 means that there is none."""
    if not seconds:
        return "-"
    when = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return when.strftime("%Y-%m-%d %H:%M:%SZ")


def format_share(value: float | None) -> str:
    """Return a share as a percentage, rounded down so that 100% means all."""
    return "-" if value is None else f"{int(value * 1000) / 10:.1f}%"


def format_state(item: Document) -> str:
    """Return the state of a job, with a cancellation that is under way."""
    if item["cancel_requested"] and item["state"] != "cancelled":
        return f"{item['state']}, to be cancelled"
    return str(item["state"])


def format_location(item: Document) -> str:
    """Return where a guarantee is kept, and whether an operator chose that."""
    if not item["data_centre"]:
        return "not chosen yet"
    return f"{item['data_centre']}{' (pinned)' if item['pinned'] else ''}"


def job_fields(item: Document) -> list[tuple[str, session.Cell]]:
    """Return the fields of a job that people look for."""
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
    """Say when an answer is old because the table service does not answer."""
    age = document.get("age_seconds", 0.0)
    if age > STALE_SECONDS:
        session.print_status(f"This was read {age:.0f} s ago; the table service does not answer.")
