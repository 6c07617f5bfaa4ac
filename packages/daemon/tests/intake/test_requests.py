"""Guards against untrue verdicts and lost parameters between HTTP and the deciding tasks."""

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


def replying(value):
    return lambda message: mailbox.answer(message.reply, value)


def test_a_request_carries_what_its_headers_say(front):
    headers = [
        ("Idempotency-Key", "half-mast-7"),
        ("Peridothatch-Deadline-Ms", "1500"),
        ("Peridothatch-Idempotent", "true"),
        ("Content-Type", "text/plain"),
    ]
    front.exchange("POST", PATH, KOLAR, b"body", headers)
    front.exchange("POST", PATH, "token-operator", b"", [("Peridothatch-Customer", "adinkra")])
    first, second = front.seen
    assert first.idempotency_key == "half-mast-7"
    assert first.request == request.Request(
        "e1.1.1", "kolar", "notices", True, 1.5, b"body", "text/plain", first.request.trace
    )
    assert first.request.trace != second.request.trace
    assert (second.request.id, second.request.customer) == ("e1.1.2", "adinkra")
    assert second.request.idempotent is False


def test_an_operator_must_name_the_customer_of_a_request(front):
    status, document = front.refusal("POST", PATH, "token-operator", b"")
    assert (status, document["field"]) == (400, "Peridothatch-Customer")


@pytest.mark.parametrize(
    ("answer", "status", "said"),
    [
        (request.Answer("r", verdict.Verdict.RAN, 200, b"a"), 200, "ran"),
        (request.Answer("r", verdict.Verdict.RAN, 503, b"a"), 503, "ran"),
        (request.Answer("r", verdict.Verdict.RAN, 0), 502, "ran"),
        (request.Answer("r", verdict.Verdict.NOT_RUN, 0), 503, "not_run"),
        (request.Answer("r", verdict.Verdict.MAY_HAVE_RUN, 0), 502, "may_have_run"),
        (request.Answer("r", verdict.Verdict.MAY_HAVE_RUN, 200, b"a"), 502, "may_have_run"),
    ],
)
def test_the_verdict_of_an_answer_is_passed_on(front, answer, status, said):
    found = front.exchange("POST", PATH, KOLAR, b"{}", decide=replying(result.Ok(answer)))
    assert (found[0], found[1]["peridothatch-verdict"]) == (status, said)
    assert (found[2] == answer.body) == (said == "ran" and answer.status > 0)


@pytest.mark.parametrize("said", list(verdict.Verdict))
@pytest.mark.parametrize("code", list(verdict.Code))
def test_every_refusal_keeps_its_verdict(front, said, code):
    refusal = verdict.Refusal(said, code, "because")
    status, document = front.refusal(
        "POST", PATH, KOLAR, b"{}", decide=replying(result.Err(refusal))
    )
    assert 400 <= status < 600
    assert (document["verdict"], document["title"]) == (said, code)


def test_a_long_poll_tells_the_deciding_task_how_long_to_wait(front):
    decide = replying(result.Ok(messages.JobView(JOB, 1.25)))
    path = "/v1/jobs/j1?wait_seconds=20&known_state=waiting"
    status, _, body = front.exchange("GET", path, KOLAR, decide=decide)
    assert (status, json.loads(body)["age_seconds"]) == (200, 1.25)
    [asked] = front.seen
    assert (asked.wait_seconds, asked.known_state) == (20.0, "waiting")


@pytest.mark.parametrize("query", ["wait_seconds=-1", "wait_seconds=61", "known_state=done"])
def test_a_wrong_long_poll_is_refused(front, query):
    assert front.refusal("GET", f"/v1/jobs/j1?{query}", KOLAR)[0] == 400


def test_a_submitted_job_is_passed_on_whole(front):
    document = {
        "work_class": "notices",
        "shape": {"tasks": 3, "task": {"accelerators": 4, "cores": 2}, "adjacency": "rack"},
        "command": ["primes", "10"],
        "checkpointable": True,
        "expected_seconds": 60,
    }
    decide = replying(result.Ok(JOB))
    headers = [("Idempotency-Key", "lot-9")]
    body = json.dumps(document).encode()
    assert front.exchange("POST", "/v1/jobs", KOLAR, body, headers, decide)[0] == 201
    [asked] = front.seen
    assert asked.idempotency_key == "lot-9"
    assert asked.job.shape == shape.GangShape(3, shape.TaskShape(4, 2), shape.Adjacency.RACK)
    assert (asked.job.customer, asked.job.command) == ("kolar", ("primes", "10"))
    assert (asked.job.checkpointable, asked.job.expected_seconds) == (True, 60.0)
