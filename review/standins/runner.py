"""Stand-in for a runner: room, leases on its own clock, fencing, and numbered ends."""

import asyncio
import contextlib
import time

import aiohttp
import orjson
from aiohttp import web

HEARTBEAT_SECONDS = 1.5
MAX_WAIT_MS = 2000
MAX_LISTED_ENDS = 500
STOP_SECONDS = 0.1
FAILURE_SECONDS = 0.3


class Runner:
    """One runner of a service that guards its capacity.

    A task's specification tells what it needs, the seconds that it takes, and how many runs fail
    by their own fault first: ``{"need": {"cpu": 500}, "seconds": 1.0, "failures": 1}``.
    """

    def __init__(self, number, record, capacity, zone, max_hold_ms):
        self.number = number
        self.instance = f"i-{number:08x}"
        self.record = record
        self.capacity = capacity
        self.zone = zone
        self.max_hold_ms = max_hold_ms
        self.born = int(1000 * time.time())
        self.running = {}
        self.ends = []
        self._origin = time.monotonic()
        self._barred = {}
        self._fence = 0
        self._deadline_ms = 0
        self._sequence = 0
        self._last_seen = 0

    def application(self):
        """Return the HTTP application of the runner."""
        app = web.Application()
        app.router.add_post("/peridothatch/run-start", self._start)
        app.router.add_post("/peridothatch/run-stop", self._stop)
        app.router.add_post("/peridothatch/hold", self._hold)
        return app

    async def send_heartbeats(self, session, control_port):
        """Report to the agent on the same machine until cancelled."""
        url = f"http://127.0.0.1:{control_port}/peridothatch/instances/{self.instance}"
        while True:
            self._sequence += 1
            body = {
                "service": "render", "addr": "127.0.0.1:1", "zone": self.zone, "version": "v1",
                "slots": 8, "state": "ready", "cold_left_ms": 0, "capacity": self.capacity,
                "labels": ["a", f"r{self.number // 3}"], "clock_ms": self._clock_ms(),
                "seq": self._sequence, "born": self.born,
            }  # fmt: skip
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                timeout = aiohttp.ClientTimeout(total=1.0)
                async with session.put(url, json=body, timeout=timeout):
                    pass
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def advance(self):
        """End the tasks that are done, or all when the lease has expired, until cancelled."""
        while True:
            self._finish_due()
            await asyncio.sleep(0.02)

    def _clock_ms(self):
        return int(1000 * (time.monotonic() - self._origin))

    def _finish_due(self):
        lapsed = self._clock_ms() > self._deadline_ms
        now = time.monotonic()
        for key, (_, until, how) in list(self.running.items()):
            if lapsed:
                self._end(key, "lapsed")
            elif now >= until:
                self._end(key, how)

    def _end(self, key, how):
        del self.running[key]
        self._barred[key[0]] = max(self._barred.get(key[0], 0), key[1])
        self.ends.append([len(self.ends) + 1, *key, how, ""])
        self.record.ended(self.number, *key, how)

    def _used(self):
        used = {"cpu": 0, "mem_mb": 0, "gpu": 0}
        for spec, _, _ in self.running.values():
            for name in used:
                used[name] += spec["need"].get(name, 0)
        return used

    def _check(self, request, body):
        if request.headers.get("X-Target-Instance", self.instance) != self.instance:
            return web.Response(status=421)
        if body.get("fencing_token", 0) < self._fence:
            return self._answer(409, reason="fence")
        self._fence = body.get("fencing_token", 0)
        return None

    def _extend(self, body):
        granted = min(body.get("deadline_ms", 0), self._clock_ms() + self.max_hold_ms)
        self._deadline_ms = max(self._deadline_ms, granted)

    async def _start(self, request):
        body = await request.json()
        self._finish_due()
        refusal = self._check(request, body)
        if refusal is not None:
            return refusal
        self._extend(body)
        key = (body["task"], body["attempt"])
        if key in self.running:
            return self._answer(200)
        if key[1] <= self._barred.get(key[0], 0):
            return self._answer(409, reason="old")
        if self._clock_ms() > body["deadline_ms"]:
            return self._answer(409, reason="late")
        spec = orjson.loads(body["spec"])
        used = self._used()
        if any(used[name] + spec["need"].get(name, 0) > self.capacity[name] for name in used):
            return self._answer(409, reason="room")
        fails = body["attempt"] <= spec.get("failures", 0)
        seconds = FAILURE_SECONDS if fails else spec["seconds"]
        self.running[key] = (spec, time.monotonic() + seconds, "failed" if fails else "done")
        self.record.started(self.number, *key)
        return self._answer(200)

    async def _stop(self, request):
        body = await request.json()
        refusal = self._check(request, body)
        if refusal is not None:
            return refusal
        key = (body["task"], body["attempt"])
        if key in self.running:
            await asyncio.sleep(STOP_SECONDS)
        if key in self.running:
            self._end(key, "stopped")
        self._barred[key[0]] = max(self._barred.get(key[0], 0), key[1])
        return self._answer(200)

    async def _hold(self, request):
        body = await request.json()
        refusal = self._check(request, body)
        if refusal is not None:
            return refusal
        self._extend(body)
        self._take_note(body["last_seen"])
        until = time.monotonic() + min(body.get("wait_ms", 0), MAX_WAIT_MS) / 1000
        while True:
            self._finish_due()
            ends = [end for end in self.ends if end[0] > self._last_seen]
            if ends or time.monotonic() >= until:
                running = [[*key, "", 50, 0] for key in self.running]
                return self._answer(200, running=running, finished=ends[:MAX_LISTED_ENDS])
            await asyncio.sleep(0.02)

    def _take_note(self, last_seen):
        for _, task, attempt, how, _ in self.ends[self._last_seen : last_seen]:
            self.record.taken_note(self.number, task, attempt, how)
        self._last_seen = max(self._last_seen, last_seen)

    def _answer(self, status, **fields):
        body = {"clock_ms": self._clock_ms(), "born": self.born, **fields}
        return web.Response(
            body=orjson.dumps(body), status=status, content_type="application/json"
        )
