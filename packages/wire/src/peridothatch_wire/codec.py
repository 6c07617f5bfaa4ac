"""Encode message data classes as thrift and decode them."""

from __future__ import annotations

import dataclasses
import enum
import functools
import pathlib
import re
import typing

import thriftpy2
import thriftpy2.protocol.cybin
import thriftpy2.utils

from peridothatch_core.message import link
from peridothatch_core.model import backend, job, request, shape, verdict, worker

IDL_PATH = pathlib.Path(__file__).with_name("peridothatch.thrift")
IDL = thriftpy2.load(str(IDL_PATH), module_name="peridothatch_thrift")

MAX_LIST_ITEMS = 65_536

_PROTOCOL = thriftpy2.protocol.cybin.TCyBinaryProtocolFactory()

# Modules that annotations in the model use but import only under TYPE_CHECKING.
_ANNOTATED_MODULES = {
    module.__name__.rpartition(".")[2]: module
    for module in (backend, job, request, shape, verdict, worker)
}

# "service" is a keyword in the IDL and cannot be the name of a field.
_IDL_NAMES = {"service": "service_name"}

Converter = typing.Callable[[typing.Any], typing.Any]


class DecodeError(ValueError):
    """Raised for a frame that does not contain exactly one valid message."""


def encode(message: link.Message) -> bytes:
    """Return a message encoded as thrift."""
    envelope = IDL.Envelope()
    setattr(envelope, _field_name(type(message)), _encoder(type(message))(message))
    return thriftpy2.utils.serialize(envelope, _PROTOCOL)


def decode(data: bytes) -> link.Message:
    """Return the message encoded in ``data``.

    Raises
    ------
    DecodeError
        The data is truncated, a value has the wrong type, or a field is missing.
    """
    try:
        envelope = thriftpy2.utils.deserialize(IDL.Envelope(), data, _PROTOCOL)
    # The compiled codec raises exceptions of many types on malicious input, even MemoryError.
    except Exception as error:
        raise DecodeError(f"not a valid envelope: {type(error).__name__}") from error
    fields = [(name, value) for name, value in vars(envelope).items() if value is not None]
    if len(fields) != 1:
        raise DecodeError(f"the envelope contains {len(fields)} messages; expected 1")
    name, value = fields[0]
    try:
        return _decoder(_message_types()[name])(value)
    except (TypeError, ValueError, AttributeError) as error:
        raise DecodeError(f"{name}: {error}") from error


def _field_name(message_type: type) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "_", message_type.__name__).lower()


@functools.cache
def _message_types() -> dict[str, type]:
    return {_field_name(kind): kind for kind in typing.get_args(link.Message)}


@functools.cache
def _encoder(kind: typing.Any) -> Converter:
    """Return a function that converts a value of type ``kind`` to its thrift representation."""
    if dataclasses.is_dataclass(kind):
        struct = getattr(IDL, kind.__name__)
        fields = [
            (_IDL_NAMES.get(name, name), name, _encoder(hint)) for name, hint in _field_types(kind)
        ]
        return lambda value: struct(
            **{idl: convert(getattr(value, name)) for idl, name, convert in fields}
        )
    if typing.get_origin(kind) is tuple:
        item = _encoder(typing.get_args(kind)[0])
        return lambda value: [item(entry) for entry in value]
    if isinstance(kind, type) and issubclass(kind, enum.StrEnum):
        return str
    return lambda value: value


@functools.cache
def _decoder(kind: typing.Any) -> Converter:
    """Return a function that converts a thrift representation to a value of type ``kind``."""
    if dataclasses.is_dataclass(kind):
        fields = [(name, _decoder(hint)) for name, hint in _field_types(kind)]
        return lambda value: kind(
            **{name: convert(_required_field(value, name)) for name, convert in fields}
        )
    if typing.get_origin(kind) is tuple:
        item = _decoder(typing.get_args(kind)[0])
        return lambda value: tuple(item(entry) for entry in _check_length(value))
    if isinstance(kind, type) and issubclass(kind, enum.StrEnum):
        return kind
    if kind is bytes:
        return lambda value: value.encode() if isinstance(value, str) else value
    return functools.partial(_check_type, kind)


def _field_types(kind: type) -> list[tuple[str, typing.Any]]:
    hints = typing.get_type_hints(kind, localns=_ANNOTATED_MODULES)
    return [(field.name, hints[field.name]) for field in dataclasses.fields(kind)]


def _required_field(struct: typing.Any, name: str) -> typing.Any:
    value = getattr(struct, _IDL_NAMES.get(name, name))
    if value is None:
        raise ValueError(f"field {name} is missing")
    return value


def _check_length(value: list) -> list:
    if len(value) > MAX_LIST_ITEMS:
        raise ValueError(f"list has {len(value)} items; expected at most {MAX_LIST_ITEMS}")
    return value


def _check_type(kind: type, value: typing.Any) -> typing.Any:
    # thriftpy2 decodes a float with an integral value as a float, and a string of invalid UTF-8
    # as bytes.
    if not isinstance(value, kind):
        raise TypeError(f"value of type {type(value).__name__}; expected {kind.__name__}")
    return value
