"""Another writer's odd entries are skipped, and all others are used."""

import asyncio
import base64
import json
import time

import aiohttp
import decoder_registry
import platform_standin
import process_harness as harness
import pytest

from peridothatch_core.message import rows
from peridothatch_core.model import addresses, steps, tables
from peridothatch_daemon.hosted import agent, entry, records
from peridothatch_daemon.intake import bodies
from peridothatch_platform import store as client_module
from peridothatch_platform import store_pages
from peridothatch_platform import worker as worker_module

TASK = decoder_registry.TASK
DEEP = "[" * 200_000 + "]" * 200_000
ODD_VALUES = [
    b"",
    b"\xff\xfe",
    b"[]",
    b'{"x": %s}' % DEEP.encode(),
    b'{"node": "front-9", "callers": "10.0.0.1:99999"}',
    b'{"id": "x", "objective_ms": 1%s}' % (b"0" * 400),
    b'{"holder": 5}',
]


@pytest.mark.parametrize(
    "odd",
    [
        "1e999",
        "null",
        "{}",
        "[]",
        '["a"]',
        "[1e999, 1e999, 1e999, 1e999, 1e999]",
        "[" * 150 + "]" * 150,
    ],
)
def test_an_odd_entry_in_a_list_of_runs_hides_no_other(odd):
    # One entry made the whole list unreadable, and a number too large ended the task.
    skipped = []
    text = (
        f'{{"clock_ms": 5, "running": [{odd}, ["{TASK}", 2, "c1", 41]],'
        f' "finished": [[1, "a.0.0.0", 1, "done", ""], {odd}, [3, "b.0.0.0", 1, "failed", ""]]}}'
    )
    listing = worker_module.decode_listing(
        "i-1", text.encode(), 0.0, 1.0, lambda *entry: skipped.append(entry)
    )
    assert [(run.task, run.attempt, run.percent) for run in listing.running] == [(TASK, 2, 41)]
    assert [end.number for end in listing.ended] == [1, 3]
    assert listing.unreadable_ends == 1
    assert len(skipped) == 2


# Guards against a run that stays open for good, or runs again although it was done: its end could
# not be read for a part that does not matter.
@pytest.mark.parametrize(
    ("end", "kind"),
    [
        ('[1, "a.0.0.0", 1, "evicted", ""]', steps.EndKind.LOST),
        ('[1, "a.0.0.0", 1, "done"]', steps.EndKind.DONE),
        ('[1, "a.0.0.0", 1, "done", 1e999]', steps.EndKind.DONE),
    ],
)
def test_an_end_of_an_unknown_kind_or_without_a_checkpoint_is_an_end(end, kind):
    text = f'{{"clock_ms": 5, "finished": [{end}]}}'
    listing = worker_module.decode_listing("i-1", text.encode(), 0.0, 1.0, decoder_registry.ignore)
    assert [(ended.number, ended.kind, ended.saved) for ended in listing.ended] == [(1, kind, "")]
    assert not listing.unreadable_ends


@pytest.mark.parametrize("progress", ['["x"], 41', '"c1", 1e999', '"c1", -3', '"c1"'])
def test_a_run_with_odd_progress_is_still_running(progress):
    # A run that the list does not name would be stopped.
    text = f'{{"clock_ms": 5, "running": [["{TASK}", 2, {progress}]]}}'
    listing = worker_module.decode_listing("i-1", text.encode(), 0.0, 1.0, decoder_registry.ignore)
    assert [(run.task, run.attempt, run.saved) for run in listing.running] == [(TASK, 2, "")]


@pytest.mark.parametrize(
    "change",
    [
        {"capacity": {"cpu": 10**40}},
        {"capacity": {"gpu": -5}},
        {"seq": 10**400},
        {"seq": -1},
        {"born": int(1000 * time.time()) + 10**9},
        {"remaining_ms": 10**12},
        {"labels": ["a"] * 1000},
        {"state": "resting"},
    ],
)
def test_a_heartbeat_out_of_bounds_is_rejected(change):
    # A sequence or a start time that no later heartbeat exceeds would silence the worker.
    example = json.loads(decoder_registry.ALL[0].example)
    with pytest.raises(ValueError):
        worker_module.decode_heartbeat("i-1", json.dumps({**example, **change}).encode())


# Guards against a call that is answered by the worker although it names another instance.
@pytest.mark.parametrize("instance", [" w-1", "w-1\r\nX: y", "w-\u00e9", "", "w" * 201])
def test_an_id_that_no_call_can_name_is_rejected(instance):
    with pytest.raises(ValueError, match="id: "):
        worker_module.decode_heartbeat(instance, decoder_registry.ALL[0].example)


