"""Outlier ejection: failing backend servers get no requests until a probe succeeds."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection

# A server that truncates three answers in ten is found within about twenty requests, and a few
# failures among many answers do not eject.
WINDOW = 20
FAILURES_IN_WINDOW = 5

# Failures count against a server this long after the latest one; a server that is avoided has
# no good answers to show.
MEMORY_SECONDS = 30.0

FIRST_EJECTION_SECONDS = 5.0
LONGEST_EJECTION_SECONDS = 60.0

# At most one in three: when more fail at once, the cause is likely not in the servers, and the
# rest could not carry the load.
CAP_DIVISOR = 3


@dataclasses.dataclass(slots=True)
class Health:
    """Recent outcomes of one backend server.

    Attributes
    ----------
    failed : tuple of bool
        Outcomes of the latest requests.
    ejections : int
        Each doubles the time of the next; a window without failures takes one back.
    until : float or None
        When an ejected server may be probed; ``None`` while it is not ejected.
    """

    failed: tuple[bool, ...] = ()
    failed_at: float = 0.0
    ejections: int = 0
    until: float | None = None
    probe: str = ""


@dataclasses.dataclass(slots=True)
class State:
    """Health by peer id."""

    servers: dict[str, Health] = dataclasses.field(default_factory=dict)


def succeeded(state: State, peer_id: str) -> None:
    """Note a good answer; it ends an ejection."""
    health = state.servers.get(peer_id)
    if health is None:
        return
    if health.until is not None:
        health.until, health.probe, health.failed = None, "", ()
    health.failed = (*health.failed, False)[-WINDOW:]
    if len(health.failed) == WINDOW and not any(health.failed):
        health.failed = ()
        health.ejections -= 1
        if health.ejections < 0:
            del state.servers[peer_id]


def failed(state: State, peer_id: str, group: Collection[str], now: float) -> float | None:
    """Note a failure; return when an ejected server may be probed.

    Parameters
    ----------
    group : collection of str
        Peer ids of all connected backend servers of the service.
    """
    health = state.servers.setdefault(peer_id, Health())
    health.failed = (*health.failed, True)[-WINDOW:]
    health.failed_at = now
    health.probe = ""
    ejected = health.until is not None
    too_many = sum(health.failed) >= FAILURES_IN_WINDOW
    if not ejected and not (too_many and _below_cap(state, group)):
        return None
    if ejected and now < health.until:
        # A request sent before the ejection ended late; it says nothing new.
        return health.until
    seconds = min(LONGEST_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2**health.ejections)
    health.ejections += 1
    health.until = now + seconds
    return health.until


def failure_share(state: State, peer_id: str, now: float) -> float:
    """Return the share of recent requests that failed, 0 to 1."""
    health = state.servers.get(peer_id)
    if health is None or now > health.failed_at + MEMORY_SECONDS:
        return 0.0
    return sum(health.failed) / WINDOW


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
        state.servers[peer_id].failed = ()


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
