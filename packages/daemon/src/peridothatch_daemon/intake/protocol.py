"""HTTP connections with bounds that uvicorn does not have.

uvicorn bounds neither the size of headers nor the time in which they arrive, and it reads the
rest of a refused body for as long as the caller sends it.
"""

from __future__ import annotations

import asyncio
import typing

import uvicorn.protocols.http.httptools_impl as httptools_impl

from peridothatch_core.model import verdict
from peridothatch_daemon.intake import call, problem

REASONS = {400: "Bad Request", 408: "Request Timeout", 431: "Request Header Fields Too Large"}


def bounded(limits: call.Limits) -> type[asyncio.Protocol]:
    """Return the protocol class of connections that keep within ``limits``."""
    return type("BoundedProtocol", (_Protocol,), {"limits": limits})


def refusal(status: int, field: str, value: str, expected: str) -> bytes:
    """Return a whole HTTP response that refuses a request that never reached the application."""
    refused = problem.from_refusal(verdict.invalid(field, value, expected), status)
    head = (
        f"HTTP/1.1 {status} {REASONS[status]}\r\n"
        f"Content-Type: {refused.content_type}\r\n"
        f"Content-Length: {len(refused.body)}\r\n"
        f"Peridothatch-Verdict: {refused.verdict.value}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + refused.body


class _Protocol(httptools_impl.HttpToolsProtocol):
    """A connection that knows which part of a message it is reading."""

    limits: typing.ClassVar[call.Limits]

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._part = "start"
        self._unfinished_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        super().connection_made(transport)
        self._arm(self.limits.header_seconds, self._headers_late)

    def connection_lost(self, exc: Exception | None) -> None:
        self._disarm()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        if self._part == "headers":
            self._unfinished_bytes += len(data)
            if self._unfinished_bytes > self.limits.header_bytes:
                limit = f"at most {self.limits.header_bytes} bytes"
                self._refuse(431, "headers", f"{self._unfinished_bytes} bytes", limit)

    def on_message_begin(self) -> None:
        self._part = "headers"
        self._unfinished_bytes = 0
        self._arm(self.limits.header_seconds, self._headers_late)
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        self._part = "body"
        self._disarm()
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        self._part = "idle"
        self._disarm()
        super().on_message_complete()

    def on_response_complete(self) -> None:
        super().on_response_complete()
        if self._part == "body":
            self._arm(self.limits.linger_seconds, self.transport.close)

    def send_400_response(self, msg: str) -> None:
        self._refuse(400, "request", msg, "a valid HTTP/1.1 request")

    def _headers_late(self) -> None:
        if self._part == "start":
            self.transport.close()
            return
        limit = f"all headers within {self.limits.header_seconds:g} s"
        self._refuse(408, "headers", "incomplete", limit)

    def _refuse(self, status: int, field: str, value: str, expected: str) -> None:
        if not self.transport.is_closing():
            self.transport.write(refusal(status, field, value, expected))
            self.transport.close()

    def _arm(self, seconds: float, action: typing.Callable[[], None]) -> None:
        self._disarm()
        self._timer = asyncio.get_running_loop().call_later(seconds, action)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
