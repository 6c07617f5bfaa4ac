"""What the leader has learned about run times and workers, and what it remembers to learn more."""

from __future__ import annotations

import dataclasses
import typing

from peridothatch_core.order import calibration, expectations

if typing.TYPE_CHECKING:
    from peridothatch_core.message import rows
    from peridothatch_core.model import learned

RunKey = tuple[str, int]
"""Task and attempt of a run."""

GangKey = tuple[str, int, int, int]
"""Job, occurrence, step and attempt of a gang."""


@dataclasses.dataclass(frozen=True, slots=True)
class FirstReport:
    """The first progress that was reported of a run, in percent, and its store time."""

    percent: int
    reported_ms: int


@dataclasses.dataclass(slots=True)
class Learned:
    """Learned run times and speeds.

    Attributes
    ----------
    history : History
        Run times on a worker of ordinary speed.
    speeds : dict
        Lasting speeds of workers by node.
    first_reports : dict
        First reported progress of each open run.
    forecasts : dict
        Run times that were expected when the open runs were ordered.
    gang_speeds : dict
        Speed of the slowest member of each gang with open runs, as of the last refresh.
    errors : dict
        Errors of the forecasts by queue.
    new_errors : list of (str, float)
        Queue and absolute logarithmic error of runs that have ended, to be exported.
    refreshed_ms : int
        Store time at which the open runs were last looked at.
    is_read : bool
        The rows of the previous leader have been read; none is written before.
    saved_speeds : dict
        Lasting speeds as they are in the store, by node.
    odd_keys : dict of Key
        Rows to delete, because they are not usable or too many; the values are not used.
    unsaved_runs : int
        Number of runs that have ended since the last write.
    written_ms : int
        Store time of the last write.
    """

    history: expectations.History = dataclasses.field(default_factory=expectations.History)
    speeds: dict[str, learned.LastingSpeed] = dataclasses.field(default_factory=dict)
    first_reports: dict[RunKey, FirstReport] = dataclasses.field(default_factory=dict)
    forecasts: dict[RunKey, calibration.Forecast] = dataclasses.field(default_factory=dict)
    gang_speeds: dict[GangKey, float] = dataclasses.field(default_factory=dict)
    errors: dict[str, calibration.Errors] = dataclasses.field(default_factory=dict)
    new_errors: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    refreshed_ms: int = 0
    is_read: bool = False
    saved_speeds: dict[str, learned.LastingSpeed] = dataclasses.field(default_factory=dict)
    odd_keys: dict[rows.Key, None] = dataclasses.field(default_factory=dict)
    unsaved_runs: int = 0
    written_ms: int = 0
