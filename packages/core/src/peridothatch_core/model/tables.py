"""Names of the product's tables and rows in the row store."""

from __future__ import annotations

import zlib

from peridothatch_core.message import rows

WORK_TABLE = "work"
"""Jobs, cancellations and ends; followed by all entries."""

MEMBERS_TABLE = "members"
"""The leadership, the agents and the entries; followed by all entries."""

SPECS_TABLE = "specs"
"""Specifications, which only agents read, one by one."""

ORDER_TABLE_COUNT = 16
"""Tables of orders. A feed covers a whole table, so that an agent receives the orders of the
nodes that share its table; the store allows 100 tables."""

JOB_PREFIX = "j/"
CANCEL_PREFIX = "c/"
END_PREFIX = "e/"
AGENT_PREFIX = "agent/"
ENTRY_PREFIX = "entry/"
STOP_SUFFIX = "/stop"
RENEW_SUFFIX = "/renew"

EPOCH_KEY = rows.Key(MEMBERS_TABLE, "leader/epoch")
LEASE_KEY = rows.Key(MEMBERS_TABLE, "leader/lease")


def job_key(job_id: str) -> rows.Key:
    """Return the row of a job."""
    return rows.Key(WORK_TABLE, JOB_PREFIX + job_id)


def cancel_key(job_id: str) -> rows.Key:
    """Return the row that cancels a job."""
    return rows.Key(WORK_TABLE, CANCEL_PREFIX + job_id)


def end_key(task: str, attempt: int) -> rows.Key:
    """Return the row of the end of a run."""
    return rows.Key(WORK_TABLE, f"{END_PREFIX}{task}/{attempt}")


def spec_key(job_id: str) -> rows.Key:
    """Return the row of a job's specification."""
    return rows.Key(SPECS_TABLE, job_id)


def agent_key(node: str) -> rows.Key:
    """Return the row of an agent."""
    return rows.Key(MEMBERS_TABLE, AGENT_PREFIX + node)


def entry_key(node: str) -> rows.Key:
    """Return the row of an entry."""
    return rows.Key(MEMBERS_TABLE, ENTRY_PREFIX + node)


def orders_table(node: str) -> str:
    """Return the table that holds the orders of a node."""
    return f"orders-{zlib.crc32(node.encode()) % ORDER_TABLE_COUNT:02d}"


def order_key(node: str, task: str, attempt: int) -> rows.Key:
    """Return the row of an order."""
    return rows.Key(orders_table(node), f"{node}/{task}/{attempt}")


def renewal_key(node: str) -> rows.Key:
    """Return the row by which a leader asks an agent to renew its lease now."""
    return rows.Key(orders_table(node), node + RENEW_SUFFIX)


def stop_key(node: str, task: str, attempt: int) -> rows.Key:
    """Return the row that stops an ordered run."""
    return rows.Key(orders_table(node), f"{node}/{task}/{attempt}{STOP_SUFFIX}")
