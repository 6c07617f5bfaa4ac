"""Guards against targets that change when they are formatted and parsed again."""

import hypothesis
from hypothesis import strategies

from peridothatch_core.configure import targets
from peridothatch_core.model import workclass

SETTINGS = hypothesis.settings(derandomize=True, deadline=None)
zones = strategies.sampled_from(["Africa/Accra", "Europe/Prague", "America/St_Johns"])
by_times = strategies.builds(
    workclass.ByTime, strategies.integers(0, 23), strategies.integers(0, 59), zones
)
withins = strategies.builds(
    workclass.Within, strategies.integers(1, targets.MAX_SECONDS).map(float)
)


@SETTINGS
@hypothesis.given(withins | by_times)
def test_text_and_parse_agree(target):
    assert targets.parse(targets.format_target(target)).ok_value == target


@SETTINGS
@hypothesis.given(strategies.text(max_size=40) | strategies.from_regex(r"(within|by) \S+ ?\S*"))
def test_any_text_is_parsed_or_refused(text):
    parsed = targets.parse(text)
    assert parsed.is_ok() or parsed.err_value.field == "target"
