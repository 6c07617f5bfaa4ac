"""Tickets for queues whose policy permits a step only on some workers.

An external service grants a ticket for one step and one incarnation of a worker. Its response time
is proportional to the number of workers in the request, so the scheduler asks for few workers at a
time, and for more only if the granted ones are not enough.
"""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from peridothatch_core.model import agents
    from peridothatch_core.schedule import fit
    from peridothatch_core.schedule import state as states

MAX_WORKERS_PER_REQUEST = 30
"""Maximum number of workers in one request."""

RETRY_DELAY_MS = 500
"""Delay before the next request after one that was not answered."""

EXPIRY_MARGIN_MS = 700
"""Remaining validity below which a ticket is not used for a new order.

The ticket must still be valid when the order reaches the worker.
"""

StepKey = tuple[str, int, int]
"""Job, occurrence and step."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request for tickets of some workers for one step.

    Attributes
    ----------
    workers, started_ms : tuple of str, tuple of int
        Ids of the workers, and the start times of their incarnations.
    """

    step: StepKey
    workers: tuple[str, ...]
    started_ms: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A ticket for one incarnation of a worker; it expires at store time ``until_ms``."""

    text: str
    until_ms: int
    started_ms: int


@dataclasses.dataclass(slots=True)
class StepTickets:
    """Tickets of one step.

    Attributes
    ----------
    granted : dict
        Tickets by worker.
    denied : set of str
        Workers that may not run the step; a denial is permanent.
    request_pending : bool
        A request has been sent and not answered.
    retry_at_ms : int
        Store time before which no other request is sent.
    """

    granted: dict[str, Ticket] = dataclasses.field(default_factory=dict)
    denied: set[str] = dataclasses.field(default_factory=set)
    request_pending: bool = False
    retry_at_ms: int = 0


def candidates_with_ticket(
    step_tickets: StepTickets, candidates: typing.Iterable[fit.Candidate], now_ms: int
) -> list[fit.Candidate]:
    """Return the workers for which there is a valid ticket."""
    return [
        candidate
        for candidate in candidates
        if valid_ticket(step_tickets, candidate.worker, now_ms)
    ]


def valid_ticket(step_tickets: StepTickets, worker: agents.Worker, now_ms: int) -> str:
    """Return the valid ticket of a worker's present incarnation, or an empty string."""
    ticket = step_tickets.granted.get(worker.instance)
    if ticket is None or ticket.started_ms != worker.started_ms:
        return ""
    return ticket.text if now_ms < ticket.until_ms - EXPIRY_MARGIN_MS else ""


def next_request(
    state: states.State,
    key: StepKey,
    eligible: typing.Iterable[fit.Candidate],
    now_ms: int,
) -> Request | None:
    """Return a request for eligible workers without a valid ticket or denial, or ``None``.

    The workers with the most free resources are requested first.
    """
    step_tickets = state.tickets.setdefault(key, StepTickets())
    if step_tickets.request_pending or now_ms < step_tickets.retry_at_ms:
        return None
    unknown = [
        candidate
        for candidate in eligible
        if candidate.worker.instance not in step_tickets.denied
        and not valid_ticket(step_tickets, candidate.worker, now_ms)
    ]
    if not unknown:
        return None
    unknown.sort(
        key=lambda candidate: (-candidate.free[2], -candidate.free[0], candidate.agent.node)
    )
    step_tickets.request_pending = True
    workers = [candidate.worker for candidate in unknown[:MAX_WORKERS_PER_REQUEST]]
    return Request(
        key,
        tuple(worker.instance for worker in workers),
        tuple(worker.started_ms for worker in workers),
    )


def record_answer(
    state: states.State, request: Request, granted: dict[str, str], valid_ms: int, now_ms: int
) -> None:
    """Process the answer to a request.

    Parameters
    ----------
    valid_ms : int
        Validity of the tickets.
    now_ms : int
        Store time at which the answer arrived.
    """
    step_tickets = state.tickets.get(request.step)
    if step_tickets is None:
        return
    step_tickets.request_pending = False
    for instance, started_ms in zip(request.workers, request.started_ms, strict=True):
        if instance in granted:
            text = granted[instance]
            step_tickets.granted[instance] = Ticket(text, now_ms + valid_ms, started_ms)
        else:
            step_tickets.denied.add(instance)


def record_no_answer(state: states.State, request: Request, now_ms: int) -> None:
    """Schedule a retry of a request that was not answered."""
    step_tickets = state.tickets.get(request.step)
    if step_tickets is not None:
        step_tickets.request_pending = False
        step_tickets.retry_at_ms = now_ms + RETRY_DELAY_MS


def discard_refused(state: states.State, key: StepKey, node: str) -> None:
    """Discard a ticket that its worker has refused."""
    step_tickets = state.tickets.get(key)
    agent = state.agents.get(node)
    if step_tickets is not None and agent is not None and agent.worker is not None:
        step_tickets.granted.pop(agent.worker.instance, None)
