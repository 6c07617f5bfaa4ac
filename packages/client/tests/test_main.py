"""Tests of the commands: exit codes, token secrecy and retries that could run a request twice."""

import hashlib
import json

import pytest

SHAPE = {
    "tasks": 2,
    "task": {"accelerators": 4, "cores": 1, "memory_mb": 256},
    "adjacency": "rack",
}
JOB = {
    "id": "j1",
    "customer": "kolar",
    "work_class": "lots",
    "state": "waiting",
    "data_centre": "brno-hala",
    "shape": SHAPE,
    "command": ["primes", "9"],
    "run": 0,
    "cells": [{"task": 0, "worker": "w1", "accelerators": [0]}],
    "submitted_at": 1.0,
    "due_at": 2.0,
    "started_at": 0.0,
    "ended_at": 0.0,
    "borrowed": False,
    "failures": 0,
    "results": [],
    "detail": "",
    "cancel_requested": False,
    "age_seconds": 0.0,
}
CHANGE = {
    "revision": 8,
    "kind": "data_centre",
    "name": "brno-hala",
    "deleted": False,
    "value": {"name": "brno-hala"},
    "changed_by": "jana",
    "changed_at": 1.0,
}
PROMISE = {
    "customer": "kolar",
    "work_class": "lots",
    "target": "within 8h",
    "promised_by": "jana",
    "promised_at": 1.0,
    "kept": 199,
    "missed": 1,
    "overdue": 1,
    "open": 0,
    "kept_share": 0.9999,
}
GUARANTEE = {
    "name": "gold",
    "customer": "kolar",
    "shape": SHAPE,
    "count": 1,
    "data_centre": "brno-hala",
    "pinned": True,
    "promised_by": "jana",
    "promised_at": 1.0,
    "state": "short",
}
CLASS = {
    "name": "lots",
    "target": "within 8h",
    "urgent": True,
    "promised_by": "jana",
    "promised_at": 1.0,
}
CUSTOMER = {"name": "kolar", "quota_accelerators": 16, "has_token": True}
CENTRE = {"name": "brno-hala", "region": "brno", "service": "out"}
SUBMIT = ("job", "submit", "--class", "lots", "--", "primes", "9")
COMMANDS = [
    (SUBMIT, JOB, "POST /v1/jobs"),
    (("job", "list"), {"jobs": [JOB], "truncated": False}, "GET /v1/jobs?limit=100"),
    (("job", "show", "j1"), JOB, "GET /v1/jobs/j1"),
    (("job", "cancel", "j1"), JOB, "DELETE /v1/jobs/j1"),
    (("job", "wait", "j1"), {**JOB, "state": "succeeded"}, "GET /v1/jobs/j1"),
    (("explain", "j1"), {"sentences": ["It waits."]}, "GET /v1/jobs/j1/explain"),
    (("request", "notices"), {"a": 1}, "POST /v1/services/notices/requests"),
    (("class", "set", "lots", "within 8h"), CHANGE, "PUT /v1/classes/lots"),
    (("class", "list"), {"classes": [CLASS]}, "GET /v1/classes"),
    (("class", "delete", "lots"), CHANGE, "DELETE /v1/classes/lots"),
    (("customer", "set", "k", "--quota-accelerators", "4"), CHANGE, "PUT /v1/customers/k"),
    (("customer", "list"), {"customers": [CUSTOMER]}, "GET /v1/customers"),
    (("customer", "delete", "k"), CHANGE, "DELETE /v1/customers/k"),
    (("guarantee", "set", "gold", "--customer", "k"), CHANGE, "PUT /v1/guarantees/gold"),
    (("guarantee", "list"), {"guarantees": [GUARANTEE]}, "GET /v1/guarantees"),
    (("guarantee", "delete", "gold"), CHANGE, "DELETE /v1/guarantees/gold"),
    (("data-centre", "list"), {"data_centres": [CENTRE]}, "GET /v1/data-centres"),
    (("data-centre", "out", "b"), CHANGE, "POST /v1/data-centres/b/out"),
    (("data-centre", "in", "b"), CHANGE, "POST /v1/data-centres/b/in"),
    (("data-centre", "lost", "b", "--yes"), CHANGE, "POST /v1/data-centres/b/lost"),
    (("changes",), {"changes": [CHANGE]}, "GET /v1/changes?limit=100"),
    (("promises",), {"classes": [PROMISE], "guarantees": [GUARANTEE]}, "GET /v1/promises"),
    (("state", "ADDRESS"), {"jobs": {"draining": False}}, "GET /debug/state"),
]
each_command = pytest.mark.parametrize(
    ("arguments", "document", "request_line"),
    COMMANDS,
    ids=[" ".join(case[0]) for case in COMMANDS],
)
REFUSAL = {"detail": "because of the reason"}


