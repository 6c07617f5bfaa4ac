"""HTTP connections with limits that uvicorn lacks, for every HTTP listener.

uvicorn limits neither the size nor the time of heads and trailers, queues pipelined requests
without bound, and never closes a connection that sends no request or reads no answer. This layer
passes bytes on to its parser in small parts and counts what each connection uses
(``core.connect.usage``) and what all of them use (``core.connect.pool``). A connection that
exceeds a limit is refused or closed; an error in it closes that connection only.
"""

from __future__ import annotations

import asyncio
import dataclasses
import typing

import httptools
import uvicorn.protocols.http.flow_control as flow_control
import uvicorn.protocols.http.httptools_impl as httptools_impl

from peridothatch_core.connect import limits, pool, usage
from peridothatch_core.model import verdict
from peridothatch_daemon.intake import problem

REASON_PHRASES = {
    400: "Bad Request",
    408: "Request Timeout",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}

READ_BYTES = 16_384
"""Maximum number of bytes of one read. A paused connection holds at most this much."""

PART_BYTES = 512
"""Size of the parts that are parsed at once outside the data of a body. One part holds at most 28
of the shortest pipelined requests."""

Encode = typing.Callable[[verdict.Refusal, int], tuple[str, bytes]]
"""Returns content type and body of the response to a refused request with this status."""

Report = typing.Callable[[limits.Reason, str, str, str], None]
"""Takes why a connection was refused or closed, the listener, the client's address and, after an
error, what failed."""

Refused = tuple[int, str, str, str]
"""Status, and field, value and expected value of a refusal."""


@dataclasses.dataclass(slots=True)
class Listener:
    """What the connections of one listener share.

    Attributes
    ----------
    connections : Pool
        The connections of all listeners of the process.
    buffer : bytearray
        Receives the bytes of one read, which are parsed or copied before the next one.
    """

    name: str
    limits: limits.Limits
    connections: pool.Pool
    encode: Encode
    report: Report
    buffer: bytearray = dataclasses.field(default_factory=lambda: bytearray(READ_BYTES))


def create_protocol(listener: Listener) -> type[asyncio.BaseProtocol]:
    """Return a protocol class that enforces the limits of a listener on each connection."""
    return type("BoundedProtocol", (_LimitedProtocol,), {"listener": listener})


def encode_problem(refusal: verdict.Refusal, status: int) -> tuple[str, bytes]:
    """Return content type and body of a problem document."""
    refused = problem.from_refusal(refusal, status)
    return refused.content_type, refused.body


def encode_refusal(encode: Encode, refusal: verdict.Refusal, status: int) -> bytes:
    """Return the complete HTTP response to a request refused before the application sees it."""
    content_type, body = encode(refusal, status)
    retry = "Retry-After: 1\r\n" if status == 503 else ""
    head = (
        f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\n"
        f"Content-Type: {content_type}\r\n"
        f"Content-Length: {len(body)}\r\n"
        f"Peridothatch-Verdict: {refusal.verdict.value}\r\n"
        f"{retry}Connection: close\r\n\r\n"
    )
    return head.encode() + body


class _FlowControl(flow_control.FlowControl):
    """Flow control that leaves it to the connection when reading resumes.

    Bytes that were received before the pause are parsed first.
    """

    def __init__(self, transport: asyncio.Transport, on_resumed: typing.Callable[[], None]):
        super().__init__(transport)
        self._on_resumed = on_resumed

    def resume_reading(self) -> None:
        if self.read_paused:
            self.read_paused = False
            self._on_resumed()


