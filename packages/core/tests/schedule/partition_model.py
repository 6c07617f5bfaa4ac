"""Queue of one partition of the store in simulated time, for tests under load.

Transactions are applied one after another, each taking `txn_seconds`; when more than a second of
them waits, a further one is refused and nothing is done.
"""

import heapq
import itertools

from peridothatch_core.message import rows

MAX_WAIT_SECONDS = 1.0
REFUSAL_SECONDS = 0.1


class Partition:
    def __init__(self, txn_seconds=0.005):
        self.txn_seconds = txn_seconds
        self.now = 0.0
        self.free_at = 0.0
        self.version = 10
        self.rows = {}
        self.committed = []
        self.refused = 0
        self.is_down = False
        self._events = []
        self._numbers = itertools.count()

    def at(self, when, run):
        """Call ``run`` at a time."""
        heapq.heappush(self._events, (when, next(self._numbers), run))

    def run_until(self, end):
        while self._events and self._events[0][0] <= end:
            self.now, _, run = heapq.heappop(self._events)
            run()
        self.now = end

    def send(self, token, transaction, timeout, answer):
        """Take a transaction; ``answer`` gets a ``rows.Committed`` later."""
        sent_at = self.now

        def reply(outcome, version=0, busy=False):
            answer(
                rows.Committed(
                    token, outcome, version, self.now_ms(), sent_at, self.now, busy=busy
                )
            )

        if self.free_at - self.now > MAX_WAIT_SECONDS:
            self.refused += 1
            refuse = lambda: reply(rows.Outcome.NOT_DONE, busy=True)  # noqa: E731
            self.at(self.now + REFUSAL_SECONDS, refuse)
            return
        self.free_at = max(self.free_at, self.now) + self.txn_seconds

        def apply():
            outcome = self._apply(token, transaction)
            if self.now - sent_at <= timeout:
                reply(outcome, self.version)

        self.at(self.free_at, apply)
        if self.free_at - sent_at > timeout:
            self.at(sent_at + timeout, lambda: reply(rows.Outcome.UNKNOWN))

    def now_ms(self):
        return int(1000 * self.now) + 1

    def _apply(self, token, transaction):
        for condition in transaction.conditions:
            if self.rows.get(condition.key, (None, 0))[1] != condition.version:
                return rows.Outcome.CONFLICT
        self.version += 1
        for key, value in transaction.writes:
            self.rows[key] = (value, self.version)
        self.committed.append((self.now, token, transaction))
        return rows.Outcome.COMMITTED
