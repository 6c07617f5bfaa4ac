"""Combines transactions that can be applied together.

Answers a partition that applies one transaction after another, slowly: each group takes what has
arrived during the one before, the leases that end soonest first.
"""

from __future__ import annotations

import typing

from peridothatch_core.commit import limits
from peridothatch_core.message import rows

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

WINDOW_SECONDS = 0.02
"""Time for which transactions are collected, which is short beside the lease of an agent."""


def latest_start(commit: rows.Commit, arrived_at: float, is_slow: bool) -> float:
    """Return the local time at which a commit no longer waits for others to arrive.

    The next group then takes all that have arrived. While the store is slow, they arrive during
    the group before.
    """
    wait_seconds = 0.0 if is_slow else commit.may_wait_seconds
    return arrived_at + max(WINDOW_SECONDS, wait_seconds)


def next_group(
    waiting: Iterable[rows.Commit],
) -> tuple[list[rows.Commit], list[rows.Commit]]:
    """Return the commits to send together next, and the others; the soonest due come first.

    Two transactions on the same row depend on each other's outcome, so only the first is taken.
    One that does not fit waits for the next group.
    """
    group: list[rows.Commit] = []
    others: list[rows.Commit] = []
    used: set[rows.Key] = set()
    entries = size_bytes = 0
    for commit in sorted(waiting, key=lambda commit: commit.due_at):
        keys = _keys(commit.transaction)
        own_entries = limits.count_entries(commit.transaction)
        own_bytes = limits.estimate_bytes(commit.transaction)
        fits = (
            entries + own_entries <= limits.MAX_ENTRIES
            and size_bytes + own_bytes <= limits.MAX_BYTES
        )
        if (fits or not group) and not keys & used:
            group.append(commit)
            entries += own_entries
            size_bytes += own_bytes
        else:
            others.append(commit)
        used |= keys
    return group, others


def halve(commits: list[rows.Commit]) -> list[list[rows.Commit]]:
    """Return the two halves of a group that failed for one of its members.

    One such member among 40 then costs about 11 transactions in place of 40, and half of the
    others are applied by the first of them that succeeds.
    """
    middle = (len(commits) + 1) // 2
    return [half for half in (commits[:middle], commits[middle:]) if half]


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
