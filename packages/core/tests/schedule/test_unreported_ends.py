"""Ends that an agent finds after the scheduler has closed their runs without them."""

import copy
import dataclasses

import hypothesis
import pytest
import schedule_harness as harness
from hypothesis import strategies

from peridothatch_core.model import agents, steps, tables
from peridothatch_core.schedule import departures, state

CLOSED_MS = harness.NOW_MS + 1000 + departures.BROKEN_GANG_DELAY_MS
LATER_MS = CLOSED_MS + 1000
NODES = ("n1", "n2", "n3")
MAX_ATTEMPTS = 2
TICK_MS = 500
WORK_TICKS = 3
COUNTED = (steps.EndKind.FAILED, steps.EndKind.DONE)


def closed_gang(max_attempts=MAX_ATTEMPTS, kind=steps.EndKind.BROKEN, **changes):
    """Return a scheduler, its job and the member of its gang that was closed without an end."""
    gang = harness.step(2, 8, gang=True, **changes)
    job = harness.job("a", gang, max_attempts=max_attempts)
    scheduler = harness.make_scheduler([job], [harness.agent(node) for node in NODES[:2]])
    harness.run(scheduler)
    report_runs(scheduler)
    missing, other = harness.open_runs(job)
    harness.end(scheduler, job, other, kind, now_ms=harness.NOW_MS + 1000)
    changes = harness.run(scheduler, CLOSED_MS)
    harness.renew(scheduler, CLOSED_MS)
    return scheduler, job, missing, changes


def report_runs(scheduler):
    for node, row in list(scheduler.agents.items()):
        reports = tuple(
            agents.RunReport(steps.task_name(job.id, 0, 0, run.index), run.attempt, "c3", 10)
            for job, _, run in scheduler.runs.get(node, ())
        )
        version = scheduler.agent_versions[node] + 1
        state.update_agent(scheduler, dataclasses.replace(row, runs=reports), version)


def late_end(scheduler, run, kind, now_ms=LATER_MS):
    task = f"a.0.0.{run.index}"
    scheduler.ends[f"e/{task}/{run.attempt}"] = steps.End(task, run.attempt, run.node, kind, "c1")
    return harness.run(scheduler, now_ms)


def deleted(changes):
    return {key for change in changes.values() for key in change.deferred_deletes}


# Guards against a start too many: the failure of a gang was not counted when the agent of the
# failed member restarted, because the scheduler had closed the member as broken.
def test_a_failure_that_is_found_late_counts_as_an_attempt():
    scheduler, job, missing, _ = closed_gang()
    assert [run.attempt for run in harness.open_runs(job)] == [2, 2]
    late_end(scheduler, missing, steps.EndKind.FAILED)
    assert job.progress[0].failures == [1]
    harness.end(scheduler, job, harness.open_runs(job)[0], steps.EndKind.FAILED, now_ms=LATER_MS)
    assert job.state is steps.JobState.FAILED
    assert not scheduler.unreported


# The same when the later attempt fails before the end of the earlier one is found.
def test_no_attempt_starts_that_an_unreported_failure_may_have_used_up():
    scheduler, job, missing, _ = closed_gang()
    for run in harness.open_runs(job):
        harness.end(scheduler, job, run, steps.EndKind.FAILED, now_ms=LATER_MS)
    harness.run(scheduler, LATER_MS + 5_000)
    assert not harness.open_runs(job)
    assert job.state is steps.JobState.RUNNING
    late_end(scheduler, missing, steps.EndKind.FAILED, LATER_MS + 5_000)
    assert job.state is steps.JobState.FAILED


@pytest.mark.parametrize("kind", [kind for kind in steps.EndKind if kind not in COUNTED])
def test_a_late_end_without_a_failure_frees_the_attempt(kind):
    scheduler, job, missing, _ = closed_gang()
    for run in harness.open_runs(job):
        harness.end(scheduler, job, run, steps.EndKind.FAILED, now_ms=LATER_MS)
    late_end(scheduler, missing, kind, LATER_MS + 5_000)
    assert job.progress[0].failures == [1]
    for now_ms in range(LATER_MS + 5_000, LATER_MS + 20_000, TICK_MS):
        harness.run_renewed(scheduler, now_ms)
    assert [run.attempt for run in harness.open_runs(job)] == [3, 3]
    assert job.progress[0].saved == ["c3"]


