"""Store row ``idem/CUSTOMER/KEY``, which records an idempotency key and the answer."""

from __future__ import annotations

import typing
import urllib.parse

import pydantic

from peridothatch_core.message import store
from peridothatch_core.model import request, verdict
from peridothatch_core.route import exchange

# The table service is designed for small rows. For a longer answer only the fact that the request
# ran is stored, without the answer.
MAX_ANSWER_BYTES = 64 * 1024


class AnswerValue(pydantic.BaseModel):
    """Answer of the backend server, as stored in the row."""

    status: int
    content_type: str
    body: pydantic.Base64Bytes


class RowValue(pydantic.BaseModel):
    """Value of the row that claims an idempotency key."""

    request: str
    entry: str
    digest: str
    ran: bool = False
    answer: AnswerValue | None = None


def claim_transaction(claim: exchange.Claim) -> store.Transaction:
    """Return the transaction that claims an idempotency key for a request."""
    key = row_key(claim.customer, claim.key)
    return store.Transaction(
        f"{claim.row.request_id}/claim/{claim.attempt}",
        (store.VersionIs(key, claim.row.version),),
        (store.Write(key, _value(claim.row)),),
        urgent=True,
    )


def settle_transaction(settle: exchange.Settle) -> store.Transaction:
    """Return the transaction that records an outcome, if the request still holds the claim."""
    key = row_key(settle.customer, settle.key)
    name = "ran" if settle.row is not None else "release"
    value = _value(settle.row) if settle.row is not None else None
    return store.Transaction(
        f"{settle.request_id}/settle/{name}",
        (store.FieldIs(key, "request", settle.request_id),),
        (store.Write(key, value),),
    )


def parse_conflicting_row(committed: store.Committed) -> exchange.ClaimRow | None:
    """Return the row that conflicts with a claim; an invalid one has no known holder."""
    row = next(iter(committed.failed.values()), None)
    if row is None:
        return None
    try:
        value = RowValue.model_validate(row.value)
    except pydantic.ValidationError:
        return exchange.ClaimRow("", "", "", version=row.version)
    answer = None
    if value.answer is not None:
        answer = request.Answer(
            value.request,
            verdict.Verdict.RAN,
            value.answer.status,
            value.answer.body,
            value.answer.content_type,
        )
    return exchange.ClaimRow(
        value.request, value.entry, value.digest, answer, value.ran and answer is None, row.version
    )


def row_key(customer: str, key: str) -> str:
    """Return the key of the row; ``key`` is quoted so that a slash cannot fake a customer."""
    return f"idem/{customer}/{urllib.parse.quote(key, safe='')}"


def _value(row: exchange.ClaimRow) -> dict[str, typing.Any]:
    value = {"request": row.request_id, "entry": row.entry_id, "digest": row.digest}
    if row.answer is None:
        return value
    value["ran"] = True
    if len(row.answer.body) <= MAX_ANSWER_BYTES:
        encoded = pydantic.Base64Encoder.encode(row.answer.body).decode()
        value["answer"] = {
            "status": row.answer.status,
            "content_type": row.answer.content_type,
            "body": encoded,
        }
    return value
