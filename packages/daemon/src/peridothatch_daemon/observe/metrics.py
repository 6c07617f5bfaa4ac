"""OpenTelemetry metrics in the Prometheus text format, read from the state dump."""

from __future__ import annotations

import re
import resource
import typing

import prometheus_client
from opentelemetry import metrics as otel
from opentelemetry.exporter import prometheus as exporter
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk import resources

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST

# Each invariant is exported from the start, also while it has no breach, so that a single
# breach is visible as a value other than zero.
INVARIANTS = (
    "guarantee_reclaimable",
    "gang_whole",
    "no_start_after_out",
    "own_answer",
    "true_not_run",
    "at_most_once",
    "no_work_to_leaving",
    "graceful_stop",
    "config_monotonic",
)

LATENCY_BOUNDARIES = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
"""Bucket boundaries in seconds, from a call to a nearby store to the longest wait of a caller."""

Dump = dict[str, typing.Any]

LatencyRecorder = typing.Callable[[float], None]

LOG_ERROR_BOUNDARIES = (0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 1.0, 1.5, 2.0, 3.0)
"""Bucket boundaries of a logarithmic error, from 5 % to a factor of 20."""

ErrorRecorder = typing.Callable[[str, float], None]
"""Takes the name of a queue and an absolute logarithmic error."""


class Metrics:
    """Instruments of a process, and the state dump from which they read."""

    __slots__ = ("_counters", "_dump", "_gauges", "_meter", "_provider", "_reader", "_registry")

    def __init__(self, process_id: str) -> None:
        self._dump: Dump = {"tasks": {}}
        self._registry = prometheus_client.CollectorRegistry()
        self._reader = exporter.PrometheusMetricReader(
            disable_target_info=False, registry=self._registry
        )
        identity = resources.Resource.create({"service.instance.id": process_id})
        self._provider = sdk.MeterProvider([self._reader], resource=identity)
        self._meter = self._provider.get_meter("peridothatch")
        self._counters: set[str] = set()
        self._gauges: set[str] = set()


def start(process_id: str) -> Metrics:
    """Create the metrics of a process and register those that every process has."""
    metrics = Metrics(process_id)
    metrics._meter.create_observable_counter(
        "peridothatch_invariant_breaches",
        [lambda _: _breaches(metrics._dump)],
        description="Breaches of each invariant; must read zero",
    )
    metrics._meter.create_observable_gauge(
        "peridothatch_resident_bytes",
        [lambda _: [otel.Observation(resident_bytes())]],
        description="Resident memory of this process",
    )
    metrics._meter.create_observable_counter(
        "peridothatch_cpu_seconds",
        [lambda _: [otel.Observation(cpu_seconds())]],
        description="Processor time of this process",
    )
    return metrics


def close(metrics: Metrics) -> None:
    """Shut the provider down."""
    metrics._provider.shutdown()


def render(metrics: Metrics, dump: Dump) -> bytes:
    """Render the metrics of a state dump in the Prometheus text format.

    Each number that a task reports under ``counters`` or ``gauges`` is exported as
    ``peridothatch_TASK_NAME``.
    """
    metrics._dump = dump
    for task_name, state in dump["tasks"].items():
        for name in _numbers(state, "counters"):
            _register_instrument(metrics, task_name, name, "counters", metrics._counters)
        for name in _numbers(state, "gauges"):
            _register_instrument(metrics, task_name, name, "gauges", metrics._gauges)
    return prometheus_client.generate_latest(metrics._registry)


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    with open("/proc/self/statm") as statm:  # noqa: PTH123
        return int(statm.read().split()[1]) * resource.getpagesize()


def cpu_seconds() -> float:
    """Return the processor time of this process in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def create_latency_recorder(metrics: Metrics, name: str, description: str) -> LatencyRecorder:
    """Create a histogram and return a function that records durations in seconds in it."""
    histogram = metrics._meter.create_histogram(
        f"peridothatch_{name}",
        unit="s",
        description=description,
        explicit_bucket_boundaries_advisory=LATENCY_BOUNDARIES,
    )
    return histogram.record


def create_error_recorder(metrics: Metrics, name: str, description: str) -> ErrorRecorder:
    """Create a histogram and return a function that records logarithmic errors by queue in it."""
    histogram = metrics._meter.create_histogram(
        f"peridothatch_{name}",
        description=description,
        explicit_bucket_boundaries_advisory=LOG_ERROR_BOUNDARIES,
    )

    def record(queue: str, error: float) -> None:
        histogram.record(error, {"queue": queue})

    return record


def _register_instrument(
    metrics: Metrics, task_name: str, name: str, group: str, known: set[str]
) -> None:
    metric = re.sub(r"[^a-z0-9_]", "_", f"peridothatch_{task_name}_{name}".lower())
    if metric in known:
        return
    known.add(metric)

    def observe(_: otel.CallbackOptions) -> list[otel.Observation]:
        value = _numbers(metrics._dump["tasks"].get(task_name), group).get(name)
        return [] if value is None else [otel.Observation(value)]

    if group == "counters":
        metrics._meter.create_observable_counter(metric, [observe])
    else:
        metrics._meter.create_observable_gauge(metric, [observe])


def _numbers(state: typing.Any, group: str) -> dict[str, float]:
    if not isinstance(state, dict) or not isinstance(state.get(group), dict):
        return {}
    return {
        name: value
        for name, value in state[group].items()
        if isinstance(value, (int, float)) and not isinstance(value, bool)
    }


def _breaches(dump: Dump) -> list[otel.Observation]:
    totals = dict.fromkeys(INVARIANTS, 0)
    for state in dump["tasks"].values():
        for name, value in _numbers(state, "breaches").items():
            if name in totals:
                totals[name] += int(value)
    return [otel.Observation(value, {"invariant": name}) for name, value in totals.items()]
