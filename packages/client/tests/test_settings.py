"""Tests of loading the settings: precedence, invalid files and no token in error messages."""

import pytest

from peridothatch_client import settings

TOKEN = "very-secret"


def load(tmp_path, text, **options):
    file = tmp_path / "settings.yaml"
    file.write_text(text)
    values = {"address": "", "token": "", "environment": {}, **options}
    return settings.load(values["address"], values["token"], str(file), values["environment"])


def test_options_override_the_environment_which_overrides_the_file(tmp_path):
    text = f"address: 10.0.0.1:80\ntoken: {TOKEN}\ntimeout_seconds: 5\n"
    environment = {"PERIDOTHATCH_ADDRESS": "https://10.0.0.2", "PERIDOTHATCH_TOKEN": "other"}
    found = load(tmp_path, text).ok_value
    assert (found.address, found.token, found.timeout_seconds) == ("http://10.0.0.1:80", TOKEN, 5)
    found = load(tmp_path, text, environment=environment).ok_value
    assert (found.address, found.token) == ("https://10.0.0.2", "other")
    found = load(tmp_path, text, environment=environment, address="a:1", token="t").ok_value
    assert (found.address, found.token) == ("http://a:1", "t")


@pytest.mark.parametrize(
    ("text", "part"),
    [
        (f"adress: x\ntoken: {TOKEN}\n", "adress: unknown key"),
        (f"token: [{TOKEN}]\n", "token is a hidden value"),
        (f"token: {TOKEN}\ntimeout_seconds: soon\n", "timeout_seconds is 'soon'"),
        (f"token: {TOKEN}\ntimeout_seconds: -1\n", "timeout_seconds is -1"),
        (f"token: {TOKEN}: x\n", "not valid YAML"),
        (f"token: '{TOKEN}\n", "not valid YAML"),
        (f"- {TOKEN}\n", "expected a mapping"),
        (f"{TOKEN}\n", "expected a mapping"),
        ("token: \x00\n", "not valid YAML"),
    ],
)
def test_an_error_names_file_and_field_but_never_the_token(tmp_path, text, part):
    error = load(tmp_path, text).err_value
    assert str(tmp_path) in error
    assert part in error
    assert TOKEN not in error


def test_a_missing_named_file_is_an_error_and_a_missing_default_is_not(monkeypatch, tmp_path):
    assert settings.load("a:1", "", str(tmp_path / "none"), {}).is_err()
    monkeypatch.setenv("HOME", str(tmp_path))
    assert settings.load("a:1", "", "", {}).ok_value.address == "http://a:1"


def test_the_token_is_excluded_from_repr():
    assert TOKEN not in repr(settings.Settings("http://a:1", TOKEN))