def with_entry_address(entry, arguments):
    return [entry.address if argument == "ADDRESS" else argument for argument in arguments]


@each_command
def test_a_successful_command_exits_with_0(entry, response, arguments, document, request_line):
    outcome = entry.run(*with_entry_address(entry, arguments), responses=[response(200, document)])
    assert (outcome.exit_code, outcome.exception) == (0, None)
    [(method, path, headers, _)] = entry.requests
    assert f"{method} {path}" == request_line
    assert headers["Authorization"].startswith("Bearer ")


@each_command
def test_json_output_contains_only_the_document(
    entry, response, arguments, document, request_line
):
    del request_line
    separator = arguments.index("--") if "--" in arguments else len(arguments)
    arguments = [*arguments[:separator], "--json", *arguments[separator:]]
    outcome = entry.run(*with_entry_address(entry, arguments), responses=[response(200, document)])
    assert outcome.exit_code == 0
    shown = json.loads(outcome.stdout)
    assert json.loads(shown["body"]) == document if "body" in shown else shown == document


@each_command
@pytest.mark.parametrize(
    ("verdict", "status", "code"),
    [("not_run", 400, 3), ("not_run", 401, 3), ("may_have_run", 504, 4), ("ran", 500, 1)],
)
def test_a_rejection_exits_with_the_code_of_its_verdict(
    entry, response, arguments, document, request_line, verdict, status, code
):
    del document, request_line
    responses = [response(status, REFUSAL, verdict)] * 9
    outcome = entry.run(*with_entry_address(entry, arguments), responses=responses)
    assert outcome.exit_code == code
    assert "because of the reason" in outcome.stderr


@each_command
def test_an_unreachable_entry_means_not_run(entry, arguments, document, request_line):
    del document, request_line
    # Nothing listens on port 1.
    entry.address = "http://127.0.0.1:1"
    outcome = entry.run(*with_entry_address(entry, arguments))
    assert outcome.exit_code == 3
    assert "cannot be reached" in outcome.stderr


@each_command
def test_a_lost_response_to_a_change_may_have_run(
    entry, response, arguments, document, request_line
):
    del document
    outcome = entry.run(*with_entry_address(entry, arguments), responses=[response(0)] * 9)
    assert outcome.exit_code == (3 if request_line.startswith("GET") else 4)


@pytest.mark.parametrize(
    "arguments",
    [
        ("job", "submit", "primes"),
        ("job", "submit", "--class", "lots"),
        ("job", "submit", "--class", "lots", "--tasks", "many", "primes"),
        ("job", "frob"),
        ("request", "s", "--body", "x", "--body-file", "-"),
        ("customer", "set", "k", "--quota-accelerators", "1", "--token-file", "/nonexistent/x"),
    ],
)
def test_wrong_usage_exits_with_2_and_sends_nothing(entry, arguments):
    assert entry.run(*arguments).exit_code == 2
    assert entry.requests == []


def test_a_submission_is_retried_with_the_same_key(entry, response):
    outcome = entry.run(
        *SUBMIT, responses=[response(0), response(503, {}, "may_have_run"), response(201, JOB)]
    )
    assert outcome.exit_code == 0
    assert len({headers["Idempotency-Key"] for _, _, headers, _ in entry.requests}) == 1


