"""Guards against input that crashes the entry, is ambiguous or gets no verdict."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from peridothatch_daemon.intake import bodies, routes, schema

OPERATOR = "token-operator"
VERDICTS = {"ran", "not_run", "may_have_run"}
JOB = {
    "customer": "kolar",
    "work_class": "notices",
    "shape": {"tasks": 2, "task": {"accelerators": 1}},
    "command": ["primes", "10"],
}
FIXED = hypothesis.settings(derandomize=True, deadline=None, max_examples=60)

leaves = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text()
)
values = strategies.recursive(
    leaves,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(), inner, max_size=3)
    ),
    max_leaves=8,
)
fields = strategies.sampled_from(
    [
        "customer",
        "work_class",
        "shape",
        "command",
        "target",
        "urgent",
        "quota_accelerators",
        "token_sha256",
        "count",
        "data_centre",
        "expected_seconds",
        "checkpointable",
    ]
)
documents = values | strategies.dictionaries(fields, values, max_size=6)
endpoints = strategies.sampled_from(
    [item for item in routes.ENDPOINTS if item.document is not None]
)


def check(answer):
    status, headers, body = answer
    assert headers["peridothatch-verdict"] in VERDICTS
    assert status != 500
    assert status < 500 or json.loads(body)["detail"] == "nothing is connected"
    assert b"Traceback" not in body


@FIXED
@hypothesis.given(endpoint=endpoints, document=documents)
def test_any_json_gets_a_verdict(create_client, endpoint, document):
    path = endpoint.path.replace("{name}", "gold")
    check(
        create_client().request(
            "POST" if endpoint.method == "POST" else "PUT",
            path,
            OPERATOR,
            json.dumps(document).encode(),
        )
    )


@FIXED
@hypothesis.given(change=strategies.dictionaries(fields, values, min_size=1, max_size=2))
def test_a_job_with_arbitrary_field_values_gets_a_verdict(create_client, change):
    body = json.dumps({**JOB, **change}).encode()
    check(create_client().request("POST", "/v1/jobs", OPERATOR, body))


@FIXED
@hypothesis.given(endpoint=endpoints, body=strategies.binary(max_size=64))
def test_any_bytes_get_a_verdict(create_client, endpoint, body):
    path = endpoint.path.replace("{name}", "gold")
    check(create_client().request(endpoint.method, path, OPERATOR, body))


@FIXED
@hypothesis.given(
    endpoint=strategies.sampled_from([e for e in routes.ENDPOINTS if e.method == "GET"]),
    name=strategies.sampled_from(["limit", "wait_seconds", "state", "customer", "x"]),
    value=strategies.text("0123456789.-einfa", max_size=12),
    segment=strategies.text(
        strategies.characters(codec="utf-8", exclude_characters="/?"), min_size=1, max_size=20
    ),
)
def test_any_query_and_path_get_a_verdict(create_client, endpoint, name, value, segment):
    path = endpoint.path.replace("{name}", segment).replace("{id}", segment)
    check(create_client().request("GET", f"{path}?{name}={value}", OPERATOR))


@FIXED
@hypothesis.given(
    name=strategies.sampled_from(
        [
            "Idempotency-Key",
            "Peridothatch-Deadline-Ms",
            "Peridothatch-Idempotent",
            "Peridothatch-Customer",
            "Content-Length",
        ]
    ),
    value=strategies.text(strategies.characters(min_codepoint=32, max_codepoint=126)),
)
def test_any_header_gets_a_verdict(create_client, name, value):
    path = "/v1/services/notices/requests"
    check(create_client().request("POST", path, "token-kolar", headers=[(name, value)]))


@pytest.mark.parametrize(
    ("body", "field"),
    [
        (b'{"work_class": "a", "work_class": "b"}', "work_class"),
        (b'{"shape": {"task": {"cores": 1, "cores": 2}}}', "cores"),
        (json.dumps({**JOB, "comand": []}).encode(), "comand"),
        (
            json.dumps({**JOB, "shape": {"task": {"accelerators": 1, "gpus": 1}}}).encode(),
            "shape.task.gpus",
        ),
        (json.dumps({**JOB, "command": []}).encode(), "command"),
        (
            json.dumps({**JOB, "shape": {"task": {"accelerators": "1"}}}).encode(),
            "shape.task.accelerators",
        ),
        (
            json.dumps({**JOB, "shape": {"tasks": 1025, "task": {"accelerators": 1}}}).encode(),
            "shape.tasks",
        ),
        (json.dumps({**JOB, "customer": "nobody"}).encode(), "customer"),
        (b'{"expected_seconds": NaN}', "body"),
        (b"[" * 100_000, "body"),
        (b"\xff", "body"),
        (b"", "body"),
    ],
)
def test_the_invalid_field_is_named(client, body, field):
    status, document = client.expect_refusal("POST", "/v1/jobs", OPERATOR, body)
    assert (status, document["verdict"], document["field"]) == (400, "not_run", field)
    assert document["expected"]
    assert client.received_messages == []


def test_infinite_numbers_are_refused():
    body = json.dumps(JOB).encode()[:-1] + b', "expected_seconds": 1e999}'
    refused = bodies.validate(schema.JobSubmission, body)
    assert refused.err_value.field == "expected_seconds"


@pytest.mark.parametrize(
    "target",
    [
        "soon",
        "within 0s",
        "within",
        "by 24:00 Africa/Accra",
        "by 06:00 Africa/Nowhere",
        "by 06:00 ../etc",
        "within 9999d",
    ],
)
def test_an_invalid_target_is_named(client, target):
    body = json.dumps({"target": target}).encode()
    status, document = client.expect_refusal("PUT", "/v1/classes/a", OPERATOR, body)
    assert (status, document["field"], document["value"]) == (400, "target", target)


def test_an_unknown_query_parameter_is_named(client):
    status, document = client.expect_refusal("GET", "/v1/jobs/j1?wait_second=3", OPERATOR)
    assert (status, document["field"]) == (400, "wait_second")


def test_the_openapi_document_covers_every_endpoint(client):
    status, _, body = client.request("GET", "/v1/openapi.json")
    document = json.loads(body)
    assert status == 200
    described = {(m.upper(), path) for path, item in document["paths"].items() for m in item}
    served = {(item.method, item.path) for item in routes.ENDPOINTS}
    assert served - described == {("GET", "/v1/openapi.json")}
    schemas = document["components"]["schemas"]
    assert schemas["JobSubmission"]["additionalProperties"] is False
    references = {part.split('"')[0] for part in body.decode().split("#/components/schemas/")[1:]}
    assert references <= set(schemas)
