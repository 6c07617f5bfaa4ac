"""Authentication of callers by bearer token, and their authorization."""

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
    """Return the caller that the bearer token identifies."""
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
    """Refuse customers at endpoints that are reserved for operators."""
    if role is call.Role.OPERATOR and not caller.is_operator:
        return result.Err(
            verdict.not_run(verdict.Code.FORBIDDEN, "this operation is for operators only")
        )
    return result.Ok(caller)


def resolve_customer(
    caller: call.Caller, named: str, field: str, snapshot: config.Snapshot
) -> result.Result[str, verdict.Refusal]:
    """Return the customer on whose behalf the caller acts.

    A customer acts on its own behalf; an operator must name an existing customer.

    Parameters
    ----------
    named : str
        Customer that the call names; may be empty for customers.
    field : str
        Field or header that holds ``named``; part of the refusal.
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
    """Return the customer to which a listing is restricted; empty lists all, for operators."""
    if caller.is_operator or named in ("", caller.name):
        return result.Ok(named if caller.is_operator else caller.name)
    return result.Err(
        verdict.not_run(verdict.Code.FORBIDDEN, "a customer can see only its own data")
    )


def _find_caller(digest: str, snapshot: config.Snapshot) -> call.Caller | None:
    """Return the caller whose token has this SHA-256 digest, if any.

    Every known digest is compared in constant time, so that the response time does not depend
    on which one matches.
    """
    found = None
    for known, name in snapshot.operator_tokens.items():
        if hmac.compare_digest(digest.encode(), known.encode()):
            found = call.Caller(name, is_operator=True)
    for item in snapshot.customers.values():
        if item.token_sha256 and hmac.compare_digest(digest.encode(), item.token_sha256.encode()):
            found = call.Caller(item.name, is_operator=False)
    return found
