"""Routing of messages and connection events of peers to the tasks of an entry."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.message import link

if typing.TYPE_CHECKING:
    from peridothatch_wire import mailbox


@dataclasses.dataclass(slots=True)
class Routes:
    """Mailboxes of the tasks that receive messages of peers.

    Attributes
    ----------
    planners : dict
        Mailbox of the planner task by data centre.
    """

    dispatch: mailbox.Mailbox
    config: mailbox.Mailbox
    jobs: mailbox.Mailbox
    planners: dict[str, mailbox.Mailbox]


def targets_for_message(
    routes: Routes, peer: link.Hello, message: link.Message
) -> list[mailbox.Mailbox]:
    """Return the mailboxes to which a message of ``peer`` goes."""
    match message:
        case link.AnnounceBackend() | link.AnswerReady() | link.RequestState():
            return [routes.dispatch]
        case link.ConfigRevision() | link.RevisionsWanted():
            return [routes.config]
        case link.CapacityDigest():
            return [routes.jobs, *routes.planners.values()]
        case link.HardwareDigest():
            return [routes.jobs, routes.config]
        case link.JobChanged():
            return _planner_mailboxes(routes, message.data_centre)
        case _:
            return _planner_mailboxes(routes, peer.data_centre)


def targets_for_peer(routes: Routes, peer: link.Hello) -> list[mailbox.Mailbox]:
    """Return the mailboxes to which connection events of ``peer`` go."""
    if peer.role == "agent":
        return [routes.dispatch, *_planner_mailboxes(routes, peer.data_centre)]
    return [routes.dispatch, routes.config, *routes.planners.values()]


def _planner_mailboxes(routes: Routes, data_centre: str) -> list[mailbox.Mailbox]:
    target = routes.planners.get(data_centre)
    return [target] if target is not None else []
