"""Measure the costs on which docs/CAPACITY.md is based.

Usage: ``python scripts/measure_capacity.py [PART ...]``. Without arguments all parts run. Costs
are processor time of this process; the parts ``links``, ``calls``, ``members`` and ``processes``
start an installation on loopback and read ``/proc`` of its processes instead.
"""

from __future__ import annotations

import asyncio
import sys

import capacity_agent
import capacity_calls
import capacity_configuration
import capacity_fit
import capacity_launch
import capacity_links
import capacity_planner
import capacity_processes
import capacity_requests
import capacity_rows
import capacity_wire

SERIES = {
    "wire": capacity_wire.series,
    "planner": capacity_planner.series,
    "launch": capacity_launch.series,
    "agent": capacity_agent.series,
    "requests": capacity_requests.series,
    "configuration": capacity_configuration.series,
    "rows": capacity_rows.series,
    "calls": lambda: asyncio.run(capacity_calls.calls()),
    "members": lambda: asyncio.run(capacity_calls.members()),
    "links": lambda: asyncio.run(capacity_links.series()),
}


def main(parts: list[str]) -> int:
    """Print Markdown tables of the chosen parts."""
    known = [*SERIES, "processes"]
    unknown = set(parts) - set(known)
    if unknown:
        print(f"unknown part {', '.join(sorted(unknown))}; expected {', '.join(known)}")
        return 2
    for part in parts or known:
        print(f"\n{part}\n", flush=True)
        if part == "processes":
            asyncio.run(capacity_processes.report())
            continue
        if part == "wire":
            print("| message | frame bytes | encode µs | decode µs |\n|---|---|---|---|")
            print("\n".join(capacity_wire.fixed_rows()) + "\n")
        print("| cost | per | unit | measured (size: cost) | intercept | slope | residual |")
        print("|---" * 7 + "|")
        for series in SERIES[part]():
            print(capacity_fit.row(series), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