def test_a_rejected_retry_does_not_hide_that_the_first_attempt_may_have_run(entry, response):
    refused = response(503, REFUSAL, "not_run")
    outcome = entry.run(*SUBMIT, responses=[response(0), refused, refused])
    assert outcome.exit_code == 4
    assert entry.requests[0][2]["Idempotency-Key"] in outcome.stderr


def test_a_request_is_never_retried_automatically(entry, response):
    assert entry.run("request", "notices", responses=[response(0), response(200)]).exit_code == 4
    assert len(entry.requests) == 1


def test_a_request_prints_the_response_body_unchanged(entry, response):
    outcome = entry.run(
        "request", "s", "--body", "{}", responses=[response(200, b"\x00\xffwhole")]
    )
    assert outcome.stdout_bytes == b"\x00\xffwhole"
    assert entry.requests[0][3] == b"{}"


def test_waiting_reports_state_changes_and_survives_a_draining_entry(entry, response):
    responses = [
        response(200, JOB),
        response(503, {}, "not_run"),
        response(200, {**JOB, "state": "running"}),
        response(200, {**JOB, "state": "succeeded"}),
    ]
    outcome = entry.run("job", "wait", "j1", responses=responses)
    assert outcome.exit_code == 0
    states = [line for line in outcome.stderr.splitlines() if line.startswith("Job j1 is")]
    assert states == ["Job j1 is waiting.", "Job j1 is running.", "Job j1 is succeeded."]
    assert "known_state=running" in entry.requests[-1][1]


@pytest.mark.parametrize("state", ["failed", "cancelled"])
def test_waiting_for_a_job_that_does_not_succeed_exits_with_1(entry, response, state):
    ended = {**JOB, "state": state}
    assert entry.run("job", "wait", "j1", responses=[response(200, ended)]).exit_code == 1


def test_waiting_stops_after_its_timeout(entry, response):
    outcome = entry.run(
        "job", "wait", "j1", "--timeout-seconds", "0", responses=[response(200, JOB)]
    )
    assert outcome.exit_code == 1
    assert "has not ended" in outcome.stderr


def test_declaring_a_data_centre_lost_requires_confirmation(entry, response):
    for answer, code in (("n\n", 3), ("y\n", 0)):
        outcome = entry.run(
            "data-centre", "lost", "b", responses=[response(200, CHANGE)], text=answer
        )
        assert outcome.exit_code == code
    assert len(entry.requests) == 1


def test_only_the_hash_of_a_customers_token_is_sent(entry, response, tmp_path):
    file = tmp_path / "token"
    file.write_text("their-token\n")
    arguments = ("customer", "set", "k", "--quota-accelerators", "4", "--token-file", str(file))
    assert entry.run(*arguments, responses=[response(200, CHANGE)]).exit_code == 0
    sent = json.loads(entry.requests[0][3])
    assert sent["token_sha256"] == hashlib.sha256(b"their-token").hexdigest()
    assert b"their-token" not in entry.requests[0][3]


def test_escape_sequences_from_the_server_are_replaced(entry, response):
    sentences = {"sentences": ["\x1b[2J[red]gone[/red]"]}
    outcome = entry.run("explain", "j1", responses=[response(200, sentences)])
    assert outcome.stdout == "?[2J[red]gone[/red]\n"


def test_a_name_is_encoded_as_one_path_segment(entry, response):
    entry.run("job", "show", "../../metrics?x", responses=[response(200, JOB)])
    assert entry.requests[0][1] == "/v1/jobs/..%2F..%2Fmetrics%3Fx"


def test_a_response_without_a_verdict_is_not_a_success(entry, response):
    assert entry.run("class", "delete", "a", responses=[response(200, {}, "")]).exit_code == 4
    assert entry.run("class", "list", responses=[response(200, {}, "")]).exit_code == 3


def test_promises_round_the_kept_share_down(entry, response):
    document = {"classes": [PROMISE], "guarantees": [GUARANTEE]}
    outcome = entry.run("promises", responses=[response(200, document)])
    assert "99.9%" in outcome.stdout
    assert "short" in outcome.stdout
    assert "jana" in outcome.stdout
