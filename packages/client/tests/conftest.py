import dataclasses
import http.server
import json
import threading

import pytest
import typer.testing

from peridothatch_client import main

TOKEN = "secret-token-of-kolar"


@dataclasses.dataclass
class Reply:
    """What the fake entry answers; a status of 0 closes the connection without an answer."""

    status: int = 200
    document: object = dataclasses.field(default_factory=dict)
    verdict: str = "ran"


class Entry:
    """A fake entry that gives scripted answers and keeps the requests it got."""

    def __init__(self):
        self.replies, self.seen = [], []
        entry = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def handle_any(self):
                length = int(self.headers.get("Content-Length", 0))
                body = self.rfile.read(length)
                entry.seen.append((self.command, self.path, dict(self.headers), body))
                reply = entry.replies.pop(0) if entry.replies else Reply(404, {}, "not_run")
                if reply.status == 0:
                    self.close_connection = True
                    return
                content = reply.document
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                self.send_response(reply.status)
                if reply.verdict:
                    self.send_header("Peridothatch-Verdict", reply.verdict)
                self.send_header("Content-Length", str(len(content)))
                self.end_headers()
                self.wfile.write(content)

            # http.server gives these names.
            do_GET = do_PUT = do_POST = do_DELETE = handle_any  # noqa: N815

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

    def run(self, *arguments, replies=(), environment=None, text=None):
        """Run the program against this entry; no output may show the token."""
        self.replies = list(replies)
        variables = {
            "PERIDOTHATCH_ADDRESS": self.address,
            "PERIDOTHATCH_TOKEN": TOKEN,
            "PERIDOTHATCH_SETTINGS": "",
            "HOME": "/nonexistent",
        }
        runner = typer.testing.CliRunner(env={**variables, **(environment or {})})
        done = runner.invoke(main.app, list(arguments), input=text)
        assert TOKEN not in done.output
        assert TOKEN not in repr(done.exception)
        return done


@pytest.fixture
def entry(monkeypatch):
    monkeypatch.setattr("peridothatch_client.jobs.RETRY_SECONDS", 0.0)
    entry = Entry()
    yield entry
    entry.close()


@pytest.fixture(scope="session")
def reply():
    return Reply
