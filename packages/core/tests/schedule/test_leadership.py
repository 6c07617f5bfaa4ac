import json

from peridothatch_core.message import rows
from peridothatch_core.model import tables
from peridothatch_core.schedule import leadership


def _encode(value):
    return json.dumps(str(value)).encode()


def _following(until_ms=10_000):
    own = leadership.Leadership("b/2")
    lease = leadership.Lease("a/1", 4, until_ms)
    leadership.observe_epoch(own, lease, 20)
    leadership.observe_lease(own, lease, 21)
    return own


def test_a_lease_is_claimed_only_when_the_stores_clock_has_passed_it():
    own = _following()
    assert not leadership.may_claim(own, 10_000, 0)
    assert not leadership.may_claim(own, 10_050, 100)
    assert leadership.may_claim(own, 10_101, 100)


def test_a_claim_fails_when_the_lease_was_renewed_or_taken_in_between():
    claim = leadership.claim_transaction(_following(), 10_101, _encode)
    assert set(claim.conditions) == {
        rows.Condition(tables.EPOCH, 20),
        rows.Condition(tables.LEASE, 21),
    }


def test_a_renewal_fails_once_another_has_taken_the_epoch():
    own = _following()
    leadership.claim_transaction(own, 10_101, _encode)
    leadership.become_leader(own, 30, 1.0)
    assert leadership.renewal_transaction(own, 11_000, _encode).conditions == (
        rows.Condition(tables.EPOCH, 30),
    )


def test_a_leader_that_sees_another_holder_of_the_epoch_leads_no_more():
    own = _following()
    leadership.claim_transaction(own, 10_101, _encode)
    leadership.become_leader(own, 30, 1.0)
    assert leadership.observe_epoch(own, leadership.Lease("c/9", 6, 0), 40)
    assert not own.leading


def test_news_that_is_older_than_the_own_claim_does_not_end_the_leadership():
    own = _following()
    leadership.claim_transaction(own, 10_101, _encode)
    leadership.become_leader(own, 30, 1.0)
    assert not leadership.observe_epoch(own, leadership.Lease("a/1", 4, 0), 20)
    assert own.leading


def test_a_restarted_process_is_another_holder():
    own = leadership.Leadership("a/2")
    leadership.observe_lease(own, leadership.Lease("a/1", 4, 10_000), 21)
    assert not leadership.may_claim(own, 9_000, 0)


def test_an_own_claim_whose_answer_was_lost_is_recognised_by_its_row():
    # The entry waited for its own lease to end before it claimed again.
    own = _following()
    leadership.claim_transaction(own, 10_101, _encode)
    assert not leadership.observe_epoch(own, leadership.Lease("b/2", 5, 11_500), 30)
    assert leadership.has_unacknowledged_claim(own)
    leadership.observe_epoch(own, leadership.Lease("c/9", 6, 13_000), 40)
    assert not leadership.has_unacknowledged_claim(own)


def test_a_claim_that_is_still_under_way_is_left_to_its_answer():
    # The feed may bring the row first; the epoch was counted twice then.
    own = _following()
    leadership.claim_transaction(own, 10_101, _encode)
    own.sent_at = 1.0
    leadership.observe_epoch(own, leadership.Lease("b/2", 5, 11_500), 30)
    assert not leadership.has_unacknowledged_claim(own)
    leadership.become_leader(own, 30, 1.0)
    assert (own.epoch, own.leading) == (5, True)


def test_an_epoch_that_is_known_to_be_lost_is_not_taken_again():
    own = _following()
    leadership.claim_transaction(own, 10_101, _encode)
    leadership.become_leader(own, 30, 1.0)
    leadership.step_down(own)
    assert not leadership.has_unacknowledged_claim(own)


def test_one_lost_renewal_does_not_end_the_lease():
    # Another entry would take over from a leader that is well, and urgent jobs would wait for it.
    lost = (
        leadership.RENEW_INTERVAL_SECONDS
        + leadership.WRITE_TIMEOUT_SECONDS
        + leadership.RETRY_DELAY_SECONDS
    )
    slow_answer = 0.15
    assert lost + slow_answer < leadership.LEASE_DURATION_MS / 1000


def test_urgent_work_starts_in_time_after_the_loss_of_a_leader():
    # A longer lease alone would use up the time in which urgent work must start.
    assert leadership.LEASE_DURATION_MS <= 1100