def test_a_page_of_rows_is_read_past_what_cannot_be_read():
    # The feed asked for the same version again for ever.
    skipped = []
    body = {
        "rows": [
            {"key": "j/1", "value": "not base64!"},
            {"value": "e30="},
            5,
            {"key": "j/2", "value": "e30=", "row_version": 10**400},
            {"key": "j/3", "value": "e30=", "row_version": 3},
        ],
        "row_version": 9,
    }
    page = store_pages.decode_page(
        "work", json.dumps(body).encode(), lambda *row: skipped.append(row)
    )
    assert page.rows == (rows.Row("work", "j/3", b"{}", 3),)
    assert (page.version, page.last_key) == (9, "j/3")
    assert [key for _, key, _ in skipped] == ["j/1", "", "", "j/2"]


@pytest.mark.parametrize("body", [b'{"a": 1e999}', b'{"a": [-1e999]}', b'{"a": Infinity}'])
def test_a_number_that_is_not_finite_is_refused(body):
    decoded = bodies.decode(body)
    assert decoded.is_err()
    assert decoded.err_value.expected == "a finite number"


@pytest.mark.parametrize(
    "text", ["", "10.0.0.1", "10.0.0.1:", ":80", "10.0.0.1:0", "10.0.0.1:99999", "a.example:80",
             "10.0.0.1:-1", "10.0.0.1:٨٠", "10.0.0.1:" + "9" * 5000],
)  # fmt: skip
def test_an_address_needs_an_ip_number_and_a_port_in_range(text):
    with pytest.raises(ValueError, match="expected"):
        addresses.parse(text)


def test_an_address_is_split_into_host_and_port():
    assert addresses.parse("10.0.0.1:80") == ("10.0.0.1", 80)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        (tables.agent_key("side-2"), {**json.loads(decoder_registry.ALL[11].example)}),
        (tables.entry_key("front-2"), {"node": "front-1", "callers": "10.0.0.1:80"}),
        (
            tables.end_key("b.0.0.0", 1),
            {"task": "a.0.0.0", "attempt": 1, "node": "n", "kind": "done"},
        ),
    ],
)
def test_a_row_that_describes_something_else_than_its_key_is_not_used(key, value):
    # The row of an agent under another key replaced the agent's own row in the scheduler.
    row = rows.Row(key.table, key.key, json.dumps(value).encode(), 1)
    with pytest.raises(ValueError, match="belongs to the key"):
        records.decode_row(row)


@pytest.mark.parametrize(
    "key", ["side-1", "side-1/a", "side-1/a/x", "side-1/a/1/go", "side-1/a/" + "9" * 5000]
)
def test_a_key_that_is_no_order_raises_value_error(key):
    with pytest.raises(ValueError):
        records.parse_run_key(key)


async def test_processes_keep_following_tables_with_odd_rows(
    store, worker, unused_tcp_port_factory
):
    # An exception for one row dropped the other rows of its message, or ended the task.
    _put_odd_rows(store)
    entry_machine = harness.machine(store, "front-1", unused_tcp_port_factory, worker=None)
    agent_machine = harness.machine(store, "side-1", unused_tcp_port_factory, worker=worker)
    front = await entry.start(entry_machine)
    side = await agent.start(agent_machine, lambda: None)
    _put_odd_rows(store)
    async with aiohttp.ClientSession() as caller:
        heartbeats = asyncio.create_task(_send_heartbeats(caller, agent_machine))
        await harness.until(lambda: _is_completed(caller, entry_machine))
        heartbeats.cancel()
        await asyncio.gather(heartbeats, return_exceptions=True)
    assert [item.name for item in entry.tasks(front) if not item.running] == []
    assert [item.name for item in agent.tasks(side) if not item.running] == []
    assert len(worker.starts) == 1
    await agent.close(side)
    await entry.close(front)


def _put_odd_rows(store):
    part = client_module.PARTITION
    keys = [
        tables.job_key("x"), tables.end_key("x", 1), tables.agent_key("x"),
        tables.agent_key("side-9"), tables.entry_key("front-9"),
        tables.order_key("side-1", "x", 1),
        rows.Key(tables.orders_table("side-1"), "side-1/x/y/z"),
    ]  # fmt: skip
    for number, odd in enumerate(ODD_VALUES):
        for key in keys:
            store.put(key.table, part, f"{key.key}{number}", _encode(odd))
    store.put(tables.LEASE_KEY.table, part, tables.LEASE_KEY.key, _encode(ODD_VALUES[3]))
    store.put("work", part, "j/bad", "not base64!")


def _encode(value):
    return base64.b64encode(value).decode()


async def _send_heartbeats(caller, machine):
    body = json.loads(decoder_registry.ALL[0].example)
    path = f"http://{machine.heartbeats.text}/peridothatch/instances/{platform_standin.INSTANCE}"
    while True:
        body["seq"] += 1
        async with caller.put(path, json=body) as response:
            assert response.status == 200
        await asyncio.sleep(0.2)


async def _is_completed(caller, machine):
    headers = {"Host": "a.example", "Api-Key": "k1", "X-Request-Deadline": "3000"}
    path = f"http://{machine.callers.text}{harness.JOB}"
    async with caller.get(path, headers=headers) as response:
        state = (await response.json()).get("state") if response.status == 200 else None
    if state is None:
        async with caller.post(path, json=harness.ONE_TASK, headers=headers):
            pass
    return state == "completed"
