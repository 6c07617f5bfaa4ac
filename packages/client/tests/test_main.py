"""Guards against wrong exit codes, a shown token and requests that are sent again unsafely."""

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
    ("arguments", "document", "asked"), COMMANDS, ids=[" ".join(one[0]) for one in COMMANDS]
)
REFUSAL = {"detail": "because of the reason"}


def addressed(entry, arguments):
    return [entry.address if one == "ADDRESS" else one for one in arguments]


@each_command
def test_a_command_that_is_served_ends_with_0(entry, reply, arguments, document, asked):
    done = entry.run(*addressed(entry, arguments), replies=[reply(200, document)])
    assert (done.exit_code, done.exception) == (0, None)
    [(method, path, headers, _)] = entry.seen
    assert f"{method} {path}" == asked
    assert headers["Authorization"].startswith("Bearer ")


@each_command
def test_json_output_is_the_document_alone(entry, reply, arguments, document, asked):
    del asked
    place = arguments.index("--") if "--" in arguments else len(arguments)
    arguments = [*arguments[:place], "--json", *arguments[place:]]
    done = entry.run(*addressed(entry, arguments), replies=[reply(200, document)])
    assert done.exit_code == 0
    shown = json.loads(done.stdout)
    assert json.loads(shown["body"]) == document if "body" in shown else shown == document


@each_command
@pytest.mark.parametrize(
    ("verdict", "status", "code"),
    [("not_run", 400, 3), ("not_run", 401, 3), ("may_have_run", 504, 4), ("ran", 500, 1)],
)
def test_a_refusal_ends_with_the_code_of_its_verdict(
    entry, reply, arguments, document, asked, verdict, status, code
):
    del document, asked
    replies = [reply(status, REFUSAL, verdict)] * 9
    done = entry.run(*addressed(entry, arguments), replies=replies)
    assert done.exit_code == code
    assert "because of the reason" in done.stderr


@each_command
def test_an_unreachable_entry_means_not_run(entry, arguments, document, asked):
    del document, asked
    # Nothing listens on port 1.
    entry.address = "http://127.0.0.1:1"
    done = entry.run(*addressed(entry, arguments))
    assert done.exit_code == 3
    assert "cannot be reached" in done.stderr


@each_command
def test_a_lost_answer_to_a_change_may_have_run(entry, reply, arguments, document, asked):
    del document
    done = entry.run(*addressed(entry, arguments), replies=[reply(0)] * 9)
    assert done.exit_code == (3 if asked.startswith("GET") else 4)


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
def test_wrong_usage_ends_with_2_and_sends_nothing(entry, arguments):
    assert entry.run(*arguments).exit_code == 2
    assert entry.seen == []


def test_a_submission_is_sent_again_under_one_key(entry, reply):
    done = entry.run(*SUBMIT, replies=[reply(0), reply(503, {}, "may_have_run"), reply(201, JOB)])
    assert done.exit_code == 0
    assert len({headers["Idempotency-Key"] for _, _, headers, _ in entry.seen}) == 1


def test_a_later_refusal_does_not_hide_that_the_first_attempt_may_have_run(entry, reply):
    refused = reply(503, REFUSAL, "not_run")
    done = entry.run(*SUBMIT, replies=[reply(0), refused, refused])
    assert done.exit_code == 4
    assert entry.seen[0][2]["Idempotency-Key"] in done.stderr


def test_a_request_is_never_sent_again_by_itself(entry, reply):
    assert entry.run("request", "notices", replies=[reply(0), reply(200)]).exit_code == 4
    assert len(entry.seen) == 1


def test_a_request_prints_the_answer_as_it_came(entry, reply):
    done = entry.run("request", "s", "--body", "{}", replies=[reply(200, b"\x00\xffwhole")])
    assert done.stdout_bytes == b"\x00\xffwhole"
    assert entry.seen[0][3] == b"{}"


def test_waiting_follows_the_job_and_outlives_an_entry_that_drains(entry, reply):
    replies = [
        reply(200, JOB),
        reply(503, {}, "not_run"),
        reply(200, {**JOB, "state": "running"}),
        reply(200, {**JOB, "state": "succeeded"}),
    ]
    done = entry.run("job", "wait", "j1", replies=replies)
    assert done.exit_code == 0
    states = [line for line in done.stderr.splitlines() if line.startswith("Job j1 is")]
    assert states == ["Job j1 is waiting.", "Job j1 is running.", "Job j1 is succeeded."]
    assert "known_state=running" in entry.seen[-1][1]


@pytest.mark.parametrize("state", ["failed", "cancelled"])
def test_waiting_for_a_job_that_does_not_succeed_ends_with_1(entry, reply, state):
    ended = {**JOB, "state": state}
    assert entry.run("job", "wait", "j1", replies=[reply(200, ended)]).exit_code == 1


def test_waiting_gives_up_after_its_time(entry, reply):
    done = entry.run("job", "wait", "j1", "--timeout-seconds", "0", replies=[reply(200, JOB)])
    assert done.exit_code == 1
    assert "has not ended" in done.stderr


def test_declaring_a_data_centre_lost_needs_a_confirmation(entry, reply):
    for answer, code in (("n\n", 3), ("y\n", 0)):
        done = entry.run("data-centre", "lost", "b", replies=[reply(200, CHANGE)], text=answer)
        assert done.exit_code == code
    assert len(entry.seen) == 1


def test_only_the_hash_of_a_customers_token_is_sent(entry, reply, tmp_path):
    file = tmp_path / "token"
    file.write_text("their-token\n")
    arguments = ("customer", "set", "k", "--quota-accelerators", "4", "--token-file", str(file))
    assert entry.run(*arguments, replies=[reply(200, CHANGE)]).exit_code == 0
    sent = json.loads(entry.seen[0][3])
    assert sent["token_sha256"] == hashlib.sha256(b"their-token").hexdigest()
    assert b"their-token" not in entry.seen[0][3]


def test_text_from_the_server_cannot_steer_the_terminal(entry, reply):
    sentences = {"sentences": ["\x1b[2J[red]gone[/red]"]}
    done = entry.run("explain", "j1", replies=[reply(200, sentences)])
    assert done.stdout == "?[2J[red]gone[/red]\n"


def test_a_name_cannot_leave_its_place_in_the_path(entry, reply):
    entry.run("job", "show", "../../metrics?x", replies=[reply(200, JOB)])
    assert entry.seen[0][1] == "/v1/jobs/..%2F..%2Fmetrics%3Fx"


def test_an_answer_without_a_verdict_is_not_taken_for_done(entry, reply):
    assert entry.run("class", "delete", "a", replies=[reply(200, {}, "")]).exit_code == 4
    assert entry.run("class", "list", replies=[reply(200, {}, "")]).exit_code == 3


def test_promises_never_round_a_missed_one_away(entry, reply):
    document = {"classes": [PROMISE], "guarantees": [GUARANTEE]}
    done = entry.run("promises", replies=[reply(200, document)])
    assert "99.9%" in done.stdout
    assert "short" in done.stdout
    assert "jana" in done.stdout
