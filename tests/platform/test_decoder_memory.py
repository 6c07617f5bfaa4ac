"""Memory that decoding one body of legal size takes, whatever is in it."""

import tracemalloc

import pytest

from peridothatch_platform import heartbeats, submission, worker

MAX_BODY_BYTES = 262_144
"""Largest body of a call in the desired states of the deployments."""

MAX_FACTOR = 32
"""Most bytes that may be allocated for each byte of a body."""

JOB = '{"spec":"","phases":[%s]}'
PHASE = '{"count":1,%s}'
HEARTBEAT = '{"service":"s","zone":"z","state":"ready","seq":1,"capacity":{"cpu":1},"labels":[%s]}'

SUBMISSIONS = {
    "numbers as phases": (JOB, "0"),
    "empty phases": (JOB, "{}"),
    "phases with three errors": (JOB, '{"count":"x","cpu":"x","gpu":"x"}'),
    "valid phases": (JOB, '{"count":1}'),
    "texts as predecessors": (JOB % PHASE % '"after":[%s]', '"x"'),
    "valid predecessors": (JOB % ('{"count":1},' + PHASE % '"after":[%s]'), "0"),
    "unknown fields": (JOB % PHASE % '"x":[%s]', "[0]"),
    "nested lists": (JOB, "[[[[0]]]]"),
}
HEARTBEATS = {
    "numbers as labels": (HEARTBEAT, "0"),
    "many labels": (HEARTBEAT, '"a"'),
    "lists as labels": (HEARTBEAT, "[]"),
    "unknown fields": (HEARTBEAT[:-1] % "" + ',"x":[%s]}', "0"),
}


def fill(template, item, size):
    """Return a body of up to ``size`` bytes that repeats an item."""
    count = (size - len(template)) // (len(item) + 1)
    return (template % ",".join([item] * count)).encode()


def allocated_bytes(decode, body):
    """Return the most memory that was allocated while a body was decoded and refused."""
    tracemalloc.start()
    try:
        decode(body)
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


def decode_heartbeat(body):
    try:
        worker.decode_heartbeat("w-1", body)
    except ValueError as error:
        str(error)


# Guards against entries that exceed their memory: the description of each of 131,000 errors in one
# body was built to use the first.
@pytest.mark.parametrize(("template", "item"), SUBMISSIONS.values(), ids=SUBMISSIONS.keys())
def test_a_submission_of_legal_size_takes_little_memory(template, item):
    body = fill(template, item, MAX_BODY_BYTES)
    submission.decode(b"{}")
    assert allocated_bytes(submission.decode, body) <= MAX_FACTOR * MAX_BODY_BYTES


@pytest.mark.parametrize(("template", "item"), HEARTBEATS.values(), ids=HEARTBEATS.keys())
def test_a_heartbeat_of_legal_size_takes_little_memory(template, item):
    body = fill(template, item, heartbeats.MAX_BODY_BYTES)
    decode_heartbeat(b"{}")
    assert allocated_bytes(decode_heartbeat, body) <= MAX_FACTOR * heartbeats.MAX_BODY_BYTES


@pytest.mark.parametrize("phases", [1000, 1001])
def test_a_job_of_too_many_phases_is_refused_by_their_number(phases):
    decoded = submission.decode((JOB % ",".join(['{"count":1}'] * phases)).encode())
    assert decoded.is_ok() == (phases == 1000)
    if decoded.is_err():
        assert decoded.err_value.field == "phases"
        assert len(decoded.err_value.value) <= 100
