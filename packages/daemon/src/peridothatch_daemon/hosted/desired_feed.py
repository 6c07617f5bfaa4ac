"""From rows of the operator to messages about the desired state."""

from __future__ import annotations

import typing

from peridothatch_core.message import rows
from peridothatch_daemon.hosted import log, messages
from peridothatch_wire import mailbox

if typing.TYPE_CHECKING:
    from peridothatch_core.model import desired


def filter_into(
    decode: typing.Callable[[bytes], desired.DesiredState],
    config_key: str,
    evacuated_data_centre: typing.Callable[[str], str],
    inboxes: tuple[mailbox.Mailbox, ...],
) -> typing.Callable[[rows.Snapshot | rows.Changes], None]:
    """Return a filter that posts ``DesiredChanged`` and ``EvacuationsChanged``.

    Parameters
    ----------
    decode : callable
        Decodes a desired state; raises ``ValueError``.
    evacuated : callable
        Returns the data centre that a row takes out of service, or an empty text.
    """
    evacuated_names: set[str] = set()

    def apply(message: rows.Snapshot | rows.Changes) -> None:
        if isinstance(message, rows.Snapshot):
            evacuated_names.clear()
        newest: desired.DesiredState | None = None
        for row in message.rows:
            if row.key == config_key and row.value is not None:
                newest = _decode_or_log(decode, row)
            elif evacuated_data_centre(row.key):
                name = evacuated_data_centre(row.key)
                (evacuated_names.discard if row.value is None else evacuated_names.add)(name)
        if newest is not None:
            log.event(
                "desired:read",
                version=newest.version,
                queues=len(newest.queues),
                customers=len(newest.tenancies),
            )
        for inbox in inboxes:
            mailbox.post(inbox, messages.DesiredChanged(newest, message.asked_at))
            if message.rows or isinstance(message, rows.Snapshot):
                mailbox.post(inbox, messages.EvacuationsChanged(frozenset(evacuated_names)))

    return apply


def _decode_or_log(
    decode: typing.Callable[[bytes], desired.DesiredState], row: rows.Row
) -> desired.DesiredState | None:
    try:
        return decode(row.value or b"")
    except ValueError as error:
        log.event("desired:unreadable", row_version=row.version, reason=str(error))
        return None
