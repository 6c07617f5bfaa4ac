import os
import socket
import subprocess
import sys

import pytest

from peridothatch_platform import listeners


def _settings(tmp_path, text):
    path = tmp_path / "boot.toml"
    path.write_text(text)
    return path


def test_a_connection_before_the_start_of_the_server_is_served(tmp_path, unused_tcp_port):
    # Workers and callers whose connection was refused during a start retried up to 1 s later.
    path = _settings(tmp_path, f'[listen]\ncontrol = "127.0.0.1:{unused_tcp_port}"\n')
    opened = listeners.open_early(path)
    with socket.create_connection(("127.0.0.1", unused_tcp_port), timeout=5) as caller:
        caller.sendall(b"early")
        with listeners.take(opened, "127.0.0.1", unused_tcp_port) as listener:
            connection, _ = listener.accept()
            with connection:
                assert connection.recv(5) == b"early"
    assert not opened


@pytest.mark.parametrize(
    "text",
    ["", "listen = 1", "no TOML", '[listen]\nfront = "here"', '[listen]\nfront = "1.2.3.4:x"'],
)
def test_invalid_addresses_are_left_to_the_validation_of_the_settings(tmp_path, text):
    # A failure at this point would not name the invalid setting.
    assert listeners.open_early(_settings(tmp_path, text)) == {}
    assert listeners.open_early(tmp_path / "none.toml") == {}


def test_an_address_in_use_is_reported_when_its_server_starts(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as other:
        port = other.getsockname()[1]
        path = _settings(tmp_path, f'[listen]\nfront = "127.0.0.1:{port}"\n')
        opened = listeners.open_early(path)
        assert opened == {}
        with pytest.raises(OSError, match="in use"):
            listeners.take(opened, "127.0.0.1", port)


def test_listening_early_imports_no_large_library():
    # Importing large libraries before the sockets listen would defeat the purpose.
    code = (
        "import sys; from peridothatch_daemon.hosted import __main__; "
        "print([name for name in ('aiohttp', 'pydantic', 'uvicorn', 'opentelemetry', 'eliot') "
        "if name in sys.modules])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, env=os.environ
    )
    assert done.stdout.strip() == "[]"


def test_the_settings_file_is_the_one_that_the_environment_names(
    tmp_path, monkeypatch, unused_tcp_port
):
    path = _settings(tmp_path, f'[listen]\nready = "127.0.0.1:{unused_tcp_port}"\n')
    monkeypatch.setenv(listeners.SETTINGS_VARIABLE, str(path))
    opened = listeners.open_early()
    assert list(opened) == [("127.0.0.1", unused_tcp_port)]
    for listener in opened.values():
        listener.close()
