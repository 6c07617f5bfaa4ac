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
def observations():
    found = soak_checks.Observations()
    found.attempted[JOB] = SPEC
    found.zones = {0: "accra-a"}
    return found


def _run(attempt=1, task=TASK, spec=SPEC):
    return soak_worker.WorkerRun(0, 1, task, attempt, spec, "", 1, time.monotonic())


def _names(observations):
    return [line.split(":")[0] for line in observations.breaches]


def test_a_regular_run_reports_no_breach(observations):
    observations.check_answer(JOB, "POST", 200, {}, time.monotonic(), False)
    for index in range(2):
        run = _run(task=f"{JOB}.0.0.{index}")
        observations.record_start(run)
        observations.record_end(run, "done", index + 1)
    observations.record_acknowledged(0, 1, 2)
    observations.check_answer(JOB, "GET", 200, {"state": "completed"}, time.monotonic(), False)
    observations.check_final_states()
    assert not observations.breaches


def test_a_second_run_of_a_task_at_the_same_time(observations):
    observations.record_start(_run())
    observations.record_start(_run(2))
    assert _names(observations) == ["at_most_once"]


def test_a_run_after_an_end_that_was_acknowledged(observations):
    run = _run()
    observations.record_start(run)
    observations.record_end(run, "done", 1)
    observations.record_acknowledged(0, 1, 1)
    observations.record_start(_run(2))
    assert _names(observations) == ["at_most_once"]


def test_an_end_is_void_when_the_lease_lapsed_before_it_was_acknowledged(observations):
    run = _run()
    observations.record_start(run)
    observations.record_end(run, "done", 1)
    observations.record_lapse(0, 1)
    observations.record_acknowledged(0, 1, 1)
    observations.record_start(_run(2))
    assert not observations.breaches


def test_a_run_of_an_unsubmitted_job_or_with_another_specification(observations):
    observations.record_start(_run(task="00000000000000bb.0.0.0"))
    observations.record_start(_run(spec="{}"))
    assert _names(observations) == ["unasked", "own_answer"]


def test_a_start_after_a_cancellation_or_an_evacuation(observations):
    observations.cancelled[JOB] = time.monotonic() - LONG_AGO
    observations.evacuated["accra-a"] = time.monotonic() - LONG_AGO
    observations.record_start(_run())
    assert _names(observations) == ["cancel", "no_start_after_out"]


def test_time_limits_are_suspended_after_a_fault(observations):
    observations.exempt_until = time.monotonic() + LONG_AGO
    observations.cancelled[JOB] = time.monotonic() - LONG_AGO
    observations.record_start(_run())
    assert not observations.breaches


def test_a_job_accepted_with_a_revoked_key(observations):
    observations.revoked_at = time.monotonic() - LONG_AGO
    observations.check_answer(JOB, "POST", 200, {}, time.monotonic(), False)
    assert not observations.breaches
    observations.check_answer(JOB, "POST", 200, {}, time.monotonic(), True)
    assert _names(observations) == ["revoke"]


def test_a_run_of_a_job_that_was_only_refused_as_not_run(observations):
    observations.attempts[JOB] = 1
    observations.check_answer(JOB, "POST", 503, {"verdict": "not_run"}, time.monotonic(), False)
    observations.record_start(_run())
    observations.check_final_states()
    assert _names(observations) == ["true_not_run"]


@pytest.mark.parametrize("status", [400, 401, 404, 413, 429])
def test_a_run_of_a_job_that_was_refused_for_another_reason(observations, status):
    observations.attempts[JOB] = 1
    observations.check_answer(JOB, "POST", status, {"verdict": "not_run"}, time.monotonic(), False)
    observations.record_start(_run())
    observations.check_final_states()
    assert _names(observations) == ["true_not_run"]


def test_a_refusal_without_a_verdict(observations):
    observations.check_answer(JOB, "POST", 503, {}, time.monotonic(), False)
    assert _names(observations) == ["true_not_run"]


def test_an_accepted_job_that_is_unknown_later(observations):
    observations.accepted[JOB] = time.monotonic() - LONG_AGO
    observations.check_answer(JOB, "GET", 410, {}, time.monotonic(), False)
    assert _names(observations) == ["lost"]


def test_a_job_that_is_completed_before_its_tasks_or_changes_its_final_state(observations):
    observations.check_answer(JOB, "GET", 200, {"state": "completed"}, time.monotonic(), False)
    observations.check_answer(JOB, "GET", 200, {"state": "running"}, time.monotonic(), False)
    assert _names(observations) == ["completed", "final"]


def test_a_job_without_a_final_state_or_cancelled_by_no_caller(observations):
    observations.accepted[JOB] = time.monotonic()
    observations.check_final_states()
    observations.final[JOB] = "cancelled"
    observations.check_final_states()
    assert _names(observations) == ["stuck", "final"]
