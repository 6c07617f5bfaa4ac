"""Run a complete installation on this machine and check its invariants under faults.

Starts a table service, an object store, three entries, nine workers and two backend servers with
their agents, in three data centres of two regions. Jobs and requests run while a data centre is
taken out of service and put back, and while an entry and an agent are killed and restarted. Then
the promises and their outcomes are printed. The exit status is not 0 when a check failed.
"""

from __future__ import annotations

import asyncio
import hashlib
import pathlib
import subprocess
import sys
import tempfile
import time

from peridothatch_standins import driver, installation

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
NOTICE_PERIOD_SECONDS = 0.2
JOB_TIMEOUT_SECONDS = 240.0
PROOF_SECONDS = 3.0


async def configure(run: driver.Driver) -> None:
    """Create the customers, classes and guarantees."""
    for name, quota in CUSTOMERS.items():
        digest = hashlib.sha256(driver.customer_token(name).encode()).hexdigest()
        body = {"quota_accelerators": quota, "token_sha256": digest}
        await driver.change_configuration(run, "PUT", f"/v1/customers/{name}", body)
    for name, body in CLASSES.items():
        await driver.change_configuration(run, "PUT", f"/v1/classes/{name}", body)
    for name, (customer, shape) in GUARANTEES.items():
        body = {"customer": customer, "shape": {**shape, "adjacency": "rack"}}
        await driver.change_configuration(run, "PUT", f"/v1/guarantees/{name}", body)


async def submit_all(run: driver.Driver, rounds: int, offset: int) -> list[driver.Submitted]:
    """Submit gangs of several shapes for all customers."""
    jobs = []
    for number in range(rounds):
        for index, customer in enumerate(CUSTOMERS):
            key = offset + number * len(CUSTOMERS) + index
            submitted = await driver.submit(
                run,
                f"demo-{key}",
                customer,
                ["lot-certificate", f"lot-{key}", "300000"],
                work_class="half-mast" if number % 3 == 0 else "calendars",
                tasks=1 + number % 3,
                accelerators=(1, 4, 8)[number % 3],
            )
            if submitted is not None:
                jobs.append(submitted)
    return jobs


async def send_notices(run: driver.Driver) -> dict[int, str]:
    """Send notices at a steady rate; return the verdict of each."""
    verdicts = {}
    for number in range(NOTICES):
        verdicts[number] = await driver.send_notice(run, number, "embassies", "notices")
        await asyncio.sleep(NOTICE_PERIOD_SECONDS)
    return verdicts


async def inject_faults(run: driver.Driver) -> None:
    """Take a data centre out of service, kill an entry and an agent, and restore all three."""
    await driver.change_configuration(run, "POST", "/v1/data-centres/tema-b/out")
    print("data centre tema-b is out of service")
    await asyncio.sleep(PROOF_SECONDS)
    known = set(await driver.list_worker_tasks(run, "tema-b"))
    victims = ("entry-accra-a", "agent-worker-accra-a-1")
    for name in victims:
        await installation.kill_process(run.site, name)
    print(f"killed {' and '.join(victims)}")
    await asyncio.sleep(5.0)
    for name in victims:
        await installation.start_process(run.site, name)
    print("restarted both")
    if set(await driver.list_worker_tasks(run, "tema-b")) - known:
        run.problems.append("a task started in tema-b while it was out of service")
    await driver.change_configuration(run, "POST", "/v1/data-centres/tema-b/in")
    print("data centre tema-b is back in service")


def print_promises(run: driver.Driver) -> None:
    """Print the promises as the command-line client shows them."""
    command = [
        sys.executable, "-m", "peridothatch_client",
        "--address", installation.url(run.site, "entry-tema-b"),
        "--token", installation.OPERATOR_TOKEN,
        "promises",
    ]  # fmt: skip
    shown = subprocess.run(command, check=False)
    if shown.returncode:
        run.problems.append(f"peridothatch promises exited with status {shown.returncode}")


async def demonstrate(folder: pathlib.Path) -> list[str]:
    """Run the demo and return the problems."""
    site = await installation.start(PLAN, folder)
    print(f"{len(site.processes)} processes run; logs are in {folder}")
    run = driver.start(site)
    try:
        await configure(run)
        print("customers, classes and guarantees are set")
        jobs = await submit_all(run, 4, offset=0)
        print(f"{len(jobs)} jobs are accepted")
        _, verdicts = await asyncio.gather(inject_faults(run), send_notices(run))
        jobs += await submit_all(run, 2, offset=1000)
        await driver.check_job_results(run, jobs, JOB_TIMEOUT_SECONDS)
        print(f"{len(jobs)} jobs have ended")
        counts = await driver.count_deliveries(run)
        driver.check_deliveries(run, verdicts, counts)
        print(f"{len(verdicts)} notices sent, {sum(counts.values())} delivered")
        print(f"{await driver.check_invariant_counters(run)} counters of invariants read")
        print_promises(run)
        return run.problems
    finally:
        await driver.close(run)
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
