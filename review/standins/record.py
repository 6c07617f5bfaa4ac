"""What consumers and runners of a case have seen, and the questions that the rules ask of it."""

import dataclasses
import time


@dataclasses.dataclass
class Run:
    """A run on a runner; the times are seconds since the start of the record."""

    runner: int
    task: str
    attempt: int
    at: float
    ended_at: float | None = None
    how: str = ""
    noted_at: float | None = None


class Record:
    """Everything that was sent, answered and run, also written to a file."""

    def __init__(self, path):
        self._began = time.monotonic()
        self._file = path.open("w")
        self.runs = []
        self.accepted = {}
        self.cancelled = {}
        self._open = {}

    def now(self):
        """Return the seconds since the start of the record."""
        return time.monotonic() - self._began

    def line(self, text):
        """Write a line with its time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()

    def answered(self, method, job, status, body):
        """Record a call of a consumer and its answer."""
        self.line(f"answer {method} {job} {status} {body}")
        if method == "POST" and 200 <= status < 300:
            self.accepted.setdefault(job, self.now())
        if method == "DELETE" and (200 <= status < 300 or status == 410):
            self.cancelled.setdefault(job, self.now())

    def started(self, runner, task, attempt):
        """Record that a runner has begun a task."""
        run = Run(runner, task, attempt, self.now())
        self.runs.append(run)
        self._open[runner, task, attempt] = run
        self.line(f"start {task} attempt {attempt} on runner {runner}")

    def ended(self, runner, task, attempt, how):
        """Record how a run has ended."""
        run = self._open[runner, task, attempt]
        run.ended_at, run.how = self.now(), how
        self.line(f"end {task} attempt {attempt} on runner {runner}: {how}")

    def taken_note(self, runner, task, attempt, how):
        """Record that an end was taken note of."""
        self._open[runner, task, attempt].noted_at = self.now()
        self.line(f"noted {task} attempt {attempt} on runner {runner}: {how}")

    def done_tasks(self, job):
        """Return the tasks of a job that have ended ``done`` with the end taken note of."""
        return {
            run.task
            for run in self.runs
            if run.task.startswith(job + ".") and run.how == "done" and run.noted_at is not None
        }

    def idle_seconds(self, job, since):
        """Return the longest span since a time in which nothing of a job ran."""
        spans = sorted(
            (run.at, self.now() if run.ended_at is None else run.ended_at)
            for run in self.runs
            if run.task.startswith(job + ".")
        )
        longest, reached = 0.0, since
        for began, ended in spans:
            if began > reached:
                longest = max(longest, began - reached)
            reached = max(reached, ended)
        return max(longest, self.now() - reached)

    def repeated(self):
        """Return pairs of runs that break TWICE: at the same time, or after a noted ``done``."""
        found = []
        by_task = {}
        for run in self.runs:
            for earlier in by_task.setdefault(run.task, []):
                at_once = earlier.ended_at is None or earlier.ended_at > run.at
                again = earlier.how == "done" and earlier.noted_at is not None
                if at_once or again:
                    found.append((earlier, run))
            by_task[run.task].append(run)
        return found
