import pytest
import result

from peridothatch_core.model import desired, verdict
from peridothatch_core.reception import admission

STATE = desired.DesiredState(
    3,
    queues=(
        desired.Queue("wide", "a.example", "/jobs/", "render", 1, 3, 2.0, 500),
        desired.Queue("deep", "a.example", "/jobs/urgent/", "render", 0, 3, 2.0, 500),
        desired.Queue("free", "b.example", "/open/", "render", 2, 3, 2.0, 500, open=True),
    ),
    tenancies=(desired.Tenancy("ministry", frozenset({"k1"}), 8),),
)

MAX_AGE_SECONDS = admission.max_age_seconds(5.0, 4.0)


def _admit(path="/jobs/x", host="a.example", key="k1", age=1.0, state=STATE):
    return admission.admit(state, age, MAX_AGE_SECONDS, host, path, key)


def _code(admitted):
    assert isinstance(admitted, result.Err)
    assert admitted.err_value.verdict is verdict.Verdict.NOT_RUN
    return admitted.err_value.code


def test_the_queue_with_the_longest_matching_prefix_is_used():
    admitted = _admit("/jobs/urgent/77").ok_value
    assert (admitted.queue.name, admitted.remaining_path, admitted.customer) == (
        "deep",
        "77",
        "ministry",
    )


def test_an_unknown_path_or_host_is_not_found():
    assert _code(_admit("/other/1")) is verdict.Code.NOT_FOUND
    assert _code(_admit(host="c.example")) is verdict.Code.NOT_FOUND


def test_an_unknown_key_is_refused_and_an_open_queue_needs_none():
    assert _code(_admit(key="gone")) is verdict.Code.UNAUTHORIZED
    assert _admit("/open/1", "b.example", key="").ok_value.customer == ""


def test_keys_are_not_trusted_on_an_old_desired_state():
    # A removed key must not work on a machine that cannot reach the store.
    assert _code(_admit(age=4.1)) is verdict.Code.STORE_UNAVAILABLE
    assert isinstance(_admit(age=3.9), result.Ok)


def test_an_unknown_path_is_not_reported_as_not_found_on_an_old_desired_state():
    # The queue may have been added since the state was read.
    assert _code(_admit("/other/1", age=4.1)) is verdict.Code.STORE_UNAVAILABLE


def test_an_open_queue_is_not_served_by_a_state_that_may_lack_a_change_in_force():
    # Guards against an entry that cannot read the operator's rows and goes on to serve a queue
    # that has been removed: no age was too high for a queue that needs no key.
    assert _code(_admit("/open/1", "b.example", age=4.1)) is verdict.Code.STORE_UNAVAILABLE
    assert isinstance(_admit("/open/1", "b.example", age=3.9), result.Ok)


@pytest.mark.parametrize(("revoke", "apply", "longest"), [(5.0, 4.0, 4.0), (5.0, 2.5, 2.5)])
def test_a_state_decides_only_while_it_has_every_change_in_force(revoke, apply, longest):
    # Guards against 404 for a queue that was added longer ago than changes take: the limit came
    # from the time for revoked keys alone.
    assert admission.max_age_seconds(revoke, apply) == longest


def test_a_state_older_than_one_that_has_answered_callers_decides_nothing():
    # An entry without the store answered for an open queue that a newer version had removed,
    # after another entry had answered its callers by that version.
    for path, host in (("/jobs/x", "a.example"), ("/open/1", "b.example"), ("/none", "a.example")):
        admitted = admission.admit(STATE, 1.0, 4.0, host, path, "k1", min_version=4)
        assert _code(admitted) is verdict.Code.STORE_UNAVAILABLE
    assert isinstance(admission.admit(STATE, 1.0, 4.0, "b.example", "/open/1", "", 3), result.Ok)


def test_nothing_is_admitted_before_the_first_desired_state():
    assert _code(_admit(state=None)) is verdict.Code.UNAVAILABLE
