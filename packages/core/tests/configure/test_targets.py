"""Guards against targets that are read differently from how they were written."""

import datetime

import hypothesis
from hypothesis import strategies

from peridothatch_core.configure import targets
from peridothatch_core.model import workclass

FIXED = hypothesis.settings(derandomize=True, deadline=None)
zones = strategies.sampled_from(["Africa/Accra", "Europe/Prague", "America/St_Johns"])
by_times = strategies.builds(
    workclass.ByTime, strategies.integers(0, 23), strategies.integers(0, 59), zones
)
withins = strategies.builds(
    workclass.Within, strategies.integers(1, targets.LONGEST_SECONDS).map(float)
)


@FIXED
@hypothesis.given(withins | by_times)
def test_text_and_parse_agree(target):
    assert targets.parse(targets.text(target)).ok_value == target


@FIXED
@hypothesis.given(strategies.text(max_size=40) | strategies.from_regex(r"(within|by) \S+ ?\S*"))
def test_any_text_is_parsed_or_refused(text):
    parsed = targets.parse(text)
    assert parsed.is_ok() or parsed.err_value.field == "target"


@FIXED
@hypothesis.given(withins | by_times, strategies.integers(0, 4_000_000_000).map(float))
def test_a_target_falls_due_after_the_submission(target, submitted_at):
    due = targets.due_at(target, submitted_at)
    assert due > submitted_at
    if isinstance(target, workclass.ByTime):
        # A day on which clocks are put back has 25 hours.
        assert due - submitted_at <= 25 * 3600


def test_by_morning_is_the_next_morning_across_a_clock_change():
    target = targets.parse("by 06:00 Europe/Prague").ok_value
    evening = datetime.datetime(2026, 10, 24, 20, 0, tzinfo=datetime.UTC).timestamp()
    due = datetime.datetime.fromtimestamp(targets.due_at(target, evening), datetime.UTC)
    assert due == datetime.datetime(2026, 10, 25, 5, 0, tzinfo=datetime.UTC)
