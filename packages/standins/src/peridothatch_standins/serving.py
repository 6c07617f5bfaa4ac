"""State and rules of a backend server: slots, operations, deliveries and faults."""

from __future__ import annotations

import collections
import dataclasses
import random


@dataclasses.dataclass(frozen=True, slots=True)
class Switches:
    """Fault mode and its parameters."""

    mode: str = "up"
    delay_ms: int = 0
    probability: float = 1.0
    seed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """Operation that a request asks for; ``text`` is the payload of ``echo``."""

    operation: str
    notice: str = ""
    compound: str = ""
    text: str = ""
    delay_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ResponsePlan:
    """Delay and fault of the response to an admitted request; ``fault`` is a mode or empty."""

    delay_seconds: float
    fault: str = ""


@dataclasses.dataclass(slots=True)
class Server:
    """State of a backend server."""

    id: str
    service: str
    slots: int
    connections: int
    busy_slots: int = 0
    switches: Switches = Switches()
    fault_random: random.Random = dataclasses.field(default_factory=lambda: random.Random(0))
    deliveries: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )


def start_operation(server: Server, operation: Operation) -> ResponsePlan | None:
    """Take a slot and run the operation; return None, without running it, if none is free."""
    if server.busy_slots >= server.slots:
        return None
    server.busy_slots += 1
    switches = server.switches
    fault_applies = switches.mode not in ("up", "leaving")
    fault_applies = fault_applies and server.fault_random.random() < switches.probability
    fault = switches.mode if fault_applies else ""
    if operation.operation == "notice" and fault != "failing":
        server.deliveries[(operation.notice, operation.compound)] += 1
    delay_ms = operation.delay_ms if operation.operation == "slow" else 0
    return ResponsePlan((delay_ms + (switches.delay_ms if fault == "slow" else 0)) / 1000, fault)


def release_slot(server: Server) -> None:
    """Release the slot that ``start_operation`` took."""
    server.busy_slots -= 1


def set_switches(server: Server, switches: Switches) -> None:
    """Change the fault mode and reseed the random faults."""
    server.switches = switches
    server.fault_random = random.Random(switches.seed)


def response_body(server: Server, operation: Operation) -> dict[str, str]:
    """Return the body of a successful response."""
    if operation.operation == "notice":
        return {
            "notice": operation.notice,
            "compound": operation.compound,
            "delivered_by": server.id,
        }
    return {"text": operation.text, "served_by": server.id}
