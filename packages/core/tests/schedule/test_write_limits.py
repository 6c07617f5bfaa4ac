import dataclasses
import json

import schedule_harness as harness

from peridothatch_core.model import steps
from peridothatch_core.reception import limits

STORE_ROW_BYTES = 65_536


def _row_bytes(job):
    return len(json.dumps(dataclasses.asdict(job), separators=(",", ":")))


def _overlapping_job(*parts):
    """Return a job of eight occurrences, all of which are due."""
    timetable = steps.Timetable(harness.UNIX_MS - 100_000, 1_000, 8)
    job = harness.job("a", *parts, timetable=timetable)
    assert limits.check(job.steps, timetable) is None
    return job


def _nodes(count):
    return [harness.agent(f"side-ostrava-expedice-{number}") for number in range(count)]


def test_the_row_of_a_job_stays_within_its_limit_while_occurrences_overlap():
    # Occurrences that fell due during an outage of the store were started all at once. The store
    # refused the row with their runs each time, and nothing was scheduled any more.
    job = _overlapping_job(harness.step(102, 0, 400))
    scheduler = harness.make_scheduler([job], _nodes(30))
    ended = 0
    while job.state not in steps.FINAL_STATES:
        for _ in range(6):
            harness.renew(scheduler, harness.NOW_MS)
            harness.run(scheduler)
            assert _row_bytes(job) <= STORE_ROW_BYTES
        for run in harness.open_runs(job):
            harness.end(scheduler, job, run, steps.EndKind.DONE)
            ended += 1
    assert ended == 8 * 102


def test_runs_of_later_occurrences_do_not_keep_a_gang_out():
    # The gang of an occurrence waits for the runs of others to end; new ones would starve it.
    job = _overlapping_job(harness.step(75, 0, 400, gang=True), harness.step(20, 0, 400))
    scheduler = harness.make_scheduler([job], _nodes(30))
    while job.state not in steps.FINAL_STATES:
        for _ in range(4):
            harness.renew(scheduler, harness.NOW_MS)
            harness.run(scheduler)
            assert _row_bytes(job) <= STORE_ROW_BYTES
        started = harness.open_runs(job)
        assert started
        for run in started:
            harness.end(scheduler, job, run, steps.EndKind.DONE)
