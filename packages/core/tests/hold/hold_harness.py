"""Builders for an agent's state and its events."""

from peridothatch_core.hold import exchange, state, step
from peridothatch_core.message import rows
from peridothatch_core.model import agents, steps

STARTED_MS = 1_000
TASK = "00000000000000aa.0.0.0"
KEY = (TASK, 1)


def worker(**changes):
    fields = {
        "instance": "w-1",
        "started_ms": STARTED_MS,
        "service": "render",
        "zone": "accra-a",
        "state": agents.WorkerState.READY,
        "capacity": steps.Demand(64_000, 256_000, 8),
        "kind": "a",
        "rack": "r1",
    }
    return agents.Worker(**fields | changes)


def order(task=TASK, attempt=1, start_by_ms=12_000, **changes):
    fields = {"job": task.split(".")[0], "task": task, "attempt": attempt, "instance": "w-1",
              "started_ms": STARTED_MS, "start_by_ms": start_by_ms}  # fmt: skip
    return steps.Order(**fields | changes)


def listing(now, running=(), ended=(), started_ms=STARTED_MS, worker_clock_ms=None):
    return exchange.Listing(
        "w-1",
        started_ms,
        int(1000 * now) if worker_clock_ms is None else worker_clock_ms,
        tuple(exchange.ListedRun(*run) for run in running),
        tuple(exchange.ListedEnd(*end) for end in ended),
        now - 0.001,
        now,
    )


def committed(effect, now, outcome=rows.Outcome.COMMITTED, version=None):
    """Return the store's answer to a write, with a store clock equal to the local one."""
    return rows.Committed(
        "row", outcome, version or effect.version + 1, int(1000 * now), now - 0.01, now
    )


def single(effects, kind):
    found = [effect for effect in effects if isinstance(effect, kind)]
    assert len(found) == 1, effects
    return found[0]


def assert_none(effects, kind):
    assert not [effect for effect in effects if isinstance(effect, kind)], effects


def heartbeat(agent, described, sequence, now, runs=None):
    """Handle a heartbeat while the worker's address runs the incarnation that it names.

    ``runs`` is the instance and start time that run at the address instead.
    """
    effects = step.step(agent, exchange.Heartbeat(described, sequence), now)
    return identify(agent, effects, now, runs or (described.instance, described.started_ms))


def identify(agent, effects, now, runs):
    """Answer the calls that ask which incarnation runs at the worker's address."""
    others = []
    while effects:
        effect = effects.pop(0)
        if isinstance(effect, exchange.IdentifyWorker):
            started_ms = runs[1] if effect.instance == runs[0] else None
            answer = exchange.WorkerIdentified(
                effect.instance, True, started_ms, now, effect.fence
            )
            effects += step.step(agent, answer, now)
        else:
            others.append(effect)
    return others


def registered_agent(now=10.0, orders=None, stops=None, listed=True):
    """Return an agent that has registered and read its orders at ``now``."""
    agent = state.State("side-1", "accra-a", 9_500)
    step.step(agent, exchange.Tick(), now)
    step.step(agent, exchange.StoreTime(int(1000 * now), now - 0.01, now), now)
    effects = step.step(agent, exchange.RowRead(True, None, 0), now)
    write = single(effects, exchange.WriteRow)
    step.step(agent, exchange.Heartbeat(worker(), 1), now)
    effects = step.step(agent, committed(write, now, version=7), now)
    effects = identify(agent, effects, now, ("w-1", STARTED_MS))
    write = single(effects, exchange.WriteRow)
    step.step(agent, committed(write, now, version=8), now)
    loaded = exchange.OrdersLoaded(orders or {}, frozenset(stops or ()))
    effects = step.step(agent, loaded, now)
    if listed:
        effects += step.step(agent, exchange.RunsListed(listing(now)), now)
    commit_writes(agent, effects, now)
    return agent


def commit_writes(agent, effects, now):
    """Commit all writes of the row and return the other effects."""
    others = []
    while effects:
        effect = effects.pop(0)
        if isinstance(effect, exchange.WriteRow):
            effects += step.step(agent, committed(effect, now), now)
        else:
            others.append(effect)
    return others


def running_agent(tasks=(TASK,), **changes):
    """Return an agent whose worker has listed runs of these tasks."""
    orders = {(task, 1): order(task, **changes) for task in tasks}
    agent = registered_agent(orders=orders)
    for key in orders:
        step.step(agent, exchange.StartAnswered(key, exchange.StartOutcome.STARTED), 10.1)
    running = exchange.RunsListed(listing(10.2, [(task, 1, "", 40) for task in tasks]))
    commit_writes(agent, step.step(agent, running, 10.2), 10.2)
    return agent


def restart_worker(agent, now, started_ms=9_000):
    """Handle the first heartbeat of a new incarnation, and commit the write that it causes."""
    return commit_writes(agent, heartbeat(agent, worker(started_ms=started_ms), 0, now), now)


def send_ticks(agent, first, last):
    """Send ticks every half second, as a running agent gets them, which is not suspended."""
    now = first
    while now < last:
        step.step(agent, exchange.Tick(), now)
        now += 0.5
