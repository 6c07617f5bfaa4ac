"""Replication of the configuration between entries.

An entry forwards new changes, and answers entries that do not read the store themselves.

In a region without the store, the connected entry with the lowest id reads the store and the
others query it every half second. The querying entry sends its clock reading ``t0``; the reader
answers with ``t0`` and the age ``a`` of its own store read at the time of the answer. The answer
is not sent before ``t0`` on the querying entry's clock, so the store read was sent at ``t0 - a``
or later, and ``t0 - a`` is the time that subscribers receive. No one-way delay is assumed.
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
    """Ask the region's reader for newer changes and for the age of its last store read."""
    wanted = link.RevisionsWanted(state.revision, now)
    config_state.send(state, config_state.region_reader(state), wanted)


def answer_request(state: config_state.State, peer_id: str, request: link.RevisionsWanted) -> None:
    """Send an entry the changes that it lacks, then the revision and read age of this replica."""
    if not state.replica.loaded:
        return
    newer = revisions.changes_after(state.replica, request.after) or ()
    for change in newer[:MAX_CHANGES_PER_ANSWER]:
        config_state.send(state, peer_id, _encode(change))
    # Only this entry's own store reads count. An age that was adopted from another entry would
    # hide which entry had read the store.
    age = state.clock() - state.own_read_sent_at if math.isfinite(state.own_read_sent_at) else -1.0
    status = link.ConfigRevision(state.revision, "", request.t0, age)
    config_state.send(state, peer_id, status)


def parse_change(message: link.ConfigRevision) -> config.Change | None:
    """Return the change in a message, or ``None`` when it is invalid."""
    try:
        return config_rows.parse_change(message.change)
    except ValueError as error:
        logger.warning(
            "ignored invalid revision %d from another entry: %s", message.revision, error
        )
        return None


def apply_status(state: config_state.State, status: link.ConfigRevision) -> None:
    """Process the status of another replica: it confirms this one or shows that it is stale."""
    if not state.replica.loaded or status.t0 > state.clock():
        return
    if status.revision > state.revision:
        # The other entry no longer has the changes in between.
        config_reads.read_head(state)
    elif status.read_age_seconds >= 0:
        config_state.publish_confirmation(state, status.t0 - status.read_age_seconds)


def forward_changes(
    state: config_state.State, changes: tuple[config.Change, ...], source: str, own: bool
) -> None:
    """Forward changes that were just applied.

    The entry that accepted a change sends it to all entries of its region and to one entry of
    every other region, so that one copy crosses each inter-region link. The reader of a region
    sends it to the entries of its region.
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
    return link.ConfigRevision(change.revision, config_rows.encode_change_json(change))
