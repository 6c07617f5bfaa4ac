"""Replay the log of a run into the estimator of worker speeds and print the estimate by node.

Takes the path of a log whose lines are a time in seconds, the name of a process and a JSON object.
The log has no reports of progress, so each task without gang that ended as done at its first
attempt counts as one rate over its whole run.

    PYTHONPATH=packages/core/src python scripts/replay_speeds.py LOG [SECONDS]
"""

from __future__ import annotations

import argparse
import json
import pathlib
import typing

from peridothatch_core.model import steps
from peridothatch_core.schedule import speed_fit, speed_tiers, speeds

if typing.TYPE_CHECKING:
    from collections.abc import Iterator

FIRST_FIT_MS = 1_000_000
"""Time of the fits at second 0 of the log, whose times start below 0."""


def main() -> None:
    """Read the arguments, replay the log and print a line for each node."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("log", type=pathlib.Path)
    parser.add_argument("until", type=float, nargs="?", default=float("inf"))
    arguments = parser.parse_args()
    found = speeds.Speeds()
    first = None
    for at, task, node, seconds in _finished_tasks(arguments.log, arguments.until):
        job, occurrence, step, _ = steps.parse_task_name(task) or ("", 0, 0, 0)
        key = (job, occurrence, step, True)
        speeds.record_rate(found, key, (task, 1), node, 100.0, 1000.0 * seconds)
        speeds.refit(found, round(1000 * at) + FIRST_FIT_MS)
        if first is None and _tiers(found).by_node:
            first = at
    speeds.refit(found, 2 * FIRST_FIT_MS)
    tiers = _tiers(found)
    for node, speed in sorted(found.lasting.items(), key=lambda item: item[1].log_ratio):
        ratio = speed_fit.ratio(speed)
        print(f"{ratio:5.2f} {speed.weight:5.1f} {tiers.by_node.get(node, '-'):8} {node}")
    _print_summary(tiers)
    print(f"standard deviation of the logarithm of a task's rate: {found.task_deviation:.2f}")
    print("never told apart" if first is None else f"first told apart at {first:.1f} s")


def _tiers(found: speeds.Speeds) -> speed_tiers.Tiers:
    return speed_tiers.classify(found.lasting, found.lasting, found.task_deviation)


def _print_summary(tiers: speed_tiers.Tiers) -> None:
    found = list(tiers.by_node.values())
    fast, slow = (found.count(tier) for tier in (speed_tiers.Tier.FAST, speed_tiers.Tier.SLOW))
    print(f"spread {tiers.spread:.2f}; {fast} workers known as fast and {slow} as slow")


def _finished_tasks(path: pathlib.Path, until: float) -> Iterator[tuple[float, str, str, float]]:
    """Yield time, task, node and seconds of the tasks without gang that ended as done."""
    gang_steps: dict[str, list[bool]] = {}
    with path.open(errors="replace") as log:
        for line in log:
            head, brace, rest = line.partition("{")
            if not brace or '"message_type"' not in rest:
                continue
            if float(head.split()[0]) > until:
                return
            try:
                event = json.loads(brace + rest)
            except ValueError:
                continue
            if event["message_type"] == "reception:accepted" and event.get("steps"):
                gang_steps[event["job"]] = [" gang" in step for step in event["steps"]]
            elif event["message_type"] == "scheduler:ended done" and event["attempt"] == 1:
                parsed = steps.parse_task_name(event["task"])
                if parsed is not None and not gang_steps.get(parsed[0], [True])[parsed[2]]:
                    at = float(head.split()[0])
                    yield at, event["task"], event["worker_node"], event["after_ms"] / 1000.0


if __name__ == "__main__":
    main()
