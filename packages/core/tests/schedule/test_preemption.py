import dataclasses

import schedule_harness as harness

from peridothatch_core.model import desired, steps
from peridothatch_core.schedule import preemption, state


def _filled(checkpointing=(False, False)):
    """Return a scheduler whose two workers are full of borrowed work."""
    items = [
        harness.job(f"low{number}", harness.step(1, 8, checkpointing=saves))
        for number, saves in enumerate(checkpointing)
    ]
    own = harness.scheduler(
        items, [harness.agent("n1"), harness.agent("n2")], {"ministry": 8, "hotels": 0}
    )
    harness.run(own)
    assert all(len(harness.open_runs(item)) == 1 for item in items)
    return own, items


def _urgent(job_id="urgent", customer="ministry", accelerators=8):
    return harness.job(
        job_id, harness.step(1, accelerators), priority=0, customer=customer,
        submitted_ms=harness.NOW_MS + 10,
    )  # fmt: skip


def _add(own, item):
    state.add_job(own, item, 50)


def test_a_guaranteed_job_stops_borrowed_work_and_starts_when_it_has_ended():
    own, items = _filled()
    urgent = _urgent()
    _add(own, urgent)
    harness.run(own)
    stopping = [run for item in items for run in harness.open_runs(item) if run.stopping]
    assert len(stopping) == 1
    victim = next(item for item in items if harness.open_runs(item)[0].stopping)
    harness.end(own, victim, harness.open_runs(victim)[0], steps.EndKind.STOPPED)
    assert len(harness.open_runs(urgent)) == 1
    assert not harness.open_runs(victim)


def test_work_that_resumes_from_a_checkpoint_is_stopped_first():
    own, items = _filled(checkpointing=(False, True))
    _add(own, _urgent())
    harness.renew(own, harness.NOW_MS + 2_000)
    harness.run(own, harness.NOW_MS + 2_000)
    assert [harness.open_runs(item)[0].stopping for item in items] == [False, True]


def test_rounds_while_a_run_is_stopping_stop_no_more():
    own, items = _filled()
    _add(own, _urgent())
    for _ in range(3):
        harness.run(own)
    assert sum(harness.open_runs(item)[0].stopping for item in items) == 1


def test_an_urgent_job_beyond_the_guarantee_stops_lesser_work_that_costs_little():
    # Urgent jobs waited 24 s for work of lower priority that had just begun.
    own, items = _filled()
    _add(own, _urgent(customer="hotels"))
    harness.renew(own, harness.NOW_MS + 2_000)
    harness.run(own, harness.NOW_MS + 2_000)
    assert sum(harness.open_runs(item)[0].stopping for item in items) == 1


def test_an_urgent_job_beyond_the_guarantee_does_not_throw_much_work_away():
    own, items = _filled()
    _add(own, _urgent(customer="hotels"))
    harness.renew(own, harness.NOW_MS + 15_000)
    harness.run(own, harness.NOW_MS + 15_000)
    assert not any(harness.open_runs(item)[0].stopping for item in items)


def test_an_urgent_job_beyond_the_guarantee_stops_no_other_urgent_one():
    own = harness.scheduler([], [harness.agent("n1")], {"hotels": 0})
    first = _urgent("first", customer="hotels")
    _add(own, first)
    harness.run(own)
    _add(own, _urgent("second", customer="hotels"))
    harness.run(own)
    assert not harness.open_runs(first)[0].stopping


def test_a_job_of_lower_priority_stops_nothing():
    own, items = _filled()
    _add(own, harness.job("third", harness.step(1, 8)))
    harness.run(own)
    assert not any(harness.open_runs(item)[0].stopping for item in items)


def test_urgent_jobs_within_the_guarantee_are_not_stopped_for_each_other():
    own, _ = _filled()
    first = _urgent("first", accelerators=4)
    _add(own, first)
    second = _urgent("second", accelerators=4)
    _add(own, second)
    assert preemption.protected_jobs(own) == {"first", "second"}
    _add(own, _urgent("third", accelerators=4))
    assert preemption.protected_jobs(own) == set()


def test_room_that_is_being_made_is_not_taken_by_lesser_work():
    own, items = _filled()
    small = harness.job("small", harness.step(1, 1), submitted_ms=harness.NOW_MS + 5)
    own.agents["n3"] = harness.agent("n3", capacity=steps.Demand(64_000, 256_000, 4))
    _add(own, small)
    wide = harness.job("wide", harness.step(1, 8), priority=0, submitted_ms=harness.NOW_MS + 10)
    _add(own, wide)
    harness.run(own)
    assert [run.node for run in harness.open_runs(small)] == ["n3"]
    victim = next(item for item in items if harness.open_runs(item)[0].stopping)
    harness.end(own, victim, harness.open_runs(victim)[0], steps.EndKind.STOPPED)
    assert len(harness.open_runs(wide)) == 1


def test_a_gang_is_stopped_whole():
    gang = harness.job("gang", harness.step(2, 8, gang=True))
    own = harness.scheduler([gang], [harness.agent("n1"), harness.agent("n2")], {"ministry": 8})
    harness.run(own)
    _add(own, _urgent())
    harness.run(own)
    assert [run.stopping for run in harness.open_runs(gang)] == [True, True]


