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
FAILURE_MEMORY_SECONDS = 30.0

BASE_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 60.0

# At most one in three: when more fail at once, the cause is likely not in the servers, and the
# rest could not carry the load.
MAX_EJECTED_DIVISOR = 3


@dataclasses.dataclass(slots=True)
class Health:
    """Recent outcomes of one backend server.

    Attributes
    ----------
    failure_window : tuple of bool
        Outcomes of the latest requests.
    ejections : int
        Each doubles the time of the next; a window without failures takes one back.
    ejected_until : float or None
        When an ejected server may be probed; ``None`` while it is not ejected.
    """

    failure_window: tuple[bool, ...] = ()
    last_failure_at: float = 0.0
    ejections: int = 0
    ejected_until: float | None = None
    probe_request_id: str = ""


@dataclasses.dataclass(slots=True)
class State:
    """Health by peer id."""

    servers: dict[str, Health] = dataclasses.field(default_factory=dict)


def record_success(state: State, peer_id: str) -> None:
    """Note a good answer; it ends an ejection."""
    health = state.servers.get(peer_id)
    if health is None:
        return
    if health.ejected_until is not None:
        health.ejected_until = None
        health.probe_request_id = ""
        health.failure_window = ()
    health.failure_window = (*health.failure_window, False)[-WINDOW:]
    if len(health.failure_window) == WINDOW and not any(health.failure_window):
        health.failure_window = ()
        health.ejections -= 1
        if health.ejections < 0:
            del state.servers[peer_id]


def record_failure(state: State, peer_id: str, group: Collection[str], now: float) -> float | None:
    """Note a failure; return when an ejected server may be probed.

    Parameters
    ----------
    group : collection of str
        Peer ids of all connected backend servers of the service.
    """
    health = state.servers.setdefault(peer_id, Health())
    health.failure_window = (*health.failure_window, True)[-WINDOW:]
    health.last_failure_at = now
    health.probe_request_id = ""
    ejected = health.ejected_until is not None
    too_many = sum(health.failure_window) >= FAILURES_IN_WINDOW
    if not ejected and not (too_many and _may_eject(state, group)):
        return None
    if ejected and now < health.ejected_until:
        # A request sent before the ejection ended late; it says nothing new.
        return health.ejected_until
    seconds = min(MAX_EJECTION_SECONDS, BASE_EJECTION_SECONDS * 2**health.ejections)
    health.ejections += 1
    health.ejected_until = now + seconds
    return health.ejected_until


def failure_share(state: State, peer_id: str, now: float) -> float:
    """Return the share of recent requests that failed, 0 to 1."""
    health = state.servers.get(peer_id)
    if health is None or now > health.last_failure_at + FAILURE_MEMORY_SECONDS:
        return 0.0
    return sum(health.failure_window) / WINDOW


def release_probe(state: State, peer_id: str, request_id: str) -> None:
    """Note that a probe ended without a word on the server's health."""
    health = state.servers.get(peer_id)
    if health is not None and health.probe_request_id == request_id:
        health.probe_request_id = ""


def admits(state: State, peer_id: str, now: float) -> bool:
    """Return whether the server may get a request; an ejected one gets one probe at a time."""
    health = state.servers.get(peer_id)
    if health is None or health.ejected_until is None:
        return True
    return now >= health.ejected_until and not health.probe_request_id


def is_probe_overdue(state: State, peer_id: str, now: float) -> bool:
    """Return whether a probe has been due for as long as the first ejection."""
    health = state.servers.get(peer_id)
    until = health.ejected_until if health is not None else None
    return until is not None and now >= until + BASE_EJECTION_SECONDS


def record_sent(state: State, peer_id: str, request_id: str) -> None:
    """Note that a request was sent; to an ejected server it is the probe."""
    health = state.servers.get(peer_id)
    if health is not None and health.ejected_until is not None:
        health.probe_request_id = request_id


def enforce_cap(state: State, group: Collection[str]) -> None:
    """Readmit servers when the group has become too small for those that are ejected."""
    ejected = [peer_id for peer_id in group if is_ejected(state, peer_id)]
    surplus = len(ejected) - len(group) // MAX_EJECTED_DIVISOR
    if surplus <= 0:
        return
    ejected.sort(key=lambda peer_id: state.servers[peer_id].ejected_until)
    for peer_id in ejected[:surplus]:
        state.servers[peer_id].ejected_until = None
        state.servers[peer_id].failure_window = ()


def forget(state: State, peer_id: str) -> None:
    """Drop what is known of a server that restarted or went away."""
    state.servers.pop(peer_id, None)


def is_ejected(state: State, peer_id: str) -> bool:
    """Return whether the server is ejected."""
    health = state.servers.get(peer_id)
    return health is not None and health.ejected_until is not None


def _may_eject(state: State, group: Collection[str]) -> bool:
    ejected = sum(is_ejected(state, peer_id) for peer_id in group)
    return ejected + 1 <= len(group) // MAX_EJECTED_DIVISOR
