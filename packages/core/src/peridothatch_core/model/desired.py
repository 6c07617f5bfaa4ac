"""The desired state of an installation, as its operator writes it."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A queue of jobs.

    Attributes
    ----------
    host, prefix : str
        A call belongs to the queue of its host with the longest matching path prefix.
    slack_factor, objective_ms : float, int
        The completion objective of a job is its chain of work times the factor, and this more.
    open : bool
        Calls need no key.
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
    """A pool of workers; ``guards`` tells whether its workers refuse what does not fit."""

    name: str
    guards: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Tenancy:
    """A customer with its keys and the accelerators that it is guaranteed."""

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
    """Return the accelerators that a customer is guaranteed."""
    for tenancy in state.tenancies:
        if tenancy.customer == customer:
            return tenancy.guaranteed_accelerators
    return 0
