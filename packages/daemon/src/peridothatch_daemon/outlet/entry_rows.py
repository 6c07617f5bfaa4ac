"""Converts registration rows of entries between validated JSON and data classes."""

from __future__ import annotations

import typing

import pydantic

from peridothatch_core.message import link

if typing.TYPE_CHECKING:
    from peridothatch_core.message import store

PREFIX = "entry/"


class _Entry(pydantic.BaseModel):
    # During an upgrade, entries of a newer version may write more fields than this one knows.
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    host: str = pydantic.Field(min_length=1)
    port: int = pydantic.Field(ge=1, le=65535)
    data_centre: str
    region: str
    counter: int


def key(entry_id: str) -> str:
    """Return the key of an entry's row."""
    return PREFIX + entry_id


def encode(address: link.EntryAddress, counter: int) -> store.Value:
    """Return the value of an entry's row."""
    return {
        "host": address.host,
        "port": address.port,
        "data_centre": address.data_centre,
        "region": address.region,
        "counter": counter,
    }


def parse(row_key: str, row: store.Row) -> tuple[link.EntryAddress, int]:
    """Return the address and the counter stored in a row.

    Raises
    ------
    ValueError
        The row is not valid.
    """
    fields = _Entry.model_validate(row.value)
    address = link.EntryAddress(
        row_key.removeprefix(PREFIX), fields.host, fields.port, fields.data_centre, fields.region
    )
    return address, fields.counter
