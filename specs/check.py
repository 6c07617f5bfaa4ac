"""Check the specifications, and that each fails without each of its guards.

Run as ``python specs/check.py``; prints the number of states and the shortest traces.
"""

from __future__ import annotations

import dataclasses
import pathlib
import sys
import typing

import minicheck

sys.path.insert(0, str(pathlib.Path(__file__).parent))

import gang_start  # noqa: E402
import request  # noqa: E402
import service_out  # noqa: E402

SPECIFICATIONS = {"gang_start": gang_start, "request": request, "service_out": service_out}

# The largest whole state space is that of gang_start with 710,471 states.
WHOLE_STATES = 1_000_000
# Breadth-first search meets each shortest counterexample within this many states.
MUTATED_STATES = 300_000


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Outcome of one search.

    Attributes
    ----------
    exhaustive : bool
        Whether every reachable state was visited.
    traces : dict
        Shortest counterexample by invariant that fails.
    """

    states: int
    exhaustive: bool
    traces: dict[str, list[typing.Any]]


def check(name: str, removed: str | None = None) -> Report:
    """Search a specification, without the guard ``removed`` if one is named."""
    guards = frozenset() if removed is None else frozenset({removed})
    protocol = SPECIFICATIONS[name].protocol(guards)
    limit = WHOLE_STATES if removed is None else MUTATED_STATES
    found = minicheck.check_safety(protocol, max_states=limit)
    traces = {
        invariant: verdict["counterexample"]
        for invariant, verdict in found["properties"].items()
        if verdict["holds"] is False
    }
    return Report(found["reachable_states"], found["exhaustive"], traces)


def main() -> int:
    """Print a line for each search; the exit status says whether all ended as expected."""
    failed = False
    for name, module in SPECIFICATIONS.items():
        report = check(name)
        failed |= bool(report.traces) or not report.exhaustive
        print(f"{name}: {report.states} states, all invariants hold: {not report.traces}")
        for guard, invariant in module.GUARDS.items():
            mutated = check(name, guard)
            failed |= invariant not in mutated.traces
            length = len(mutated.traces.get(invariant, [])) - 1
            print(f"  without {guard!r}: {invariant} fails after {length} steps")
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
