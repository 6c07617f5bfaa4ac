"""HTTP connections with limits that uvicorn lacks.

uvicorn limits neither the size of the headers nor the time until they are complete, and it reads
the remaining body of a refused request for as long as the caller sends it.
"""

from __future__ import annotations

import asyncio
import typing

import uvicorn.protocols.http.httptools_impl as httptools_impl

from peridothatch_core.model import verdict
from peridothatch_daemon.intake import call, problem

REASON_PHRASES = {
    400: "Bad Request",
    408: "Request Timeout",
    431: "Request Header Fields Too Large",
}


def create_protocol(limits: call.Limits) -> type[asyncio.Protocol]:
    """Return a protocol class that enforces ``limits`` on each connection."""
    return type("BoundedProtocol", (_LimitedProtocol,), {"limits": limits})


def encode_refusal(status: int, field: str, value: str, expected: str) -> bytes:
    """Return the complete HTTP response to a request refused before the application sees it."""
    refused = problem.from_refusal(verdict.invalid(field, value, expected), status)
    head = (
        f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\n"
        f"Content-Type: {refused.content_type}\r\n"
        f"Content-Length: {len(refused.body)}\r\n"
        f"Peridothatch-Verdict: {refused.verdict.value}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + refused.body


class _LimitedProtocol(httptools_impl.HttpToolsProtocol):
    """A connection that tracks the phase of the message that it reads.

    The phases are ``start`` (nothing received yet), ``headers``, ``body`` and ``idle``.
    """

    limits: typing.ClassVar[call.Limits]

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._phase = "start"
        self._received_header_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        super().connection_made(transport)
        self._start_timer(self.limits.header_timeout_seconds, self._handle_header_timeout)

    def connection_lost(self, exc: Exception | None) -> None:
        self._cancel_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        if self._phase == "headers":
            self._received_header_bytes += len(data)
            if self._received_header_bytes > self.limits.max_header_bytes:
                limit = f"at most {self.limits.max_header_bytes} bytes"
                self._refuse(431, "headers", f"{self._received_header_bytes} bytes", limit)

    def on_message_begin(self) -> None:
        self._phase = "headers"
        self._received_header_bytes = 0
        self._start_timer(self.limits.header_timeout_seconds, self._handle_header_timeout)
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        self._phase = "body"
        self._cancel_timer()
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        self._phase = "idle"
        self._cancel_timer()
        super().on_message_complete()

    def on_response_complete(self) -> None:
        super().on_response_complete()
        if self._phase == "body":
            self._start_timer(self.limits.linger_timeout_seconds, self.transport.close)

    def send_400_response(self, msg: str) -> None:
        self._refuse(400, "request", msg, "a valid HTTP/1.1 request")

    def _handle_header_timeout(self) -> None:
        if self._phase == "start":
            self.transport.close()
            return
        limit = f"all headers within {self.limits.header_timeout_seconds:g} s"
        self._refuse(408, "headers", "incomplete", limit)

    def _refuse(self, status: int, field: str, value: str, expected: str) -> None:
        if not self.transport.is_closing():
            self.transport.write(encode_refusal(status, field, value, expected))
            self.transport.close()

    def _start_timer(self, seconds: float, action: typing.Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(seconds, action)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
