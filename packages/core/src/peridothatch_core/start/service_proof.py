"""Proof that a data centre is in service, and the time limit that it sets for a start."""

from __future__ import annotations

import dataclasses

PROOF_SECONDS = 3.0
# Bound on clock drift: part of the age is measured on the planner's clock, not on the agent's.
CLOCK_DRIFT_FACTOR = 1.05


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceStatus:
    """Service status of a data centre as known to its planner.

    Attributes
    ----------
    read_sent_at : float
        When the read that confirmed the status was sent, on the planner's monotonic clock.
    """

    in_service: bool = False
    revision: int = 0
    read_sent_at: float = float("-inf")


def age(status: ServiceStatus, now: float) -> float:
    """Return the age of the proof in seconds, or -1.0 if there is no valid proof."""
    seconds = now - status.read_sent_at
    if not status.in_service or seconds < 0 or seconds > PROOF_SECONDS:
        return -1.0
    return seconds


def not_after(t0: float, proof_age_seconds: float) -> float:
    """Return the latest time, on the agent's clock, at which the proof allows a start.

    Parameters
    ----------
    t0 : float
        Agent clock reading that the planner echoed. It precedes the planner's answer, so an age
        counted from it can be overstated but never understated.
    proof_age_seconds : float
        Age of the proof when the planner answered; negative if there is no proof.
    """
    if proof_age_seconds < 0:
        return float("-inf")
    return t0 + PROOF_SECONDS - proof_age_seconds * CLOCK_DRIFT_FACTOR


def valid(t0: float, proof_age_seconds: float, now: float) -> bool:
    """Return whether a task may start at ``now`` on the agent's clock."""
    return t0 <= now <= not_after(t0, proof_age_seconds)
