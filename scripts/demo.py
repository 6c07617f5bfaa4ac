"""Run a whole installation on this machine and check what it promises.

Starts a table service, an object store, three entries, nine workers and two backend servers with
their agents, in three data centres of two regions; runs jobs and requests while a data centre
leaves, an entry and an agent are killed and all come back; then prints what was promised and what
was kept. The exit status is not 0 when an invariant was broken.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import hashlib
import json
import pathlib
import re
import subprocess
import sys
import tempfile
import time
import typing

import aiohttp

from peridothatch_standins import commands, installation

PLAN = installation.Plan(
    data_centres={"accra-a": "gh-south", "tema-b": "gh-south", "tamale-a": "gh-north"},
    store_region="gh-south",
    backend_servers=(("runner-1", "notices", "accra-a"), ("runner-2", "notices", "tema-b")),
)
CUSTOMERS = {"embassies": 48, "schools": 32, "hotels": 24}
CLASSES = {
    "half-mast": {"target": "within 5m", "urgent": True},
    "calendars": {"target": "within 8h", "urgent": False},
    "images": {"target": "by 06:00 Africa/Accra", "urgent": False},
}
GUARANTEES = {
    "embassies-racks": ("embassies", {"tasks": 2, "task": {"accelerators": 8}}),
    "schools-worker": ("schools", {"tasks": 1, "task": {"accelerators": 8}}),
}
NOTICES = 60
JOB_TIMEOUT_SECONDS = 240.0
REQUEST_DEADLINE_MS = 20_000
NOTICE_TRIES = 5


@dataclasses.dataclass(slots=True)
class Run:
    """State of the demo."""

    site: installation.Installation
    session: aiohttp.ClientSession
    problems: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Submitted:
    """A job that was accepted, and the result that each of its tasks must have."""

    id: str
    customer: str
    tasks: int
    expected: str


def token(customer: str) -> str:
    """Return the bearer token of a customer."""
    return f"token-of-{customer}"


async def call(
    run: Run,
    entry: str,
    method: str,
    path: str,
    bearer: str = installation.OPERATOR_TOKEN,
    body: typing.Any = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, typing.Any]:
    """Call an entry; status 0 means that the connection broke."""
    sent = {"Authorization": f"Bearer {bearer}", **(headers or {})}
    url = installation.url(run.site, entry) + path
    try:
        async with run.session.request(method, url, json=body, headers=sent) as answer:
            text = await answer.text()
            is_json = "json" in answer.headers.get("Content-Type", "")
            return answer.status, json.loads(text) if is_json else text
    except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
        return 0, {"detail": str(error)}


async def any_entry(
    run: Run, method: str, path: str, **options: typing.Any
) -> tuple[int, typing.Any]:
    """Call one entry after the other until one answers, as a balancer would."""
    status, answer = 0, None
    for _ in range(40):
        for entry in installation.entry_names(PLAN):
            status, answer = await call(run, entry, method, path, **options)
            if status not in (0, 503):
                return status, answer
        await asyncio.sleep(0.5)
    return status, answer


async def configure(run: Run) -> None:
    """Create the customers, classes and guarantees."""
    for name, quota in CUSTOMERS.items():
        digest = hashlib.sha256(token(name).encode()).hexdigest()
        body = {"quota_accelerators": quota, "token_sha256": digest}
        await put(run, f"/v1/customers/{name}", body)
    for name, body in CLASSES.items():
        await put(run, f"/v1/classes/{name}", body)
    for name, (customer, shape) in GUARANTEES.items():
        body = {"customer": customer, "shape": {**shape, "adjacency": "rack"}}
        await put(run, f"/v1/guarantees/{name}", body)


async def put(run: Run, path: str, body: typing.Any) -> None:
    """Make a change of the configuration."""
    status, answer = await any_entry(run, "PUT", path, body=body)
    if status not in (200, 201):
        run.problems.append(f"PUT {path}: {status} {answer}")


async def submit(run: Run, number: int, customer: str, **job: typing.Any) -> Submitted | None:
    """Submit a job with an idempotency key, so that a broken call can be repeated."""
    tasks = job.get("tasks", 1)
    command = job["command"]
    body = {
        "work_class": job.get("work_class", "calendars"),
        "shape": {"tasks": tasks, "task": {"accelerators": job.get("accelerators", 4)}},
        "command": command,
        "checkpointable": True,
    }
    status, answer = await any_entry(
        run, "POST", "/v1/jobs", bearer=token(customer), body=body,
        headers={"Idempotency-Key": f"demo-job-{number}"},
    )  # fmt: skip
    if status not in (200, 201):
        run.problems.append(f"job {number} was not accepted: {status} {answer}")
        return None
    return Submitted(answer["id"], customer, tasks, expected_result(command))


def expected_result(command: list[str]) -> str:
    """Compute the result of a command in this process."""
    work = commands.begin(tuple(command))
    assert isinstance(work, commands.Work)
    return commands.result(commands.advance(tuple(command), work, 10**9, 10**9))


async def submit_all(run: Run, rounds: int, offset: int = 0) -> list[Submitted]:
    """Submit gangs of several shapes for all customers."""
    jobs = []
    for number in range(rounds):
        for index, customer in enumerate(CUSTOMERS):
            key = offset + number * len(CUSTOMERS) + index
            urgent = number % 3 == 0
            submitted = await submit(
                run, key, customer,
                work_class="half-mast" if urgent else "calendars",
                tasks=1 + number % 3,
                accelerators=(1, 4, 8)[number % 3],
                command=["lot-certificate", f"lot-{key}", "300000"],
            )  # fmt: skip
            if submitted is not None:
                jobs.append(submitted)
    return jobs


async def finish(run: Run, jobs: list[Submitted]) -> None:
    """Wait for the jobs and check the result of each task."""
    deadline = time.monotonic() + JOB_TIMEOUT_SECONDS
    for job in jobs:
        state: dict[str, typing.Any] = {}
        while time.monotonic() < deadline:
            path = f"/v1/jobs/{job.id}?wait_seconds=10"
            status, state = await any_entry(run, "GET", path, bearer=token(job.customer))
            if status == 200 and state["state"] in ("succeeded", "failed", "cancelled"):
                break
        found = state.get("results")
        if state.get("state") != "succeeded" or found != [job.expected] * job.tasks:
            run.problems.append(
                f"job {job.id}: {state.get('state')} {state.get('detail')} {found}"
            )


async def send_notices(run: Run) -> None:
    """Send non-idempotent notices with keys."""
    outcomes: collections.Counter[str] = collections.Counter()
    for number in range(NOTICES):
        outcomes[await send_notice(run, number)] += 1
        await asyncio.sleep(0.2)
    print(f"notices: {dict(outcomes)}")


async def send_notice(run: Run, number: int) -> str:
    """Send a notice; repeat the call with its key while it is not known to have run."""
    body = {"operation": "notice", "notice": f"n{number}", "compound": f"c{number % 7}"}
    headers = {
        "Idempotency-Key": f"notice-{number}",
        "Peridothatch-Deadline-Ms": str(REQUEST_DEADLINE_MS),
    }
    answer: typing.Any = None
    for _ in range(NOTICE_TRIES):
        status, answer = await any_entry(
            run, "POST", "/v1/services/notices/requests", bearer=token("embassies"),
            body=body, headers=headers,
        )  # fmt: skip
        if status == 200:
            return "ran"
        await asyncio.sleep(1.0)
    verdict = answer.get("verdict", "no answer") if isinstance(answer, dict) else "no answer"
    print(f"notice {number}: {answer}")
    if verdict != "may_have_run":
        run.problems.append(f"notice {number}: {answer}")
    return verdict


async def check_deliveries(run: Run) -> None:
    """Check that the backend servers saw each notice exactly once."""
    counts: collections.Counter[str] = collections.Counter()
    for name, _, _ in PLAN.backend_servers:
        url = installation.url(run.site, name) + "/v1/deliveries"
        async with run.session.get(url) as answer:
            for item in (await answer.json())["deliveries"]:
                counts[item["notice"]] += item["count"]
    doubled = [notice for notice, count in counts.items() if count > 1]
    lost = [f"n{number}" for number in range(NOTICES) if f"n{number}" not in counts]
    print(f"backend servers: {len(counts)} delivered, {len(doubled)} doubled, {len(lost)} lost")
    if doubled:
        run.problems.append(f"notices delivered twice: {doubled}")
    if lost:
        run.problems.append(f"notices lost: {lost}")


async def disturb(run: Run) -> None:
    """Take a data centre out while work runs, kill an entry and an agent, bring all back."""
    status, answer = await any_entry(run, "POST", "/v1/data-centres/tema-b/out")
    print(f"data centre tema-b out: {status}")
    if status != 200:
        run.problems.append(f"tema-b could not be taken out: {status} {answer}")
    await asyncio.sleep(3.5)
    starts = await starts_in(run, "tema-b")
    await installation.kill_process(run.site, "entry-accra-a")
    await installation.kill_process(run.site, "agent-worker-accra-a-1")
    print("killed entry-accra-a and agent-worker-accra-a-1")
    await asyncio.sleep(5.0)
    await installation.start_process(run.site, "entry-accra-a")
    await installation.start_process(run.site, "agent-worker-accra-a-1")
    print("started both again")
    if await starts_in(run, "tema-b") != starts:
        run.problems.append("a task started in tema-b while it was out of service")
    status, answer = await any_entry(run, "POST", "/v1/data-centres/tema-b/in")
    print(f"data centre tema-b in: {status}")
    if status != 200:
        run.problems.append(f"tema-b could not be brought back: {status} {answer}")


async def starts_in(run: Run, data_centre: str) -> set[str]:
    """Return the ids of all tasks that the workers of a data centre know."""
    ids = set()
    for name, where in installation.worker_names(PLAN).items():
        if where == data_centre:
            async with run.session.get(installation.url(run.site, name) + "/v1/tasks") as answer:
                ids |= {item["id"] for item in (await answer.json())["tasks"]}
    return ids


async def check_breaches(run: Run) -> None:
    """Check that each invariant's counter reads zero in every process of ours."""
    names = [name for name in run.site.processes if name.startswith(("entry-", "agent-"))]
    read = 0
    for name in names:
        _, text = await call(run, name, "GET", "/metrics")
        for labels, value in re.findall(
            r"^peridothatch_invariant_breaches_total\{([^}]*)\} (\S+)", str(text), re.MULTILINE
        ):
            read += 1
            if float(value):
                run.problems.append(f"{name}: {labels} {value}")
    print(f"read {read} invariant counters of {len(names)} processes")
    if read < 9 * len(names):
        run.problems.append(f"only {read} counters were there; expected 9 of each process")


