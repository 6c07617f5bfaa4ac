"""Decisions of a backend server: slots, operations, deliveries and faults."""

from __future__ import annotations

import collections
import dataclasses
import random


@dataclasses.dataclass(frozen=True, slots=True)
class Switches:
    """The mode and its parameters."""

    mode: str = "up"
    delay_ms: int = 0
    probability: float = 1.0
    seed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """What a request asks for; ``echo`` carries any text."""

    operation: str
    notice: str = ""
    compound: str = ""
    text: str = ""
    delay_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """How a request that got a slot is answered; ``fault`` is a mode or empty."""

    delay_seconds: float
    fault: str = ""


@dataclasses.dataclass(slots=True)
class Server:
    """A backend server."""

    id: str
    service: str
    slots: int
    connections: int
    busy: int = 0
    switches: Switches = Switches()
    faults: random.Random = dataclasses.field(default_factory=lambda: random.Random(0))
    deliveries: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )


def begin(server: Server, operation: Operation) -> Plan | None:
    """Take a slot and run the operation; None when no slot is free and nothing ran."""
    if server.busy >= server.slots:
        return None
    server.busy += 1
    switches = server.switches
    struck = switches.mode not in ("up", "leaving")
    struck = struck and server.faults.random() < switches.probability
    fault = switches.mode if struck else ""
    if operation.operation == "notice" and fault != "failing":
        server.deliveries[(operation.notice, operation.compound)] += 1
    delay_ms = operation.delay_ms if operation.operation == "slow" else 0
    return Plan((delay_ms + (switches.delay_ms if fault == "slow" else 0)) / 1000, fault)


def finish(server: Server) -> None:
    """Give the slot back."""
    server.busy -= 1


def switch(server: Server, switches: Switches) -> None:
    """Change the mode."""
    server.switches = switches
    server.faults = random.Random(switches.seed)


def answer(server: Server, operation: Operation) -> dict[str, str]:
    """Return the body of the answer."""
    if operation.operation == "notice":
        return {
            "notice": operation.notice,
            "compound": operation.compound,
            "delivered_by": server.id,
        }
    return {"text": operation.text, "served_by": server.id}
