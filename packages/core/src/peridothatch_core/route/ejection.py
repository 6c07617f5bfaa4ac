"""Outlier ejection: a failing backend server gets no requests until a probe succeeds."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection

# A server that truncates three answers in ten is ejected within about twenty requests; a few
# failures among many successes do not eject a server.
WINDOW = 20
FAILURES_IN_WINDOW = 5

# Failures expire this long after the last one, because a server that gets no requests cannot
# offset them with successes.
FAILURE_MEMORY_SECONDS = 30.0

BASE_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 60.0

# At most one server in three is ejected. If more fail at once, the cause is probably not in the
# servers, and the remaining ones could not carry the load.
MAX_EJECTED_DIVISOR = 3


@dataclasses.dataclass(slots=True)
class Health:
    """Recent outcomes of one backend server.

    Attributes
    ----------
    failure_window : tuple of bool
        Whether each of the last ``WINDOW`` requests failed.
    ejections : int
        Number of ejections, each of which doubles the duration of the next one; a window
        without failures decrements it.
    ejected_until : float or None
        Time at which an ejected server may be probed; ``None`` if it is not ejected.
    probe_request_id : str
        Id of the request that probes an ejected server; empty if there is none.
    """

    failure_window: tuple[bool, ...] = ()
    last_failure_at: float = 0.0
    ejections: int = 0
    ejected_until: float | None = None
    probe_request_id: str = ""


@dataclasses.dataclass(slots=True)
class State:
    """Health of backend servers by peer id."""

    servers: dict[str, Health] = dataclasses.field(default_factory=dict)


def record_success(state: State, peer_id: str) -> None:
    """Record a successful request, which ends an ejection."""
    health = state.servers.get(peer_id)
    if health is None:
        return
    if health.ejected_until is not None:
        health.ejected_until, health.probe_request_id, health.failure_window = None, "", ()
    health.failure_window = (*health.failure_window, False)[-WINDOW:]
    if len(health.failure_window) == WINDOW and not any(health.failure_window):
        health.failure_window = ()
        health.ejections -= 1
        if health.ejections < 0:
            del state.servers[peer_id]


def record_failure(state: State, peer_id: str, group: Collection[str], now: float) -> float | None:
    """Record a failed request.

    Parameters
    ----------
    group : collection of str
        Peer ids of all available backend servers of the service.

    Returns
    -------
    float or None
        Time at which the server may be probed; ``None`` if it is not ejected.
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
        # The request was sent before the ejection, so its failure is no new evidence.
        return health.ejected_until
    seconds = min(MAX_EJECTION_SECONDS, BASE_EJECTION_SECONDS * 2**health.ejections)
    health.ejections += 1
    health.ejected_until = now + seconds
    return health.ejected_until


def failure_share(state: State, peer_id: str, now: float) -> float:
    """Return the fraction of recent requests that failed."""
    health = state.servers.get(peer_id)
    if health is None or now > health.last_failure_at + FAILURE_MEMORY_SECONDS:
        return 0.0
    return sum(health.failure_window) / WINDOW


def release_probe(state: State, peer_id: str, request_id: str) -> None:
    """Allow another probe after one that gave no evidence of the server's health."""
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
    """Return whether a probe has been due for at least ``BASE_EJECTION_SECONDS``."""
    health = state.servers.get(peer_id)
    until = health.ejected_until if health is not None else None
    return until is not None and now >= until + BASE_EJECTION_SECONDS


def record_sent(state: State, peer_id: str, request_id: str) -> None:
    """Record a sent request, which is the probe if the server is ejected."""
    health = state.servers.get(peer_id)
    if health is not None and health.ejected_until is not None:
        health.probe_request_id = request_id


def enforce_cap(state: State, group: Collection[str]) -> None:
    """Readmit servers, earliest probe first, until the ejected ones are within the cap."""
    ejected = [peer_id for peer_id in group if is_ejected(state, peer_id)]
    surplus = len(ejected) - len(group) // MAX_EJECTED_DIVISOR
    if surplus <= 0:
        return
    ejected.sort(key=lambda peer_id: state.servers[peer_id].ejected_until)
    for peer_id in ejected[:surplus]:
        state.servers[peer_id].ejected_until = None
        state.servers[peer_id].failure_window = ()


def forget(state: State, peer_id: str) -> None:
    """Discard the health of a server that restarted or was removed."""
    state.servers.pop(peer_id, None)


def is_ejected(state: State, peer_id: str) -> bool:
    """Return whether the server is ejected, including while it is probed."""
    health = state.servers.get(peer_id)
    return health is not None and health.ejected_until is not None


def _may_eject(state: State, group: Collection[str]) -> bool:
    """Return whether another server can be ejected within the cap."""
    ejected = sum(is_ejected(state, peer_id) for peer_id in group)
    return ejected + 1 <= len(group) // MAX_EJECTED_DIVISOR
