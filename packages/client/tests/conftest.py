import dataclasses
import http.server
import json
import threading

import pytest
import typer.testing

from peridothatch_client import main

TOKEN = "secret-token-of-kolar"


@dataclasses.dataclass
class ScriptedResponse:
    """A response of the fake entry; status 0 closes the connection without a response."""

    status: int = 200
    document: object = dataclasses.field(default_factory=dict)
    verdict: str = "ran"


class Entry:
    """HTTP server that returns scripted responses and records the requests it receives."""

    def __init__(self):
        self.responses, self.requests = [], []
        entry = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def handle_request(self):
                length = int(self.headers.get("Content-Length", 0))
                body = self.rfile.read(length)
                entry.requests.append((self.command, self.path, dict(self.headers), body))
                response = (
                    entry.responses.pop(0)
                    if entry.responses
                    else ScriptedResponse(404, {}, "not_run")
                )
                if response.status == 0:
                    self.close_connection = True
                    return
                content = response.document
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                self.send_response(response.status)
                if response.verdict:
                    self.send_header("Peridothatch-Verdict", response.verdict)
                self.send_header("Content-Length", str(len(content)))
                self.end_headers()
                self.wfile.write(content)

            # http.server looks up these method names.
            do_GET = do_PUT = do_POST = do_DELETE = handle_request  # noqa: N815

            def log_message(self, *arguments):
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"http://127.0.0.1:{self.server.server_port}"
        self.thread = threading.Thread(target=self.server.serve_forever, args=(0.01,))
        self.thread.start()

    def close(self):
        self.server.shutdown()
        self.thread.join()
        self.server.server_close()

    def run(self, *arguments, responses=(), environment=None, text=None):
        """Run the program against this entry; check that no output contains the token."""
        self.responses = list(responses)
        variables = {
            "PERIDOTHATCH_ADDRESS": self.address,
            "PERIDOTHATCH_TOKEN": TOKEN,
            "PERIDOTHATCH_SETTINGS": "",
            "HOME": "/nonexistent",
        }
        runner = typer.testing.CliRunner(env={**variables, **(environment or {})})
        outcome = runner.invoke(main.app, list(arguments), input=text)
        assert TOKEN not in outcome.output
        assert TOKEN not in repr(outcome.exception)
        return outcome


@pytest.fixture
def entry(monkeypatch):
    monkeypatch.setattr("peridothatch_client.jobs.RETRY_DELAY_SECONDS", 0.0)
    entry = Entry()
    yield entry
    entry.close()


@pytest.fixture(scope="session")
def response():
    return ScriptedResponse
