"""Each check of the soak test reports its own kind of violation, and no other."""

import json
import time

import pytest
import soak_checks
import soak_worker

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"
SPEC = json.dumps({"seconds": 1, "gpu": 1, "gang": False, "width": 2})
LONG_AGO = 60.0


@pytest.fixture
def seen():
    found = soak_checks.Seen()
    found.attempted[JOB] = SPEC
    found.zones = {0: "accra-a"}
    return found


def _run(attempt=1, task=TASK, spec=SPEC):
    return soak_worker.Started(0, 1, task, attempt, spec, "", 1, time.monotonic())


def _names(seen):
    return [line.split(":")[0] for line in seen.breaches]


def test_an_ordinary_course_breaks_nothing(seen):
    seen.answered(JOB, "POST", 200, {}, time.monotonic(), False)
    for index in range(2):
        run = _run(task=f"{JOB}.0.0.{index}")
        seen.started(run)
        seen.ended(run, "done", index + 1)
    seen.noted(0, 1, 2)
    seen.answered(JOB, "GET", 200, {"state": "completed"}, time.monotonic(), False)
    seen.at_the_end()
    assert not seen.breaches


def test_a_second_run_of_a_task_at_the_same_time(seen):
    seen.started(_run())
    seen.started(_run(2))
    assert _names(seen) == ["at_most_once"]


def test_a_run_after_an_end_that_was_acknowledged(seen):
    run = _run()
    seen.started(run)
    seen.ended(run, "done", 1)
    seen.noted(0, 1, 1)
    seen.started(_run(2))
    assert _names(seen) == ["at_most_once"]


def test_an_end_counts_no_more_when_the_lease_lapsed_before_it_was_acknowledged(seen):
    run = _run()
    seen.started(run)
    seen.ended(run, "done", 1)
    seen.lapsed(0, 1)
    seen.noted(0, 1, 1)
    seen.started(_run(2))
    assert not seen.breaches


def test_a_run_of_a_job_that_nobody_sent_or_with_another_specification(seen):
    seen.started(_run(task="00000000000000bb.0.0.0"))
    seen.started(_run(spec="{}"))
    assert _names(seen) == ["unasked", "own_answer"]


def test_a_start_after_the_cancellation_or_the_take_out(seen):
    seen.cancelled[JOB] = time.monotonic() - LONG_AGO
    seen.evacuated["accra-a"] = time.monotonic() - LONG_AGO
    seen.started(_run())
    assert _names(seen) == ["cancel", "no_start_after_out"]


def test_bounds_in_time_do_not_hold_near_a_fault(seen):
    seen.disturbed_until = time.monotonic() + LONG_AGO
    seen.cancelled[JOB] = time.monotonic() - LONG_AGO
    seen.started(_run())
    assert not seen.breaches


def test_a_job_accepted_with_a_key_that_was_taken_away(seen):
    seen.revoked_at = time.monotonic() - LONG_AGO
    seen.answered(JOB, "POST", 200, {}, time.monotonic(), False)
    assert not seen.breaches
    seen.answered(JOB, "POST", 200, {}, time.monotonic(), True)
    assert _names(seen) == ["revoke"]


def test_a_refusal_that_is_not_true(seen):
    seen.tries[JOB] = 1
    seen.answered(JOB, "POST", 503, {"verdict": "not_run"}, time.monotonic(), False)
    seen.started(_run())
    seen.at_the_end()
    assert _names(seen) == ["true_not_run"]


def test_a_refusal_without_a_verdict(seen):
    seen.answered(JOB, "POST", 503, {}, time.monotonic(), False)
    assert _names(seen) == ["true_not_run"]


def test_an_accepted_job_that_is_unknown_later(seen):
    seen.accepted[JOB] = time.monotonic() - LONG_AGO
    seen.answered(JOB, "GET", 410, {}, time.monotonic(), False)
    assert _names(seen) == ["lost"]


def test_a_job_that_is_completed_before_its_tasks_or_changes_its_final_state(seen):
    seen.answered(JOB, "GET", 200, {"state": "completed"}, time.monotonic(), False)
    seen.answered(JOB, "GET", 200, {"state": "running"}, time.monotonic(), False)
    assert _names(seen) == ["completed", "final"]


def test_a_job_without_a_final_state_or_cancelled_unasked(seen):
    seen.accepted[JOB] = time.monotonic()
    seen.at_the_end()
    seen.final[JOB] = "cancelled"
    seen.at_the_end()
    assert _names(seen) == ["stuck", "final"]
