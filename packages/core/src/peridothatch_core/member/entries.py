"""Selection of the entries to which an agent connects."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from peridothatch_core.message import link

# The planner and two other entries, so that one entry may fail while the agent waits for its
# replacement.
MAX_CONNECTIONS = 3
# The agent of a backend server connects to all entries, because each entry routes requests by
# itself.
MAX_CONNECTIONS_OF_BACKEND_AGENT = 64

# Failed addresses are retried with exponential backoff, so that the agents of a failed entry do
# not dial it continuously.
RETRY_BASE_SECONDS = 0.25
RETRY_MAX_SECONDS = 8.0


@dataclasses.dataclass(slots=True)
class DialState:
    """An agent's knowledge of the entries and of its connections to them.

    Attributes
    ----------
    seeds : tuple of (host, port)
        Configured addresses, used while no entry is known.
    known : dict
        Entries by id, as listed in the latest ``Welcome``.
    failures : dict
        Number of consecutive failures and time of the next attempt, by address.
    active : set
        Addresses that are connected or being dialled.
    limit : int
        Maximum number of addresses in ``active``.
    """

    data_centre: str
    region: str
    seeds: tuple[tuple[str, int], ...]
    planner: str = ""
    known: dict[str, link.EntryAddress] = dataclasses.field(default_factory=dict)
    failures: dict[tuple[str, int], tuple[int, float]] = dataclasses.field(default_factory=dict)
    active: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    limit: int = MAX_CONNECTIONS


def apply_welcome(state: DialState, welcome: link.Welcome) -> None:
    """Update the known entries and the planner from a ``Welcome`` message."""
    if welcome.entries:
        state.known = {entry.id: entry for entry in welcome.entries}
    if welcome.planner:
        state.planner = welcome.planner


def record_failure(state: DialState, address: tuple[str, int], now: float, jitter: float) -> None:
    """Record that dialling an address failed or that its connection ended early.

    Parameters
    ----------
    jitter : float
        Random number between 0 and 1 that spreads the retries of different agents.
    """
    count = state.failures.get(address, (0, 0.0))[0] + 1
    delay = min(RETRY_MAX_SECONDS, RETRY_BASE_SECONDS * 2 ** min(count, 10))
    state.failures[address] = (count, now + delay * (0.5 + jitter / 2))
    state.active.discard(address)


def record_success(state: DialState, address: tuple[str, int]) -> None:
    """Reset the failures of an address after a successful connection."""
    state.failures.pop(address, None)


def addresses_to_dial(state: DialState, now: float) -> list[tuple[str, int]]:
    """Return the addresses to dial now, in order of preference."""
    due = [
        address
        for address in _addresses_by_preference(state)
        if address not in state.active and state.failures.get(address, (0, 0.0))[1] <= now
    ]
    return due[: max(0, state.limit - len(state.active))]


def addresses_to_drop(state: DialState) -> list[tuple[str, int]]:
    """Return the active address to close so that the planner can be dialled, if any."""
    entry = state.known.get(state.planner)
    if entry is None or len(state.active) < state.limit:
        return []
    if (entry.host, entry.port) in state.active:
        return []
    preferred = _addresses_by_preference(state)
    least_preferred = [address for address in reversed(preferred) if address in state.active]
    unlisted = [address for address in sorted(state.active) if address not in preferred]
    return (unlisted + least_preferred)[:1]


def _addresses_by_preference(state: DialState) -> list[tuple[str, int]]:
    """Return all addresses: planner, own data centre, own region, others, then seeds."""

    def rank(entry: link.EntryAddress) -> tuple[int, str]:
        if entry.id == state.planner:
            return (0, entry.id)
        if entry.data_centre == state.data_centre:
            return (1, entry.id)
        return (2 if entry.region == state.region else 3, entry.id)

    known = [(entry.host, entry.port) for entry in sorted(state.known.values(), key=rank)]
    return known + [seed for seed in state.seeds if seed not in known]