def _small_tasks(**changes):
    """Return a scheduler whose worker is full of small tasks of the lowest priority."""
    small = harness.job("small", harness.step(12, 1, **changes), priority=2)
    own = harness.scheduler([small], [harness.agent("n1")])
    harness.run(own)
    assert len(harness.open_runs(small)) == 8
    return own, small


def test_lesser_work_does_not_take_the_room_that_a_wide_task_waits_for():
    # Gangs waited for 18 s while small tasks of lower priority took each hole that opened.
    own, small = _small_tasks()
    wide = harness.job("wide", harness.step(1, 8, estimate_ms=4_000), submitted_ms=1)
    _add(own, wide)
    now_ms = harness.NOW_MS + 10_000
    harness.renew(own, now_ms)
    harness.run(own, now_ms)
    for run in harness.open_runs(small):
        assert not run.stopping
        harness.end(own, small, run, steps.EndKind.DONE, now_ms=now_ms)
    assert len(harness.open_runs(wide)) == 1


def _wide_idle_fleet():
    nodes = [harness.agent(f"n{number}") for number in range(10)]
    return harness.scheduler([], nodes, {"ministry": 0})


def _with_urgent_queue(own):
    queue = desired.Queue("urgent", "h", "/u/", "render", 0, 3, 1.5, 500)
    own.desired = dataclasses.replace(own.desired, queues=(queue,))


def test_work_of_the_lowest_priority_leaves_room_for_urgent_jobs():
    # Small tasks filled all workers, and each urgent job had to throw some of them away.
    own = _wide_idle_fleet()
    _with_urgent_queue(own)
    small = harness.job("small", harness.step(200, 1), priority=2)
    _add(own, small)
    for _ in range(4):
        harness.run(own)
    left = 80 - len(harness.open_runs(small))
    assert left == 8
    urgent = harness.job("urgent", harness.step(1, 8), priority=0, submitted_ms=1)
    _add(own, urgent)
    harness.run(own)
    assert len(harness.open_runs(urgent)) == 1
    assert not any(run.stopping for run in harness.open_runs(small))


def test_without_urgent_queues_no_room_is_left():
    own = _wide_idle_fleet()
    small = harness.job("small", harness.step(200, 1), priority=2)
    _add(own, small)
    for _ in range(4):
        harness.run(own)
    assert len(harness.open_runs(small)) == 80


def test_a_gang_that_needs_all_workers_starts_on_an_idle_fleet():
    own = _wide_idle_fleet()
    _with_urgent_queue(own)
    everything = harness.job("all", harness.step(10, 8, gang=True))
    _add(own, everything)
    harness.run(own)
    assert len(harness.open_runs(everything)) == 10


def test_a_gang_that_waits_keeps_its_room_once():
    # The room in one rack was kept, and then that of a plan for all workers besides.
    racks = {"n1": "r1", "n2": "r1", "n3": "r2", "n4": "r2"}
    nodes = [harness.agent(node, rack=rack) for node, rack in racks.items()]
    own = harness.scheduler([], nodes, {"ministry": 0})
    low = [harness.job(f"low{number}", harness.step(1, 4), priority=2) for number in range(8)]
    for item in low:
        _add(own, item)
    harness.run(own)
    assert all(harness.open_runs(item) for item in low)
    gang = harness.step(2, 8, gang=True, same_rack=True, estimate_ms=1)
    _add(own, harness.job("wide", gang, submitted_ms=1))
    small = harness.job("small", harness.step(1, 4), priority=2)
    _add(own, small)
    for now_ms in (harness.NOW_MS + 20_000, harness.NOW_MS + 21_000):
        harness.renew(own, now_ms)
        harness.run(own, now_ms)
    # One rack is kept; an end in the other one leaves room for lesser work.
    for node in ("n1", "n3"):
        item = next(item for item in low if harness.open_runs(item)[0].node == node)
        harness.end(own, item, harness.open_runs(item)[0], steps.EndKind.DONE, now_ms=now_ms)
        low.remove(item)
    assert len(harness.open_runs(small)) == 1


def test_room_on_an_avoided_worker_is_made_when_sound_ones_cost_too_much():
    own, items = _filled(checkpointing=(False, True))
    cheap = harness.open_runs(items[1])[0]
    own.health.by_worker[cheap.node] = {"another": harness.NOW_MS / 1000.0}
    _add(own, _urgent(customer="hotels"))
    now_ms = harness.NOW_MS + 15_000
    harness.renew(own, now_ms)
    harness.run(own, now_ms)
    assert [harness.open_runs(item)[0].stopping for item in items] == [False, True]


def test_nothing_stops_for_an_urgent_job_while_agents_have_not_answered_a_new_leader():
    # A new leader knew a third of the agents and stopped work for room that the others had.
    own, items = _filled()
    own.unconfirmed = {"n9"}
    own.confirmations_requested_ms = harness.NOW_MS
    _add(own, _urgent())
    harness.run(own, harness.NOW_MS + state.CONFIRM_MS - 1)
    assert not any(harness.open_runs(item)[0].stopping for item in items)
    harness.run(own, harness.NOW_MS + state.CONFIRM_MS)
    assert sum(harness.open_runs(item)[0].stopping for item in items) == 1
