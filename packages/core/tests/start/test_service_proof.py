"""Guards against a start that rests on an old view of the data centre."""

import hypothesis
from hypothesis import strategies

from peridothatch_core.start import service_proof

SECONDS = strategies.floats(0, 10)


@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
@hypothesis.given(SECONDS, SECONDS, SECONDS, strategies.floats(0.96, 1.04))
def test_no_start_more_than_three_seconds_after_the_read(to_agent, held, back, rate):
    """Guards against delays and drift that make a proof look younger than it is.

    The agent sends its clock reading, the planner answers ``held`` seconds later with a read
    sent before that, and the answer is on its way for ``back`` seconds.
    """
    read_sent = 100.0
    answered = read_sent + held
    t0 = answered - to_agent
    reading = service_proof.ServiceStatus(True, 7, read_sent * rate)
    age = service_proof.age(reading, answered * rate)
    if service_proof.valid(t0, age, answered + back):
        assert answered + back - read_sent <= service_proof.PROOF_SECONDS + 1e-9


def test_out_of_service_or_unread_is_no_proof():
    """Guards against a default that allows starts."""
    for reading in (service_proof.ServiceStatus(), service_proof.ServiceStatus(False, 3, 10.0)):
        assert service_proof.age(reading, 10.0) < 0
    assert not service_proof.valid(5.0, -1.0, 5.0)
    assert not service_proof.valid(6.0, 0.0, 5.0)
