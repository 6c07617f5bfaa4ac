"""Names of the product's tables and rows in the row store."""

from __future__ import annotations

import zlib

from peridothatch_core.message import rows

WORK = "work"
"""Jobs, cancellations and ends; followed by all entries."""

MEMBERS = "members"
"""The leadership, the agents and the entries; followed by all entries."""

SPECS = "specs"
"""Specifications, which only agents read, one by one."""

ORDER_TABLES = 16
"""Tables of orders. A feed covers a whole table, so that an agent receives the orders of the
nodes that share its table; the store allows 100 tables."""

JOB_PREFIX = "j/"
CANCEL_PREFIX = "c/"
END_PREFIX = "e/"
AGENT_PREFIX = "agent/"
ENTRY_PREFIX = "entry/"
STOP_SUFFIX = "/stop"
RENEW_SUFFIX = "/renew"

EPOCH = rows.Key(MEMBERS, "leader/epoch")
LEASE = rows.Key(MEMBERS, "leader/lease")


def job(job_id: str) -> rows.Key:
    """Return the row of a job."""
    return rows.Key(WORK, JOB_PREFIX + job_id)


def cancel(job_id: str) -> rows.Key:
    """Return the row that cancels a job."""
    return rows.Key(WORK, CANCEL_PREFIX + job_id)


def end(task: str, attempt: int) -> rows.Key:
    """Return the row of the end of a run."""
    return rows.Key(WORK, f"{END_PREFIX}{task}/{attempt}")


def spec(job_id: str) -> rows.Key:
    """Return the row of a job's specification."""
    return rows.Key(SPECS, job_id)


def agent(node: str) -> rows.Key:
    """Return the row of an agent."""
    return rows.Key(MEMBERS, AGENT_PREFIX + node)


def entry(node: str) -> rows.Key:
    """Return the row of an entry."""
    return rows.Key(MEMBERS, ENTRY_PREFIX + node)


def orders(node: str) -> str:
    """Return the table that holds the orders of a node."""
    return f"orders-{zlib.crc32(node.encode()) % ORDER_TABLES:02d}"


def order(node: str, task: str, attempt: int) -> rows.Key:
    """Return the row of an order."""
    return rows.Key(orders(node), f"{node}/{task}/{attempt}")


def renewal(node: str) -> rows.Key:
    """Return the row by which a leader asks an agent to renew its lease now."""
    return rows.Key(orders(node), node + RENEW_SUFFIX)


def stop(node: str, task: str, attempt: int) -> rows.Key:
    """Return the row that stops an ordered run."""
    return rows.Key(orders(node), f"{node}/{task}/{attempt}{STOP_SUFFIX}")
