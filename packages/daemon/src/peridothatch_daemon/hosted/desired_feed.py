"""Converts rows of the operator's table into messages about the desired state."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.message import rows
from peridothatch_daemon.hosted import log, messages
from peridothatch_wire import mailbox

if typing.TYPE_CHECKING:
    from peridothatch_core.model import desired

LATE_SECONDS = 1.0
"""Time between two confirmations of the desired state from which it is logged. A feed whose
polls wait for news confirms it several times a second."""


@dataclasses.dataclass(slots=True)
class _Known:
    """What the operator's rows have said so far.

    Attributes
    ----------
    is_readable : bool
        The newest version of the desired state was found and could be decoded. While it was not,
        no poll shows that the known version is the newest.
    confirmed_at : float or None
        Local time in seconds at which the newest answered poll was sent.
    """

    desired: desired.DesiredState | None = None
    is_readable: bool = True
    evacuated: set[str] = dataclasses.field(default_factory=set)
    confirmed_at: float | None = None


def filter_into(
    decode: typing.Callable[[bytes], desired.DesiredState],
    config_key: str,
    evacuated_data_centre: typing.Callable[[str], str],
    inboxes: tuple[mailbox.Mailbox, ...],
) -> typing.Callable[[rows.Snapshot | rows.Changes], None]:
    """Return a function that turns row changes into messages and posts them to the mailboxes.

    The messages are ``DesiredConfirmed`` and ``EvacuationsConfirmed``.

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
    known = _Known()

    def apply(message: rows.Snapshot | rows.Changes) -> None:
        if isinstance(message, rows.Snapshot):
            known.evacuated.clear()
            known.is_readable = False
        for row in message.rows:
            name = evacuated_data_centre(row.key)
            if row.key == config_key and row.value is not None:
                _read_desired(known, decode, row, message)
            elif name:
                (known.evacuated.discard if row.value is None else known.evacuated.add)(name)
        _log_if_late(known, message)
        known.confirmed_at = message.asked_at
        for inbox in inboxes:
            if known.is_readable and known.desired is not None:
                mailbox.post(inbox, messages.DesiredConfirmed(known.desired, message.asked_at))
            evacuated = frozenset(known.evacuated)
            mailbox.post(inbox, messages.EvacuationsConfirmed(evacuated, message.asked_at))

    return apply


def _read_desired(
    known: _Known,
    decode: typing.Callable[[bytes], desired.DesiredState],
    row: rows.Row,
    message: rows.Snapshot | rows.Changes,
) -> None:
    try:
        decoded = decode(row.value or b"")
    except ValueError as error:
        known.is_readable = False
        log.event("desired:unreadable", row_version=row.version, reason=str(error))
        return
    known.is_readable = True
    if known.desired is not None and decoded.version <= known.desired.version:
        return
    known.desired = decoded
    log.event(
        "desired:read",
        version=decoded.version,
        queues=len(decoded.queues),
        customers=len(decoded.tenancies),
        guaranteed={
            tenancy.customer: tenancy.guaranteed_accelerators for tenancy in decoded.tenancies
        },
        poll_ms=round(1000 * (message.answered_at - message.asked_at)),
    )


def _log_if_late(known: _Known, message: rows.Snapshot | rows.Changes) -> None:
    """Log if a new version could have been unknown for long."""
    if known.confirmed_at is None or message.answered_at - known.confirmed_at <= LATE_SECONDS:
        return
    log.event(
        "desired:confirmed_late",
        age_ms=round(1000 * (message.answered_at - known.confirmed_at)),
        poll_ms=round(1000 * (message.answered_at - message.asked_at)),
        rows=len(message.rows),
    )
