import asyncio
import contextlib
import dataclasses
import hashlib
import json
import typing

import pytest
import result

from peridothatch_core.model import config, customer, datacentre, shape, verdict, workclass
from peridothatch_daemon.decide import loop
from peridothatch_daemon.intake import call, routes
from peridothatch_wire import mailbox, task


def digest(token):
    return hashlib.sha256(token.encode()).hexdigest()


GANG = shape.GangShape(2, shape.TaskShape(8))
SNAPSHOT = config.Snapshot(
    7,
    {name: customer.Customer(name, 16, digest(f"token-{name}")) for name in ("adinkra", "kolar")},
    {"gold": customer.Guarantee("gold", "kolar", GANG, 1, "accra-a", "kofi", 1.0, pinned=True)},
    {"notices": workclass.WorkClass("notices", workclass.Within(60.0), True, "kofi", 1.0)},
    {"accra-a": datacentre.DataCentre("accra-a", "gh-south")},
    {digest("token-operator"): "kofi"},
)


def refuse(message):
    reply = getattr(message, "reply", None)
    if reply is not None:
        refusal = verdict.not_run(verdict.Code.UNAVAILABLE, "nothing is connected")
        mailbox.answer(reply, result.Err(refusal))


@dataclasses.dataclass
class IntakeClient:
    """Sends requests to the HTTP interface without a socket; the test plays the other tasks."""

    snapshot: config.Snapshot = SNAPSHOT
    limits: call.Limits = dataclasses.field(default_factory=call.Limits)
    received_messages: list[typing.Any] = dataclasses.field(default_factory=list)

    def __post_init__(self):
        boxes = [mailbox.create(name) for name in ("requests", "jobs", "config")]
        self.ports = call.Ports(*boxes, {"jobs": boxes[1]})
        self.state = call.State("e1.1", self.limits, self.ports, self.snapshot)

    @contextlib.asynccontextmanager
    async def run_tasks(self, handler=refuse):
        def handle(message):
            self.received_messages.append(message)
            handler(message)

        boxes = (self.ports.requests, self.ports.jobs, self.ports.config)
        running = [task.start(box.name, loop.run(box, handle)) for box in boxes]
        try:
            yield self
        finally:
            for item in running:
                await task.close(item)

    async def send(self, method, path, token="", body=b"", headers=()):
        """Send one request; return status, headers and body of the response."""
        path, _, query = path.partition("?")
        lines = [(b"authorization", f"Bearer {token}".encode())] if token else []
        lines += [(name.lower().encode(), value.encode()) for name, value in headers]
        scope = {
            "type": "http",
            "http_version": "1.1",
            "method": method,
            "path": path,
            "raw_path": path.encode(),
            "query_string": query.encode(),
            "root_path": "",
            "scheme": "http",
            "headers": lines,
            "server": ("127.0.0.1", 80),
            "client": ("127.0.0.1", 1),
        }
        sent = []

        async def receive():
            return {"type": "http.request", "body": body, "more_body": False}

        async def send(message):
            sent.append(message)

        await routes.create_application(self.state)(scope, receive, send)
        received = {name.decode(): value.decode() for name, value in sent[0]["headers"]}
        whole = b"".join(part.get("body", b"") for part in sent[1:])
        return sent[0]["status"], received, whole

    def request(self, method, path, token="", body=b"", headers=(), handler=refuse):
        """Send one request in a new event loop, while ``handler`` serves the other tasks."""

        async def run():
            async with self.run_tasks(handler):
                return await self.send(method, path, token, body, headers)

        return asyncio.run(run())

    def expect_refusal(self, *arguments, **options):
        """Send a request that is refused; return status and problem document."""
        status, headers, body = self.request(*arguments, **options)
        document = json.loads(body)
        assert headers["content-type"] == "application/problem+json"
        assert headers["peridothatch-verdict"] == document["verdict"]
        return status, document


@pytest.fixture(scope="session")
def create_client():
    return IntakeClient


@pytest.fixture
def client():
    return IntakeClient()
