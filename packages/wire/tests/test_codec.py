"""Guards against lossy encoding of messages and against malicious frames."""

import dataclasses
import typing

import hypothesis
import pytest
from hypothesis import strategies

from peridothatch_core.message import link
from peridothatch_core.model import request, verdict
from peridothatch_wire import codec


def instance(kind):
    """Return a strategy that builds a message type from its annotations."""
    hints = dict(codec._field_types(kind))
    return strategies.builds(kind, **{name: value(hint) for name, hint in hints.items()})


def value(hint):
    """Return a strategy for the value of a field."""
    if dataclasses.is_dataclass(hint):
        return instance(hint)
    if typing.get_origin(hint) is tuple:
        return strategies.lists(value(typing.get_args(hint)[0]), max_size=3).map(tuple)
    if hint is int:
        return strategies.integers(-(2**31), 2**31 - 1)
    if hint is float:
        return strategies.floats(allow_nan=False)
    if hint is str:
        return strategies.text(
            strategies.characters(codec="utf-8", exclude_characters="\x00"), max_size=20
        )
    return strategies.from_type(hint)


@pytest.mark.parametrize("kind", typing.get_args(link.Message), ids=lambda kind: kind.__name__)
def test_every_message_survives_the_wire(kind):
    """Guards against a field that differs between the IDL and its data class."""

    @hypothesis.settings(max_examples=25, derandomize=True, deadline=None)
    @hypothesis.given(instance(kind))
    def round_trip(message):
        assert codec.decode(codec.encode(message)) == message

    round_trip()


@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
@hypothesis.given(strategies.binary(max_size=200))
def test_random_bytes_give_a_decode_error(data):
    """Guards against any other exception, which the connection's task does not handle."""
    try:
        codec.decode(data)
    except codec.DecodeError:
        return


@hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
@hypothesis.given(strategies.integers(0, 400), strategies.integers(0, 255))
def test_changed_bytes_give_a_message_or_a_decode_error(position, byte):
    """Guards against invalid lengths inside a frame."""
    answer = request.Answer("e.1.2", verdict.Verdict.RAN, 200, b"x" * 50)
    data = bytearray(codec.encode(link.AnswerReady(answer)))
    data[position % len(data)] = byte
    try:
        codec.decode(bytes(data))
    except codec.DecodeError:
        return
