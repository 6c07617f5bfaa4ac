"""Guards against callers that are not known and customers that see each other's data."""

import dataclasses
import json

import pytest
import result

from peridothatch_core.admit import changes
from peridothatch_core.model import config
from peridothatch_daemon import messages
from peridothatch_daemon.intake import call, routes
from peridothatch_wire import mailbox

CUSTOMER, OPERATOR = "token-adinkra", "token-operator"


def path_of(endpoint):
    return endpoint.path.replace("{name}", "gold").replace("{id}", "j1")


@pytest.mark.parametrize("endpoint", routes.ENDPOINTS, ids=lambda e: f"{e.method} {e.path}")
@pytest.mark.parametrize("token", ["", "guess", "x" * 5000])
def test_no_endpoint_but_public_ones_serves_an_unknown_token(front, endpoint, token):
    if endpoint.role is call.Role.PUBLIC:
        return
    status, document = front.refusal(endpoint.method, path_of(endpoint), token)
    assert (status, document["verdict"]) == (401, "not_run")
    assert front.seen == []


@pytest.mark.parametrize(
    "endpoint",
    [item for item in routes.ENDPOINTS if item.role is call.Role.OPERATOR],
    ids=lambda e: f"{e.method} {e.path}",
)
def test_a_customer_cannot_use_an_operators_endpoint(front, endpoint):
    status, _ = front.refusal(endpoint.method, path_of(endpoint), CUSTOMER, b"{}")
    assert status == 403
    assert front.seen == []


def test_a_token_hash_is_not_a_token(front):
    digest = front.snapshot.customers["adinkra"].token_sha256
    assert front.refusal("GET", "/v1/classes", digest)[0] == 401


def test_a_customer_without_a_token_cannot_be_entered_with_an_empty_one(create_front):
    front = create_front()
    assert front.refusal("GET", "/v1/classes", headers=[("authorization", "Bearer ")])[0] == 401


@pytest.mark.parametrize("path", ["/v1/jobs", "/v1/promises"])
def test_a_customer_cannot_list_for_another(front, path):
    assert front.refusal("GET", f"{path}?customer=kolar", CUSTOMER)[0] == 403


def test_a_customer_cannot_submit_for_another(front):
    body = {
        "customer": "kolar",
        "work_class": "notices",
        "shape": {"task": {"accelerators": 1}},
        "command": ["primes", "10"],
    }
    assert front.refusal("POST", "/v1/jobs", CUSTOMER, json.dumps(body).encode())[0] == 403
    headers = [("Peridothatch-Customer", "kolar")]
    assert front.refusal("POST", "/v1/services/s/requests", CUSTOMER, headers=headers)[0] == 403
    assert front.seen == []


@pytest.mark.parametrize(
    ("method", "path"),
    [
        ("GET", "/v1/jobs/j1"),
        ("DELETE", "/v1/jobs/j1"),
        ("GET", "/v1/jobs/j1/explain"),
        ("GET", "/v1/jobs"),
        ("GET", "/v1/promises"),
        ("GET", "/v1/requests/r1"),
    ],
)
def test_every_lookup_of_a_customer_carries_its_name(front, method, path):
    front.exchange(method, path, CUSTOMER)
    front.exchange(method, path, OPERATOR)
    assert [message.customer for message in front.seen] == ["adinkra", ""]


def test_a_hidden_guarantee_looks_like_an_unknown_one(front):
    hidden = front.refusal("GET", "/v1/guarantees/gold", CUSTOMER)
    unknown = front.refusal("GET", "/v1/guarantees/lead", CUSTOMER)
    assert hidden[0] == unknown[0] == 404
    assert hidden[1]["detail"].replace("gold", "lead") == unknown[1]["detail"]
    listed = json.loads(front.exchange("GET", "/v1/guarantees", CUSTOMER)[2])
    assert listed["guarantees"] == []


