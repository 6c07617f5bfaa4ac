"""Which entries an agent keeps connections to."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from peridothatch_core.message import link

# The planner and two others: one may be lost while the agent waits for its replacement.
MAX_CONNECTIONS = 3
# Each entry routes requests itself, so the agent of a backend server is connected to all.
MAX_CONNECTIONS_OF_BACKEND_AGENT = 64

# Retries a failed address after an exponential delay, so that agents of a lost entry do not
# dial it all the time.
RETRY_BASE_SECONDS = 0.25
RETRY_MAX_SECONDS = 8.0


@dataclasses.dataclass(slots=True)
class DialState:
    """What an agent knows of entries.

    Attributes
    ----------
    seeds : tuple of (host, port)
        Addresses of the settings, used while no entry is known.
    known : dict
        Entries by id, as the latest ``Welcome`` listed them.
    failures : dict
        Consecutive failures and the time of the next attempt, by address.
    active : set
        Addresses that are being dialled or are connected.
    limit : int
        Most addresses in ``active``.
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
    """Take over the entries and the planner that an entry names."""
    if welcome.entries:
        state.known = {entry.id: entry for entry in welcome.entries}
    if welcome.planner:
        state.planner = welcome.planner


def record_failure(state: DialState, address: tuple[str, int], now: float, jitter: float) -> None:
    """Record that an address could not be dialled or its connection ended early.

    Parameters
    ----------
    jitter : float
        Random number between 0 and 1 that spreads agents over the retry delay.
    """
    count = state.failures.get(address, (0, 0.0))[0] + 1
    delay = min(RETRY_MAX_SECONDS, RETRY_BASE_SECONDS * 2 ** min(count, 10))
    state.failures[address] = (count, now + delay * (0.5 + jitter / 2))
    state.active.discard(address)


def record_success(state: DialState, address: tuple[str, int]) -> None:
    """Record that an address answered."""
    state.failures.pop(address, None)


def addresses_to_dial(state: DialState, now: float) -> list[tuple[str, int]]:
    """Return the addresses to dial now, most wanted first."""
    due = [
        address
        for address in _addresses_by_preference(state)
        if address not in state.active and state.failures.get(address, (0, 0.0))[1] <= now
    ]
    return due[: max(0, state.limit - len(state.active))]


def addresses_to_drop(state: DialState) -> list[tuple[str, int]]:
    """Return connected addresses to give up so that the planner can be dialled."""
    entry = state.known.get(state.planner)
    if entry is None or len(state.active) < state.limit:
        return []
    if (entry.host, entry.port) in state.active:
        return []
    wanted = _addresses_by_preference(state)
    least = [address for address in reversed(wanted) if address in state.active]
    unknown = [address for address in sorted(state.active) if address not in wanted]
    return (unknown + least)[:1]


def _addresses_by_preference(state: DialState) -> list[tuple[str, int]]:
    """Return all addresses: the planner's, the data centre's, the region's, then the rest."""

    def distance(entry: link.EntryAddress) -> tuple[int, str]:
        if entry.id == state.planner:
            return (0, entry.id)
        if entry.data_centre == state.data_centre:
            return (1, entry.id)
        return (2 if entry.region == state.region else 3, entry.id)

    known = [(entry.host, entry.port) for entry in sorted(state.known.values(), key=distance)]
    return known + [seed for seed in state.seeds if seed not in known]