def test_a_late_completion_starts_nothing_more():
    scheduler, job, missing, _ = closed_gang()
    late_end(scheduler, missing, steps.EndKind.DONE)
    assert job.state is steps.JobState.COMPLETED
    assert all(run.stopping for run in harness.open_runs(job))


def test_a_lapsed_lease_ends_the_wait_for_an_unreported_end():
    scheduler, job, missing, _ = closed_gang()
    for run in harness.open_runs(job):
        harness.end(scheduler, job, run, steps.EndKind.FAILED, now_ms=LATER_MS)
    expired_ms = CLOSED_MS + harness.HOLD_MS + state.LAPSE_MARGIN_MS + 1
    for node in set(scheduler.agents) - {missing.node}:
        scheduler.agents[node] = harness.agent(node, hold_until_ms=expired_ms + harness.HOLD_MS)
    harness.run(scheduler, expired_ms)
    assert list(scheduler.lapsing) == [missing.node]
    scheduler.agents[missing.node] = scheduler.lapsing.pop(missing.node)
    order = tables.order_key(missing.node, f"a.0.0.{missing.index}", 1)
    assert order in deleted(harness.run(scheduler, expired_ms))
    assert not job.progress[0].unreported


def test_the_order_of_an_unreported_run_stays_until_its_end_is_known():
    scheduler, job, missing, changes = closed_gang()
    order = tables.order_key(missing.node, f"a.0.0.{missing.index}", 1)
    assert order not in deleted(changes)
    harness.end(scheduler, job, harness.open_runs(job)[0], steps.EndKind.DONE, now_ms=LATER_MS)
    assert job.state is steps.JobState.COMPLETED
    assert not job.progress[0].unreported


def test_a_member_of_a_gang_that_is_known_to_have_failed_is_not_waited_for():
    job = harness.job("a", harness.step(3, 8, gang=True))
    scheduler = harness.make_scheduler([job], [harness.agent(node) for node in NODES])
    harness.run(scheduler)
    report_runs(scheduler)
    missing, broken, failed = harness.open_runs(job)
    harness.end(scheduler, job, failed, steps.EndKind.FAILED, now_ms=harness.NOW_MS + 1000)
    harness.end(scheduler, job, broken, steps.EndKind.BROKEN, now_ms=harness.NOW_MS + 1000)
    changes = harness.run(scheduler, CLOSED_MS)
    assert missing not in harness.open_runs(job)
    assert tables.order_key(missing.node, f"a.0.0.{missing.index}", 1) in deleted(changes)
    assert not job.progress[0].unreported


def test_the_next_leader_knows_the_unreported_runs():
    scheduler, job, missing, _ = closed_gang()
    later = harness.make_scheduler([copy.deepcopy(job)], scheduler.agents.values())
    late_end(later, missing, steps.EndKind.FAILED)
    assert later.jobs["a"].progress[0].failures == [1]


def test_a_lasting_gang_has_no_limit_on_attempts():
    scheduler, job, missing, _ = closed_gang(1, long_running=True)
    assert [run.attempt for run in harness.open_runs(job)] == [2, 2]
    late_end(scheduler, missing, steps.EndKind.FAILED)
    assert job.state is steps.JobState.RUNNING


