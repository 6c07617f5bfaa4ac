"""Every decoder returns a value or raises ``ValueError``, whatever the bytes are."""

import json
import pathlib
import re

import decoder_registry
import hypothesis
import pytest
from hypothesis import strategies

ROOT = pathlib.Path(__file__).parents[2]
PRIMITIVES = re.compile(
    r"model_validate_json|\.model_validate\b|validate_python|json\.loads|msgspec\.json\.Decoder"
    r"|tomllib\.loads|utils\.deserialize|b64decode|safe_load"
)
SOURCES = {
    "platform": "platform/peridothatch_platform",
    "client": "packages/client/src/peridothatch_client",
    "wire": "packages/wire/src/peridothatch_wire",
    "": "packages/daemon/src/peridothatch_daemon",
}
JSON_DECODERS = [item for item in decoder_registry.ALL if item.module != "wire.codec"]
DEPTH = 100_000
ODD_TEXTS = {
    "@infinity@": "1e999",
    "@negative infinity@": "-1e999",
    "@nan@": "NaN",
    "@long@": "1" + "0" * 400,
    "@longer@": "1" + "0" * 5000,
    "@deep list@": "[" * DEPTH + "]" * DEPTH,
    "@deep object@": '{"a":' * DEPTH + "1" + "}" * DEPTH,
    "@surrogate@": '"\\ud800"',
}
ODD_VALUES = [
    *ODD_TEXTS, None, True, -5, 2**53, 2**63, 10**40, 0.5, -0.0, "", "x" * 5000, "\u0000", "::",
    "10.0.0.1:99999", "10.0.0.1:-1", "%%%", [], {}, [[]], [None], {"": 1}, ["a"] * 300,
]  # fmt: skip


def _paths(value, path=()):
    """Yield the path of each part of a JSON value."""
    yield path
    if isinstance(value, dict):
        for name in value:
            yield from _paths(value[name], (*path, name))
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from _paths(item, (*path, index))


def _replaced(value, path, odd):
    if not path:
        return odd
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[path[0]] = _replaced(value[path[0]], path[1:], odd)
    return copy


def _removed(value, path):
    copy = dict(value) if isinstance(value, dict) else list(value)
    if len(path) == 1:
        del copy[path[0]]
    else:
        copy[path[0]] = _removed(value[path[0]], path[1:])
    return copy


def _dump(value):
    text = json.dumps(value)
    for placeholder, odd in ODD_TEXTS.items():
        text = text.replace(f'"{placeholder}"', odd)
    return text.encode()


def _check(decoder, data):
    try:
        decoder.decode(data)
    except ValueError:
        return


def _ids(decoder):
    return f"{decoder.module}-{decoder.name}".replace(" ", "_")


@pytest.mark.parametrize("decoder", JSON_DECODERS, ids=_ids)
def test_odd_values_in_every_field(decoder):
    example = json.loads(decoder.example)
    for path in _paths(example):
        for odd in ODD_VALUES:
            _check(decoder, _dump(_replaced(example, path, odd)))
        if path:
            _check(decoder, _dump(_removed(example, path)))
    if isinstance(example, dict):
        for odd in ODD_VALUES:
            _check(decoder, _dump({**example, "unknown": odd}))


@pytest.mark.parametrize("decoder", decoder_registry.ALL, ids=_ids)
@hypothesis.given(data=strategies.data())
@hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
def test_truncated_and_changed_bytes(decoder, data):
    example = bytearray(decoder.example)
    end = data.draw(strategies.integers(0, len(example)))
    changes = data.draw(
        strategies.lists(
            strategies.tuples(strategies.integers(0, 200), strategies.integers(0, 255)),
            max_size=4,
        )
    )
    for position, byte in changes:
        example[position % len(example)] = byte
    _check(decoder, bytes(example[:end]))
    _check(decoder, bytes(example))
    _check(decoder, data.draw(strategies.binary(max_size=64)))


@pytest.mark.parametrize("decoder", decoder_registry.ALL, ids=_ids)
def test_the_examples_are_valid_or_refused_for_a_missing_field(decoder):
    # An example that no decoder accepts would make the other tests check nothing.
    if decoder.example == b"{}" or decoder.name == "claim":
        return
    decoder.decode(decoder.example)


def test_every_module_that_decodes_is_registered():
    found = set()
    for area, folder in SOURCES.items():
        for path in (ROOT / folder).rglob("*.py"):
            if PRIMITIVES.search(path.read_text()):
                parts = path.relative_to(ROOT / folder).with_suffix("").parts
                found.add(".".join((area, *parts) if area else parts))
    registered = {decoder.module for decoder in decoder_registry.ALL}
    assert found - registered - decoder_registry.NOT_FROM_OTHERS.keys() == set()
