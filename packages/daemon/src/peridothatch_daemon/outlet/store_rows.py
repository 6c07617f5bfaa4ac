"""Encodes requests to the table service as JSON and decodes its validated answers."""

from __future__ import annotations

import json
import typing

import pydantic

from peridothatch_core.message import store

if typing.TYPE_CHECKING:
    from peridothatch_daemon import messages

TRANSACTIONS_PATH = "/v1/transactions"
READS_PATH = "/v1/reads"


class _Row(pydantic.BaseModel):
    value: dict[str, typing.Any]
    version: int = pydantic.Field(ge=1)
    transaction: str = ""


class _Applied(pydantic.BaseModel):
    applied: typing.Literal[True]
    versions: dict[str, int]


class _FailedCondition(pydantic.BaseModel):
    key: str
    row: _Row | None


class _Conflict(pydantic.BaseModel):
    applied: typing.Literal[False]
    failed: list[_FailedCondition]


class _Rows(pydantic.BaseModel):
    rows: dict[str, _Row]


def encode_transaction(transaction: store.Transaction) -> bytes:
    """Return the body of ``POST /v1/transactions``."""
    conditions = [
        {"key": item.key, "version": item.version}
        if isinstance(item, store.VersionIs)
        else {"key": item.key, "field": item.field, "equals": item.equals}
        for item in transaction.conditions
    ]
    writes = [{"key": item.key, "value": item.value} for item in transaction.writes]
    return json.dumps({"id": transaction.id, "conditions": conditions, "writes": writes}).encode()


def encode_read(keys: tuple[str, ...], prefixes: tuple[str, ...]) -> bytes:
    """Return the body of ``POST /v1/reads``."""
    return json.dumps({"keys": keys, "prefixes": prefixes}).encode()


def decode_committed(
    transaction: store.Transaction, status: int, body: bytes
) -> store.Committed | None:
    """Return the outcome, or ``None`` if the answer does not state it.

    Raises
    ------
    pydantic.ValidationError
        The body does not match the schema for this status.
    """
    if status == 200:
        applied = _Applied.model_validate_json(body)
        return store.Committed(transaction, store.Outcome.APPLIED, versions=applied.versions)
    if status == 409:
        conflict = _Conflict.model_validate_json(body)
        failed = {item.key: _row(item.row) if item.row else None for item in conflict.failed}
        return store.Committed(transaction, store.Outcome.CONFLICT, failed=failed)
    return None


def decode_rows(
    message: messages.Read, status: int, body: bytes, sent_at: float
) -> store.Rows | None:
    """Return the rows, or ``None`` if the store did not read them.

    Raises
    ------
    pydantic.ValidationError
        The body does not match the schema for this status.
    """
    if status != 200:
        return None
    rows = _Rows.model_validate_json(body).rows
    return store.Rows(message.tag, True, {key: _row(row) for key, row in rows.items()}, sent_at)


def _row(row: _Row) -> store.Row:
    return store.Row(row.value, row.version, row.transaction)