class _LimitedProtocol(asyncio.BufferedProtocol, httptools_impl.HttpToolsProtocol):
    """A connection that counts what it uses and parses only while its application keeps up."""

    listener: typing.ClassVar[Listener]

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._usage = usage.Usage(changed_at=self.loop.time())
        self._waiting = b""
        self._body_left = 0
        self._timer: asyncio.TimerHandle | None = None
        self._timed: tuple[typing.Any, ...] = ()
        self._is_open = False
        self._is_last = False
        self.transport = transport
        peer = transport.get_extra_info("peername")
        self._address = str(peer[0]) if peer else ""
        if self._admit():
            super().connection_made(transport)
            self.flow = _FlowControl(transport, self._continue_soon)
            self._is_open = True
        self._set_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        pool.release(self.listener.connections, self)
        self._waiting = b""
        if self._timer is not None:
            self._timer.cancel()
        if self._is_open:
            self._is_open = False
            super().connection_lost(exc)

    def get_buffer(self, _: int) -> bytearray:
        return self.listener.buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(memoryview(self.listener.buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        if self._is_open and not self._is_last and not self.transport.is_closing():
            self._waiting += data
            self._continue()

    def pause_writing(self) -> None:
        super().pause_writing()
        self._update()

    def resume_writing(self) -> None:
        super().resume_writing()
        self._continue_soon()

    def on_message_begin(self) -> None:
        usage.begin_head(self._usage, self.loop.time())
        self._body_left = 0
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._usage.phase is usage.Phase.BODY:
            return  # Trailers are not part of the head that the application sees.
        usage.add_line(self._usage)
        if name.lower() == b"content-length" and value.isdigit():
            self._body_left = int(value)
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        usage.end_head(self._usage, self.loop.time())

    def on_body(self, body: bytes) -> None:
        usage.add_body(self._usage, len(body))
        self._body_left = max(0, self._body_left - len(body))
        super().on_body(body)

    def on_message_complete(self) -> None:
        usage.end_message(self._usage, self.loop.time())
        super().on_message_complete()

    def on_response_complete(self) -> None:
        usage.end_answer(self._usage, self.loop.time())
        super().on_response_complete()
        # ``_set_timer`` limits the idle time, also of connections without a request.
        self._unset_keepalive_if_required()
        if self._waiting:
            self._continue_soon()
        self._update()

    def shutdown(self) -> None:
        super().shutdown()
        self._set_timer()

    def evict(self, reason: limits.Reason) -> None:
        """Close the connection at once, because others need its share of the budget."""
        self._close(reason, abort=True)

    def _admit(self) -> bool:
        """Ask for a place in the pool; a connection without one is refused."""
        listener = self.listener
        admission = pool.admit(
            listener.connections,
            self,
            self._usage,
            listener.name,
            self._address,
            self.loop.time(),
        )
        if admission.refused is not None:
            refusal = verdict.not_run(verdict.Code.OVERLOADED, "too many connections are open")
            self.transport.write(encode_refusal(listener.encode, refusal, 503))
            self._close(admission.refused)
            return False
        if isinstance(admission.victim, _LimitedProtocol) and admission.reason is not None:
            admission.victim.evict(admission.reason)
        return True

    def _continue_soon(self) -> None:
        self.loop.call_soon(self._continue)

    def _continue(self) -> None:
        """Parse what was received, while the application and the client keep up."""
        if not self._is_open or self.transport.is_closing():
            return
        try:
            while self._waiting and self._may_parse():
                part = self._take_part()
                self._parse(part)
        except Exception as error:
            self._close(limits.Reason.ERROR, abort=True, detail=repr(error))
        self._update()

    def _may_parse(self) -> bool:
        if self.transport.is_closing() or self.flow.read_paused or self.flow.write_paused:
            return False
        return self._usage.unanswered < self.listener.limits.pipelined_requests

    def _take_part(self) -> bytes:
        size = PART_BYTES
        if self._usage.phase is usage.Phase.BODY:
            size = max(PART_BYTES, self._body_left)
        part, self._waiting = self._waiting[:size], self._waiting[size:]
        return part

    def _parse(self, part: bytes) -> None:
        messages_before = self._usage.messages
        try:
            self.parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            # No other protocol is spoken: the request is answered as it is, and is the last one.
            self._is_last = True
            self._waiting = b""
            self.cycle.keep_alive = False
        except httptools.HttpParserError as error:
            refused = (400, "request", str(error)[:100], "a valid HTTP/1.1 request")
            self._refuse(limits.Reason.MALFORMED, refused)
            return
        bounds = self.listener.limits
        reason = usage.add_received(self._usage, len(part), messages_before, bounds)
        if reason is limits.Reason.FRAMING_BYTES:
            self._close(reason)
        elif reason is not None:
            size = f"{self._usage.head_bytes} bytes, {self._usage.head_lines} lines"
            expected = f"at most {bounds.head_bytes} bytes and {bounds.head_lines} lines"
            self._refuse(reason, (431, "headers", size, expected))

    def _update(self) -> None:
        """Pause or resume reading, count the memory and set the timer."""
        if self._is_open and not self.transport.is_closing():
            if self._waiting or not self._may_parse():
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()
            self._usage.waiting_bytes = len(self._waiting)
            self._usage.unread_bytes = self.transport.get_write_buffer_size()
            now = self.loop.time()
            for victim in pool.update(self.listener.connections, self, now):
                if isinstance(victim, _LimitedProtocol):
                    victim.evict(limits.Reason.BUDGET_MEMORY)
        self._set_timer()

    def _set_timer(self) -> None:
        """Limit the time of the present phase; the timer of an unchanged phase goes on."""
        due = self._choose_timer()
        timed = (due, self._usage.phase, self._usage.messages, self._usage.answered)
        if timed == self._timed:
            return
        self._timed = timed
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if due is not None:
            seconds, reason, abort = due
            self._timer = self.loop.call_later(seconds, self._expire, reason, abort)

    def _choose_timer(self) -> tuple[float, limits.Reason, bool] | None:
        """Return the client's time, and why the connection ends after it and whether at once."""
        bounds = self.listener.limits
        if self.transport.is_closing():
            return bounds.unread_seconds, limits.Reason.UNREAD_TIME, True
        if self.flow.write_paused:
            return bounds.unread_seconds, limits.Reason.UNREAD_TIME, True
        if not self._may_parse():
            return None
        match self._usage.phase:
            case usage.Phase.START:
                return bounds.first_byte_seconds, limits.Reason.IDLE_TIME, False
            case usage.Phase.HEAD:
                return bounds.head_seconds, limits.Reason.HEAD_TIME, False
            case usage.Phase.BODY if self.cycle.response_complete:
                return bounds.linger_seconds, limits.Reason.BODY_AFTER_ANSWER, False
            case usage.Phase.BODY:
                return bounds.body_seconds, limits.Reason.BODY_TIME, False
        if self._usage.unanswered:
            return None
        return bounds.idle_seconds, limits.Reason.IDLE_TIME, False

    def _expire(self, reason: limits.Reason, abort: bool) -> None:
        if reason is limits.Reason.HEAD_TIME:
            expected = f"all headers within {self.listener.limits.head_seconds:g} s"
            self._refuse(reason, (408, "headers", "incomplete", expected))
        else:
            self._close(reason, abort=abort)

    def _refuse(self, reason: limits.Reason, refused: Refused) -> None:
        """Refuse the request whose head is incomplete or invalid, and close the connection.

        While an earlier request is unanswered, its caller would take the refusal for its answer,
        so the connection closes without one.
        """
        if self.transport.is_closing():
            return
        if not self._usage.unanswered:
            status, *described = refused
            refusal = verdict.invalid(*described)
            self.transport.write(encode_refusal(self.listener.encode, refusal, status))
        self._close(reason)

    def _close(self, reason: limits.Reason, *, abort: bool = False, detail: str = "") -> None:
        """Close the connection, or abort it so that unread answers do not keep it open."""
        if not self.transport.is_closing() or abort:
            self.listener.report(reason, self.listener.name, self._address, detail)
        self._waiting = b""
        if abort:
            self.transport.abort()
        else:
            self.transport.close()
        self._set_timer()
