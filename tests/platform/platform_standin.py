"""Stand-ins for the platform's row store and for a worker, as HTTP applications."""

import asyncio
import base64
import json
import random
import time

from aiohttp import web

INSTANCE = "w-1"
"""Id of the worker."""

LONGEST_WAIT_SECONDS = 0.5

REFUSAL_STATUSES = {"refuse": 503, "reject": 413, "full": 429}

LATE_SHARE = 0.3
LATE_SECONDS = (1.0, 6.0)
"""Share of the writes that are applied late, and bounds of the delay, as the platform states."""

UNANSWERED_SECONDS = 8.0
"""Time after which a connection without a response is closed."""


class Store:
    """Row store with rows by (table, part, key) and one version counter.

    ``mode`` is ``up``, ``refuse`` (status 503), ``reject`` (status 413), ``full``
    (writes get status 429), ``queued`` (writes are applied one after another, each taking
    ``txn_seconds``, and get status 429 while more than ``longest_wait_seconds`` of them wait),
    ``lost`` (writes take
    effect without a response), ``lost_once`` (the same for one write, after which the store
    refuses everything),
    ``reset`` (connections close without a response, and nothing takes effect), ``forgotten``
    (the next feed request gets status 410), ``long_polls_lost`` (long polls end without a
    response) or ``late`` (a share of the writes gets no response and is applied seconds later if
    its conditions then hold).
    The answers to writes of a row whose key begins with ``held_prefix``, if that is not empty,
    wait until ``released`` is set.
    ``followers`` has the connections that have asked for changes, by table.
    """

    def __init__(self):
        self.rows = {}
        self.log = []
        self.version = 0
        self.mode = "up"
        self.transactions = 0
        self.refused = 0
        self.txn_seconds = 0.0
        self.longest_wait_seconds = 1.0
        self.free_at = 0.0
        self.held_prefix = ""
        self.released = asyncio.Event()
        self.random = random.Random(0)
        self.followers = {}
        self.changed = asyncio.Event()

    def put(self, table, part, key, value):
        self.version += 1
        self._set(table, part, key, value)

    def application(self):
        app = web.Application()
        app.router.add_post("/peridothatch/rows-tx", self._transact)
        app.router.add_get("/peridothatch/rows-get", self._get)
        app.router.add_get("/peridothatch/rows-feed", self._feed)
        return app

    def _set(self, table, part, key, value):
        name = (table, part, key)
        if value is None:
            self.rows.pop(name, None)
        else:
            self.rows[name] = (value, self.version)
        self.log.append((self.version, name, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _transact(self, request):
        body = await request.json()
        if self.mode == "reset":
            return _reset(request)
        self.transactions += 1
        if self.mode in REFUSAL_STATUSES:
            return web.Response(status=REFUSAL_STATUSES[self.mode])
        if self.mode == "late" and self.random.random() < LATE_SHARE:
            delay_seconds = self.random.uniform(*LATE_SECONDS)
            asyncio.get_running_loop().call_later(delay_seconds, self._apply, body)
            await asyncio.sleep(UNANSWERED_SECONDS)
            return web.Response(status=500)
        if self.mode == "queued" and not await self._wait_for_turn():
            self.refused += 1
            return web.Response(status=429)
        if not self._apply(body):
            return web.json_response({"rows": []}, status=412)
        if self.mode in ("lost", "lost_once"):
            self.mode = "refuse" if self.mode == "lost_once" else self.mode
            return _reset(request)
        answer = {"row_version": self.version, "now_ms": _now_ms()}
        keys = [row["key"] for row in body["put_rows"]]
        if self.held_prefix and any(key.startswith(self.held_prefix) for key in keys):
            await self.released.wait()
        return web.json_response(answer)

    async def _wait_for_turn(self):
        """Wait until the transactions before have been applied; return false if too many wait."""
        now = time.monotonic()
        if self.free_at - now > self.longest_wait_seconds:
            return False
        self.free_at = max(self.free_at, now) + self.txn_seconds
        await asyncio.sleep(self.free_at - now)
        return True

    def _apply(self, body):
        """Apply a transaction if its conditions hold; return whether they did."""
        for row in body["expect_rev"]:
            name = (row["table"], row["part"], row["key"])
            if self.rows.get(name, ("", 0))[1] != row["row_version"]:
                return False
        self.version += 1
        for row in body["put_rows"]:
            self._set(row["table"], row["part"], row["key"], row["value"])
        for row in body["delete_keys"]:
            self._set(row["table"], row["part"], row["key"], None)
        return True

    async def _get(self, request):
        if self.mode == "reset":
            return _reset(request)
        if self.mode == "refuse":
            return web.Response(status=503)
        query = request.query
        found = [
            _row(name, value, version)
            for name, (value, version) in sorted(self.rows.items())
            if name[:2] == (query["table"], query["part"])
            and query.get("from", "") <= name[2]
            and ("to" not in query or name[2] < query["to"])
        ]
        return web.json_response(
            {"rows": found[:3], "has_more": len(found) > 3, **self._versions()}
        )

    async def _feed(self, request):
        if self.mode == "reset":
            return _reset(request)
        if self.mode == "refuse":
            return web.Response(status=503)
        if self.mode == "forgotten":
            self.mode = "up"
            return web.Response(status=410)
        peer = request.transport.get_extra_info("peername")
        self.followers.setdefault(request.query["table"], set()).add(peer)
        after = int(request.query["after"])
        wait_seconds = min(LONGEST_WAIT_SECONDS, int(request.query["wait_ms"]) / 1000)
        deadline = time.monotonic() + wait_seconds
        if self.mode == "long_polls_lost" and wait_seconds:
            await asyncio.sleep(LONGEST_WAIT_SECONDS)
            return _reset(request)
        while True:
            changed = self.changed
            changes = {
                name: _row(name, value, version)
                for version, name, value in self.log
                if version > after and name[0] == request.query["table"]
            }
            remaining = deadline - time.monotonic()
            if changes or remaining <= 0:
                return web.json_response({"rows": list(changes.values()), **self._versions()})
            try:
                await asyncio.wait_for(changed.wait(), remaining)
            except TimeoutError:
                continue

    def _versions(self):
        return {"row_version": self.version, "now_ms": _now_ms()}


@web.middleware
async def _check_instance(request, handler):
    """Refuse a call that is meant for another instance."""
    if request.headers.get("X-Target-Instance", INSTANCE) != INSTANCE:
        return web.json_response({}, status=421)
    return await handler(request)


class Worker:
    """Worker that runs each task for ``task_seconds``.

    ``born`` is the start time of its incarnation.
    ``mode`` is ``up``, ``silent`` (the next start is executed without a response) or ``refuse``.
    """

    def __init__(self, task_seconds=0.05):
        self.task_seconds = task_seconds
        self.mode = "up"
        self.starts = []
        self.born = 0
        self.restart()

    def restart(self):
        """Begin a new incarnation under the same id, without runs or ends of the previous one."""
        self.born += 1
        self.running = {}
        self.ended = []
        self.stopped = set()
        self.fence = 0
        self.deadline_ms = 0

    def application(self):
        app = web.Application(middlewares=[_check_instance])
        app.router.add_post("/peridothatch/run-start", self._start)
        app.router.add_post("/peridothatch/run-stop", self._stop)
        app.router.add_post("/peridothatch/hold", self._hold)
        return app

    async def _start(self, request):
        body = await request.json()
        key = (body["task"], body["attempt"])
        if self.mode == "refuse":
            return self._answer(409, reason="room")
        if body["fencing_token"] < self.fence or key in self.stopped:
            return self._answer(409, reason="old")
        self.fence = body["fencing_token"]
        if key not in self.running:
            self.starts.append((*key, body["spec"], body.get("checkpoint", "")))
            self.running[key] = time.monotonic() + self.task_seconds
        if self.mode == "silent":
            self.mode = "up"
            request.transport.close()
        return self._answer(200)

    async def _stop(self, request):
        body = await request.json()
        key = (body["task"], body["attempt"])
        self.stopped.add(key)
        if self.running.pop(key, None) is not None:
            self.ended.append([len(self.ended) + 1, *key, "stopped", "c1"])
        return self._answer(200)

    async def _hold(self, request):
        body = await request.json()
        self.deadline_ms = max(self.deadline_ms, body.get("deadline_ms", 0))
        deadline = time.monotonic() + min(body["wait_ms"] / 1000, LONGEST_WAIT_SECONDS)
        while True:
            self._finish()
            new_ends = [end for end in self.ended if end[0] > body["last_seen"]]
            if new_ends or time.monotonic() >= deadline:
                running = [[*key, "", 50] for key in self.running]
                return self._answer(200, running=running, finished=new_ends, born=self.born)
            await asyncio.sleep(0.01)

    def _finish(self):
        for key, until in list(self.running.items()):
            if time.monotonic() >= until:
                del self.running[key]
                self.ended.append([len(self.ended) + 1, *key, "done", ""])

    def _answer(self, status, **fields):
        return web.json_response({"clock_ms": _now_ms(), **fields}, status=status)


def _reset(request):
    request.transport.close()
    return web.Response(status=500)


def encode(body):
    """Return the row value that holds a JSON body."""
    return base64.b64encode(json.dumps(body).encode()).decode()


def _row(name, value, version):
    row = {"table": name[0], "part": name[1], "key": name[2], "row_version": version}
    return row | ({"deleted": True} if value is None else {"value": value})


def _now_ms():
    return int(1000 * time.monotonic())
