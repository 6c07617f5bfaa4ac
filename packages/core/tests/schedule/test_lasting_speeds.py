"""Lasting estimate of worker speeds, under steps of many similar tasks on undeclared speeds."""

import math
import random

import pytest
import schedule_harness as harness
import unequal_fleet

from peridothatch_core.model import agents, steps
from peridothatch_core.schedule import speed_fit, speeds, state

NODES = tuple(f"n{number:02}" for number in range(16))


def _pace(default, other, nodes):
    return {node: other if node in nodes else default for node in NODES}


def _observed(fleet, waves=2, tasks=48, **changes):
    """Run some steps of many tasks, one after the other, and return the speeds by node."""
    for wave in range(waves):
        step = harness.step(tasks, 1, estimate_ms=10_000, spread_limit=3, **changes)
        unequal_fleet.submit(fleet, harness.job(f"wide{wave}", step))
        unequal_fleet.advance(fleet, 14_000)
    return _lasting(fleet)


def _lasting(fleet):
    found = fleet.scheduler.speeds
    speeds.refit(found, fleet.now_ms + speeds.REFIT_INTERVAL_MS)
    return {node: speed_fit.ratio(speed) for node, speed in found.lasting.items()}


@pytest.mark.parametrize("seed", range(3))
def test_a_fast_minority_is_told_from_the_others(seed):
    # Otherwise urgent gangs use slow and fast workers alike.
    fast = set(NODES[:4])
    fleet = unequal_fleet.make_fleet(_pace(1 / 1.2, 1 / 0.55, fast), seed)
    ratios = _observed(fleet)
    slowest_fast = min(ratios[node] for node in fast)
    assert slowest_fast > 1.35 * max(ratios[node] for node in NODES if node not in fast)


@pytest.mark.parametrize("seed", range(3))
def test_a_slow_minority_is_told_from_the_others(seed):
    # A worker below half of the reference was avoided for a time, and the observation was dropped.
    slow = set(NODES[:3])
    fleet = unequal_fleet.make_fleet(_pace(1.0, 0.4, slow), seed)
    ratios = _observed(fleet)
    assert max(ratios[node] for node in slow) < 0.75 * min(
        ratios[node] for node in NODES if node not in slow
    )


@pytest.mark.parametrize("seed", range(3))
def test_equal_workers_whose_tasks_differ_show_little_spread(seed):
    # Otherwise work is kept off some workers without a reason.
    fleet = unequal_fleet.make_fleet(dict.fromkeys(NODES, 1.0), seed, deviation=0.3)
    ratios = _observed(fleet, waves=3)
    assert max(ratios.values()) < 1.5 * min(ratios.values())


def test_speeds_are_told_apart_after_a_few_seconds():
    # The estimate must not wait for the end of tasks, because a burst of urgent jobs is short.
    fast = set(NODES[:4])
    fleet = unequal_fleet.make_fleet(_pace(1 / 1.2, 1 / 0.55, fast))
    unequal_fleet.submit(
        fleet, harness.job("wide", harness.step(39, 1, estimate_ms=12_000, spread_limit=3))
    )
    unequal_fleet.advance(fleet, 6_000)
    ratios = _lasting(fleet)
    assert min(ratios[node] for node in fast & ratios.keys()) > max(
        ratio for node, ratio in ratios.items() if node not in fast
    )


@pytest.mark.parametrize("seed", range(3))
def test_a_worker_that_stands_still_for_a_time_keeps_its_estimate(seed):
    # A paused machine is avoided while it is paused, but is not of a slower kind.
    fleet = unequal_fleet.make_fleet(dict.fromkeys(NODES, 1.0), seed)
    unequal_fleet.submit(
        fleet, harness.job("wide", harness.step(39, 1, estimate_ms=20_000, spread_limit=3))
    )
    unequal_fleet.advance(fleet, 6_000)
    fleet.pace["n00"] = 0.01
    unequal_fleet.advance(fleet, 6_000)
    assert speeds.avoided_nodes(fleet.scheduler, fleet.now_ms, include_slower_kinds=False) == {
        "n00"
    }
    assert _lasting(fleet)["n00"] > 0.8


def test_rates_of_one_step_on_fast_workers_do_not_make_these_ordinary():
    # Once work is placed by speed, many steps run on workers of one speed only.
    found = speeds.Speeds()
    for step, nodes in enumerate((NODES, *[NODES[:4]] * 6)):
        for node in nodes:
            rate = 2.0 if node in NODES[:4] else 1.0
            key = ("job", 0, step, True)
            speeds.record_rate(found, key, (f"{step}.{node}", 1), node, 50.0, 1000.0 * 50.0 / rate)
        speeds.refit(found, harness.NOW_MS + step * speeds.REFIT_INTERVAL_MS)
    ratios = [speed_fit.ratio(found.lasting[node]) for node in NODES]
    assert min(ratios[:4]) > 1.5 * max(ratios[4:])


