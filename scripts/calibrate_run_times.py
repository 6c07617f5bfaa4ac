"""Compare expected with actual run times, by class, from the log lines of plays.

Each line begins with the time in seconds at which it was written, followed by the node and the
line itself. The runs of a play are replayed in this order: each run is forecast when it is
ordered, and learned when it is done. The table has the share of runs that ended within the 0.5,
0.8 and 0.95 quantile, and the mean absolute logarithm of run time divided by the median, for the
learned estimate, the one before it (``order.runtimes``) and the declared run time. A gang counts
as one run, and the tasks of another step together as one. The second table has only those runs
for which the learned estimate had a history; each play begins without one.

Resumed runs are left out, as their logs do not tell the share of the work that they had to do.
The speeds of workers are not in the logs, so run times are not corrected by them.
"""

from __future__ import annotations

import argparse
import collections
import dataclasses
import json
import math
import pathlib
import re
import typing

from peridothatch_core.order import calibration, expectations, runtimes

REFRESH_SECONDS = 0.5
"""Interval at which open runs are counted, as in ``schedule.expected``."""

STEP_TEXT = re.compile(r"(?P<count>\d+) x .* for (?P<estimate_ms>\d+) ms(?P<traits>.*)")

ESTIMATORS = ("learned", "previous", "declared")

Forecasts = dict[str, tuple[float, ...]]
"""Seconds at each of the quantiles by estimator."""


@dataclasses.dataclass(frozen=True)
class Step:
    """A step of a job as declared in the line of its acceptance."""

    customer: str
    queue: str
    priority: int
    count: int
    declared_seconds: float
    gang: bool

    @property
    def weight(self) -> float:
        """Share of one run in the step."""
        return 1.0 if self.gang else 1.0 / self.count


@dataclasses.dataclass
class Score:
    """Weights of the runs of one class within each quantile, and their errors."""

    runs: float = 0.0
    within: list[float] = dataclasses.field(
        default_factory=lambda: [0.0] * len(calibration.QUANTILES)
    )
    log_errors: float = 0.0


@dataclasses.dataclass
class Replay:
    """State of the replay of one play."""

    jobs: dict[str, list[Step]] = dataclasses.field(default_factory=dict)
    open_runs: dict[tuple[str, int], tuple[float, Step]] = dataclasses.field(default_factory=dict)
    forecasts: dict[tuple[str, int], tuple[Forecasts, bool]] = dataclasses.field(
        default_factory=dict
    )
    counted: set[str] = dataclasses.field(default_factory=set)
    learned: expectations.History = dataclasses.field(default_factory=expectations.History)
    previous: runtimes.History = dataclasses.field(default_factory=runtimes.History)
    refreshed_at: float = -math.inf


Scores = dict[tuple[int, str, bool], Score]
"""Scores by priority, estimator and whether the learned estimate had a history."""


def read_lines(path: pathlib.Path) -> typing.Iterator[tuple[float, dict[str, typing.Any]]]:
    """Yield the time and the fields of each log line, in the order of time."""
    found = []
    for line in path.read_text().splitlines():
        at, _, rest = line.strip().partition(" ")
        start = rest.find("{")
        try:
            fields = json.loads(rest[start:]) if start >= 0 else None
            found.append((float(at), fields))
        except ValueError:
            continue
    yield from sorted(
        (item for item in found if isinstance(item[1], dict)), key=lambda item: item[0]
    )


def replay(path: pathlib.Path, scores: Scores) -> None:
    """Replay a play and add the scores of its runs."""
    state = Replay()
    lines = list(read_lines(path))
    # A job may be ordered before the line of its acceptance is written.
    state.jobs = {
        fields["job"]: parse_steps(fields)
        for _, fields in lines
        if fields.get("message_type") == "reception:accepted" and fields.get("action") == "submit"
    }
    for at, fields in lines:
        kind = fields.get("message_type", "")
        if kind == "scheduler:ordered":
            _order(state, at, fields)
        elif kind.startswith("scheduler:ended"):
            _end(state, at, fields, kind == "scheduler:ended done", scores)


def parse_steps(fields: dict[str, typing.Any]) -> list[Step]:
    """Return the steps of an accepted job."""
    found = []
    for text in fields["steps"]:
        match = STEP_TEXT.fullmatch(text)
        if match is None:
            raise ValueError(f"unexpected step {text!r}")
        found.append(
            Step(
                fields.get("customer") or "",
                fields["queue"],
                fields["priority"],
                int(match["count"]),
                int(match["estimate_ms"]) / 1000.0,
                "gang" in match["traits"].split(),
            )
        )
    return found


