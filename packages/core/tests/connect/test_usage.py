"""Guards against heads and trailers without end, and against refusals within the limits."""

from peridothatch_core.connect import limits, usage

BOUNDS = limits.Limits(head_bytes=1_000, head_lines=10, framing_bytes=1_000)


def receive(used, size):
    return usage.add_received(used, size, used.messages, BOUNDS)


def test_a_head_of_exactly_the_limit_is_accepted_and_one_byte_more_is_refused():
    used = usage.Usage()
    usage.begin_head(used, 0.0)
    assert receive(used, 1_000) is None
    assert receive(used, 1) is limits.Reason.HEAD_BYTES


def test_empty_lines_before_a_head_count_as_part_of_it():
    # A client that sent only empty lines was never closed.
    used = usage.Usage()
    assert [receive(used, 400) for _ in range(3)][-1] is limits.Reason.HEAD_BYTES


def test_many_short_lines_are_refused():
    used = usage.Usage()
    usage.begin_head(used, 0.0)
    for _ in range(11):
        usage.add_line(used)
    assert receive(used, 66) is limits.Reason.HEAD_LINES


def test_framing_without_data_is_limited_and_data_in_between_is_not():
    used = usage.Usage()
    usage.begin_head(used, 0.0)
    usage.end_head(used, 0.0)
    for _ in range(100):
        usage.add_body(used, 1)
        assert receive(used, 500) is None
    assert receive(used, 1_000) is None
    assert receive(used, 1) is limits.Reason.FRAMING_BYTES


def test_memory_returns_to_that_of_an_idle_connection():
    # An estimate that drifts upwards would close ordinary clients after many requests.
    used = usage.Usage()
    idle = usage.memory_bytes(used)
    for _ in range(3):
        usage.begin_head(used, 0.0)
        usage.end_head(used, 0.0)
        usage.add_body(used, 10_000)
        assert usage.memory_bytes(used) > idle + 10_000
        usage.end_answer(used, 0.0)
        usage.add_body(used, 10_000)
        usage.end_message(used, 0.0)
        assert usage.memory_bytes(used) == idle
