"""Tests of the service proof: no start may rely on an outdated status of the data centre."""

import hypothesis
from hypothesis import strategies

from peridothatch_core.start import service_proof

SECONDS = strategies.floats(0, 10)


@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
@hypothesis.given(SECONDS, SECONDS, SECONDS, strategies.floats(0.96, 1.04))
def test_no_start_more_than_three_seconds_after_the_read(to_agent, held, back, rate):
    """Guards against delays and clock drift that make a proof appear fresher than it is.

    The planner answers ``to_agent`` seconds after the agent's clock reading and ``held`` seconds
    after its read of the status was sent. The answer takes ``back`` seconds to arrive.
    """
    read_sent = 100.0
    answered = read_sent + held
    t0 = answered - to_agent
    reading = service_proof.ServiceStatus(True, 7, read_sent * rate)
    age = service_proof.age(reading, answered * rate)
    if service_proof.valid(t0, age, answered + back):
        assert answered + back - read_sent <= service_proof.PROOF_SECONDS + 1e-9


def test_no_proof_when_out_of_service_or_unread():
    """Guards against a default status that allows starts."""
    for reading in (service_proof.ServiceStatus(), service_proof.ServiceStatus(False, 3, 10.0)):
        assert service_proof.age(reading, 10.0) < 0
    assert not service_proof.valid(5.0, -1.0, 5.0)
    assert not service_proof.valid(6.0, 0.0, 5.0)