def show_promises(run: Run) -> None:
    """Print the promises as the command-line client shows them."""
    subprocess.run(
        [
            sys.executable, "-m", "peridothatch_client",
            "--address", installation.url(run.site, "entry-tema-b"),
            "--token", installation.OPERATOR_TOKEN,
            "promises",
        ],
        check=False,
    )  # fmt: skip


async def demonstrate(folder: pathlib.Path) -> list[str]:
    """Run the demo; return what was wrong."""
    site = await installation.start(PLAN, folder)
    print(f"{len(site.processes)} processes run; logs are in {folder}")
    timeout = aiohttp.ClientTimeout(total=60)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            run = Run(site, session)
            await configure(run)
            print("customers, classes and guarantees are set")
            jobs = await submit_all(run, 4)
            print(f"{len(jobs)} jobs accepted")
            await asyncio.gather(disturb(run), send_notices(run))
            jobs += await submit_all(run, 2, offset=1000)
            await finish(run, jobs)
            print(f"{len(jobs)} jobs were waited for")
            await check_deliveries(run)
            await check_breaches(run)
            show_promises(run)
            return run.problems
    finally:
        await installation.close(site)


def main() -> int:
    """Run the demo and report."""
    started = time.monotonic()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="peridothatch-demo-"))
    problems = asyncio.run(demonstrate(folder))
    for problem in problems:
        print(f"problem: {problem}")
    print(f"{len(problems)} problems in {time.monotonic() - started:.0f} s")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
