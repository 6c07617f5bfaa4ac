import schedule_harness as harness

from peridothatch_core.model import steps
from peridothatch_core.schedule import cycle, state, tickets

VALID_MS = 3_000


def _asking(count=2, nodes=("n1", "n2", "n3"), **changes):
    """Return a scheduler with a ticketed job, the job, and the request for its tickets."""
    item = harness.job("a", harness.step(count, 4, **changes), ticketed=True)
    own = harness.scheduler([item], [harness.agent(node) for node in nodes])
    harness.run(own)
    (request,) = own.ticket_requests
    own.ticket_requests.clear()
    return own, item, request


def _grant(own, request, *instances, now_ms=harness.NOW_MS):
    granted = {instance: f"ticket-{instance}" for instance in instances}
    tickets.record_answer(own, request, granted, VALID_MS, now_ms)


def test_nothing_starts_without_a_ticket_and_the_service_is_asked_once():
    # Each start without a ticket is refused by the worker and priced.
    own, item, request = _asking()
    harness.run(own)
    assert not harness.open_runs(item)
    assert not own.ticket_requests
    assert set(request.workers) == {"w-n1", "w-n2", "w-n3"}


def test_tasks_start_only_on_workers_with_a_ticket_and_carry_it():
    own, item, request = _asking()
    _grant(own, request, "w-n2")
    cycle.run(own, harness.NOW_MS, harness.UNIX_MS)
    assert [run.node for run in harness.open_runs(item)] == ["n2", "n2"]
    orders = [value for _, value in own.changes["a"].writes if isinstance(value, steps.Order)]
    assert {order.ticket for order in orders} == {"ticket-w-n2"}


def test_a_denied_worker_is_not_asked_about_again():
    own, item, request = _asking(count=4)
    _grant(own, request, "w-n2")
    own.agents["n4"] = harness.agent("n4")
    harness.run(own)
    (again,) = own.ticket_requests
    assert again.workers == ("w-n4",)
    assert len(harness.open_runs(item)) == 2


def test_an_expired_ticket_is_not_used_and_is_asked_for_again():
    own, item, request = _asking()
    _grant(own, request, "w-n1")
    later_ms = harness.NOW_MS + VALID_MS
    harness.renew(own, later_ms)
    harness.run(own, later_ms)
    assert not harness.open_runs(item)
    assert own.ticket_requests[0].workers == ("w-n1",)


def test_a_request_without_an_answer_is_made_again_after_a_pause():
    own, _, request = _asking()
    tickets.record_no_answer(own, request, harness.NOW_MS)
    harness.run(own)
    assert not own.ticket_requests
    harness.run(own, harness.NOW_MS + tickets.RETRY_MS)
    assert len(own.ticket_requests) == 1


def test_a_ticket_that_the_worker_refuses_is_forgotten():
    own, item, request = _asking(count=1)
    _grant(own, request, "w-n1")
    harness.run(own)
    (run,) = harness.open_runs(item)
    harness.end(own, item, run, steps.EndKind.REJECTED)
    assert not tickets.ticket(own.tickets["a", 0, 0], "w-n1", harness.NOW_MS)


def test_tickets_are_dropped_with_their_job():
    own, item, _ = _asking()
    state.forget_job(own, item)
    assert not own.tickets
