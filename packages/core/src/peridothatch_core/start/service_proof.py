"""Proof that a data centre is in service, and how long it allows a start."""

from __future__ import annotations

import dataclasses

PROOF_SECONDS = 3.0
# Bound on the drift of the planner's clock, which measured part of the age.
CLOCK_DRIFT_FACTOR = 1.05


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceStatus:
    """What a planner knows of its data centre; ``read_sent_at`` is on its monotonic clock."""

    in_service: bool = False
    revision: int = 0
    read_sent_at: float = float("-inf")


def age(status: ServiceStatus, now: float) -> float:
    """Return the age in seconds to put into a message, or -1.0 when there is no proof."""
    seconds = now - status.read_sent_at
    if not status.in_service or seconds < 0 or seconds > PROOF_SECONDS:
        return -1.0
    return seconds


def not_after(t0: float, proof_age_seconds: float) -> float:
    """Return the last moment on the agent's clock at which the proof allows a start.

    Parameters
    ----------
    t0 : float
        The agent's clock reading that the planner echoed. It lies before the planner's answer,
        so counting the age from it overstates the age and never understates it.
    proof_age_seconds : float
        Age when the planner answered; negative when there is no proof.
    """
    if proof_age_seconds < 0:
        return float("-inf")
    return t0 + PROOF_SECONDS - proof_age_seconds * CLOCK_DRIFT_FACTOR


def valid(t0: float, proof_age_seconds: float, now: float) -> bool:
    """Return whether a task may start at ``now`` on the agent's clock."""
    return t0 <= now <= not_after(t0, proof_age_seconds)
