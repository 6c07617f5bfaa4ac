"""Limits of the store on one transaction, and estimates of the size of its entries."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from peridothatch_core.message import rows

MAX_ENTRIES = 96
"""Maximum number of conditions and writes in one transaction; the store accepts 100."""

MAX_BYTES = 900_000
"""Maximum estimated size of a transaction; the store accepts a call of 1 MB."""

ENTRY_BYTES = 120
"""Estimated size of an encoded entry without its key and value."""


def estimate_bytes(transaction: rows.Transaction) -> int:
    """Return an upper estimate of the size of an encoded transaction, in bytes."""
    conditions = sum(_key_bytes(condition.key) for condition in transaction.conditions)
    return conditions + sum(
        _key_bytes(key) + _value_bytes(value) for key, value in transaction.writes
    )


def count_entries(transaction: rows.Transaction) -> int:
    """Return the number of conditions and writes."""
    return len(transaction.conditions) + len(transaction.writes)


def _key_bytes(key: rows.Key) -> int:
    return ENTRY_BYTES + len(key.table.encode()) + len(key.key.encode())


def _value_bytes(value: bytes | None) -> int:
    """Return the size of a value in base64."""
    return 0 if value is None else 4 * ((len(value) + 2) // 3)
