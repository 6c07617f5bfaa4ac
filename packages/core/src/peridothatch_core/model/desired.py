"""Desired state of an installation, as written by its operator."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A queue of jobs.

    Attributes
    ----------
    host, prefix : str
        A request is routed to the queue of its host with the longest matching path prefix.
    slack_factor, objective_ms : float, int
        The completion objective of a job is the duration of its chain of steps multiplied by
        ``slack_factor``, plus ``objective_ms``.
    open : bool
        Requests need no API key.
    ticketed : bool
        Each start needs a ticket for its worker.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    max_attempts: int
    slack_factor: float
    objective_ms: int
    open: bool = False
    ticketed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A pool of workers.

    Attributes
    ----------
    guards : bool
        The workers reject tasks that do not fit.
    """

    name: str
    guards: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Tenancy:
    """A customer with its API keys and its guaranteed accelerators."""

    customer: str
    keys: frozenset[str]
    guaranteed_accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class DesiredState:
    """One version of the desired state."""

    version: int
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    tenancies: tuple[Tenancy, ...] = ()


def guaranteed_accelerators(state: DesiredState, customer: str) -> int:
    """Return the number of accelerators guaranteed to a customer; 0 if it is not listed."""
    for tenancy in state.tenancies:
        if tenancy.customer == customer:
            return tenancy.guaranteed_accelerators
    return 0
