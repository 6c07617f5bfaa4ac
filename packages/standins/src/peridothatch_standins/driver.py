"""Client that calls an installation as customers and operators do, and checks the results."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import json
import re
import time
import typing

import aiohttp

from peridothatch_standins import commands, installation

CALL_TIMEOUT_SECONDS = 60.0
MAX_ATTEMPTS = 60
RETRY_DELAY_SECONDS = 0.5
FINAL_STATES = ("succeeded", "failed", "cancelled")
INVARIANT_COUNT = 9


@dataclasses.dataclass(slots=True)
class Driver:
    """An installation, the HTTP session to it, and the failed checks."""

    site: installation.Installation
    session: aiohttp.ClientSession
    problems: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Submitted:
    """An accepted job and the result expected of each of its tasks."""

    id: str
    customer: str
    tasks: int
    expected: str


def start(site: installation.Installation) -> Driver:
    """Return a driver for a running installation."""
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
    return Driver(site, aiohttp.ClientSession(timeout=timeout))


async def close(driver: Driver) -> None:
    """Close the session."""
    await driver.session.close()


def customer_token(customer: str) -> str:
    """Return the bearer token of a customer."""
    return f"token-of-{customer}"


async def call(
    driver: Driver,
    entry: str,
    method: str,
    path: str,
    bearer: str = installation.OPERATOR_TOKEN,
    body: typing.Any = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, typing.Any]:
    """Send an HTTP request to a process.

    Returns the status and the decoded body. Status 0 means that the connection failed or the call
    timed out.
    """
    request_headers = {"Authorization": f"Bearer {bearer}", **(headers or {})}
    url = installation.url(driver.site, entry) + path
    try:
        async with driver.session.request(
            method, url, json=body, headers=request_headers
        ) as answer:
            text = await answer.text()
            is_json = "json" in answer.headers.get("Content-Type", "")
            return answer.status, json.loads(text) if is_json else text
    except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
        return 0, {"detail": str(error)}


async def call_any_entry(
    driver: Driver, method: str, path: str, **options: typing.Any
) -> tuple[int, typing.Any]:
    """Try the entries in turn until one answers, as a load balancer does.

    Failed connections and status 503 are retried; 503 means that nothing ran, or that the
    idempotency key makes a repeat safe.
    """
    status, answer = 0, None
    for _ in range(MAX_ATTEMPTS):
        for entry in installation.entry_names(driver.site.plan):
            status, answer = await call(driver, entry, method, path, **options)
            if status not in (0, 503):
                return status, answer
        await asyncio.sleep(RETRY_DELAY_SECONDS)
    return status, answer


async def change_configuration(
    driver: Driver, method: str, path: str, body: typing.Any = None
) -> None:
    """Change the configuration; record any answer but success as a problem."""
    status, answer = await call_any_entry(driver, method, path, body=body)
    if status not in (200, 201):
        driver.problems.append(f"{method} {path}: {status} {answer}")


async def submit(
    driver: Driver,
    key: str,
    customer: str,
    command: list[str],
    work_class: str,
    tasks: int = 1,
    accelerators: int = 4,
) -> Submitted | None:
    """Submit a job with an idempotency key, so that a failed call can be retried."""
    body = {
        "work_class": work_class,
        "shape": {"tasks": tasks, "task": {"accelerators": accelerators}},
        "command": command,
        "checkpointable": True,
    }
    status, answer = await call_any_entry(
        driver, "POST", "/v1/jobs", bearer=customer_token(customer), body=body,
        headers={"Idempotency-Key": key},
    )  # fmt: skip
    if status not in (200, 201):
        driver.problems.append(f"job {key} was not accepted: {status} {answer}")
        return None
    return Submitted(answer["id"], customer, tasks, expected_result(command))


def expected_result(command: list[str]) -> str:
    """Run a command in this process and return its result."""
    work = commands.begin(tuple(command))
    assert isinstance(work, commands.Work)
    return commands.result(commands.advance(tuple(command), work, 10**9, 10**9))


async def check_job_results(driver: Driver, jobs: list[Submitted], timeout_seconds: float) -> None:
    """Wait until the jobs have ended and check the result of each task."""
    deadline = time.monotonic() + timeout_seconds
    for job in jobs:
        state = await wait_for_state(driver, job, FINAL_STATES, deadline)
        found = state.get("results")
        if state.get("state") != "succeeded" or found != [job.expected] * job.tasks:
            ended = f"{state.get('state')} {state.get('detail')}"
            driver.problems.append(f"job {job.id}: {ended} {found}")


async def wait_for_state(
    driver: Driver, job: Submitted, states: tuple[str, ...], deadline: float
) -> dict[str, typing.Any]:
    """Poll the job until it reaches one of the states; at the deadline return its last state."""
    found: dict[str, typing.Any] = {}
    while True:
        status, answer = await call_any_entry(
            driver, "GET", f"/v1/jobs/{job.id}?wait_seconds=2", bearer=customer_token(job.customer)
        )
        if status == 200:
            found = answer
        if found.get("state") in states or time.monotonic() > deadline:
            return found


async def send_notice(
    driver: Driver, number: int, customer: str, service: str, tries: int = 8
) -> str:
    """Send a non-idempotent notice; retry with the same key until it is known to have run.

    Returns the last verdict.
    """
    body = {"operation": "notice", "notice": f"n{number}", "compound": f"c{number % 7}"}
    headers = {"Idempotency-Key": f"notice-{number}", "Peridothatch-Deadline-Ms": "20000"}
    answer: typing.Any = None
    for _ in range(tries):
        status, answer = await call_any_entry(
            driver, "POST", f"/v1/services/{service}/requests", bearer=customer_token(customer),
            body=body, headers=headers,
        )  # fmt: skip
        if status == 200:
            return "ran"
        await asyncio.sleep(1.0)
    verdict = answer.get("verdict", "no answer") if isinstance(answer, dict) else "no answer"
    if verdict not in ("not_run", "may_have_run"):
        driver.problems.append(f"notice {number}: {answer}")
    return verdict


async def count_deliveries(driver: Driver) -> collections.Counter[str]:
    """Return the number of deliveries of each notice, summed over the backend servers."""
    counts: collections.Counter[str] = collections.Counter()
    for name, _, _ in driver.site.plan.backend_servers:
        _, answer = await call(driver, name, "GET", "/v1/deliveries")
        for item in answer["deliveries"]:
            counts[item["notice"]] += item["count"]
    return counts


def check_deliveries(
    driver: Driver, verdicts: dict[int, str], counts: collections.Counter[str]
) -> None:
    """Check that the deliveries of each notice agree with its verdict."""
    for number, verdict in verdicts.items():
        count = counts[f"n{number}"]
        allowed = {"ran": (1,), "not_run": (0,), "may_have_run": (0, 1)}.get(verdict, ())
        if count not in allowed:
            driver.problems.append(f"notice {number}: verdict {verdict}, but {count} deliveries")


async def list_worker_tasks(driver: Driver, data_centre: str) -> dict[str, dict[str, typing.Any]]:
    """Return the tasks that the workers of a data centre report, by id."""
    found = {}
    for name, worker_data_centre in installation.worker_names(driver.site.plan).items():
        if worker_data_centre == data_centre:
            status, answer = await call(driver, name, "GET", "/v1/tasks")
            if status == 200:
                found |= {item["id"]: item for item in answer["tasks"]}
    return found


async def check_invariant_counters(driver: Driver) -> int:
    """Check that all invariant counters are zero; return the number of counters read."""
    counters_read = 0
    for name, process in driver.site.processes.items():
        if process.child is None or not name.startswith(("entry-", "agent-")):
            continue
        _, text = await call(driver, name, "GET", "/metrics")
        found = re.findall(
            r"^peridothatch_invariant_breaches_total\{([^}]*)\} (\S+)", str(text), re.MULTILINE
        )
        counters_read += len(found)
        if len(found) != INVARIANT_COUNT:
            driver.problems.append(
                f"{name}: {len(found)} invariant counters; expected {INVARIANT_COUNT}"
            )
        driver.problems += [f"{name}: {labels} {value}" for labels, value in found if float(value)]
    return counters_read


async def set_switches(driver: Driver, name: str, **settings: typing.Any) -> None:
    """Set the fault switches of a stand-in."""
    url = f"{installation.switches_url(driver.site, name)}/switches"
    async with driver.session.post(url, json=settings) as answer:
        answer.raise_for_status()
