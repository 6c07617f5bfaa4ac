"""An installation of real processes on loopback."""

import contextlib
import hashlib
import pathlib

import pytest

from peridothatch_standins import driver, installation

PLAN = installation.Plan(
    data_centres={"accra-a": "gh-south", "tamale-a": "gh-north"},
    store_region="gh-south",
    workers_per_data_centre=2,
    backend_servers=(("runner-1", "notices", "accra-a"), ("runner-2", "notices", "tamale-a")),
    network_paths=True,
)


# Each test starts about twenty processes, so that only a few may run at a time.
GROUPS = 3


def pytest_collection_modifyitems(items):
    here = pathlib.Path(__file__).parent
    mine = [item for item in items if here in item.path.parents]
    for index, item in enumerate(mine):
        item.add_marker(pytest.mark.xdist_group(f"processes-{index % GROUPS}"))


@pytest.fixture
def running(tmp_path):
    """Return a function that starts an installation with a customer and a class."""

    @contextlib.asynccontextmanager
    async def start():
        site = await installation.start(PLAN, tmp_path)
        run = driver.start(site)
        try:
            digest = hashlib.sha256(driver.token("embassies").encode()).hexdigest()
            body = {"quota_accelerators": 64, "token_sha256": digest}
            await driver.change(run, "PUT", "/v1/customers/embassies", body)
            await driver.change(run, "PUT", "/v1/classes/calendars", {"target": "within 8h"})
            yield run
            await driver.check_breaches(run)
            assert run.problems == []
        finally:
            await driver.close(run)
            await installation.close(site)

    return start
