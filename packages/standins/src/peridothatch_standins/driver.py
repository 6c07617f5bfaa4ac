"""Calls that callers and operators make to an installation, and checks of what came of them."""

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
TRIES = 60
PAUSE_SECONDS = 0.5
FINAL_STATES = ("succeeded", "failed", "cancelled")
INVARIANTS = 9


@dataclasses.dataclass(slots=True)
class Driver:
    """An installation, a session to it, and what was found wrong."""

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
    """Call a process; status 0 means that the connection broke."""
    sent = {"Authorization": f"Bearer {bearer}", **(headers or {})}
    url = installation.url(driver.site, entry) + path
    try:
        async with driver.session.request(method, url, json=body, headers=sent) as answer:
            text = await answer.text()
            is_json = "json" in answer.headers.get("Content-Type", "")
            return answer.status, json.loads(text) if is_json else text
    except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
        return 0, {"detail": str(error)}


async def call_any_entry(
    driver: Driver, method: str, path: str, **options: typing.Any
) -> tuple[int, typing.Any]:
    """Call one entry after the other until one answers, as a balancer would.

    Status 503 means that nothing ran, or that repeating the call is safe because of its key.
    """
    status, answer = 0, None
    for _ in range(TRIES):
        for entry in installation.entry_names(driver.site.plan):
            status, answer = await call(driver, entry, method, path, **options)
            if status not in (0, 503):
                return status, answer
        await asyncio.sleep(PAUSE_SECONDS)
    return status, answer


async def change_configuration(
    driver: Driver, method: str, path: str, body: typing.Any = None
) -> None:
    """Make a change of the configuration; anything but success is a problem."""
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
    """Submit a job with an idempotency key, so that a broken call can be repeated."""
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
    """Compute the result of a command in this process."""
    work = commands.begin(tuple(command))
    assert isinstance(work, commands.Work)
    return commands.result(commands.advance(tuple(command), work, 10**9, 10**9))


async def check_job_results(driver: Driver, jobs: list[Submitted], timeout_seconds: float) -> None:
    """Wait for the jobs and check the result of each task."""
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
    """Return the job once it is in one of the states, or as it is at the deadline."""
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
    """Send a non-idempotent notice; repeat the call with its key until it is known to have run.

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
    """Return how often the backend servers saw each notice."""
    counts: collections.Counter[str] = collections.Counter()
    for name, _, _ in driver.site.plan.backend_servers:
        _, answer = await call(driver, name, "GET", "/v1/deliveries")
        for item in answer["deliveries"]:
            counts[item["notice"]] += item["count"]
    return counts


def check_deliveries(
    driver: Driver, verdicts: dict[int, str], counts: collections.Counter[str]
) -> None:
    """Check that the verdict of each notice is true."""
    for number, verdict in verdicts.items():
        count = counts[f"n{number}"]
        allowed = {"ran": (1,), "not_run": (0,), "may_have_run": (0, 1)}.get(verdict, ())
        if count not in allowed:
            driver.problems.append(f"notice {number}: said {verdict}, delivered {count} times")


async def list_worker_tasks(driver: Driver, data_centre: str) -> dict[str, dict[str, typing.Any]]:
    """Return the tasks that the workers of a data centre know, by id."""
    found = {}
    for name, where in installation.worker_names(driver.site.plan).items():
        if where == data_centre:
            status, answer = await call(driver, name, "GET", "/v1/tasks")
            if status == 200:
                found |= {item["id"]: item for item in answer["tasks"]}
    return found


async def check_invariant_counters(driver: Driver) -> int:
    """Check that each invariant's counter reads zero; return how many were read."""
    read = 0
    for name, process in driver.site.processes.items():
        if process.child is None or not name.startswith(("entry-", "agent-")):
            continue
        _, text = await call(driver, name, "GET", "/metrics")
        found = re.findall(
            r"^peridothatch_invariant_breaches_total\{([^}]*)\} (\S+)", str(text), re.MULTILINE
        )
        read += len(found)
        if len(found) != INVARIANTS:
            driver.problems.append(f"{name}: {len(found)} counters; expected {INVARIANTS}")
        driver.problems += [f"{name}: {labels} {value}" for labels, value in found if float(value)]
    return read


async def set_switches(driver: Driver, name: str, **settings: typing.Any) -> None:
    """Set the switches of a stand-in."""
    url = f"{installation.switches_url(driver.site, name)}/switches"
    async with driver.session.post(url, json=settings) as answer:
        answer.raise_for_status()
