"""Callers and their bearer tokens."""

from __future__ import annotations

import hashlib
import hmac
import typing

import result

from peridothatch_core.model import verdict
from peridothatch_daemon.intake import call

if typing.TYPE_CHECKING:
    from collections.abc import Mapping

    from peridothatch_core.model import config

SCHEME = "bearer"


def authenticate(
    headers: Mapping[str, str], snapshot: config.Snapshot
) -> result.Result[call.Caller, verdict.Refusal]:
    """Return the caller to whom the bearer token belongs."""
    scheme, _, token = headers.get("authorization", "").partition(" ")
    token = token.strip()
    if scheme.lower() != SCHEME or not token:
        return result.Err(verdict.not_run(verdict.Code.UNAUTHORIZED, "a bearer token is required"))
    digest = hashlib.sha256(token.encode("utf-8", "replace")).hexdigest()
    found = _find_caller(digest, snapshot)
    if found is None:
        return result.Err(
            verdict.not_run(verdict.Code.UNAUTHORIZED, "the bearer token is not known")
        )
    return result.Ok(found)


def authorize(caller: call.Caller, role: call.Role) -> result.Result[call.Caller, verdict.Refusal]:
    """Refuse a customer at an endpoint for operators."""
    if role is call.Role.OPERATOR and not caller.is_operator:
        return result.Err(
            verdict.not_run(verdict.Code.FORBIDDEN, "this operation is for operators only")
        )
    return result.Ok(caller)


def resolve_customer(
    caller: call.Caller, named: str, field: str, snapshot: config.Snapshot
) -> result.Result[str, verdict.Refusal]:
    """Return the customer for whom the caller acts.

    A customer acts for itself; an operator names an existing customer in ``field``.
    """
    if not caller.is_operator:
        if named and named != caller.name:
            return result.Err(
                verdict.not_run(
                    verdict.Code.FORBIDDEN, "a customer can act only on its own behalf"
                )
            )
        return result.Ok(caller.name)
    if named not in snapshot.customers:
        return result.Err(verdict.invalid(field, named, "the name of a customer"))
    return result.Ok(named)


def listing_customer(caller: call.Caller, named: str) -> result.Result[str, verdict.Refusal]:
    """Return the customer to whom a listing is limited; empty shows an operator all."""
    if caller.is_operator or named in ("", caller.name):
        return result.Ok(named if caller.is_operator else caller.name)
    return result.Err(
        verdict.not_run(verdict.Code.FORBIDDEN, "a customer can see only its own data")
    )


def _find_caller(digest: str, snapshot: config.Snapshot) -> call.Caller | None:
    """Compare with every digest, so that the time taken does not depend on the match."""
    found = None
    for known, name in snapshot.operator_tokens.items():
        if hmac.compare_digest(digest.encode(), known.encode()):
            found = call.Caller(name, is_operator=True)
    for item in snapshot.customers.values():
        if item.token_sha256 and hmac.compare_digest(digest.encode(), item.token_sha256.encode()):
            found = call.Caller(item.name, is_operator=False)
    return found
