from peridothatch_core.reception import store_health


def _health_answered_at(at):
    health = store_health.StoreHealth()
    store_health.record_answer(health, at)
    return health


def test_a_store_that_has_never_answered_counts_as_unreachable():
    assert store_health.outage_reason(store_health.StoreHealth(), 5.0)


def test_one_failed_call_may_be_a_reset_connection():
    health = _health_answered_at(10.0)
    store_health.record_failure(health)
    assert store_health.outage_reason(health, 10.5) == ""


def test_consecutive_failures_show_an_outage():
    # While the store reset connections, calls waited for their deadlines and were not refused.
    health = _health_answered_at(10.0)
    store_health.record_failure(health)
    store_health.record_failure(health)
    assert "2 calls" in store_health.outage_reason(health, 10.5)
    store_health.record_answer(health, 10.6)
    assert store_health.outage_reason(health, 10.7) == ""


def test_a_long_silence_shows_an_outage():
    health = _health_answered_at(10.0)
    assert store_health.outage_reason(health, 10.0 + store_health.MAX_SILENCE_SECONDS - 0.1) == ""
    assert "not answered" in store_health.outage_reason(
        health, 10.0 + store_health.MAX_SILENCE_SECONDS + 0.1
    )
