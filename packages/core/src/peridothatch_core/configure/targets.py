"""Parses and formats targets of classes: ``within 8h`` and ``by 06:00 Africa/Accra``."""

from __future__ import annotations

import re
import zoneinfo

import result

from peridothatch_core.model import verdict, workclass

EXPECTED_FORMAT = "a target such as 'within 8h', 'within 1h30m' or 'by 06:00 Africa/Accra'"
MAX_SECONDS = 366 * 86400
DAY_SECONDS = 86400
HOUR_SECONDS = 3600
MINUTE_SECONDS = 60

_WITHIN = re.compile(r"within (?=\d)(?:(\d{1,5})d)?(?:(\d{1,5})h)?(?:(\d{1,6})m)?(?:(\d{1,8})s)?")
_BY = re.compile(r"by (\d{1,2}):(\d{2}) ([A-Za-z0-9_+\-/]{1,64})")


def parse(
    text: str, field: str = "target"
) -> result.Result[workclass.Within | workclass.ByTime, verdict.Refusal]:
    """Parse a target.

    Parameters
    ----------
    field : str
        Name of the input field that a refusal reports.
    """
    within = _WITHIN.fullmatch(text)
    if within is not None:
        days, hours, minutes, seconds = (int(part or 0) for part in within.groups())
        total = days * DAY_SECONDS + hours * HOUR_SECONDS + minutes * MINUTE_SECONDS + seconds
        if 0 < total <= MAX_SECONDS:
            return result.Ok(workclass.Within(float(total)))
        return result.Err(verdict.invalid(field, text, "a time from 1s to 366d"))
    by_time = _BY.fullmatch(text)
    if by_time is None:
        return result.Err(verdict.invalid(field, text, EXPECTED_FORMAT))
    hour, minute, zone = int(by_time[1]), int(by_time[2]), by_time[3]
    if hour > 23 or minute > 59:
        return result.Err(verdict.invalid(field, text, "a time of day from 00:00 to 23:59"))
    if _load_zone(zone) is None:
        return result.Err(verdict.invalid(field, text, "a time zone such as Africa/Accra"))
    return result.Ok(workclass.ByTime(hour, minute, zone))


def format_target(target: workclass.Within | workclass.ByTime) -> str:
    """Format a target so that ``parse`` reads it back."""
    if isinstance(target, workclass.ByTime):
        return f"by {target.hour:02}:{target.minute:02} {target.zone}"
    return f"within {format_duration(target.seconds)}"


def format_duration(seconds: float) -> str:
    """Format a time span such as ``1h30m``, rounded to seconds."""
    remaining = round(seconds)
    parts = []
    for size, unit in ((DAY_SECONDS, "d"), (HOUR_SECONDS, "h"), (MINUTE_SECONDS, "m"), (1, "s")):
        count, remaining = divmod(remaining, size)
        if count:
            parts.append(f"{count}{unit}")
    return "".join(parts) or "0s"


def _load_zone(name: str) -> zoneinfo.ZoneInfo | None:
    try:
        return zoneinfo.ZoneInfo(name)
    except (zoneinfo.ZoneInfoNotFoundError, ValueError, OSError):
        return None
