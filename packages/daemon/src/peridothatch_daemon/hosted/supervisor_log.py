"""Log lines of the supervisor about ends, incarnations of the worker and ignored heartbeats."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.hold import exchange
from peridothatch_core.hold import state as hold_state
from peridothatch_daemon.hosted import log

if typing.TYPE_CHECKING:
    from peridothatch_daemon.hosted import counters


def write_observations(hold: hold_state.State, counted: counters.Supervisor) -> None:
    """Log and count what the core has observed since the last call."""
    for observation in hold.observations:
        fields = {
            field.name: getattr(observation, field.name)
            for field in dataclasses.fields(observation)
        }
        match observation:
            case exchange.IncarnationChanged():
                counted.incarnations_changed += 1
                log.event("supervisor:incarnation_changed", **fields)
            case exchange.EndsPassedOver():
                counted.ends_passed_over += observation.last - observation.first + 1
                log.event("supervisor:ends_passed_over", **fields)
            case exchange.RunDisappeared():
                counted.runs_disappeared += 1
                log.event("supervisor:run_disappeared", **fields)
            case exchange.HeartbeatIgnored():
                counted.heartbeats_ignored += 1
                log.event("supervisor:heartbeat_ignored", **fields)
    hold.observations.clear()


def write_acknowledgement(
    hold: hold_state.State, call: exchange.ListRuns, logged: tuple[int, int]
) -> tuple[int, int]:
    """Log the first call that acknowledges ends up to a number of an incarnation.

    Parameters
    ----------
    logged : tuple of (int, int)
        Start time of the incarnation and number of the last acknowledgement that was logged.

    Returns
    -------
    tuple of (int, int)
        The same after this call.
    """
    started_ms = hold_state.worker_started_ms(hold)
    acknowledged = (started_ms, call.recorded_through)
    if not call.recorded_through or acknowledged == logged:
        return logged
    log.event(
        "supervisor:ends_acknowledged",
        through=call.recorded_through,
        started_ms=started_ms,
        fence=call.fence,
    )
    return acknowledged


def write_recorded_ends(hold: hold_state.State, version: int) -> None:
    """Log the ends of a write that was answered or read back."""
    for end in hold.ends_in_flight.values():
        log.event(
            "supervisor:end_recorded",
            run=(end.task, end.attempt),
            how=str(end.kind),
            saved=end.saved,
            reason=end.reason,
            row_version=version,
        )
