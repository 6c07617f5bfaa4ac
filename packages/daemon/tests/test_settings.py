"""Guards against invalid settings that are accepted, and against unclear errors."""

import pathlib

import hypothesis
import pytest
import yaml
from hypothesis import strategies

from peridothatch_daemon import settings

ENTRY = {
    "role": "entry",
    "id": "entry-a",
    "data_centre": "accra-a",
    "region": "gh-south",
    "http": {"host": "127.0.0.1", "port": 0},
    "link": {"host": "127.0.0.1", "port": 0},
    "store": {"url": "http://127.0.0.1:1", "region": "gh-south"},
    "data_centres": [{"name": "accra-a", "region": "gh-south"}],
}
AGENT = {
    "role": "agent",
    "id": "agent-1",
    "data_centre": "accra-a",
    "region": "gh-south",
    "entries": [{"host": "127.0.0.1", "port": 9}],
    "debug": {"host": "127.0.0.1", "port": 0},
    "worker": {"id": "worker-1", "url": "http://127.0.0.1:1", "rack": "rack-1"},
}


def check(tmp_path, data):
    path = tmp_path / "settings.yaml"
    path.write_text(data if isinstance(data, str) else yaml.safe_dump(data))
    return settings.load(path)


@pytest.mark.parametrize("data", [ENTRY, AGENT], ids=["entry", "agent"])
def test_valid_settings_are_accepted(tmp_path, data):
    assert check(tmp_path, data).is_ok()


@pytest.mark.parametrize(
    ("change", "field", "expected"),
    [
        ({"colour": "red"}, "colour", "Extra inputs"),
        ({"id": "Entry A"}, "id", "pattern"),
        ({"http": {"host": "127.0.0.1", "port": 70000}}, "http.port", "65535"),
        ({"http": {"host": "nowhere", "port": 1}}, "http.host", "IP"),
        ({"http": {"host": "127.0.0.1", "port": "80"}}, "http.port", "integer"),
        ({"drain_timeout_seconds": -1}, "drain_timeout_seconds", "greater"),
        ({"region": "gh-north"}, "gh-north", "data_centres"),
        ({"data_centres": []}, "data_centres", "at least 1"),
    ],
)
def test_an_error_names_file_field_value_and_expectation(tmp_path, change, field, expected):
    """Guards against an error that does not show the operator which setting is wrong."""
    (line,) = check(tmp_path, ENTRY | change).unwrap_err()
    assert "settings.yaml" in line
    assert field in line
    assert expected in line


def test_an_agent_has_exactly_one_worker_or_backend_server(tmp_path):
    both = AGENT | {"backend_server": {"url": "http://127.0.0.1:1"}}
    assert "exactly one" in check(tmp_path, both).unwrap_err()[0]


def test_a_key_given_twice_is_an_error(tmp_path):
    """Guards against a later line that silently overrides an earlier one."""
    text = yaml.safe_dump(ENTRY) + "\nid: entry-b\n"
    assert "given twice" in check(tmp_path, text).unwrap_err()[0]


def test_a_missing_file_is_an_error():
    assert settings.load(pathlib.Path("/nonexistent.yaml")).is_err()


SCALARS = (
    strategies.none() | strategies.booleans() | strategies.integers() | strategies.floats()
    | strategies.text(max_size=20)
)  # fmt: skip
DATA = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


@hypothesis.settings(
    max_examples=150,
    derandomize=True,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(strategies.sampled_from(sorted(ENTRY)), DATA)
def test_any_value_in_any_field_gives_settings_or_errors(tmp_path, field, value):
    """Guards against a traceback on bad settings."""
    loaded = check(tmp_path, ENTRY | {field: value})
    assert loaded.is_ok() or loaded.unwrap_err()


@hypothesis.settings(
    max_examples=200,
    derandomize=True,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(strategies.text(max_size=200))
def test_any_text_gives_an_error(tmp_path, text):
    """Guards against a YAML parser exception that is not reported as an error."""
    path = tmp_path / "settings.yaml"
    path.write_text(text, encoding="utf-8", errors="surrogatepass")
    assert settings.load(path).is_err()
