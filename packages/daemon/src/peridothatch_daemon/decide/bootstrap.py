"""The task that creates the data centres and the first operator from the settings file."""

from __future__ import annotations

import dataclasses
import logging
import typing

import result

from peridothatch_core.model import config, datacentre
from peridothatch_daemon import messages, settings
from peridothatch_wire import mailbox, task

logger = logging.getLogger(__name__)

REPLY_TIMEOUT_SECONDS = 15.0
CHANGED_BY = "settings"


@dataclasses.dataclass(frozen=True, slots=True)
class MissingObject:
    """A configuration object that the settings require and the configuration lacks."""

    kind: str
    name: str
    value: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Bootstrap:
    """The running task; ``inbox`` accepts ``ConfigChanged``."""

    inbox: mailbox.Mailbox
    running: task.Task


def start(
    own_settings: settings.Entry, inbox: mailbox.Mailbox, config_inbox: mailbox.Mailbox
) -> Bootstrap:
    """Start the task; it creates missing objects each time the configuration changes."""
    body = _run(own_settings, inbox, config_inbox)
    return Bootstrap(inbox, task.start("bootstrap", body))


async def close(bootstrap: Bootstrap) -> None:
    """Stop the task."""
    await task.close(bootstrap.running)


def find_missing(own_settings: settings.Entry, snapshot: config.Snapshot) -> list[MissingObject]:
    """Return the objects that the settings name and the configuration lacks.

    The operator is created only while no operator exists. Otherwise a restart would restore a
    token that an operator has replaced.
    """
    absent = [
        MissingObject("data_centre", item.name, datacentre.DataCentre(item.name, item.region))
        for item in own_settings.data_centres
        if item.name not in snapshot.data_centres
    ]
    operator = own_settings.bootstrap
    if operator is not None and not snapshot.operator_tokens:
        absent.append(
            MissingObject("operator", operator.operator_name, operator.operator_token_sha256)
        )
    return absent


async def _run(
    own_settings: settings.Entry, inbox: mailbox.Mailbox, config_inbox: mailbox.Mailbox
) -> None:
    while True:
        message = await mailbox.take(inbox)
        if not isinstance(message, messages.ConfigChanged):
            continue
        for item in find_missing(own_settings, message.snapshot):
            await _create_object(item, config_inbox)


async def _create_object(item: MissingObject, config_inbox: mailbox.Mailbox) -> None:
    reply = mailbox.Reply()
    change = messages.ChangeConfig(item.kind, item.name, item.value, CHANGED_BY, reply)
    await mailbox.put(config_inbox, change)
    try:
        outcome = await mailbox.wait(reply, REPLY_TIMEOUT_SECONDS)
    except TimeoutError:
        logger.warning(
            "creation of %s %s: no reply within %g s", item.kind, item.name, REPLY_TIMEOUT_SECONDS
        )
        return
    # Not an error: another entry that started at the same time may have created the object.
    if isinstance(outcome, result.Err):
        logger.info("%s %s was not created: %s", item.kind, item.name, outcome.err_value.detail)
