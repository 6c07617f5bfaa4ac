import schedule_harness as harness

from peridothatch_core.model import agents, steps
from peridothatch_core.schedule import speeds, state

NODES = ("n1", "n2", "n3")
INTERVAL_MS = 2_000


def _running(priority=1):
    """Return a scheduler with a task of one step on each of three workers."""
    item = harness.job("a", harness.step(3, 4, spread_limit=1), priority=priority)
    own = harness.scheduler([item], [harness.agent(node) for node in NODES])
    harness.run(own)
    assert {run.node for run in harness.open_runs(item)} == set(NODES)
    return own, item


def _report(own, item, percents):
    """Let each agent renew its lease and report the progress of its task."""
    for run in harness.open_runs(item):
        old = own.agents[run.node]
        task = steps.task_name(item.id, 0, 0, run.index)
        report = agents.RunReport(task, run.attempt, "", percents[run.node])
        new = agents.Agent(
            run.node, old.zone, 1, 0, old.hold_until_ms + INTERVAL_MS, old.worker, (report,)
        )
        speeds.observe(own, old, new)
        own.agents[run.node] = new


def _started_on(own, priority):
    other = harness.job("b", harness.step(1, 4), priority=priority)
    state.add_job(own, other, 9)
    harness.run(own, harness.NOW_MS + INTERVAL_MS)
    return {run.node for run in harness.open_runs(other)}


def test_a_worker_whose_task_stands_still_gets_work_last():
    # New tasks went on being placed on workers on which all tasks stood still.
    own, item = _running()
    for percents in ((0, 0, 0), (20, 20, 20), (20, 40, 40)):
        _report(own, item, dict(zip(NODES, percents, strict=True)))
    now_ms = harness.NOW_MS + 3 * INTERVAL_MS
    assert speeds.avoided_nodes(own, now_ms, lasting=False) == {"n1"}
    assert "n1" not in _started_on(own, priority=1)
    assert speeds.avoided_nodes(own, now_ms + speeds.SLOW_MS, lasting=False) == set()


def test_urgent_work_prefers_workers_of_a_faster_kind():
    own, item = _running()
    for round_ in range(6):
        percents = {"n1": 8 * round_, "n2": 10 * round_, "n3": 10 * round_}
        _report(own, item, percents)
    assert speeds.avoided_nodes(own, harness.NOW_MS, lasting=True) == {"n1"}
    assert speeds.avoided_nodes(own, harness.NOW_MS, lasting=False) == set()
    assert "n1" not in _started_on(own, priority=0)


def test_a_lone_task_is_compared_with_its_own_earlier_progress():
    item = harness.job("a", harness.step(1, 4))
    own = harness.scheduler([item], [harness.agent("n1")])
    harness.run(own)
    for percent in (0, 20, 20):
        _report(own, item, {"n1": percent})
    assert speeds.avoided_nodes(own, harness.NOW_MS + INTERVAL_MS, lasting=False) == {"n1"}


def test_the_progress_of_a_run_is_forgotten_at_its_end():
    own, item = _running()
    for percents in ((0, 0, 0), (20, 20, 20)):
        _report(own, item, dict(zip(NODES, percents, strict=True)))
    for run in list(harness.open_runs(item)):
        harness.end(own, item, run, steps.EndKind.DONE)
    assert not own.speeds.rates


def test_a_worker_that_starts_anew_without_notice_gets_work_last():
    # Runners that went down and up by turns were given new gangs each time they came back.
    own, _ = _running()
    old = own.agents["n2"]
    new = agents.Agent(
        "n2", old.zone, 1, 0, old.hold_until_ms + INTERVAL_MS, harness.worker("n2", started_ms=2)
    )
    speeds.observe(own, old, new)
    now_ms = harness.NOW_MS + INTERVAL_MS
    assert speeds.avoided_nodes(own, now_ms, lasting=False) == {"n2"}
    assert speeds.avoided_nodes(own, now_ms + speeds.UNSTEADY_MS, lasting=False) == set()


def test_a_planned_replacement_does_not_count_as_unsteady():
    own, _ = _running()
    old = harness.agent("n2", state=agents.WorkerState.DRAINING)
    speeds.observe(own, old, harness.agent("n2", started_ms=2))
    assert speeds.avoided_nodes(own, harness.NOW_MS, lasting=False) == set()


def test_a_run_that_is_being_stopped_does_not_make_its_worker_slow():
    own, item = _running()
    for percents in ((0, 0, 0), (20, 20, 20)):
        _report(own, item, dict(zip(NODES, percents, strict=True)))
    for run in harness.open_runs(item):
        run.stopping = run.node == "n1"
    _report(own, item, {"n1": 20, "n2": 40, "n3": 40})
    assert speeds.avoided_nodes(own, harness.NOW_MS, lasting=False) == set()


def test_the_reports_of_a_run_that_has_ended_are_not_kept():
    own, item = _running()
    runs = {run.node: run for run in harness.open_runs(item)}
    _report(own, item, dict.fromkeys(NODES, 0))
    late = own.agents["n1"]
    harness.end(own, item, runs["n1"], steps.EndKind.DONE)
    report = agents.RunReport(late.runs[0].task, late.runs[0].attempt, "", 50)
    new = agents.Agent(
        "n1", late.zone, 1, 0, late.hold_until_ms + INTERVAL_MS, late.worker, (report,)
    )
    speeds.observe(own, late, new)
    assert not own.speeds.rates
