"""Guards against unknown callers and against customers that see the data of others."""

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


def example_path(endpoint):
    return endpoint.path.replace("{name}", "gold").replace("{id}", "j1")


@pytest.mark.parametrize("endpoint", routes.ENDPOINTS, ids=lambda e: f"{e.method} {e.path}")
@pytest.mark.parametrize("token", ["", "guess", "x" * 5000])
def test_only_public_endpoints_accept_an_unknown_token(client, endpoint, token):
    if endpoint.role is call.Role.PUBLIC:
        return
    status, document = client.expect_refusal(endpoint.method, example_path(endpoint), token)
    assert (status, document["verdict"]) == (401, "not_run")
    assert client.received_messages == []


@pytest.mark.parametrize(
    "endpoint",
    [item for item in routes.ENDPOINTS if item.role is call.Role.OPERATOR],
    ids=lambda e: f"{e.method} {e.path}",
)
def test_a_customer_cannot_use_an_operators_endpoint(client, endpoint):
    status, _ = client.expect_refusal(endpoint.method, example_path(endpoint), CUSTOMER, b"{}")
    assert status == 403
    assert client.received_messages == []


def test_a_token_digest_is_not_accepted_as_a_token(client):
    digest = client.snapshot.customers["adinkra"].token_sha256
    assert client.expect_refusal("GET", "/v1/classes", digest)[0] == 401


def test_an_empty_token_matches_no_customer_without_a_token(create_client):
    client = create_client()
    assert (
        client.expect_refusal("GET", "/v1/classes", headers=[("authorization", "Bearer ")])[0]
        == 401
    )


@pytest.mark.parametrize("path", ["/v1/jobs", "/v1/promises"])
def test_a_customer_cannot_list_for_another(client, path):
    assert client.expect_refusal("GET", f"{path}?customer=kolar", CUSTOMER)[0] == 403


def test_a_customer_cannot_submit_for_another(client):
    body = {
        "customer": "kolar",
        "work_class": "notices",
        "shape": {"task": {"accelerators": 1}},
        "command": ["primes", "10"],
    }
    assert client.expect_refusal("POST", "/v1/jobs", CUSTOMER, json.dumps(body).encode())[0] == 403
    headers = [("Peridothatch-Customer", "kolar")]
    assert (
        client.expect_refusal("POST", "/v1/services/s/requests", CUSTOMER, headers=headers)[0]
        == 403
    )
    assert client.received_messages == []


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
def test_lookups_of_a_customer_are_limited_to_that_customer(client, method, path):
    client.request(method, path, CUSTOMER)
    client.request(method, path, OPERATOR)
    assert [message.customer for message in client.received_messages] == ["adinkra", ""]


def test_a_hidden_guarantee_is_answered_like_an_unknown_one(client):
    hidden = client.expect_refusal("GET", "/v1/guarantees/gold", CUSTOMER)
    unknown = client.expect_refusal("GET", "/v1/guarantees/lead", CUSTOMER)
    assert hidden[0] == unknown[0] == 404
    assert hidden[1]["detail"].replace("gold", "lead") == unknown[1]["detail"]
    listed = json.loads(client.request("GET", "/v1/guarantees", CUSTOMER)[2])
    assert listed["guarantees"] == []


def test_changes_of_other_customers_are_hidden(client):
    kolar, gold = client.snapshot.customers["kolar"], client.snapshot.guarantees["gold"]
    notices = client.snapshot.classes["notices"]
    listed = [
        config.Change(5, "operator", "ama", "0" * 64, "kofi", 5.0),
        config.Change(4, "guarantee", "gold", None, "kofi", 4.0),
        config.Change(3, "guarantee", "gold", gold, "kofi", 3.0),
        config.Change(2, "customer", "kolar", kolar, "kofi", 2.0),
        config.Change(1, "class", "notices", notices, "kofi", 1.0),
    ]

    def handler(message):
        assert isinstance(message, messages.ListChanges)
        mailbox.answer(message.reply, listed)

    seen = {}
    for token in (CUSTOMER, "token-kolar", OPERATOR):
        body = client.request("GET", "/v1/changes", token, handler=handler)[2]
        assert b"0000" not in body
        seen[token] = [item["revision"] for item in json.loads(body)["changes"]]
    assert seen == {CUSTOMER: [1], "token-kolar": [3, 2, 1], OPERATOR: [5, 4, 3, 2, 1]}


def test_no_answer_contains_a_token_or_its_digest(client):
    secrets = [item.token_sha256 for item in client.snapshot.customers.values()]
    secrets += [*client.snapshot.operator_tokens, CUSTOMER, OPERATOR]
    for endpoint in routes.ENDPOINTS:
        body = client.request(endpoint.method, example_path(endpoint), OPERATOR, b"{}")[2].decode()
        assert not [secret for secret in secrets if secret in body]


def change_handler(snapshot):
    """Return a handler that checks a change as the config task does."""

    def handler(message):
        kind, name = message.kind, message.name
        by = message.changed_by
        value = changes.fill_defaults(snapshot, kind, name, message.value, by, 9.0)
        checked = changes.validate(
            snapshot, kind, name, value, lambda _, wanted: result.Ok(wanted)
        )
        change = config.Change(8, kind, name, value, by, 9.0)
        mailbox.answer(message.reply, checked.map(lambda _: change))

    return handler


@pytest.mark.parametrize("owner", ["customer", "operator"])
def test_two_callers_cannot_share_a_token(client, owner):
    taken = client.snapshot.customers["kolar"].token_sha256
    if owner == "operator":
        [taken] = client.snapshot.operator_tokens
    body = json.dumps({"quota_accelerators": 16, "token_sha256": taken}).encode()
    status, document = client.expect_refusal(
        "PUT", "/v1/customers/adinkra", OPERATOR, body, handler=change_handler(client.snapshot)
    )
    assert (status, document["field"]) == (400, "token_sha256")
    assert taken not in json.dumps(document)


def test_a_quota_change_does_not_need_the_token(client):
    body = json.dumps({"quota_accelerators": 32}).encode()
    handler = change_handler(client.snapshot)
    assert client.request("PUT", "/v1/customers/kolar", OPERATOR, body, handler=handler)[0] == 200
    # The config task fills in the token from the snapshot to which the change applies.
    assert client.received_messages[0].value.token_sha256 == ""


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
def test_an_unchanged_promise_keeps_its_author(client, path, document, change):
    handler = change_handler(client.snapshot)
    client.state.snapshot = dataclasses.replace(
        client.snapshot, operator_tokens=dict.fromkeys(client.snapshot.operator_tokens, "ama")
    )
    for body, author in ((document, "kofi"), ({**document, **change}, "ama")):
        sent = json.dumps(body).encode()
        answer = client.request("PUT", f"/v1/{path}", OPERATOR, sent, handler=handler)
        assert json.loads(answer[2])["value"]["promised_by"] == author


@pytest.mark.parametrize("verb", ["out", "in", "lost"])
def test_a_service_change_of_a_data_centre_keeps_its_region(client, verb):
    path = f"/v1/data-centres/accra-a/{verb}"
    answer = client.request("POST", path, OPERATOR, handler=change_handler(client.snapshot))
    shown = json.loads(answer[2])["value"]
    assert shown == {"name": "accra-a", "region": "gh-south", "service": verb}
    assert client.expect_refusal("POST", f"/v1/data-centres/nowhere/{verb}", OPERATOR)[0] == 404
