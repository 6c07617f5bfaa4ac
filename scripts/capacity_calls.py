"""Processor time of real processes against the request rate and against running tasks."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import pathlib
import tempfile
import time
import typing

import capacity_fit
import capacity_processes

from peridothatch_standins import driver, installation

RATES = (0, 10, 20, 40)
MEMBERS = (0, 8, 22, 60)
SETTLE_SECONDS = 8.0
MEASURED_SECONDS = 16.0
START_SECONDS = 30.0
CUSTOMER = "team"
PLAN = installation.Plan(
    {"dc": "r"},
    "r",
    workers_per_data_centre=1,
    backend_servers=(("runner-1", "notices", "dc"), ("runner-2", "notices", "dc")),
)
# More iterations than the stand-in completes during the measurement.
LONG_WORK = "2000000000"


async def calls() -> list[capacity_fit.Series]:
    """Return the costs of an entry and of an agent against requests a second."""
    found = [(rate, await _with_requests(rate)) for rate in RATES]
    variable = "requests a second"
    return [
        _series("entry process, requests by HTTP", variable, "entry-dc", found),
        _series("agent beside a backend server", variable, "agent-runner-1", found),
    ]


async def members() -> list[capacity_fit.Series]:
    """Return the costs of an agent and of an entry against the members that a worker runs."""
    found = [(held, await _with_members(held)) for held in MEMBERS]
    return [
        _series("agent beside a worker", "members", "agent-worker-dc-1", found),
        _series("entry process, members of one worker", "members", "entry-dc", found),
    ]


def _series(
    name: str, variable: str, process: str, found: list[tuple[int, dict[str, float]]]
) -> capacity_fit.Series:
    points = tuple((size, costs[process]) for size, costs in found)
    return capacity_fit.Series(f"{name}, processor time a second", variable, "µs", points)


@contextlib.asynccontextmanager
async def _running() -> typing.AsyncIterator[driver.Driver]:
    with tempfile.TemporaryDirectory(prefix="peridothatch-capacity-") as folder:
        site = await installation.start(PLAN, pathlib.Path(folder))
        run = driver.start(site)
        try:
            digest = hashlib.sha256(driver.customer_token(CUSTOMER).encode()).hexdigest()
            customer = {"quota_accelerators": 8, "token_sha256": digest}
            await driver.change_configuration(run, "PUT", f"/v1/customers/{CUSTOMER}", customer)
            work = {"target": "within 8h", "urgent": False}
            await driver.change_configuration(run, "PUT", "/v1/classes/batch", work)
            yield run
            if run.problems:
                raise RuntimeError(f"{len(run.problems)} problems, the first: {run.problems[0]}")
        finally:
            await driver.close(run)
            await installation.close(site)


async def _with_requests(rate: int) -> dict[str, float]:
    async with _running() as run:
        sending = asyncio.create_task(_send(run, rate, SETTLE_SECONDS + MEASURED_SECONDS + 2.0))
        costs = await _measure(run)
        await sending
        return costs


async def _with_members(held: int) -> dict[str, float]:
    async with _running() as run:
        if held:
            await _submit(run, held)
        return await _measure(run)


async def _submit(run: driver.Driver, tasks: int) -> None:
    """Submit a job that outlasts the measurement, and wait until it runs."""
    body = {
        "work_class": "batch",
        "shape": {"tasks": tasks, "task": {"accelerators": 0}},
        "command": ["lot-certificate", "lot", LONG_WORK],
    }
    token = driver.customer_token(CUSTOMER)
    status, answer = await driver.call_any_entry(run, "POST", "/v1/jobs", bearer=token, body=body)
    if status not in (200, 201):
        raise RuntimeError(f"the job was not accepted: {status} {answer}")
    # The expected result is left empty: it is not checked, and computing it would take as long as
    # the job.
    job = driver.Submitted(answer["id"], CUSTOMER, tasks, "")
    deadline = time.monotonic() + START_SECONDS
    found = await driver.wait_for_state(run, job, ("running",), deadline)
    if found.get("state") != "running":
        raise RuntimeError(f"the job is {found.get('state')}; expected running")


async def _send(run: driver.Driver, rate: int, seconds: float) -> None:
    """Send requests at a steady rate and check each answer."""
    calls = []
    begin = asyncio.get_running_loop().time()
    for number in range(int(rate * seconds)):
        await asyncio.sleep(max(0.0, begin + number / rate - asyncio.get_running_loop().time()))
        calls.append(asyncio.create_task(_request(run, number)))
    await asyncio.gather(*calls)


async def _request(run: driver.Driver, number: int) -> None:
    status, answer = await driver.call(
        run, "entry-dc", "POST", "/v1/services/notices/requests",
        bearer=driver.customer_token(CUSTOMER),
        body={"operation": "notice", "notice": f"n{number}", "compound": "c1"},
        headers={"Peridothatch-Idempotent": "true", "Peridothatch-Deadline-Ms": "5000"},
    )  # fmt: skip
    if status != 200:
        run.problems.append(f"request {number}: {status} {answer}")


async def _measure(run: driver.Driver) -> dict[str, float]:
    names = ("entry-dc", "agent-runner-1", "agent-worker-dc-1")
    await asyncio.sleep(SETTLE_SECONDS)
    before = {name: await capacity_processes.read(run.session, run.site, name) for name in names}
    await asyncio.sleep(MEASURED_SECONDS)
    after = {name: await capacity_processes.read(run.session, run.site, name) for name in names}
    return {
        name: 1e6 * (after[name]["seconds"] - before[name]["seconds"]) / MEASURED_SECONDS
        for name in names
    }
