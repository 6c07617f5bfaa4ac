"""Guards against lost, duplicated or partly run work when processes and the platform fail."""

import asyncio
import time

import pytest

from peridothatch_standins import driver, installation

# Long enough for the 60 s lease of a lost member to lapse, after which its job runs again.
TIMEOUT_SECONDS = 240.0
ACCRA, TAMALE = "entry-accra-a", "entry-tamale-a"


async def submit(run, key, tasks=2, accelerators=4, size=400_000):
    job = await driver.submit(
        run, key, "embassies", ["lot-certificate", f"lot-{key}", str(size)],
        "calendars", tasks, accelerators,
    )  # fmt: skip
    assert job is not None
    return job


async def wait_running(run, job):
    deadline = time.monotonic() + TIMEOUT_SECONDS
    found = await driver.wait_for_state(run, job, ("running", *driver.FINAL_STATES), deadline)
    assert found["state"] != "waiting"
    return found


async def finish(run, *jobs):
    await driver.check_job_results(run, list(jobs), TIMEOUT_SECONDS)


async def send_notices(run, numbers):
    verdicts = {}
    for number in numbers:
        verdicts[number] = await driver.send_notice(run, number, "embassies", "notices")
    return verdicts


async def check_notices(run, verdicts):
    driver.check_deliveries(run, verdicts, await driver.count_deliveries(run))


async def get_job(run, job):
    _, answer = await driver.call_any_entry(run, "GET", f"/v1/jobs/{job.id}")
    return answer


async def runs_started(run, entry, data_centre):
    _, state = await driver.call(run, entry, "GET", "/debug/state")
    counters = state["tasks"][f"planner {data_centre}"].get("counters", {})
    return counters.get("runs_started", 0)


async def test_an_entry_is_killed(running):
    """Guards against jobs and requests that depend on one entry."""
    async with running() as run:
        jobs = [await submit(run, f"j{number}") for number in range(4)]
        sending = asyncio.create_task(send_notices(run, range(20)))
        await asyncio.sleep(1.0)
        await installation.kill_process(run.site, ACCRA)
        jobs.append(await submit(run, "after"))
        verdicts = await sending
        await installation.start_process(run.site, ACCRA)
        await finish(run, *jobs)
        await check_notices(run, verdicts)


async def test_an_agent_is_killed_and_comes_back(running):
    """Guards against an agent restart that ends the running tasks of its worker."""
    async with running() as run:
        job = await submit(run, "j", tasks=2, accelerators=8, size=3_000_000)
        await wait_running(run, job)
        for name in installation.worker_names(run.site.plan):
            await installation.kill_process(run.site, f"agent-{name}")
        for name in installation.worker_names(run.site.plan):
            await installation.start_process(run.site, f"agent-{name}")
        await finish(run, job)
        assert (await get_job(run, job))["run"] == 1


async def test_workers_are_paused_past_their_lease(running):
    """Guards against a paused worker that continues a task whose lease has lapsed."""
    async with running() as run:
        job = await submit(run, "j", tasks=2, accelerators=8, size=3_000_000)
        await wait_running(run, job)
        cells = (await get_job(run, job))["cells"]
        paused_worker = cells[0]["worker"]
        installation.pause_process(run.site, paused_worker)
        await asyncio.sleep(25.0)
        installation.resume_process(run.site, paused_worker)
        await finish(run, job)


async def test_a_rack_is_lost(running):
    """Guards against jobs that wait forever for a rack that does not return."""
    async with running() as run:
        job = await submit(run, "j", tasks=2, accelerators=8, size=3_000_000)
        await wait_running(run, job)
        found = await get_job(run, job)
        for name, data_centre in installation.worker_names(run.site.plan).items():
            if data_centre == found["data_centre"]:
                await installation.kill_process(run.site, name)
                await installation.kill_process(run.site, f"agent-{name}")
        await finish(run, job)
        assert (await get_job(run, job))["data_centre"] != found["data_centre"]


async def test_two_operators_take_a_data_centre_out_at_once(running):
    """Guards against an out-of-service change that is lost or reverted in a race."""
    async with running() as run:
        jobs = [await submit(run, f"j{number}") for number in range(4)]
        out = "/v1/data-centres/tamale-a/out"
        answers = await asyncio.gather(
            driver.call(run, ACCRA, "POST", out), driver.call(run, TAMALE, "POST", out)
        )
        # Both request the same change, so the one that loses the race may be refused.
        assert 200 in [status for status, _ in answers]
        await asyncio.sleep(3.0)
        known = set(await driver.list_worker_tasks(run, "tamale-a"))
        jobs += [await submit(run, f"k{number}") for number in range(4)]
        await finish(run, *jobs)
        assert set(await driver.list_worker_tasks(run, "tamale-a")) == known
        for entry in (ACCRA, TAMALE):
            _, answer = await driver.call(run, entry, "GET", "/v1/data-centres")
            states = {item["name"]: item["service"] for item in answer["data_centres"]}
            assert states == {"accra-a": "in", "tamale-a": "out"}


