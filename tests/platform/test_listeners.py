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


def test_a_call_that_comes_before_the_server_waits_for_it(tmp_path, unused_tcp_port):
    # Workers and callers that were refused during a start came back up to a second later.
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
def test_addresses_that_cannot_be_read_are_left_to_the_check_of_the_settings(tmp_path, text):
    # A process that fails here would not say which setting is wrong.
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


def test_listening_early_imports_nothing_that_takes_long():
    # An import of the libraries before the sockets listen would undo the purpose.
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