def test_changes_of_other_customers_are_hidden(front):
    kolar, gold = front.snapshot.customers["kolar"], front.snapshot.guarantees["gold"]
    notices = front.snapshot.classes["notices"]
    listed = [
        config.Change(5, "operator", "ama", "0" * 64, "kofi", 5.0),
        config.Change(4, "guarantee", "gold", None, "kofi", 4.0),
        config.Change(3, "guarantee", "gold", gold, "kofi", 3.0),
        config.Change(2, "customer", "kolar", kolar, "kofi", 2.0),
        config.Change(1, "class", "notices", notices, "kofi", 1.0),
    ]

    def decide(message):
        assert isinstance(message, messages.ListChanges)
        mailbox.answer(message.reply, listed)

    seen = {}
    for token in (CUSTOMER, "token-kolar", OPERATOR):
        body = front.exchange("GET", "/v1/changes", token, decide=decide)[2]
        assert b"0000" not in body
        seen[token] = [item["revision"] for item in json.loads(body)["changes"]]
    assert seen == {CUSTOMER: [1], "token-kolar": [3, 2, 1], OPERATOR: [5, 4, 3, 2, 1]}


def test_no_answer_shows_a_token_or_its_hash(front):
    secrets = [item.token_sha256 for item in front.snapshot.customers.values()]
    secrets += [*front.snapshot.operator_tokens, CUSTOMER, OPERATOR]
    for endpoint in routes.ENDPOINTS:
        body = front.exchange(endpoint.method, path_of(endpoint), OPERATOR, b"{}")[2].decode()
        assert not [secret for secret in secrets if secret in body]


def decide_change(snapshot):
    """Check a change as the deciding task does."""

    def decide(message):
        kind, name = message.kind, message.name
        by = message.changed_by
        value = changes.fill_defaults(snapshot, kind, name, message.value, by, 9.0)
        checked = changes.validate(
            snapshot, kind, name, value, lambda _, wanted: result.Ok(wanted)
        )
        change = config.Change(8, kind, name, value, by, 9.0)
        mailbox.answer(message.reply, checked.map(lambda _: change))

    return decide


@pytest.mark.parametrize("owner", ["customer", "operator"])
def test_two_callers_cannot_share_a_token(front, owner):
    taken = front.snapshot.customers["kolar"].token_sha256
    if owner == "operator":
        [taken] = front.snapshot.operator_tokens
    body = json.dumps({"quota_accelerators": 16, "token_sha256": taken}).encode()
    status, document = front.refusal(
        "PUT", "/v1/customers/adinkra", OPERATOR, body, decide=decide_change(front.snapshot)
    )
    assert (status, document["field"]) == (400, "token_sha256")
    assert taken not in json.dumps(document)


def test_a_quota_is_changed_without_the_token(front):
    body = json.dumps({"quota_accelerators": 32}).encode()
    decide = decide_change(front.snapshot)
    assert front.exchange("PUT", "/v1/customers/kolar", OPERATOR, body, decide=decide)[0] == 200
    # The deciding task fills the token in, on the snapshot that the change applies to.
    assert front.seen[0].value.token_sha256 == ""


@pytest.mark.parametrize(
    ("path", "document", "change"),
    [
        ("classes/notices", {"target": "within 60s", "urgent": True}, {"target": "within 61s"}),
        (
            "guarantees/gold",
            {
                "customer": "kolar",
                "shape": {"tasks": 2, "task": {"accelerators": 8}},
                "data_centre": "accra-a",
            },
            {"shape": {"tasks": 1, "task": {"accelerators": 8}}},
        ),
    ],
)
def test_a_promise_set_again_unchanged_keeps_its_author_and_date(front, path, document, change):
    decide = decide_change(front.snapshot)
    front.state.snapshot = dataclasses.replace(
        front.snapshot, operator_tokens=dict.fromkeys(front.snapshot.operator_tokens, "ama")
    )
    for body, author in ((document, "kofi"), ({**document, **change}, "ama")):
        sent = json.dumps(body).encode()
        answer = front.exchange("PUT", f"/v1/{path}", OPERATOR, sent, decide=decide)
        assert json.loads(answer[2])["value"]["promised_by"] == author


@pytest.mark.parametrize("verb", ["out", "in", "lost"])
def test_a_data_centre_changes_its_service_and_keeps_its_region(front, verb):
    path = f"/v1/data-centres/accra-a/{verb}"
    answer = front.exchange("POST", path, OPERATOR, decide=decide_change(front.snapshot))
    shown = json.loads(answer[2])["value"]
    assert shown == {"name": "accra-a", "region": "gh-south", "service": verb}
    assert front.refusal("POST", f"/v1/data-centres/nowhere/{verb}", OPERATOR)[0] == 404
