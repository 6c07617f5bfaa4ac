"""All decoders of bytes from other processes, each with a valid example."""

import dataclasses
import json
import typing

from peridothatch_core.message import link, rows
from peridothatch_core.model import entries, learned, steps
from peridothatch_core.schedule import leadership
from peridothatch_daemon import messages
from peridothatch_daemon.decide import claim_row
from peridothatch_daemon.hosted import records
from peridothatch_daemon.intake import bodies
from peridothatch_daemon.outlet import backend, config_rows, entry_rows, store_rows
from peridothatch_daemon.outlet import rows as own_rows
from peridothatch_daemon.outlet import worker as own_worker
from peridothatch_platform import (
    operator,
    relay_calls,
    store_pages,
    submission,
    ticket_service,
    worker,
)
from peridothatch_wire import codec

JOB_ID = "00000000000000aa"
TASK = f"{JOB_ID}.0.0.0"


@dataclasses.dataclass(frozen=True)
class Decoder:
    """A decoder, the module that defines it and a valid input."""

    module: str
    name: str
    decode: typing.Callable[[bytes], typing.Any]
    example: bytes


def ignore(*_):
    """Skip an unreadable entry."""


def _stored(parse):
    """Return a decoder of row values, which another decoder has turned into Python values."""

    def decode(data):
        rows = store_rows.decode_rows(
            messages.Read("t", (), (), None), 200,
            b'{"rows": {"k": {"value": ' + data + b', "version": 1, "transaction": "t"}}}', 0.0,
        )  # fmt: skip
        return parse(next(iter(rows.rows.values())))

    return decode


def _of(value):
    return records.encode(value)


_HEARTBEAT = {
    "service": "render", "zone": "accra-a", "state": "ready", "born": 1, "seq": 4,
    "capacity": {"cpu": 64000, "mem_mb": 1000, "gpu": 8}, "labels": ["a", "r1"],
    "remaining_ms": 0, "addr": "10.0.0.1:8080", "cold_left_ms": 0,
}  # fmt: skip
_LISTING = {
    "clock_ms": 482113, "born": 1, "running": [[TASK, 2, "c1", 41]],
    "finished": [[1, TASK, 1, "done", ""]],
}  # fmt: skip
_STORED_ROW = {"table": "work", "key": "j/1", "value": "e30=", "row_version": 3}
_PAGE = {"rows": [_STORED_ROW], "has_more": False, "row_version": 4, "now_ms": 5}
_CONFIG = {
    "version": 3,
    "routes": [{"name": "q", "host": "a.example", "prefix": "/jobs/", "service": "render",
                "slo_ms": 500, "priority": 1, "max_attempts": 2, "slack_factor": 2.0}],
    "services": [{"name": "render", "enforce_limits": True}],
    "tenants": [{"name": "ministry", "api_keys": ["k1"], "guaranteed": {"gpu": 8}}],
}  # fmt: skip
_SUBMISSION = {"spec": "text", "phases": [{"count": 1, "cpu": 100, "gpu": 1, "fill_ratio": 0.5}],
               "times": 2, "start_ms": 5, "period_ms": 7}  # fmt: skip
_JOB = steps.Job(JOB_ID, "q", "render", "m", 1, 3, 2.0, 500, (steps.Step(1),), None, 1)
_AGENT = {
    "node": "side-1", "zone": "accra-a", "fence": 1, "lapses": 0, "hold_until_ms": 1,
    "worker": {"instance": "w", "started_ms": 1, "service": "s", "zone": "z", "state": "ready",
               "capacity": {"cpu_millis": 1, "memory_mb": 1, "accelerators": 1}},
    "runs": [{"task": TASK, "attempt": 1, "saved": "", "percent": 3}], "claimed": [[TASK, 1]],
}  # fmt: skip
_OBJECT = {"value": "operator-token", "revision": 1, "changed_by": "a", "changed_at": 1.0}

