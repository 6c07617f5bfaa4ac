"""Converts rows of the operator's table into messages about the desired state."""

from __future__ import annotations

import typing

from peridothatch_core.message import rows
from peridothatch_daemon.hosted import log, messages
from peridothatch_wire import mailbox

if typing.TYPE_CHECKING:
    from peridothatch_core.model import desired

LATE_SECONDS = 1.0
"""Time between two confirmations of the desired state from which it is logged. A feed whose
polls wait for news confirms it several times a second."""


def filter_into(
    decode: typing.Callable[[bytes], desired.DesiredState],
    config_key: str,
    evacuated_data_centre: typing.Callable[[str], str],
    inboxes: tuple[mailbox.Mailbox, ...],
) -> typing.Callable[[rows.Snapshot | rows.Changes], None]:
    """Return a function that turns row changes into messages and posts them to the mailboxes.

    The messages are ``DesiredChanged`` and ``EvacuationsChanged``.

    Parameters
    ----------
    decode : callable
        Decodes a desired state; raises ``ValueError`` if the value is invalid.
    config_key : str
        Key of the row that holds the desired state.
    evacuated_data_centre : callable
        Returns the data centre that the row with a given key takes out of service, or an empty
        string.
    """
    evacuated_names: set[str] = set()
    confirmed_at: float | None = None

    def apply(message: rows.Snapshot | rows.Changes) -> None:
        nonlocal confirmed_at
        if isinstance(message, rows.Snapshot):
            evacuated_names.clear()
        if confirmed_at is not None and message.answered_at - confirmed_at > LATE_SECONDS:
            _log_late(message, confirmed_at)
        confirmed_at = message.asked_at
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
                guaranteed={
                    tenancy.customer: tenancy.guaranteed_accelerators
                    for tenancy in newest.tenancies
                },
                poll_ms=round(1000 * (message.answered_at - message.asked_at)),
            )
        for inbox in inboxes:
            mailbox.post(inbox, messages.DesiredChanged(newest, message.asked_at))
            if message.rows or isinstance(message, rows.Snapshot):
                mailbox.post(inbox, messages.EvacuationsChanged(frozenset(evacuated_names)))

    return apply


def _log_late(message: rows.Snapshot | rows.Changes, confirmed_at: float) -> None:
    """Log that the desired state was confirmed late, as a new version could be in force late."""
    log.event(
        "desired:confirmed_late",
        age_ms=round(1000 * (message.answered_at - confirmed_at)),
        poll_ms=round(1000 * (message.answered_at - message.asked_at)),
        rows=len(message.rows),
    )


def _decode_or_log(
    decode: typing.Callable[[bytes], desired.DesiredState], row: rows.Row
) -> desired.DesiredState | None:
    try:
        return decode(row.value or b"")
    except ValueError as error:
        log.event("desired:unreadable", row_version=row.version, reason=str(error))
        return None