def test_few_tasks_change_an_estimate_little():
    # Tasks of one step differ, so the first task of a worker does not show its speed.
    found = speeds.Speeds()
    for number, node in enumerate(NODES):
        ms = 5_000 if number == 0 else 10_000
        speeds.record_rate(found, ("job", 0, 0, True), (node, 1), node, 50.0, ms)
    speeds.refit(found, harness.NOW_MS)
    assert speed_fit.ratio(found.lasting["n00"]) < 1.7
    assert speed_fit.ratio(found.lasting["n05"]) == pytest.approx(1.0, abs=0.05)


def test_a_replaced_worker_keeps_its_estimate_with_low_weight():
    # The machine behind a new incarnation may be of another kind.
    fleet = unequal_fleet.make_fleet(_pace(1.0, 2.0, {"n00"}))
    _observed(fleet)
    before = fleet.scheduler.speeds.lasting["n00"]
    old = fleet.scheduler.agents["n00"]
    new = agents.Agent(
        "n00", old.zone, 1, 0, old.hold_until_ms, harness.worker("n00", started_ms=2)
    )
    state.update_agent(fleet.scheduler, new, 99)
    _lasting(fleet)
    after = fleet.scheduler.speeds.lasting["n00"]
    assert after.started_ms == 2
    assert after.log_ratio == pytest.approx(before.log_ratio)
    assert after.weight <= speeds.NEW_INCARNATION_WEIGHT < before.weight


def test_restored_speeds_of_another_incarnation_have_low_weight():
    # A new leader must not trust the speed of a machine that was replaced meanwhile.
    saved = speed_fit.NodeSpeed(1, math.log(2.0), 8.0)
    found = speeds.Speeds(incarnations={"n01": 2})
    speeds.restore(found, {"n00": saved, "n01": saved})
    speeds.refit(found, harness.NOW_MS)
    assert found.lasting["n00"] == saved
    assert found.lasting["n01"] == speed_fit.NodeSpeed(
        2, math.log(2.0), speeds.NEW_INCARNATION_WEIGHT
    )


@pytest.mark.parametrize("changes", [{"long_running": True}, {"gang": True}, {"fills": True}])
def test_steps_whose_progress_depends_on_other_workers_or_the_load_are_ignored(changes):
    # Long-running tasks report their current rate, members of a gang have the pace of the slowest,
    # and filling tasks that of the idle time beside them.
    fleet = unequal_fleet.make_fleet(_pace(1.0, 2.0, {"n00"}))
    assert _observed(fleet, tasks=32, **changes) == {}


def test_tasks_far_from_their_data_are_compared_with_each_other():
    # Otherwise a worker in another rack than the data of a step looks slow.
    racks = {node: {"rack": "r1" if node < "n08" else "r2"} for node in NODES}
    pace = {node: 1.0 if node < "n08" else 1.0 / 3.0 for node in NODES}
    fleet = unequal_fleet.make_fleet(pace, deviation=0.1, workers=racks)
    job = harness.job("a", harness.step(32, 1, estimate_ms=20_000, affinity="r1", spread_limit=2))
    state.add_job(fleet.scheduler, job, 1)
    job.progress.append(steps.StepProgress(0, 0, attempts=[1] * 32, saved=[""] * 32))
    for index in range(32):
        run = steps.Run(index, 1, NODES[index % 16], 0, harness.NOW_MS)
        job.progress[0].runs.append(run)
        fleet.scheduler.runs.setdefault(run.node, []).append((job, job.progress[0], run))
    for _ in range(3):
        for _ in range(8):
            fleet.now_ms += unequal_fleet.TICK_MS
            unequal_fleet.work(fleet)
        unequal_fleet.renew(fleet)
    ratios = _lasting(fleet)
    assert len(ratios) == 16
    assert min(ratios.values()) > 0.8


def test_what_is_kept_is_bounded_and_old_steps_still_count():
    # A leader that lasts for days must not grow, nor forget workers that lately had no tasks.
    rng = random.Random(1)
    found = speeds.Speeds()
    for step in range(4 * speeds.MAX_STEPS):
        nodes = NODES if step < speeds.MAX_STEPS else NODES[4:]
        for index in range(200):
            node = nodes[index % len(nodes)]
            rate = (2.0 if node in NODES[:4] else 1.0) * math.exp(rng.gauss(0.0, 0.2))
            run = (f"{step}.{index}", 1)
            speeds.record_rate(found, (f"j{step}", 0, 0, True), run, node, 50.0, 50_000 / rate)
        speeds.refit(found, 10_000 * (step + 1))
    assert len(found.task_rates) == speeds.MAX_STEPS
    assert max(map(len, found.task_rates.values())) == speeds.MAX_TASKS_PER_STEP
    assert found.priors["n00"].weight <= speed_fit.MAX_PRIOR_WEIGHT
    assert speed_fit.ratio(found.lasting["n00"]) > 1.6
