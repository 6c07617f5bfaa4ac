"""Decides how long the leader's lease lasts and how soon its writes are repeated.

Answers a slow partition that many agents and entries share. A write then takes up to the second
of transactions that the partition lets wait, so a lease made for quick writes ends before its
renewal is applied, and each takeover adds a read of all rows and claims to the load.
"""

from __future__ import annotations

import zlib

from peridothatch_core.commit import backoff
from peridothatch_core.commit import latency as latencies

LEASE_DURATION_MS = 1100
"""Duration of the lease while writes are quick.

After a leader fails, nothing starts until its lease ends. The duration tolerates the loss of one
renewal.
"""

MAX_LEASE_DURATION_MS = 4000
"""Longest duration of the lease.

It covers a renewal that waits in a full queue, one that is lost, and one more that waits. Each
takes at most `MAX_WRITE_TIMEOUT_SECONDS`. A longer lease would delay the takeover after the loss
of a leader without saving another renewal.
"""

LEASE_WRITES = 3
"""Addition to `LEASE_DURATION_MS` in multiples of the write latency: two renewals that wait, and
a claim or renewal before them, whose own wait is already part of its lease."""

RENEW_INTERVAL_SECONDS = 0.35
"""Interval between renewals."""

CARRY_SHARE = 0.5
"""Share of the interval after which a batch of decisions carries the renewal."""

WRITE_TIMEOUT_SECONDS = 0.45
"""Timeout of a write of the lease while writes are quick; the next write then replaces it."""

MAX_WRITE_TIMEOUT_SECONDS = 1.5
"""Longest timeout: a full queue, the transaction itself at a quarter of a second, and the way."""

TIMEOUT_WRITES = 3
"""Timeout of a slow write in multiples of the latency, which varies with the queue."""

RETRY_DELAY_SECONDS = 0.1
"""Delay before the next write after a failed write of the lease."""

RESEND_DELAY_SECONDS = 0.16
"""Longest delay before decisions are sent again after a first refusal."""

MAX_RESEND_SECONDS = 0.32
"""Longest delay of decisions, which may carry a renewal."""

MIN_CLAIM_RETRY_SECONDS = 0.5
"""Least delay before a claim is repeated after the partition was full or did not answer in time.
By then the feed shows a claim that was committed before."""

MAX_CLAIM_RETRY_SECONDS = 6.0
"""Longest delay of a claim. A dozen entries then send two claims a second, of which a partition
that applies four transactions a second has room for."""

CLAIM_SPREAD_MS = 40
"""Range over which claims of different entries are spread while writes are quick."""

CLAIM_SPREAD_WRITES = 8
"""Range over which they are spread otherwise, in multiples of the latency. Each claim occupies the
partition, and the others should see the first one before they are sent."""

MAX_CLAIM_SPREAD_MS = 3000
"""Longest such range."""


def lease_duration_ms(latency: latencies.Latency) -> int:
    """Return the duration of the next lease."""
    if not latencies.is_slow(latency):
        return LEASE_DURATION_MS
    wanted = LEASE_DURATION_MS + int(1000 * LEASE_WRITES * latency.seconds)
    return min(MAX_LEASE_DURATION_MS, wanted)


def write_timeout_seconds(latency: latencies.Latency) -> float:
    """Return the timeout of the next write of the lease."""
    if not latencies.is_slow(latency):
        return WRITE_TIMEOUT_SECONDS
    wanted = TIMEOUT_WRITES * latency.seconds
    return min(MAX_WRITE_TIMEOUT_SECONDS, max(WRITE_TIMEOUT_SECONDS, wanted))


def renew_retry_seconds(latency: latencies.Latency, name: str) -> float:
    """Return the delay before a failed renewal or resignation is repeated.

    Only the leader repeats these writes, so they do not back off: against writes of many others,
    an early attempt is what keeps the lead.
    """
    if not latencies.is_slow(latency):
        return RETRY_DELAY_SECONDS
    return backoff.delay_seconds(
        name, max(1, latency.failures), RETRY_DELAY_SECONDS, RETRY_DELAY_SECONDS
    )


def resend_seconds(latency: latencies.Latency, name: str) -> float:
    """Return the delay before decisions that the store has refused are sent again."""
    return backoff.delay_seconds(
        name, max(1, latency.failures), RESEND_DELAY_SECONDS, MAX_RESEND_SECONDS
    )


def claim_retry_seconds(latency: latencies.Latency, name: str) -> float:
    """Return the delay before a failed claim is repeated.

    It is spread over the whole range at once: all entries claim at the end of the same lease.
    """
    if not latencies.is_slow(latency):
        return RETRY_DELAY_SECONDS
    share = backoff.jitter(name, max(1, latency.failures))
    return MIN_CLAIM_RETRY_SECONDS + share * (MAX_CLAIM_RETRY_SECONDS - MIN_CLAIM_RETRY_SECONDS)


def claim_grace_ms(latency: latencies.Latency) -> int:
    """Return the time for which a holder counts as alive after a write of its lease was seen.

    A claim or renewal that has waited long may be over when it is applied, while its holder is
    about to renew it.
    """
    return int(
        1000 * (RENEW_INTERVAL_SECONDS + min(latencies.FULL_QUEUE_SECONDS, latency.seconds))
    )


def claim_spread_ms(latency: latencies.Latency, name: str, epoch: int) -> int:
    """Return the additional delay of a claim, which differs between entries.

    While writes are slow it also differs between epochs, so that an entry that is down does not
    delay each takeover.
    """
    if not latencies.is_slow(latency):
        return zlib.crc32(name.encode()) % CLAIM_SPREAD_MS
    spread = min(MAX_CLAIM_SPREAD_MS, int(1000 * CLAIM_SPREAD_WRITES * latency.seconds))
    return zlib.crc32(f"{name}/{epoch}".encode()) % spread
