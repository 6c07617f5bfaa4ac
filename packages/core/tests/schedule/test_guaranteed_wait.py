import schedule_harness as harness

from peridothatch_core.schedule import cycle, guaranteed_wait, state


def _cycle(scheduler, now_ms=harness.NOW_MS):
    """Run a cycle; return the kinds of its events, with the waiting time if there is one."""
    cycle.run(scheduler, now_ms, harness.UNIX_MS)
    kinds = (
        guaranteed_wait.GUARANTEED,
        guaranteed_wait.EXCEEDED,
        guaranteed_wait.BEGUN,
        guaranteed_wait.BEGUN_LATE,
    )
    found = [(event.kind, event.elapsed_ms) for event in scheduler.events if event.kind in kinds]
    scheduler.events.clear()
    scheduler.changes.clear()
    return found


def _urgent(job_id, accelerators=8):
    return harness.job(job_id, harness.step(1, accelerators), priority=0)


def test_a_guaranteed_job_is_followed_until_all_tasks_are_claimed():
    job = harness.job("urgent", harness.step(2, 4), priority=0)
    scheduler = harness.make_scheduler([job], [harness.agent("n1")], {"ministry": 8})
    assert _cycle(scheduler) == [(guaranteed_wait.GUARANTEED, None)]
    assert _cycle(scheduler, harness.NOW_MS + 100) == []
    harness.renew(scheduler, harness.NOW_MS + 200)
    assert _cycle(scheduler, harness.NOW_MS + 200) == [(guaranteed_wait.BEGUN, 200)]
    assert _cycle(scheduler, harness.NOW_MS + 300) == []


def test_a_guaranteed_job_that_finds_no_room_begins_late():
    scheduler = harness.make_scheduler([_urgent("urgent")], [], {"ministry": 8})
    assert _cycle(scheduler) == [(guaranteed_wait.GUARANTEED, None)]
    late_ms = harness.NOW_MS + scheduler.limits.reclaim_ms + 1
    scheduler.agents["n1"] = harness.agent("n1", hold_until_ms=late_ms + harness.HOLD_MS)
    _cycle(scheduler, late_ms)
    harness.renew(scheduler, late_ms)
    waited_ms = late_ms - harness.NOW_MS
    assert _cycle(scheduler, late_ms) == [(guaranteed_wait.BEGUN_LATE, waited_ms)]


def test_a_waiting_job_that_loses_its_guarantee_is_reported():
    scheduler = harness.make_scheduler([_urgent("first")], [], {"ministry": 8})
    _cycle(scheduler)
    earlier = harness.job("earlier", harness.step(1, 1), priority=0, submitted_ms=1)
    state.add_job(scheduler, earlier, 2)
    assert _cycle(scheduler) == [
        (guaranteed_wait.EXCEEDED, None),
        (guaranteed_wait.GUARANTEED, None),
    ]
    assert list(scheduler.guaranteed_since_ms) == ["earlier"]
