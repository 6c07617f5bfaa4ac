"""Converts configuration rows between validated JSON and data classes."""

from __future__ import annotations

import dataclasses
import json
import typing

import pydantic

from peridothatch_core.configure import revisions
from peridothatch_core.model import config, customer, datacentre, shape, workclass

if typing.TYPE_CHECKING:
    from peridothatch_core.message import store


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class _Customer(_Model):
    name: str
    quota_accelerators: int
    token_sha256: str = ""


class _Task(_Model):
    accelerators: int
    cores: int
    memory_mb: int


class _Gang(_Model):
    tasks: int
    task: _Task
    adjacency: shape.Adjacency


class _Guarantee(_Model):
    name: str
    customer: str
    shape: _Gang
    count: int
    data_centre: str = ""
    promised_by: str = ""
    promised_at: float = 0.0
    # Missing in rows written by earlier versions, where only operators set ``data_centre``.
    pinned: bool | None = None


class _Within(_Model):
    seconds: float


class _ByTime(_Model):
    hour: int
    minute: int
    zone: str


class _WorkClass(_Model):
    name: str
    target: _Within | _ByTime
    urgent: bool = False
    promised_by: str = ""
    promised_at: float = 0.0


class _DataCentre(_Model):
    name: str
    region: str
    service: datacentre.Service


class _Head(_Model):
    revision: int = pydantic.Field(ge=1)


class _Object(_Model):
    value: typing.Any
    revision: int
    changed_by: str
    changed_at: float


class _Change(_Model):
    revision: int = pydantic.Field(ge=1)
    kind: typing.Literal["customer", "guarantee", "class", "data_centre", "operator"]
    name: str
    value: typing.Any
    changed_by: str
    changed_at: float


def parse_head(row: store.Row | None) -> int:
    """Return the newest revision; 0 if no configuration was ever written."""
    return _Head.model_validate(row.value).revision if row else 0


def parse_object(key: str, row: store.Row) -> tuple[str, str, typing.Any]:
    """Return kind, name and value of an object row.

    Raises
    ------
    ValueError
        The key or the row is not valid.
    """
    kind, _, name = key.removeprefix(revisions.OBJECT_PREFIX).partition("/")
    return kind, name, _parse_value(kind, _Object.model_validate(row.value).value)


def parse_change(value: typing.Any) -> config.Change:
    """Return the change stored in a revision row, given as an object or as JSON text.

    Raises
    ------
    ValueError
        The row is not valid.
    """
    try:
        fields = json.loads(value) if isinstance(value, str) else value
    except RecursionError as error:
        raise ValueError("the change is nested too deeply") from error
    row = _Change.model_validate(fields)
    parsed = None if row.value is None else _parse_value(row.kind, row.value)
    return config.Change(row.revision, row.kind, row.name, parsed, row.changed_by, row.changed_at)


def encode_object(change: config.Change) -> store.Value:
    """Return the value of the object row that a change writes."""
    return {
        "value": _to_json_types(change.value),
        "revision": change.revision,
        "changed_by": change.changed_by,
        "changed_at": change.changed_at,
    }


def encode_change(change: config.Change) -> store.Value:
    """Return the value of the revision row that records a change."""
    return {"kind": change.kind, "name": change.name, **encode_object(change)}


def encode_change_json(change: config.Change) -> str:
    """Return the revision row as JSON text, the form that entries send to each other."""
    return json.dumps(encode_change(change))


def _to_json_types(value: typing.Any) -> typing.Any:
    return dataclasses.asdict(value) if dataclasses.is_dataclass(value) else value


def _parse_value(kind: str, value: typing.Any) -> typing.Any:
    if kind == "operator":
        return pydantic.TypeAdapter(str).validate_python(value)
    if kind not in _PARSERS:
        raise ValueError(f"kind is {kind!r}; expected one of {', '.join(_PARSERS)}")
    return _PARSERS[kind](value)


def _parse_customer(value: typing.Any) -> customer.Customer:
    return customer.Customer(**dict(_Customer.model_validate(value)))


def _parse_guarantee(value: typing.Any) -> customer.Guarantee:
    row = _Guarantee.model_validate(value)
    task = shape.TaskShape(**dict(row.shape.task))
    gang = shape.GangShape(row.shape.tasks, task, row.shape.adjacency)
    pinned = bool(row.data_centre) if row.pinned is None else row.pinned
    return customer.Guarantee(**(dict(row) | {"shape": gang, "pinned": pinned}))


def _parse_class(value: typing.Any) -> workclass.WorkClass:
    row = _WorkClass.model_validate(value)
    kind = workclass.Within if isinstance(row.target, _Within) else workclass.ByTime
    return workclass.WorkClass(**(dict(row) | {"target": kind(**dict(row.target))}))


def _parse_data_centre(value: typing.Any) -> datacentre.DataCentre:
    return datacentre.DataCentre(**dict(_DataCentre.model_validate(value)))


_PARSERS: dict[str, typing.Callable[[typing.Any], typing.Any]] = {
    "customer": _parse_customer,
    "guarantee": _parse_guarantee,
    "class": _parse_class,
    "data_centre": _parse_data_centre,
}
