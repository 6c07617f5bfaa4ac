"""Validates operators' changes against the configuration that they apply to."""

from __future__ import annotations

import dataclasses
import re
import typing
import zoneinfo

import result

from peridothatch_core.configure import revisions
from peridothatch_core.model import config, customer, datacentre, shape, verdict, workclass

MAX_ACCELERATORS = 1_000_000
MAX_TASK_ACCELERATORS = 64
MAX_TASK_CORES = 1024
MAX_TASK_MEMORY_MB = 16 * 1024 * 1024
MAX_GUARANTEE_COUNT = 10_000
MAX_TARGET_SECONDS = 366 * 86_400.0

NAME = re.compile(r"[a-z0-9](?:[a-z0-9._-]{0,61}[a-z0-9])?")
NAME_EXPECTED = "1 to 63 of a-z, 0-9, '.', '_' and '-', with a letter or digit at both ends"
DIGEST = re.compile(r"[0-9a-f]{64}")
DIGEST_EXPECTED = "a SHA-256 digest of 64 hex digits in lower case"

VALUE_TYPES: dict[str, type] = {
    "customer": customer.Customer,
    "guarantee": customer.Guarantee,
    "class": workclass.WorkClass,
    "data_centre": datacentre.DataCentre,
    "operator": str,
}

# Returns the guarantee with the data centre that is to keep it, or a refusal when no data centre
# can keep it.
AssignHome = typing.Callable[
    [config.Snapshot, customer.Guarantee], result.Result[customer.Guarantee, verdict.Refusal]
]
OptionalRefusal = verdict.Refusal | None


def validate(
    snapshot: config.Snapshot, kind: str, name: str, value: typing.Any, assign_home: AssignHome
) -> result.Result[typing.Any, verdict.Refusal]:
    """Return the value to store, or a refusal; a ``value`` of None deletes the object."""
    refusal = _check_identity(kind, name, value)
    if refusal is None and value is None:
        refusal = _check_deletion(snapshot, kind, name)
    elif refusal is None:
        refusal = _CHECKS[kind](snapshot, name, value)
    if refusal is not None:
        return result.Err(refusal)
    return (
        assign_home(snapshot, value) if isinstance(value, customer.Guarantee) else result.Ok(value)
    )


def fill_defaults(
    snapshot: config.Snapshot,
    kind: str,
    name: str,
    value: typing.Any,
    changed_by: str,
    changed_at: float,
) -> typing.Any:
    """Return the value with the fields that the caller may leave out.

    A new or changed guarantee or class gets ``changed_by`` and ``changed_at`` as its author and
    time. An unchanged one keeps its author and time, also when only the home that the system
    chose differs. A data centre without a region, and a customer without a token, keep their
    current ones.
    """
    current = revisions.find(snapshot, kind, name) if kind in revisions.COLLECTIONS else None
    if isinstance(value, customer.Guarantee | workclass.WorkClass):
        if isinstance(current, type(value)):
            kept = dataclasses.replace(
                value, promised_by=current.promised_by, promised_at=current.promised_at
            )
            if kept == current:
                return current
            if isinstance(value, customer.Guarantee) and not (value.pinned or current.pinned):
                moved = dataclasses.replace(kept, data_centre=current.data_centre)
                if moved == current:
                    return kept
        return dataclasses.replace(value, promised_by=changed_by, promised_at=changed_at)
    if isinstance(value, datacentre.DataCentre) and not value.region:
        region = current.region if isinstance(current, datacentre.DataCentre) else ""
        return dataclasses.replace(value, region=region)
    if isinstance(value, customer.Customer) and not value.token_sha256:
        token = current.token_sha256 if isinstance(current, customer.Customer) else ""
        return dataclasses.replace(value, token_sha256=token)
    return value


def _check_identity(kind: str, name: str, value: typing.Any) -> OptionalRefusal:
    if kind not in VALUE_TYPES:
        return verdict.invalid("kind", kind, f"one of {', '.join(VALUE_TYPES)}")
    if not NAME.fullmatch(name):
        return verdict.invalid("name", name, NAME_EXPECTED)
    if value is None:
        return None
    if not isinstance(value, VALUE_TYPES[kind]):
        return verdict.invalid("value", type(value).__name__, VALUE_TYPES[kind].__name__)
    if kind != "operator" and value.name != name:
        return verdict.invalid("name", value.name, f"{name}, the name of the changed object")
    return None


def _check_deletion(snapshot: config.Snapshot, kind: str, name: str) -> OptionalRefusal:
    current = revisions.find(snapshot, kind, name)
    if current is None:
        return verdict.not_run(verdict.Code.NOT_FOUND, f"there is no {kind} {name!r}")
    if kind == "customer":
        return _check_unused(snapshot, "customer", name, "a customer without guarantees")
    if kind == "data_centre":
        if current.service is datacentre.Service.IN:
            return verdict.invalid("service", current.service, "out or lost before deletion")
        return _check_unused(snapshot, "data_centre", name, "a data centre without guarantees")
    if kind == "operator" and len(snapshot.operator_tokens) == 1:
        return verdict.invalid("name", name, "not the last operator")
    return None


def _check_unused(
    snapshot: config.Snapshot, field: str, name: str, expected: str
) -> OptionalRefusal:
    using = sorted(
        item.name for item in snapshot.guarantees.values() if getattr(item, field) == name
    )
    if not using:
        return None
    return verdict.invalid("name", name, f"{expected}; it has {', '.join(using[:5])}")


