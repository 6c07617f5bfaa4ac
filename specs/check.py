"""Model-check the specifications, and check that each guard is needed by its invariant.

Run as ``python specs/check.py``; prints the number of reachable states and the length
of the shortest counterexample for each removed guard.
"""

from __future__ import annotations

import dataclasses
import pathlib
import sys
import typing

import minicheck

sys.path.insert(0, str(pathlib.Path(__file__).parent))

import acknowledged_ends  # noqa: E402
import forwarding  # noqa: E402
import gang_start  # noqa: E402
import hosted_run  # noqa: E402
import late_write  # noqa: E402
import request  # noqa: E402
import service_out  # noqa: E402

SPECIFICATIONS = {
    "acknowledged_ends": acknowledged_ends,
    "forwarding": forwarding,
    "gang_start": gang_start,
    "hosted_run": hosted_run,
    "late_write": late_write,
    "request": request,
    "service_out": service_out,
}

# gang_start has the largest state space: 710,471 states.
MAX_STATES = 1_000_000


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
    """Explore the state space of a specification, without the guard ``removed`` if given."""
    module = SPECIFICATIONS[name]
    if removed is None:
        protocol = module.protocol()
    else:
        protocol = _stop_at_failure(module.protocol(frozenset({removed})), module.GUARDS[removed])
    result = minicheck.check_safety(protocol, max_states=MAX_STATES)
    traces = {
        invariant: verdict["counterexample"]
        for invariant, verdict in result["properties"].items()
        if verdict["holds"] is False
    }
    return Report(result["reachable_states"], result["exhaustive"], traces)


def _stop_at_failure(protocol: minicheck.Protocol, invariant: str) -> minicheck.Protocol:
    """Return a protocol whose states have no successors once ``invariant`` has failed.

    The search is breadth first, so the first counterexample is a shortest one.
    """
    holds = protocol.invariants[invariant]
    failed = False

    def transitions(state: tuple[typing.Any, ...]) -> list[typing.Any]:
        nonlocal failed
        if failed:
            return []
        successors = protocol.transitions(state)
        failed = any(not holds(protocol.d(successor)) for _, successor in successors)
        return successors

    return dataclasses.replace(protocol, transitions=transitions)


def main() -> int:
    """Check all specifications and their guards; return 1 if any check fails."""
    failed = False
    for name, module in SPECIFICATIONS.items():
        report = check(name)
        failed |= bool(report.traces) or not report.exhaustive
        print(f"{name}: {report.states} states, all invariants hold: {not report.traces}")
        for guard, invariant in module.GUARDS.items():
            mutant = check(name, guard)
            failed |= invariant not in mutant.traces
            length = len(mutant.traces.get(invariant, [])) - 1
            print(f"  without {guard!r}: {invariant} fails after {length} steps")
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
