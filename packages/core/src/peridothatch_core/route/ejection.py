"""Outlier ejection: failing backend servers get no requests until a probe succeeds."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection

FAILURES_IN_A_ROW = 5
FIRST_EJECTION_SECONDS = 5.0
LONGEST_EJECTION_SECONDS = 60.0

# At most one in three: when more fail at once, the cause is likely not in the servers, and the
# rest could not carry the load.
CAP_DIVISOR = 3


@dataclasses.dataclass(slots=True)
class Health:
    """Recent outcomes of one backend server; ``until`` is ``None`` while it is not ejected."""

    failures: int = 0
    ejections: int = 0
    until: float | None = None
    probe: str = ""


@dataclasses.dataclass(slots=True)
class State:
    """Health by peer id."""

    servers: dict[str, Health] = dataclasses.field(default_factory=dict)


def succeeded(state: State, peer_id: str) -> None:
    """Note a good answer; it ends an ejection."""
    state.servers.pop(peer_id, None)


def failed(state: State, peer_id: str, group: Collection[str], now: float) -> float | None:
    """Note a failure; return when an ejected server may be probed.

    Parameters
    ----------
    group : collection of str
        Peer ids of all connected backend servers of the service.
    """
    health = state.servers.setdefault(peer_id, Health())
    health.failures += 1
    health.probe = ""
    ejected = health.until is not None
    if not ejected and (health.failures < FAILURES_IN_A_ROW or not _below_cap(state, group)):
        return None
    if ejected and now < health.until:
        # A request sent before the ejection ended late; it says nothing new.
        return health.until
    seconds = min(LONGEST_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2**health.ejections)
    health.ejections += 1
    health.until = now + seconds
    return health.until


def undecided(state: State, peer_id: str, request_id: str) -> None:
    """Note that a probe ended without a word on the server's health."""
    health = state.servers.get(peer_id)
    if health is not None and health.probe == request_id:
        health.probe = ""


def admits(state: State, peer_id: str, now: float) -> bool:
    """Return whether the server may get a request; an ejected one gets one probe at a time."""
    health = state.servers.get(peer_id)
    if health is None or health.until is None:
        return True
    return now >= health.until and not health.probe


def is_overdue(state: State, peer_id: str, now: float) -> bool:
    """Return whether a probe has been due for as long as the first ejection."""
    health = state.servers.get(peer_id)
    until = health.until if health is not None else None
    return until is not None and now >= until + FIRST_EJECTION_SECONDS


def sent(state: State, peer_id: str, request_id: str) -> None:
    """Note that a request was sent; to an ejected server it is the probe."""
    health = state.servers.get(peer_id)
    if health is not None and health.until is not None:
        health.probe = request_id


def keep_cap(state: State, group: Collection[str]) -> None:
    """Readmit servers when the group has become too small for those that are ejected."""
    ejected = [peer_id for peer_id in group if is_ejected(state, peer_id)]
    surplus = len(ejected) - len(group) // CAP_DIVISOR
    if surplus <= 0:
        return
    ejected.sort(key=lambda peer_id: state.servers[peer_id].until)
    for peer_id in ejected[:surplus]:
        state.servers[peer_id].until = None
        state.servers[peer_id].failures = 0


def forget(state: State, peer_id: str) -> None:
    """Drop what is known of a server that restarted or went away."""
    state.servers.pop(peer_id, None)


def is_ejected(state: State, peer_id: str) -> bool:
    """Return whether the server is ejected."""
    health = state.servers.get(peer_id)
    return health is not None and health.until is not None


def _below_cap(state: State, group: Collection[str]) -> bool:
    ejected = sum(is_ejected(state, peer_id) for peer_id in group)
    return ejected + 1 <= len(group) // CAP_DIVISOR