class _World:
    """Workers and agents of a gang that fails, beside a scheduler that is replaced at times."""

    def __init__(self, failing):
        self.failing = failing
        self.job = harness.job("a", harness.step(3, 8, gang=True), max_attempts=MAX_ATTEMPTS)
        rows = [harness.agent(node) for node in (*NODES, "n4")]
        self.scheduler = harness.make_scheduler([self.job], rows)
        self.up = dict.fromkeys(self.scheduler.agents, True)
        self.orders = {}
        self.stops = set()
        self.running = {}
        self.listed = {node: [] for node in self.up}
        self.starts = []
        self.failed = {}
        self.noted = set()
        self.now_ms = harness.NOW_MS

    def tick(self, down=(), takeover=False):
        self.now_ms += TICK_MS
        for node in self.up:
            self.up[node] = node not in down
        self._end_runs()
        for node, is_up in self.up.items():
            if is_up:
                self._report(node)
        if takeover:
            ends = self.scheduler.ends
            self.job = copy.deepcopy(self.job)
            rows = self.scheduler.agents.values()
            self.scheduler = harness.make_scheduler([self.job], rows)
            self.scheduler.ends = ends
            self.scheduler.loaded_ms = self.now_ms
            for row in rows:
                state.update_agent(self.scheduler, row, 1)
        self._apply(harness.run(self.scheduler, self.now_ms))
        for node in list(self.scheduler.lapsing):
            self.scheduler.agents[node] = self.scheduler.lapsing.pop(node)
            # Ends that were listed before the lapse count for nothing.
            self.listed[node].clear()
            self.running = {key: run for key, run in self.running.items() if run[0] != node}

    def _apply(self, changes):
        for change in changes.values():
            for key, value in change.writes:
                if value is None:
                    self.orders.pop(key, None)
                elif key.key.endswith(tables.STOP_SUFFIX):
                    self.stops.add((value.task, value.attempt))
                elif isinstance(value, steps.Order):
                    self.orders[key] = value
            for key in change.deferred_deletes:
                self.orders.pop(key, None)

    def _report(self, node):
        for name in self.stops & self.running.keys():
            if self.running[name][0] == node:
                del self.running[name]
                self.listed[node].append((*name, steps.EndKind.STOPPED))
        for task, attempt, kind in self.listed[node]:
            # The agent passes over an end without an order and acknowledges it all the same.
            if self.orders.pop(tables.order_key(node, task, attempt), None) is not None:
                end = steps.End(task, attempt, node, kind)
                self.scheduler.ends[f"e/{task}/{attempt}"] = end
            self.noted.add((task, attempt))
        self.listed[node].clear()
        started = {(task, attempt) for task, attempt, _ in self.starts}
        for key, order in self.orders.items():
            name = (order.task, order.attempt)
            if name in started or key != tables.order_key(node, *name):
                continue
            if name in self.stops:
                self.listed[node].append((*name, steps.EndKind.REJECTED))
            else:
                self.starts.append((*name, self.now_ms))
                self.running[name] = (node, self.now_ms)
        mine = [name for name, run in self.running.items() if run[0] == node]
        reports = tuple(agents.RunReport(*name, "", 10) for name in mine)
        claimed = tuple(
            (order.task, order.attempt)
            for key, order in self.orders.items()
            if key == tables.order_key(node, order.task, order.attempt)
        )
        old = self.scheduler.agents[node]
        renewed = dataclasses.replace(
            old,
            hold_until_ms=self.now_ms + harness.HOLD_MS,
            worker=harness.worker(node),
            runs=reports,
            claimed=claimed,
        )
        version = self.scheduler.agent_versions[node] + 1
        state.update_agent(self.scheduler, renewed, version)

    def _end_runs(self):
        """End the attempts whose members have all been at work for a while, or been broken."""
        for attempt in {attempt for _, attempt in self.running}:
            members = {key: run for key, run in self.running.items() if key[1] == attempt}
            last_start = max(at for *key, at in self.starts if key[1] == attempt)
            is_complete = sum(start[1] == attempt for start in self.starts) == 3
            if not is_complete or self.now_ms - last_start < WORK_TICKS * TICK_MS:
                continue
            failing = self.failing[(attempt - 1) % len(self.failing)]
            for (task, number), (node, _) in members.items():
                has_failed = int(task[-1]) in failing
                kind = steps.EndKind.FAILED if has_failed else steps.EndKind.BROKEN
                if has_failed:
                    self.failed[task, number] = self.now_ms
                self.listed[node].append((task, number, kind))
                del self.running[task, number]


_nodes = strategies.sets(strategies.sampled_from([*NODES, "n4"]), max_size=3)
_members = strategies.sets(strategies.integers(0, 2), min_size=1)


@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(_members, min_size=1, max_size=3),
    strategies.lists(
        strategies.tuples(strategies.integers(1, 8), _nodes, strategies.booleans()), max_size=12
    ),
)
def test_no_task_starts_after_its_last_failed_attempt(failing, phases):
    """Whichever members fail, and whenever agents and leaders are away."""
    world = _World(failing)
    for ticks, down, takeover in phases:
        world.tick(down, takeover)
        for _ in range(ticks - 1):
            world.tick(down)
    for _ in range(120):
        world.tick()
    for task, _, started_ms in world.starts:
        failures = [
            key
            for key, ended_ms in world.failed.items()
            if key[0] == task and ended_ms < started_ms and key in world.noted
        ]
        assert len(failures) < MAX_ATTEMPTS
    assert world.job.state is steps.JobState.FAILED
