"""Guards against partial gangs, concurrent runs of a job and late starts under faults.

Two entries plan one data centre with three workers, against a table service, in virtual time.
Faults occur at random times: delayed messages, disconnected links, pauses, restarts, lost commit
answers, store outages, a data centre taken out of service, cancellations. The checks are in
conftest.py, which simulates the tasks on the workers.
"""

import random

import hypothesis
from hypothesis import strategies

from peridothatch_core.model import job
from peridothatch_core.start import gang_launch, gang_stop, service_proof
from peridothatch_daemon.decide import policy

FAULTS_END = 120.0
KINDS = ["pause", "restart", "reboot", "cut", "store", "out"]
KINDS += ["cancel", "slow", "isolate", "split", "commit"]

FAULTS = strategies.lists(
    strategies.tuples(
        strategies.floats(0, FAULTS_END).map(lambda x: round(x, 1)),
        strategies.sampled_from(KINDS),
        strategies.integers(0, 29),
        strategies.sampled_from((1, 4, 8, 15, 30, 70, 200)),
    ),
    max_size=8,
)


@hypothesis.settings(max_examples=60, derandomize=True, deadline=None)
@hypothesis.given(strategies.integers(0, 2**32), FAULTS)
def test_jobs_run_whole_and_end(simulate, seed, faults):
    """Guards against breaches under faults, and against jobs that never end after the faults."""
    simulation = simulate(seed, faults)
    cancelled = {f"j{target % 6}" for _, kind, target, _ in faults if kind == "cancel"}
    for name in simulation.seconds:
        found = simulation.job(name)
        allowed = {job.State.SUCCEEDED} | ({job.State.CANCELLED} if name in cancelled else set())
        assert found.state in allowed, (found, simulation.counters())


@hypothesis.settings(max_examples=20, derandomize=True, deadline=None)
@hypothesis.given(strategies.integers(0, 2**32), FAULTS)
def test_placement_and_the_gangs_agree_on_cells(simulate, seed, faults):
    """Guards against cells that placement assigns twice or never releases."""
    simulation = simulate(seed, faults, policy.create)
    assert simulation.all_ended(), simulation.counters()


def find_breach(simulate, monkeypatch, fault_kinds, attempts=60):
    """Return the first breach with a guard removed, in a run that has none with the guard."""
    for seed in range(attempts):
        source = random.Random(seed)
        faults = [
            (
                source.uniform(0, 90),
                source.choice(fault_kinds),
                source.randrange(30),
                source.choice((15, 200)),
            )
            for _ in range(4)
        ]
        try:
            simulate(seed, faults)
        except AssertionError as error:
            monkeypatch.undo()
            simulate(seed, faults)
            return str(error)
    return ""


def test_without_the_wait_for_leases_an_earlier_run_goes_on(simulate, monkeypatch):
    """Guards against a check for concurrent runs that cannot fail."""
    monkeypatch.setattr(gang_stop, "_latest_lease_expiry", lambda *_: float("-inf"))
    assert "starts while run" in find_breach(simulate, monkeypatch, ["isolate"])


def test_without_the_service_proof_a_task_starts_after_a_take_out(simulate, monkeypatch):
    """Guards against a check for late starts that cannot fail."""
    monkeypatch.setattr(service_proof, "not_after", lambda *_: float("inf"))
    assert "after take-out" in find_breach(simulate, monkeypatch, ["commit"])


def test_without_all_reservations_a_gang_starts_in_part(simulate, monkeypatch):
    """Guards against a check for missing reservations that cannot fail."""
    record_reservation = gang_launch.record_reservation

    def count_first_as_all(state, agent_id, message, now):
        for participant in (
            state.gangs[message.job].participants.values() if message.job in state.gangs else ()
        ):
            participant.reserved_at = max(participant.reserved_at, 0.0)
        return record_reservation(state, agent_id, message, now)

    monkeypatch.setattr(gang_launch, "record_reservation", count_first_as_all)
    assert "reserved nothing" in find_breach(simulate, monkeypatch, ["pause"])


def test_without_the_gang_lease_a_part_runs_alone(simulate, monkeypatch):
    """Guards against a check for partial gangs that cannot fail."""
    monkeypatch.setattr(gang_stop, "GANG_LEASE_SECONDS", 600.0)
    assert "has run alone" in find_breach(simulate, monkeypatch, ["isolate"])