async def test_the_region_without_the_store_is_cut_off(running):
    """Guards against an entry without the store that stops running work or starts new work."""
    async with running() as run:
        await driver.change_configuration(run, "POST", "/v1/data-centres/accra-a/out")
        job = await submit(run, "j", tasks=2, accelerators=8, size=6_000_000)
        assert (await wait_running(run, job))["data_centre"] == "tamale-a"
        await driver.set_switches(run, installation.store_path(TAMALE), mode="cut")
        await asyncio.sleep(4.0)
        before = await runs_started(run, TAMALE, "tamale-a")
        other = await submit(run, "other")
        await asyncio.sleep(10.0)
        # A planner in the other region may take over and start jobs; the isolated entry may not.
        assert await runs_started(run, TAMALE, "tamale-a") == before
        await driver.set_switches(run, installation.store_path(TAMALE), mode="up")
        await finish(run, job, other)
        assert (await get_job(run, job))["run"] == 1


@pytest.mark.parametrize(
    "fault",
    [
        {"mode": "down"},
        {"mode": "slow", "delay_ms": 1500},
        {"mode": "lose_answers", "probability": 0.5, "seed": 7},
    ],
    ids=lambda fault: fault["mode"],
)
async def test_the_store_is_down_slow_or_loses_answers(running, fault):
    """Guards against lost accepted work and false refusals."""
    async with running() as run:
        before = [await submit(run, f"j{number}", size=1_500_000) for number in range(3)]
        await driver.set_switches(run, "table-service", **fault)
        sending = asyncio.create_task(send_notices(run, range(6)))
        submitting = asyncio.create_task(submit(run, "during"))
        await asyncio.sleep(12.0)
        await driver.set_switches(run, "table-service", mode="up")
        verdicts = await sending
        during = await submitting
        again = await submit(run, "during")
        assert again.id == during.id
        await finish(run, *before, during)
        await check_notices(run, verdicts)


async def test_open_connections_stop_responding(running):
    """Guards against requests that wait on a connection whose peer no longer answers."""
    async with running() as run:
        job = await submit(run, "j", size=3_000_000)
        await wait_running(run, job)
        sending = asyncio.create_task(send_notices(run, range(10)))
        for entry in (ACCRA, TAMALE):
            await driver.set_switches(run, installation.link_path(entry), mode="silence")
        verdicts = await sending
        await finish(run, job)
        await check_notices(run, verdicts)
        assert (await get_job(run, job))["run"] == 1


async def test_an_entry_is_killed_while_the_store_loses_answers(running):
    """Guards against a takeover that wrongly assumes the outcome of a write with a lost answer."""
    async with running() as run:
        await driver.set_switches(
            run, "table-service", mode="lose_answers", probability=0.3, seed=11
        )
        jobs = [await submit(run, f"j{number}") for number in range(4)]
        sending = asyncio.create_task(send_notices(run, range(10)))
        await installation.kill_process(run.site, ACCRA)
        await installation.start_process(run.site, ACCRA)
        verdicts = await sending
        await driver.set_switches(run, "table-service", mode="up")
        await finish(run, *jobs)
        await check_notices(run, verdicts)


async def test_graceful_stops_abort_no_request(running):
    """Guards against a graceful stop that aborts a request in flight."""
    async with running() as run:
        slow = {"operation": "slow", "delay_ms": 1500}
        headers = {"Peridothatch-Deadline-Ms": "20000", "Peridothatch-Customer": "embassies"}
        calls = [
            asyncio.create_task(driver.call(
                run, entry, "POST", "/v1/services/notices/requests", body=slow, headers=headers
            ))
            for entry in (ACCRA, TAMALE)
            for _ in range(4)
        ]  # fmt: skip
        await asyncio.sleep(0.5)
        for name in ("agent-runner-1", ACCRA):
            assert await installation.stop_process(run.site, name) == 0
        answers = await asyncio.gather(*calls)
        assert [status for status, _ in answers] == [200] * len(calls)
