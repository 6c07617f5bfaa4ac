"""Guards against wrong verdicts and lost parameters between HTTP and the other tasks."""

import json

import pytest
import result

from peridothatch_core.model import job, request, shape, verdict
from peridothatch_daemon import messages
from peridothatch_wire import mailbox

PATH = "/v1/services/notices/requests"
KOLAR = "token-kolar"
JOB = job.Job(
    "j1", "kolar", "notices", shape.GangShape(1, shape.TaskShape(1)), ("x",), "accra-a", 1.0, 2.0
)


def reply_with(value):
    return lambda message: mailbox.answer(message.reply, value)


def test_request_headers_are_passed_on(client):
    headers = [
        ("Idempotency-Key", "half-mast-7"),
        ("Peridothatch-Deadline-Ms", "1500"),
        ("Peridothatch-Idempotent", "true"),
        ("Content-Type", "text/plain"),
    ]
    client.request("POST", PATH, KOLAR, b"body", headers)
    client.request("POST", PATH, "token-operator", b"", [("Peridothatch-Customer", "adinkra")])
    first, second = client.received_messages
    assert first.idempotency_key == "half-mast-7"
    assert first.request == request.Request(
        "e1.1.1", "kolar", "notices", True, 1.5, b"body", "text/plain", first.request.trace
    )
    assert first.request.trace != second.request.trace
    assert (second.request.id, second.request.customer) == ("e1.1.2", "adinkra")
    assert second.request.idempotent is False


def test_an_operator_must_name_the_customer_of_a_request(client):
    status, document = client.expect_refusal("POST", PATH, "token-operator", b"")
    assert (status, document["field"]) == (400, "Peridothatch-Customer")


@pytest.mark.parametrize(
    ("answer", "status", "expected_verdict"),
    [
        (request.Answer("r", verdict.Verdict.RAN, 200, b"a"), 200, "ran"),
        (request.Answer("r", verdict.Verdict.RAN, 503, b"a"), 503, "ran"),
        (request.Answer("r", verdict.Verdict.RAN, 0), 502, "ran"),
        (request.Answer("r", verdict.Verdict.NOT_RUN, 0), 503, "not_run"),
        (request.Answer("r", verdict.Verdict.MAY_HAVE_RUN, 0), 502, "may_have_run"),
        (request.Answer("r", verdict.Verdict.MAY_HAVE_RUN, 200, b"a"), 502, "may_have_run"),
    ],
)
def test_an_answer_is_passed_on_with_its_verdict(client, answer, status, expected_verdict):
    found = client.request("POST", PATH, KOLAR, b"{}", handler=reply_with(result.Ok(answer)))
    assert (found[0], found[1]["peridothatch-verdict"]) == (status, expected_verdict)
    assert (found[2] == answer.body) == (expected_verdict == "ran" and answer.status > 0)


@pytest.mark.parametrize("expected_verdict", list(verdict.Verdict))
@pytest.mark.parametrize("code", list(verdict.Code))
def test_every_refusal_keeps_its_verdict(client, expected_verdict, code):
    refusal = verdict.Refusal(expected_verdict, code, "because")
    status, document = client.expect_refusal(
        "POST", PATH, KOLAR, b"{}", handler=reply_with(result.Err(refusal))
    )
    assert 400 <= status < 600
    assert (document["verdict"], document["title"]) == (expected_verdict, code)


def test_a_long_poll_passes_on_its_wait_time_and_known_state(client):
    handler = reply_with(result.Ok(messages.JobView(JOB, 1.25)))
    path = "/v1/jobs/j1?wait_seconds=20&known_state=waiting"
    status, _, body = client.request("GET", path, KOLAR, handler=handler)
    assert (status, json.loads(body)["age_seconds"]) == (200, 1.25)
    [received] = client.received_messages
    assert (received.wait_seconds, received.known_state) == (20.0, "waiting")


@pytest.mark.parametrize("query", ["wait_seconds=-1", "wait_seconds=61", "known_state=done"])
def test_an_invalid_long_poll_is_refused(client, query):
    assert client.expect_refusal("GET", f"/v1/jobs/j1?{query}", KOLAR)[0] == 400


def test_a_submitted_job_is_passed_on_with_all_fields(client):
    document = {
        "work_class": "notices",
        "shape": {"tasks": 3, "task": {"accelerators": 4, "cores": 2}, "adjacency": "rack"},
        "command": ["primes", "10"],
        "checkpointable": True,
        "expected_seconds": 60,
    }
    handler = reply_with(result.Ok(JOB))
    headers = [("Idempotency-Key", "lot-9")]
    body = json.dumps(document).encode()
    assert client.request("POST", "/v1/jobs", KOLAR, body, headers, handler)[0] == 201
    [received] = client.received_messages
    assert received.idempotency_key == "lot-9"
    assert received.job.shape == shape.GangShape(3, shape.TaskShape(4, 2), shape.Adjacency.RACK)
    assert (received.job.customer, received.job.command) == ("kolar", ("primes", "10"))
    assert (received.job.checkpointable, received.job.expected_seconds) == (True, 60.0)
