"""Processor time and memory of requests in an entry."""

from __future__ import annotations

import itertools

import capacity_fit

from peridothatch_core.message import link
from peridothatch_core.model import backend, request, verdict
from peridothatch_core.route import dispatch, exchange, flight

REQUESTS = 400
IN_FLIGHT = 16
STEP_SECONDS = 0.01
BUDGET_SECONDS = 5.0


def build(servers: int, customers: int) -> tuple[flight.State, dict[str, link.Hello]]:
    """Return an entry that knows a number of backend servers of one service."""
    state = flight.create(flight.Settings("e1", "8f3a21c4", "dc", "r"))
    dispatch.step(state, exchange.Configured(customers), 0.0)
    peers = {}
    for index in range(servers):
        peer = link.Hello(1, "agent", f"a{index}", "1", "dc", "r")
        peers[peer.id] = peer
        dispatch.step(state, exchange.PeerUp(peer), 0.0)
        server = backend.BackendServer(f"b{index}", "notices", "dc", "r")
        announced = exchange.Received(peer, link.AnnounceBackend(server, "1"))
        dispatch.step(state, announced, 0.0)
    return state, peers


def request_time(servers: int, customers: int) -> float:
    """Return the processor time of one request from acceptance to its answer, in microseconds."""
    state, peers = build(servers, customers)
    numbers = itertools.count()
    clock = itertools.count(1)
    waiting: list[tuple[str, str]] = []

    def one() -> None:
        number, now = next(numbers), 1.0 + STEP_SECONDS * next(clock)
        owner = f"team-{number % customers}"
        call = request.Request(
            f"e1.8f3a21c4.{number}", owner, "notices", False, BUDGET_SECONDS, b"x" * 200
        )
        for effect in dispatch.step(state, exchange.Submitted(number, call), now):
            if isinstance(effect, exchange.Send) and isinstance(effect.message, link.Dispatch):
                waiting.append((effect.peer_id, effect.message.request.id))
        if len(waiting) > IN_FLIGHT:
            peer_id, name = waiting.pop(0)
            answer = request.Answer(name, verdict.Verdict.RAN, 200, b"y" * 200)
            event = exchange.Received(peers[peer_id], link.AnswerReady(answer))
            dispatch.step(state, event, now)

    for _ in range(REQUESTS):
        one()
    return capacity_fit.microseconds(one, REQUESTS)


def series() -> list[capacity_fit.Series]:
    """Return the costs against backend servers and customers."""
    make = capacity_fit.Series
    return [
        make("entry request, 4 customers", "backend servers", "µs",
             tuple((size, request_time(size, 4)) for size in (8, 32, 128, 512))),
        make("entry request, 32 backend servers", "customers", "µs",
             tuple((size, request_time(32, size)) for size in (4, 16, 71, 284))),
        make("entry memory of backend servers", "backend servers", "KiB",
             tuple((size, capacity_fit.kibibytes(lambda size=size: build(size, 4)))
                   for size in (64, 128, 256, 512))),
    ]  # fmt: skip
