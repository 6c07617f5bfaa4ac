"""Configuration among entries: changes passed on, and answers to entries that do not read.

In a region without the store, the connected entry with the smallest id reads the store and the
others ask it every half second. The asking entry sends its clock reading ``t0``; the reader
answers with ``t0`` and the age ``a`` of its own store read at the moment of the answer. That
moment is not before ``t0`` on the asking entry's clock, so the store read was sent at ``t0 - a``
or later, and ``t0 - a`` is the time that subscribers are told. No one-way delay is assumed.
"""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

from peridothatch_core.configure import revisions
from peridothatch_core.message import link
from peridothatch_daemon.decide import config_reads, config_state
from peridothatch_daemon.outlet import config_rows

if TYPE_CHECKING:
    from peridothatch_core.model import config

logger = logging.getLogger(__name__)

MAX_CHANGES_PER_ANSWER = 256


def ask_reader(state: config_state.State, now: float) -> None:
    """Ask the region's reader for later changes and for the age of its last read."""
    wanted = link.RevisionsWanted(state.revision, now)
    config_state.send(state, config_state.region_reader(state), wanted)


def answer_request(state: config_state.State, peer_id: str, request: link.RevisionsWanted) -> None:
    """Answer an entry with the changes that it lacks, then with the state of this replica."""
    if not state.replica.loaded:
        return
    newer = revisions.changes_after(state.replica, request.after) or ()
    for change in newer[:MAX_CHANGES_PER_ANSWER]:
        config_state.send(state, peer_id, _encode(change))
    # Only an own read counts: an age taken over from another entry would hide its path.
    age = state.clock() - state.own_read_sent_at if math.isfinite(state.own_read_sent_at) else -1.0
    status = link.ConfigRevision(state.revision, "", request.t0, age)
    config_state.send(state, peer_id, status)


def parse_change(message: link.ConfigRevision) -> config.Change | None:
    """Return the change of a message, or None when it is not valid."""
    try:
        return config_rows.parse_change(message.change)
    except ValueError as error:
        logger.warning("ignored revision %d of another entry: %s", message.revision, error)
        return None


def apply_status(state: config_state.State, status: link.ConfigRevision) -> None:
    """Take the state of another replica, and the freshness that it proves."""
    if not state.replica.loaded or status.t0 > state.clock():
        return
    if status.revision > state.revision:
        # The other entry does not remember the changes in between.
        config_reads.read_head(state)
    elif status.read_age_seconds >= 0:
        config_state.publish_confirmation(state, status.t0 - status.read_age_seconds)


def forward_changes(
    state: config_state.State, changes: tuple[config.Change, ...], source: str, own: bool
) -> None:
    """Pass changes on that have just come into force.

    The entry that accepted a change tells its region and the first entry of every other region,
    so that one copy crosses each link; a reader tells its region.
    """
    region = config_state.region_peers(state)
    reads_for_region = (
        config_state.region_reader(state) == state.own.id and not state.store_in_region
    )
    targets = set(region) if own or reads_for_region else set()
    if own:
        targets |= _smallest_ids_of_other_regions(state)
    for peer_id in sorted(targets - {source}):
        for change in changes:
            config_state.send(state, peer_id, _encode(change))


def _smallest_ids_of_other_regions(state: config_state.State) -> set[str]:
    smallest_ids: dict[str, str] = {}
    for key, peer in state.peers.items():
        if peer.region != state.own.region:
            smallest_ids[peer.region] = min(key, smallest_ids.get(peer.region, key))
    return set(smallest_ids.values())


def _encode(change: config.Change) -> link.ConfigRevision:
    return link.ConfigRevision(change.revision, config_rows.change_text(change))
