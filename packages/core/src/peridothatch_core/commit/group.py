"""Combines transactions that can be applied together."""

from __future__ import annotations

import typing

from peridothatch_core.commit import limits
from peridothatch_core.message import rows

if typing.TYPE_CHECKING:
    from collections.abc import Iterable


def pack(commits: Iterable[rows.Commit]) -> list[list[rows.Commit]]:
    """Return groups of commits, in order, that touch different rows and fit in a transaction.

    Two transactions on the same row depend on each other's outcome, so they are not combined.
    """
    groups: list[list[rows.Commit]] = []
    used: set[rows.Key] = set()
    entries = size_bytes = 0
    for commit in commits:
        keys = _keys(commit.transaction)
        own_entries = limits.count_entries(commit.transaction)
        own_bytes = limits.estimate_bytes(commit.transaction)
        fits = (
            entries + own_entries <= limits.MAX_ENTRIES
            and size_bytes + own_bytes <= limits.MAX_BYTES
        )
        if not groups or not fits or keys & used:
            groups.append([])
            used, entries, size_bytes = set(), 0, 0
        groups[-1].append(commit)
        used |= keys
        entries += own_entries
        size_bytes += own_bytes
    return groups


def combine(commits: Iterable[rows.Commit]) -> rows.Transaction:
    """Return one transaction that applies all of them, or none if any condition fails."""
    transactions = [commit.transaction for commit in commits]
    return rows.Transaction(
        tuple(condition for item in transactions for condition in item.conditions),
        tuple(write for item in transactions for write in item.writes),
    )


def _keys(transaction: rows.Transaction) -> set[rows.Key]:
    return {condition.key for condition in transaction.conditions} | {
        key for key, _ in transaction.writes
    }