def _order(state: Replay, at: float, fields: dict[str, typing.Any]) -> None:
    step = _find_step(state, fields)
    if step is None:
        return
    _refresh(state, at)
    run = (fields["task"], fields["attempt"])
    state.open_runs[run] = (at, step)
    if "resumed" not in fields["detail"]:
        state.forecasts[run] = _forecast(state, step)


def _forecast(state: Replay, step: Step) -> tuple[Forecasts, bool]:
    """Return the forecasts of a run, and whether the learned one is based on a history."""
    declared = step.declared_seconds
    learned = [
        expectations.estimate(state.learned, step.customer, step.queue, declared, quantile)
        for quantile in calibration.QUANTILES
    ]
    forecasts = {
        "learned": tuple(expectation.seconds for expectation in learned),
        "previous": tuple(
            runtimes.estimate(state.previous, step.customer, step.queue, declared, quantile)
            for quantile in calibration.QUANTILES
        ),
        "declared": (declared,) * len(calibration.QUANTILES),
    }
    return forecasts, learned[0].samples > 0


def _end(
    state: Replay, at: float, fields: dict[str, typing.Any], done: bool, scores: Scores
) -> None:
    run = (fields["task"], fields["attempt"])
    _, step = state.open_runs.pop(run, (0.0, None))
    forecasts, has_history = state.forecasts.pop(run, (None, False))
    if step is None or not done:
        return
    # A gang is done with its first member; another task is done once.
    sample = fields["task"].rpartition(".")[0] if step.gang else fields["task"]
    seconds = fields["after_ms"] / 1000.0
    if forecasts is not None:
        runtimes.record(state.previous, step.customer, step.queue, seconds)
    if sample in state.counted or forecasts is None:
        return
    state.counted.add(sample)
    _refresh(state, at)
    for estimator, forecast in forecasts.items():
        score = scores[step.priority, estimator, has_history]
        _score(score, forecast, seconds, step.weight)
    expectations.record(
        state.learned, step.customer, step.queue, seconds, step.weight, step.declared_seconds
    )


def _score(score: Score, forecast: tuple[float, ...], seconds: float, weight: float) -> None:
    score.runs += weight
    score.log_errors += weight * abs(math.log(seconds / forecast[0]))
    for position, limit in enumerate(forecast):
        score.within[position] += weight * (seconds <= limit)


def _add(one: Score, other: Score) -> Score:
    within = [first + second for first, second in zip(one.within, other.within, strict=True)]
    return Score(one.runs + other.runs, within, one.log_errors + other.log_errors)


def _refresh(state: Replay, at: float) -> None:
    """Count the open runs as run times that are longer than the time so far."""
    if at - state.refreshed_at < REFRESH_SECONDS:
        return
    state.refreshed_at = at
    gangs: set[str] = set()
    samples = []
    for (task, _), (ordered_at, step) in state.open_runs.items():
        gang = task.rpartition(".")[0]
        if step.gang and gang in gangs:
            continue
        gangs.add(gang)
        samples.append(
            expectations.OpenRun(
                step.customer, step.queue, at - ordered_at, step.weight, step.declared_seconds
            )
        )
    expectations.observe_running(state.learned, samples)


def _find_step(state: Replay, fields: dict[str, typing.Any]) -> Step | None:
    found = state.jobs.get(fields["job"])
    return found[int(fields["task"].split(".")[2])] if found else None


def table(scores: Scores, *, only_with_history: bool) -> list[str]:
    """Return the lines of a table in Markdown."""
    lines = [
        "| priority | steps | estimate | within 0.5 | within 0.8 | within 0.95 | log error |",
        "|---|---|---|---|---|---|---|",
    ]
    for priority in sorted({priority for priority, _, _ in scores}):
        for estimator in ESTIMATORS:
            score = scores[priority, estimator, True]
            if not only_with_history:
                score = _add(score, scores[priority, estimator, False])
            if not score.runs:
                continue
            shares = " | ".join(f"{within / score.runs:.2f}" for within in score.within)
            error = score.log_errors / score.runs
            lines.append(
                f"| {priority} | {score.runs:.0f} | {estimator} | {shares} | {error:.2f} |"
            )
    return lines


def main() -> None:
    """Print the table over all plays that are given."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("logs", nargs="+", type=pathlib.Path)
    scores: Scores = collections.defaultdict(Score)
    for path in parser.parse_args().logs:
        replay(path, scores)
    for only_with_history in (False, True):
        print("\n".join(("", *table(scores, only_with_history=only_with_history))))


if __name__ == "__main__":
    main()