def _check_customer(
    snapshot: config.Snapshot, name: str, value: customer.Customer
) -> OptionalRefusal:
    promised = _guaranteed_accelerators(snapshot, name, without="")
    return (
        _check_range("quota_accelerators", value.quota_accelerators, 0, MAX_ACCELERATORS)
        or _check_quota_covers_guarantees(value.quota_accelerators, promised)
        or (_check_token(snapshot, "customer", name, value.token_sha256, "token_sha256")
            if value.token_sha256 else None)
    )  # fmt: skip


def _check_quota_covers_guarantees(quota: int, promised: int) -> OptionalRefusal:
    if quota >= promised:
        return None
    return verdict.invalid("quota_accelerators", quota, f"at least the {promised} guaranteed")


def _check_operator(snapshot: config.Snapshot, name: str, value: str) -> OptionalRefusal:
    if name == config.SYSTEM:
        return verdict.invalid("name", name, "another name; this one marks changes by the system")
    return _check_token(snapshot, "operator", name, value, "token_sha256")


def _check_token(
    snapshot: config.Snapshot, kind: str, name: str, digest: str, field: str
) -> OptionalRefusal:
    """Check a token digest; the refusal does not repeat it, because it is a credential."""
    if not DIGEST.fullmatch(digest):
        return verdict.invalid(field, f"{len(digest)} characters", DIGEST_EXPECTED)
    holders = {("operator", snapshot.operator_tokens.get(digest))}
    holders |= {
        ("customer", item.name)
        for item in snapshot.customers.values()
        if item.token_sha256 == digest
    }
    if {holder for holder in holders if holder[1] is not None} - {(kind, name)}:
        return verdict.invalid(field, "a token in use", "a token of nobody else")
    return None


def _check_class(
    _snapshot: config.Snapshot, _name: str, value: workclass.WorkClass
) -> OptionalRefusal:
    target = value.target
    if isinstance(target, workclass.Within):
        if 0 < target.seconds <= MAX_TARGET_SECONDS:
            return None
        expected = f"more than 0 and at most {MAX_TARGET_SECONDS:.0f} seconds"
        return verdict.invalid("target", target.seconds, expected)
    return (
        _check_range("target.hour", target.hour, 0, 23)
        or _check_range("target.minute", target.minute, 0, 59)
        or _check_zone(target.zone)
    )


def _check_zone(zone: str) -> OptionalRefusal:
    try:
        zoneinfo.ZoneInfo(zone)
    # The name may be unknown, name a directory or point outside the time zone database.
    except (KeyError, ValueError, OSError):
        return verdict.invalid("target.zone", zone, "an IANA time zone such as Africa/Accra")
    return None


def _check_guarantee(
    snapshot: config.Snapshot, name: str, value: customer.Guarantee
) -> OptionalRefusal:
    return (
        _check_range("count", value.count, 1, MAX_GUARANTEE_COUNT)
        or _check_shape(value.shape)
        or _check_known("customer", value.customer, snapshot.customers)
        or (_check_known("data_centre", value.data_centre, snapshot.data_centres)
            if value.data_centre else None)
        or _check_pinned(value)
        or _check_within_quota(snapshot, name, value)
    )  # fmt: skip


def _check_pinned(value: customer.Guarantee) -> OptionalRefusal:
    if value.data_centre or not value.pinned:
        return None
    return verdict.invalid("data_centre", "", "a data centre for a guarantee that is pinned")


def _check_shape(gang: shape.GangShape) -> OptionalRefusal:
    task = gang.task
    return (
        _check_range("shape.tasks", gang.tasks, 1, shape.MAX_GANG_TASKS)
        or _check_range("shape.accelerators", task.accelerators, 0, MAX_TASK_ACCELERATORS)
        or _check_range("shape.cores", task.cores, 1, MAX_TASK_CORES)
        or _check_range("shape.memory_mb", task.memory_mb, 1, MAX_TASK_MEMORY_MB)
    )


def _check_known(field: str, name: str, known: typing.Mapping[str, typing.Any]) -> OptionalRefusal:
    if name in known:
        return None
    names = ", ".join(sorted(known)[:5]) or "none exists"
    return verdict.invalid(field, name, f"a known {field} ({names})")


def _check_within_quota(
    snapshot: config.Snapshot, name: str, value: customer.Guarantee
) -> OptionalRefusal:
    quota = snapshot.customers[value.customer].quota_accelerators
    others = _guaranteed_accelerators(snapshot, value.customer, without=name)
    wanted = value.count * shape.total_accelerators(value.shape)
    if wanted + others <= quota:
        return None
    expected = f"at most {quota - others} accelerators, the rest of the quota of {quota}"
    return verdict.invalid("count", value.count, expected)


def _check_data_centre(
    _snapshot: config.Snapshot, name: str, value: datacentre.DataCentre
) -> OptionalRefusal:
    if not value.region:
        detail = f"there is no data centre {name!r}; a new one needs a region"
        return verdict.not_run(verdict.Code.NOT_FOUND, detail)
    if not NAME.fullmatch(value.region):
        return verdict.invalid("region", value.region, NAME_EXPECTED)
    return None


def _check_range(field: str, value: int, low: int, high: int) -> OptionalRefusal:
    if low <= value <= high:
        return None
    return verdict.invalid(field, value, f"{low} to {high}")


def _guaranteed_accelerators(snapshot: config.Snapshot, name: str, without: str) -> int:
    """Return the accelerators guaranteed to a customer, except for the guarantee ``without``."""
    return sum(
        item.count * shape.total_accelerators(item.shape)
        for item in snapshot.guarantees.values()
        if item.customer == name and item.name != without
    )


_CHECKS: dict[str, typing.Callable[[config.Snapshot, str, typing.Any], OptionalRefusal]] = {
    "customer": _check_customer,
    "guarantee": _check_guarantee,
    "class": _check_class,
    "data_centre": _check_data_centre,
    "operator": _check_operator,
}
