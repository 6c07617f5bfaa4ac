"""Checks of the invariants against what callers and workers observe."""

import dataclasses
import json
import time

REVOKE_SECONDS = 5.0
EVACUATE_SECONDS = 5.0
CANCEL_SECONDS = 3.0
SLACK_SECONDS = 0.5
"""Allowance for the delay between an event and its record on a busy machine."""


@dataclasses.dataclass
class Observations:
    """Starts and ends on the workers, and the answers that callers received.

    ``breaches`` holds one line for each violated invariant, ``open_runs`` the current run of
    each task, and ``voided_runs`` runs whose lease lapsed before their end was acknowledged.
    """

    breaches: list = dataclasses.field(default_factory=list)
    starts: list = dataclasses.field(default_factory=list)
    open_runs: dict = dataclasses.field(default_factory=dict)
    done: dict = dataclasses.field(default_factory=dict)
    acknowledged: set = dataclasses.field(default_factory=set)
    voided_runs: set = dataclasses.field(default_factory=set)
    accepted: dict = dataclasses.field(default_factory=dict)
    attempted: dict = dataclasses.field(default_factory=dict)
    refused: dict = dataclasses.field(default_factory=dict)
    attempts: dict = dataclasses.field(default_factory=dict)
    cancelled: dict = dataclasses.field(default_factory=dict)
    cancel_sent: set = dataclasses.field(default_factory=set)
    final: dict = dataclasses.field(default_factory=dict)
    zones: dict = dataclasses.field(default_factory=dict)
    evacuated: dict = dataclasses.field(default_factory=dict)
    revoked_at: float = 0.0
    exempt_until: float = 0.0

    def record_breach(self, name, detail):
        """Record a violation of the invariant ``name``."""
        self.breaches.append(f"{name}: {detail}")

    def record_start(self, run):
        """Record a start on a worker and check it."""
        job = run.task.split(".")[0]
        self.starts.append(run)
        if run.task in self.open_runs:
            self.record_breach("at_most_once", f"{run} while {self.open_runs[run.task]} runs")
        if run.task in self.acknowledged:
            self.record_breach("at_most_once", f"{run} after an end that was acknowledged")
        if job not in self.attempted:
            self.record_breach("unasked", f"{run}: no caller submitted this job")
        elif run.spec != self.attempted[job]:
            self.record_breach("own_answer", f"{run} has another specification")
        late = self._overdue_seconds(self.cancelled.get(job), CANCEL_SECONDS)
        if late and not self.is_time_exempt():
            self.record_breach(
                "cancel", f"{run} {late:.1f} s after the cancellation was confirmed"
            )
        late = self._overdue_seconds(
            self.evacuated.get(self.zones.get(run.worker)), EVACUATE_SECONDS
        )
        if late and not self.is_time_exempt():
            self.record_breach("no_start_after_out", f"{run} {late:.1f} s after the take-out")
        self.open_runs[run.task] = run

    def record_end(self, run, how, number=None):
        """Record the end of a run, with its sequence number in the worker's list of ends."""
        if self.open_runs.get(run.task) == run:
            del self.open_runs[run.task]
        if how == "done":
            self.done[run.task] = (run, number)

    def record_acknowledged(self, worker, incarnation, number):
        """Record that the agent acknowledged a worker's ends up to a sequence number."""
        for task, (run, end_number) in self.done.items():
            known = (run.worker, run.incarnation) == (worker, incarnation) and number >= end_number
            if known and run not in self.voided_runs:
                self.acknowledged.add(task)

    def record_lapse(self, worker, incarnation):
        """Void the runs whose ends were not acknowledged before the worker's lease lapsed."""
        for task, (run, _) in self.done.items():
            if (run.worker, run.incarnation) == (
                worker,
                incarnation,
            ) and task not in self.acknowledged:
                self.voided_runs.add(run)

    def is_time_exempt(self):
        """Return whether a recent fault suspends the time limits."""
        return time.monotonic() < self.exempt_until

    def _overdue_seconds(self, since, seconds):
        if since is None:
            return 0.0
        late = time.monotonic() - since - seconds - SLACK_SECONDS
        return max(0.0, late)

    def check_answer(self, job, method, status, body, sent_at, revoked):
        """Check an answer to a caller; ``revoked`` tells that the call used the revocable key."""
        match method, status:
            case "POST", 200:
                self.accepted.setdefault(job, time.monotonic())
                if revoked and self.revoked_at and sent_at > self.revoked_at + REVOKE_SECONDS:
                    self.record_breach("revoke", f"{job} accepted with a revoked key")
            case "POST", 400 | 401 | 404 | 413 | 429 | 503:
                self.refused[job] = self.refused.get(job, 0) + 1
                if body.get("verdict") != "not_run":
                    self.record_breach(
                        "true_not_run", f"{job}: {status} without a verdict: {body}"
                    )
            case "GET", 200:
                self._state(job, body["state"])
            case "GET", 410 if job in self.accepted and time.monotonic() > (
                self.accepted[job] + 3.0
            ):
                self.record_breach("lost", f"{job} was accepted but is unknown now")
            case "DELETE", 200:
                self.cancelled.setdefault(job, time.monotonic())

    def _state(self, job, state):
        before = self.final.get(job)
        if before and state != before:
            self.record_breach("final", f"{job} was {before} and is {state}")
        if state in ("completed", "failed", "cancelled"):
            self.final[job] = state
        if state == "completed" and job in self.attempted:
            spec = json.loads(self.attempted[job])
            ended = {task for task in self.done if task.startswith(job)}
            if len(ended) < (1 if spec["gang"] else spec["width"]):
                self.record_breach("completed", f"{job} is completed with {len(ended)} tasks done")

    def check_final_states(self):
        """Check the invariants that hold once all faults are over and jobs had time to end."""
        for job in self.accepted:
            if job not in self.final:
                self.record_breach("stuck", f"{job} has no final state")
            if self.final.get(job) == "cancelled" and job not in self.cancel_sent:
                self.record_breach("final", f"{job} is cancelled, but no caller cancelled it")
        for run in self.starts:
            job = run.task.split(".")[0]
            tries = self.refused.get(job, 0)
            if job not in self.accepted and tries and tries == self.attempts.get(job, 0):
                self.record_breach(
                    "true_not_run", f"{run}, and each attempt was refused as not run"
                )
