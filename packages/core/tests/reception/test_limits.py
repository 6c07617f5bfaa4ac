import dataclasses

import hypothesis
import orjson
import pytest
from hypothesis import strategies

from peridothatch_core.model import steps
from peridothatch_core.reception import limits


def _step(count, gang=False):
    return steps.Step(count, steps.Demand(28_000, 256_000, 8), gang=gang, estimate_ms=123_456)


def _largest_row_bytes(parts):
    """Return the size of a row whose tasks all run and have a checkpoint."""
    progress = [
        steps.StepProgress(
            0, number, done=[], attempts=[9] * step.count, failures=[2] * step.count,
            saved=["00000bb87a21d94b"] * step.count,
            runs=[steps.Run(index, 9, "side-ostrava-expedice-12", 1, 10_000_000, True)
                  for index in range(step.count)],
        )
        for number, step in enumerate(parts)
    ]  # fmt: skip
    job = steps.Job("00000000000000aa", "q" * 20, "s" * 20, "c" * 20, 1, 3, 3.0, 500, parts, None,
                    10_000_000, progress=progress)  # fmt: skip
    return len(orjson.dumps(job))


TEXTS = strategies.text(max_size=300) | strategies.sampled_from(
    ["x" * 700, '"\\' * 300, "\x01" * 100, "ž" * 300, "\U0001f600" * 100]
)
FIELDS = ("image", "requires", "affinity")


# Guards against a job that is accepted and never starts: the estimate left out the names of
# images, and the store rejected each write of the job's row.
@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            TEXTS, TEXTS, TEXTS, strategies.lists(strategies.integers(0, 10**9), max_size=300)
        ),
        min_size=1,
        max_size=30,
    )
)
def test_the_estimate_covers_descriptions_of_any_length(descriptions):
    parts = tuple(
        dataclasses.replace(
            _step(3), image=image, requires=requires, affinity=affinity, after=tuple(after)
        )
        for image, requires, affinity, after in descriptions
    )
    assert _largest_row_bytes(parts) <= limits.estimate_row_bytes(parts, None)


@pytest.mark.parametrize("field", FIELDS)
def test_a_job_with_names_that_the_store_would_refuse_is_refused(field):
    parts = tuple(dataclasses.replace(_step(1), **{field: "x" * 702}) for _ in range(60))
    found = limits.check(parts, None)
    assert (found.field, found.value) == (field, "42120 bytes")
    short = tuple(dataclasses.replace(_step(1), **{field: "x" * 102}) for _ in range(60))
    assert limits.check(short, None) is None


def test_a_job_with_too_many_predecessors_is_refused():
    after = tuple(range(100, 300))
    parts = tuple(dataclasses.replace(_step(1), after=after) for _ in range(60))
    assert limits.check(parts, None).field == "after"


@pytest.mark.parametrize("parts", [(_step(350),), tuple(_step(40) for _ in range(8))])
def test_the_estimate_covers_the_largest_row(parts):
    # The store refuses each write of a row over its limit, and the leader makes no progress.
    assert _largest_row_bytes(parts) <= limits.estimate_row_bytes(parts, None)
    assert limits.check(parts, None) is None


def test_a_job_whose_row_the_store_would_refuse_is_refused():
    found = limits.check((_step(600),), None)
    assert (found.field, found.value) == ("count", "600")


def test_a_gang_that_exceeds_a_transaction_is_refused():
    found = limits.check((_step(91, gang=True),), None)
    assert (found.field, found.value) == ("gang", "91")
    assert limits.check((_step(90, gang=True),), None) is None


def test_the_estimate_includes_all_occurrences():
    timetable = steps.Timetable(0, 1000, 500)
    assert limits.check((_step(5),), timetable).field == "count"
    assert limits.check((_step(5),), dataclasses.replace(timetable, times=50)) is None
