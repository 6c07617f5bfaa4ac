"""Tables and row keys in the row store."""

from __future__ import annotations

import hashlib
import zlib

from peridothatch_core.message import rows

WORK_TABLE = "work"
"""Jobs, cancellations and ends of runs; all entries subscribe to its changes."""

MEMBERS_TABLE = "members"
"""Leadership, agents and entries. Only the leader subscribes to all changes; each agent's row
changes about once a second."""

SPECS_TABLE = "specs"
"""Job specifications, which are read only by agents, one row at a time."""

LEARNED_TABLE = "learned"
"""What the leader has learned from finished work; read only by a new leader."""

ORDER_TABLE_COUNT = 16
"""Number of tables over which orders are distributed. A change feed covers a whole table, so an
agent receives the orders of all nodes that share its table. The store allows 100 tables."""

JOB_PREFIX = "j/"
CANCEL_PREFIX = "c/"
END_PREFIX = "e/"
AGENT_PREFIX = "agent/"
ENTRY_PREFIX = "entry/"
LEADER_PREFIX = "leader/"
RUN_TIMES_PREFIX = "run/"
SPEED_PREFIX = "speed/"
STOP_SUFFIX = "/stop"
RENEW_SUFFIX = "/renew"

EPOCH_KEY = rows.Key(MEMBERS_TABLE, LEADER_PREFIX + "epoch")
LEASE_KEY = rows.Key(MEMBERS_TABLE, LEADER_PREFIX + "lease")


def job_key(job_id: str) -> rows.Key:
    """Return the key of a job's row."""
    return rows.Key(WORK_TABLE, JOB_PREFIX + job_id)


def cancel_key(job_id: str) -> rows.Key:
    """Return the key of the row that requests the cancellation of a job."""
    return rows.Key(WORK_TABLE, CANCEL_PREFIX + job_id)


def end_key(task: str, attempt: int) -> rows.Key:
    """Return the key of the row that records the end of a run."""
    return rows.Key(WORK_TABLE, f"{END_PREFIX}{task}/{attempt}")


def spec_key(job_id: str) -> rows.Key:
    """Return the key of a job's specification."""
    return rows.Key(SPECS_TABLE, job_id)


def agent_key(node: str) -> rows.Key:
    """Return the key of an agent's row."""
    return rows.Key(MEMBERS_TABLE, AGENT_PREFIX + node)


def entry_key(node: str) -> rows.Key:
    """Return the key of an entry's row."""
    return rows.Key(MEMBERS_TABLE, ENTRY_PREFIX + node)


def run_times_key(customer: str, queue: str) -> rows.Key:
    """Return the key of the run times of a customer in a queue, whose names may be long."""
    digest = hashlib.blake2b(f"{queue}\0{customer}".encode(), digest_size=12).hexdigest()
    return rows.Key(LEARNED_TABLE, RUN_TIMES_PREFIX + digest)


def speed_key(node: str) -> rows.Key:
    """Return the key of the lasting speed of the worker on a node."""
    return rows.Key(LEARNED_TABLE, SPEED_PREFIX + node)


def orders_table(node: str) -> str:
    """Return the name of the table that contains the orders of a node."""
    return f"orders-{zlib.crc32(node.encode()) % ORDER_TABLE_COUNT:02d}"


def order_key(node: str, task: str, attempt: int) -> rows.Key:
    """Return the key of an order's row."""
    return rows.Key(orders_table(node), f"{node}/{task}/{attempt}")


def renewal_key(node: str) -> rows.Key:
    """Return the key of the row by which a leader requests an immediate lease renewal."""
    return rows.Key(orders_table(node), node + RENEW_SUFFIX)


def stop_key(node: str, task: str, attempt: int) -> rows.Key:
    """Return the key of the row that requests the stop of an ordered run."""
    return rows.Key(orders_table(node), f"{node}/{task}/{attempt}{STOP_SUFFIX}")
