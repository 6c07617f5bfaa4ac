import pathlib

import result

from peridothatch_platform import settings

VALID = """
node = "front-a-1"
zone = "accra-a"
region = "gh-south"
ip = "10.1.0.19"
machine_class = "front"
port_range = [7000, 7015]
new_field = "ignored"
[listen]
front = "10.1.0.19:8521"
ready = "10.1.0.19:8523"
[bounds]
revoke_ms = 4000
hold_max_ms = 6000
config_apply_ms = 1500
reclaim_ms = 2000
[platform]
addr = "10.200.1.7:8524"
"""


def _load(tmp_path, text):
    path = pathlib.Path(tmp_path) / "boot.toml"
    path.write_text(text)
    return settings.load(path)


def test_settings_are_converted_to_internal_names_and_units(tmp_path):
    machine = _load(tmp_path, VALID).ok_value
    assert machine.callers == settings.Address("10.1.0.19", 8521)
    assert machine.worker is None
    assert (machine.revoke_seconds, machine.longest_hold_ms) == (4.0, 6000)
    assert (machine.config_apply_seconds, machine.reclaim_ms) == (1.5, 2000)
    assert machine.metrics == settings.Address("10.1.0.19", 7000)


def test_an_error_names_file_field_and_value(tmp_path):
    broken = VALID.replace("revoke_ms = 4000", 'revoke_ms = "soon"')
    (line,) = _load(tmp_path, broken).err_value
    assert "boot.toml: bounds.revoke_ms: 'soon'" in line


def test_a_missing_field_an_address_without_a_port_and_no_toml_are_errors(tmp_path):
    (line,) = _load(tmp_path, VALID.replace('node = "front-a-1"', "")).err_value
    assert ": node: " in line
    (line,) = _load(tmp_path, VALID.replace("10.1.0.19:8523", "10.1.0.19")).err_value
    assert "listen.ready: '10.1.0.19'" in line
    assert "not a TOML document" in _load(tmp_path, "= 3").err_value[0]
    assert isinstance(settings.load(pathlib.Path(tmp_path) / "none"), result.Err)


def test_limits_of_connections_are_checked_and_have_defaults(tmp_path):
    machine = _load(tmp_path, VALID).ok_value
    assert (machine.memory_bytes, machine.descriptors) == (168 * 1024**2, 4096)
    assert machine.connection_limits.head_bytes == 16_384
    text = VALID + "[limits]\nmemory_mb = 200.5\nmax_fds = 4100\nhead_ms = 4000\n"
    machine = _load(tmp_path, text).ok_value
    assert (machine.memory_bytes, machine.descriptors) == (int(200.5 * 1024**2), 4100)
    assert machine.connection_limits.head_seconds == 4.0
    (line,) = _load(tmp_path, text.replace("4100", "0")).err_value
    assert "limits.max_fds: 0" in line
