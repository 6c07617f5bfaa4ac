"""HTTP client of the local backend server: the task that owns the session."""

from __future__ import annotations

import asyncio
import json
import logging
import typing

import aiohttp
import pydantic

from peridothatch_core.model import backend
from peridothatch_core.route import agent_exchange
from peridothatch_daemon import messages
from peridothatch_daemon.observe import actions
from peridothatch_wire import mailbox, task

if typing.TYPE_CHECKING:
    from peridothatch_core.message import link
    from peridothatch_core.model import request

logger = logging.getLogger(__name__)

MAX_CONNECTIONS = 64
MAX_ANSWER_BYTES = 1024 * 1024
POLL_INTERVAL_SECONDS = 0.5
POLL_TIMEOUT_SECONDS = 2.0
CONNECT_TIMEOUT_SECONDS = 2.0

# A busy backend server may answer a poll late, so several polls must fail before it counts as
# absent. A refused connection counts at once.
FAILED_POLLS_BEFORE_ABSENT = 3

# Shorter than uvicorn's keep-alive timeout of 5 s: if the server closes an idle connection while
# a request is being written to it, the client cannot tell whether the request ran.
KEEPALIVE_SECONDS = 3.0

Report = agent_exchange.Served | agent_exchange.NotServed


class ServerBody(pydantic.BaseModel):
    """Body of ``GET /v1/server``."""

    id: str
    service: str
    slots: int = pydantic.Field(ge=1, le=4096)
    connections: int = pydantic.Field(ge=1)
    leaving: bool = False


class Client:
    """The running task, its session and the calls in flight."""

    __slots__ = ("_base_url", "_calls", "_inbox", "_own", "_session", "_task", "_watch")

    def __init__(self, base_url: str, own: link.Hello) -> None:
        self._base_url = base_url.rstrip("/")
        self._own = own
        self._inbox = mailbox.create("backend", MAX_CONNECTIONS)
        self._session: aiohttp.ClientSession | None = None
        self._calls: set[asyncio.Task[None]] = set()
        self._task: task.Task | None = None
        self._watch: task.Task | None = None

    @property
    def inbox(self) -> mailbox.Mailbox:
        """Takes ``CallBackend`` and ``WatchBackend``."""
        return self._inbox

    @property
    def task(self) -> task.Task | None:
        """The running task."""
        return self._task


def start(
    base_url: str, own: link.Hello, on_failure: typing.Callable[[], None] | None = None
) -> Client:
    """Start the task; ``on_failure`` is called if it raises an exception."""
    client = Client(base_url, own)
    client._task = task.start("backend", _run(client), on_failure)
    return client


async def close(client: Client) -> None:
    """Stop the task, cancel the calls in flight and close the session."""
    for running in (client._watch, client._task):
        if running is not None:
            await task.close(running)
    for call in list(client._calls):
        call.cancel()
    await asyncio.gather(*client._calls, return_exceptions=True)
    if client._session is not None:
        await client._session.close()


async def _run(client: Client) -> None:
    connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS, keepalive_timeout=KEEPALIVE_SECONDS)
    client._session = aiohttp.ClientSession(connector=connector, auto_decompress=False)
    while True:
        message = await mailbox.take(client.inbox)
        if isinstance(message, messages.CallBackend):
            call = asyncio.create_task(_call(client, message))
            client._calls.add(call)
            call.add_done_callback(client._calls.discard)
        elif isinstance(message, messages.WatchBackend) and client._watch is None:
            client._watch = task.start(
                "backend watch", _poll_description(client, message.reply_to)
            )


async def _call(client: Client, message: messages.CallBackend) -> None:
    call = message.request
    with actions.resume(call.trace, "backend server call", request=call.id) as action:
        try:
            report = await _forward(client, call, message.timeout_seconds)
        except Exception as error:
            logger.exception("calling the backend server for request %s failed", call.id)
            report = agent_exchange.NotServed(call.id, 0, f"internal error: {error}")
        action.add_success_fields(outcome=type(report).__name__)
    await mailbox.put(message.reply_to, report)


async def _forward(client: Client, call: request.Request, timeout_seconds: float) -> Report:
    """Forward the request once and report whether the backend server may have run it."""
    timeout = aiohttp.ClientTimeout(
        total=timeout_seconds, sock_connect=min(CONNECT_TIMEOUT_SECONDS, timeout_seconds)
    )
    headers = {
        "X-Request-Id": call.id,
        "Content-Type": call.content_type,
        "Accept-Encoding": "identity",
    }
    try:
        # Following a redirect would send the request a second time.
        async with client._session.post(
            f"{client._base_url}/v1/serve",
            data=call.body,
            headers=headers,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            return await _read_answer(call, response)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        detail = f"cannot connect to the backend server: {error}"
        return agent_exchange.NotServed(call.id, agent_exchange.UNREACHABLE_STATUS, detail)
    except TimeoutError:
        return agent_exchange.NotServed(call.id, 0, "no complete answer before the deadline")
    except aiohttp.ClientError as error:
        detail = f"no complete answer: {type(error).__name__}: {error}"
        return agent_exchange.NotServed(call.id, 0, detail)


async def _read_answer(call: request.Request, response: aiohttp.ClientResponse) -> Report:
    length = response.content_length
    if length is None:
        return agent_exchange.NotServed(call.id, 0, "the answer has no Content-Length")
    if length > MAX_ANSWER_BYTES:
        detail = f"the answer has {length} bytes; expected at most {MAX_ANSWER_BYTES}"
        return agent_exchange.NotServed(call.id, 0, detail)
    body = await response.read()
    if len(body) != length:
        return agent_exchange.NotServed(
            call.id, 0, f"received {len(body)} of {length} bytes of the answer"
        )
    answered_id = response.headers.get("X-Request-Id", "")
    if response.status == 503 and answered_id in ("", call.id) and reports_no_free_slot(body):
        return agent_exchange.NotServed(call.id, agent_exchange.BUSY_STATUS, "no free slot")
    if not answered_id:
        return agent_exchange.NotServed(call.id, 0, "the answer has no X-Request-Id")
    return agent_exchange.Served(
        call.id, answered_id, response.status, body, response.content_type
    )


def reports_no_free_slot(body: bytes) -> bool:
    """Return whether the body of a refusal says that all slots are taken."""
    try:
        answer = json.loads(body)
    except (ValueError, RecursionError):
        return False
    return isinstance(answer, dict) and answer.get("reason") == "no free slot"


async def _poll_description(client: Client, reply_to: mailbox.Mailbox) -> None:
    failures = 0
    while True:
        try:
            server = await _fetch_description(client)
            failures = 0
        except aiohttp.ClientConnectorError:
            server, failures = None, FAILED_POLLS_BEFORE_ABSENT
        except (aiohttp.ClientError, TimeoutError, pydantic.ValidationError) as error:
            logger.warning("polling the backend server for its description failed: %s", error)
            server, failures = None, failures + 1
        if server is not None or failures >= FAILED_POLLS_BEFORE_ABSENT:
            await mailbox.put(reply_to, agent_exchange.ServerSeen(server))
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


async def _fetch_description(client: Client) -> backend.BackendServer:
    async with client._session.get(
        f"{client._base_url}/v1/server", timeout=aiohttp.ClientTimeout(total=POLL_TIMEOUT_SECONDS)
    ) as response:
        body = ServerBody.model_validate_json(await response.read())
    return backend.BackendServer(
        body.id,
        body.service,
        client._own.data_centre,
        client._own.region,
        body.slots,
        body.connections,
        body.leaving,
    )
