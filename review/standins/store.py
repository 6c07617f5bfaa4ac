"""Stand-in for the platform's row store, with the limits that its page states."""

import asyncio
import bisect
import collections
import time

import orjson
from aiohttp import web

MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
MAX_ROW_BYTES = 65_536
PAGE_ROWS = 500
PAGE_BYTES = 1_000_000
TRANSACTION_SECONDS = 0.005
READ_SECONDS = 0.004
MAX_QUEUE_SECONDS = 1.0
UNANSWERED_SECONDS = 60.0


def now_ms():
    """Return the steady clock of the store in milliseconds."""
    return int(1000 * time.monotonic())


class Store:
    """Rows by table and part, one version counter, and a history for the feeds.

    Attributes
    ----------
    mode : str
        ``up``, or ``busy``: all calls get status 503 and do nothing.
    slow_factor : float
        Answers take this many times as long as usual.
    lose : callable or None
        Takes the body of a transaction. It returns ``None``, or the delay in seconds after which
        the transaction is performed without an answer, if its conditions still hold.
    refused : list of str
        Why transactions were refused with status 400.
    """

    def __init__(self):
        self.mode = "up"
        self.slow_factor = 1.0
        self.lose = None
        self.refused = []
        self.version = 0
        self._rows = collections.defaultdict(dict)
        self._changes = collections.defaultdict(list)
        self._changed = asyncio.Event()
        self._free_at = 0.0
        self._late = set()

    def application(self):
        """Return the HTTP application of the store."""
        app = web.Application(client_max_size=8 * MAX_CALL_BYTES)
        app.router.add_post("/peridothatch/rows-tx", self._transact)
        app.router.add_get("/peridothatch/rows-get", self._get)
        app.router.add_get("/peridothatch/rows-feed", self._feed)
        return app

    def put(self, table, part, key, value):
        """Write a row as the operator does; ``value`` is text in base64, ``None`` to delete."""
        self.version += 1
        self._set(table, part, key, value)
        self._announce()

    def rows(self, table, part):
        """Return the rows of a part as a dictionary of key to value and version."""
        return self._rows[table, part]

    def _set(self, table, part, key, value):
        rows = self._rows[table, part]
        if value is None:
            if rows.pop(key, None) is None:
                return
        else:
            rows[key] = (value, self.version)
        self._changes[table].append((self.version, part, key))

    def _announce(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _transact(self, request):
        raw = await request.read()
        if self.mode == "busy":
            return web.Response(status=503)
        body = orjson.loads(raw)
        refusal = _limit_exceeded(raw, body)
        if refusal:
            self.refused.append(refusal)
            return web.json_response({"reason": refusal}, status=400)
        late_seconds = self.lose(body) if self.lose else None
        if late_seconds is not None:
            task = asyncio.create_task(self._perform_late(body, late_seconds))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            await asyncio.sleep(UNANSWERED_SECONDS)
            return web.Response(status=500)
        now = time.monotonic()
        start = max(now, self._free_at)
        if start - now > MAX_QUEUE_SECONDS:
            return web.Response(status=429)
        self._free_at = start + TRANSACTION_SECONDS
        await asyncio.sleep(self._free_at - now)
        conflicts = self._apply(body)
        versions = self._versions()
        await asyncio.sleep((self.slow_factor - 1.0) * TRANSACTION_SECONDS)
        if conflicts is not None:
            return _json({"rows": conflicts, **versions}, 412)
        return _json(versions)

    async def _perform_late(self, body, seconds):
        await asyncio.sleep(seconds)
        self._apply(body)

    def _apply(self, body):
        """Apply a transaction; return the current rows of its conditions if one fails."""
        current = []
        holds = True
        for row in body.get("expect_rev", ()):
            found = self._rows[row["table"], row.get("part", "")].get(row["key"])
            holds = holds and (found[1] if found else 0) == row["row_version"]
            if found:
                current.append({**row, "value": found[0], "row_version": found[1]})
        if not holds:
            return current
        self.version += 1
        for row in body.get("put_rows", ()):
            self._set(row["table"], row.get("part", ""), row["key"], row["value"])
        for row in body.get("delete_keys", ()):
            self._set(row["table"], row.get("part", ""), row["key"], None)
        self._announce()
        return None

    async def _get(self, request):
        if self.mode == "busy":
            return web.Response(status=503)
        await asyncio.sleep(READ_SECONDS * self.slow_factor)
        query = request.query
        part = query.get("part", "")
        rows = self._rows[query["table"], part]
        keys = sorted(rows)
        keys = keys[bisect.bisect_left(keys, query.get("from", "")) :]
        if "to" in query:
            keys = keys[: bisect.bisect_left(keys, query["to"])]
        found, size = [], 0
        for key in keys:
            if len(found) >= PAGE_ROWS or (found and size + len(rows[key][0]) > PAGE_BYTES):
                break
            found.append(_row(query["table"], part, key, rows[key]))
            size += len(rows[key][0]) + 100
        return _json({"rows": found, "has_more": len(found) < len(keys), **self._versions()})

    async def _feed(self, request):
        if self.mode == "busy":
            return web.Response(status=503)
        table = request.query["table"]
        after = int(request.query["after"])
        until = time.monotonic() + min(30_000, int(request.query.get("wait_ms", 0))) / 1000
        while True:
            changed = self._changed
            rows = self._changed_rows(table, after)
            remaining = until - time.monotonic()
            if rows or remaining <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), remaining)
            except TimeoutError:
                continue
        answer = {"rows": rows, **self._versions()}
        await asyncio.sleep(READ_SECONDS * self.slow_factor)
        return _json(answer)

    def _changed_rows(self, table, after):
        changes = self._changes[table]
        first = bisect.bisect_right(changes, (after, "\U0010ffff", ""))
        latest = {}
        for version, part, key in changes[first:]:
            latest.pop((part, key), None)
            latest[part, key] = version
        found = []
        for (part, key), version in latest.items():
            row = self._rows[table, part].get(key)
            if row is None:
                row_version = {"row_version": version, "deleted": True}
                found.append({"table": table, "part": part, "key": key, **row_version})
            else:
                found.append(_row(table, part, key, row))
        return found

    def _versions(self):
        return {"row_version": self.version, "now_ms": now_ms()}


def _limit_exceeded(raw, body):
    entries = sum(len(body.get(name, ())) for name in ("expect_rev", "put_rows", "delete_keys"))
    if entries > MAX_ENTRIES:
        return f"{entries} entries; at most {MAX_ENTRIES}"
    if len(raw) > MAX_CALL_BYTES:
        return f"a call of {len(raw)} bytes; at most {MAX_CALL_BYTES}"
    for row in body.get("put_rows", ()):
        size = len(row["value"]) * 3 // 4
        if size > MAX_ROW_BYTES:
            return f"row {row['key'][:40]} has {size} bytes; at most {MAX_ROW_BYTES}"
    return ""


def _row(table, part, key, row):
    return {"table": table, "part": part, "key": key, "value": row[0], "row_version": row[1]}


def _json(body, status=200):
    return web.Response(body=orjson.dumps(body), status=status, content_type="application/json")