ALL = [
    Decoder("platform.worker", "heartbeat", lambda data: worker.decode_heartbeat("i-1", data),
            json.dumps(_HEARTBEAT).encode()),
    Decoder("platform.worker", "list of runs",
            lambda data: worker.decode_listing("i-1", data, 0.0, 1.0, ignore),
            json.dumps(_LISTING).encode()),
    Decoder("platform.worker", "refusal", lambda data: worker.refusal_reason(409, data),
            b'{"clock_ms": 1, "reason": "room"}'),
    Decoder("platform.store_pages", "page of rows",
            lambda data: store_pages.decode_page("work", data, ignore),
            json.dumps(_PAGE).encode()),
    Decoder("platform.store_pages", "outcome", store_pages.decode_done,
            b'{"row_version": 4, "now_ms": 5}'),
    Decoder("platform.operator", "desired state",
            lambda data: operator.decode_desired_state(data, lambda *_: None),
            json.dumps(_CONFIG).encode()),
    Decoder("platform.submission", "job", submission.decode, json.dumps(_SUBMISSION).encode()),
    Decoder("platform.ticket_service", "tickets", ticket_service.decode_granted,
            b'{"granted": [["w-1", "t"]], "validity_ms": 5}'),
    Decoder("hosted.records", "job", lambda data: records.decode(records.JOB, data), _of(_JOB)),
    Decoder("hosted.records", "order", lambda data: records.decode(records.ORDER, data),
            _of(steps.Order(JOB_ID, TASK, 1, "w-1", 1, 2))),
    Decoder("hosted.records", "end", lambda data: records.decode(records.END, data),
            _of(steps.End(TASK, 1, "side-1", steps.EndKind.DONE))),
    Decoder("hosted.records", "agent", lambda data: records.decode(records.AGENT, data),
            json.dumps(_AGENT).encode()),
    Decoder("hosted.records", "entry", lambda data: records.decode(records.ENTRY, data),
            _of(entries.Entry("front-1", "10.0.0.1:80", "10.0.0.1:81"))),
    Decoder("hosted.records", "lease", lambda data: records.decode(records.LEASE, data),
            _of(leadership.Lease("a/1", 1, 2))),
    Decoder("hosted.records", "run times",
            lambda data: records.decode(records.RUN_TIMES, data),
            _of(learned.RunTimes("ministry", "q", ((120, 1.5), (130, 0.25))))),
    Decoder("hosted.records", "lasting speed",
            lambda data: records.decode(records.LASTING_SPEED, data),
            _of(learned.LastingSpeed("side-1", 1, -0.2, 9.0))),
    Decoder("platform.relay_calls", "transaction", relay_calls.decode_transaction,
            relay_calls.encode_transaction(rows.Transaction(
                (rows.Condition(rows.Key("members", "agent/a"), 1),),
                ((rows.Key("members", "agent/a"), b"{}"), (rows.Key("work", "e/x/1"), None))),
                1.0, 2.5, "front-1")),
    Decoder("platform.relay_calls", "outcome",
            lambda data: relay_calls.decode_outcome(data, "token"),
            b'{"outcome": "COMMITTED", "version": 4, "now_ms": 5, "reason": "", "busy": true,'
            b' "leader": "front-1", "store_ms": 7}'),
    Decoder("intake.bodies", "body", bodies.decode, b'{"a": [1.5, "b", null]}'),
    Decoder("outlet.store_rows", "rows",
            lambda data: store_rows.decode_rows(
                messages.Read("t", (), (), None), 200, data, 0.0),
            b'{"rows": {"k": {"value": {}, "version": 1, "transaction": "t"}}}'),
    Decoder("outlet.entry_rows", "entry",
            _stored(lambda row: entry_rows.parse("entry/a", row)),
            b'{"host": "10.0.0.1", "port": 80, "data_centre": "a", "region": "r", "counter": 1}'),
    Decoder("outlet.config_rows", "head", _stored(config_rows.parse_head), b'{"revision": 3}'),
    Decoder("outlet.config_rows", "object",
            _stored(lambda row: config_rows.parse_object("config/object/operator/a", row)),
            json.dumps(_OBJECT).encode()),
    Decoder("outlet.config_rows", "change", lambda data: config_rows.parse_change(data.decode()),
            json.dumps({"kind": "operator", "name": "a", **_OBJECT}).encode()),
    Decoder("outlet.rows", "job", _stored(lambda row: own_rows.parse_job(row.value)), b"{}"),
    Decoder("outlet.rows", "planner lease",
            _stored(lambda row: own_rows.parse_planner_lease(row.value)), b"{}"),
    Decoder("outlet.worker", "worker", own_worker.WorkerBody.model_validate_json, b"{}"),
    Decoder("outlet.worker", "tasks", own_worker.TasksBody.model_validate_json, b"{}"),
    Decoder("platform.worker", "identity", lambda data: worker.decode_identity(200, data),
            b'{"clock_ms": 5, "born": 7, "running": [], "finished": []}'),
    Decoder("outlet.backend", "server", backend.ServerBody.model_validate_json, b"{}"),
    Decoder("outlet.backend", "refusal", backend.reports_no_free_slot,
            b'{"reason": "no free slot"}'),
    Decoder("decide.claim_row", "claim", _stored(claim_row.RowValue.model_validate),
            b'{"request": "r"}'),
    Decoder("wire.codec", "message", codec.decode,
            codec.encode(link.Heartbeat(1.0, 7, 3))),
]  # fmt: skip

NOT_FROM_OTHERS = {
    "platform.settings": "the settings file of the process; each error ends it with its field",
    "platform.listeners": "the same file, read before the settings are validated",
    "platform.played_days": "a report for developers, read from a file",
    "settings": "the settings file of the own interface's process",
    "client.settings": "the settings file of the command line",
    "client.exchange": "the command line reports an error and ends",
}
"""Modules with decoders of input that no other process of the installation can send."""
