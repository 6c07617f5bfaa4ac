"""Run processes of two source versions together and check the invariants.

``mixed_versions.py OLD NEW`` takes the roots of two source trees. Each case starts an installation
between stand-ins in which entries and agents run from different trees, or are restarted from the
other tree while work runs. Rows, settings, links and forwarded calls of one version are thus read
by the other. The exit status is not 0 when an invariant was violated.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import hashlib
import os
import pathlib
import sys
import tempfile
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGES = ("core", "wire", "daemon", "client", "standins")
sys.path[:0] = [str(ROOT / "tests" / "soak"), str(ROOT / "tests" / "platform")]

import soak_installation  # noqa: E402
import soak_plan  # noqa: E402
import soak_run  # noqa: E402

from peridothatch_standins import driver, installation  # noqa: E402

SEEDS = (3, 101, 102)
CUT_SECONDS = 4.0
RESTART_PERIOD_SECONDS = 1.5
JOBS_PER_PHASE = 6
NOTICES_PER_PHASE = 10
JOB_TIMEOUT_SECONDS = 120.0
CUSTOMER = "embassies"
PLAN = installation.Plan(
    data_centres={"accra-a": "gh-south", "tema-b": "gh-south", "tamale-a": "gh-north"},
    store_region="gh-south",
    workers_per_data_centre=1,
    backend_servers=(("runner-1", "notices", "accra-a"), ("runner-2", "notices", "tema-b")),
)

TreeChoice = typing.Callable[[str, int], bool]
"""Selects the new tree for a process, given its name and the number of its restarts."""


@dataclasses.dataclass(frozen=True, slots=True)
class Trees:
    """The two source trees as values of ``PYTHONPATH``."""

    old: str
    new: str


def search_path(root: pathlib.Path) -> str:
    """Return the search path of the packages of a source tree."""
    folders = [root / "packages" / name / "src" for name in PACKAGES]
    return os.pathsep.join(str(folder) for folder in [*folders, root / "platform"])


def is_entry(name: str) -> bool:
    """Return whether a process of either installation is an entry."""
    return name.startswith(("front-", "entry-"))


HOSTED_CASES: dict[str, TreeChoice] = {
    "entries old, agents new": lambda name, _: not is_entry(name),
    "entries new, agents old": lambda name, _: is_entry(name),
    "each second process new": lambda name, _: name.endswith(("0", "2")),
    "upgrade": lambda _, restarts: restarts > 0,
    "downgrade": lambda _, restarts: restarts == 0,
}
"""Cases of the hosted programs; an upgrade or downgrade restarts each process once."""

OWN_PHASES: dict[str, TreeChoice] = {
    "all old": lambda *_: False,
    "one entry new": lambda name, _: name == "entry-accra-a",
    "entries new, agents old": lambda name, _: is_entry(name),
    "all new": lambda *_: True,
    "entries old, agents new": lambda name, _: not is_entry(name),
}
"""Phases of an installation with the product's own interface; they share one store."""


def hosted_plan(seed: int, restart: bool) -> soak_plan.Plan:
    """Return a plan of restarts of all processes in turn, or of the faults of a seed.

    Each plan disconnects the entries from the store one after the other, so that calls are
    forwarded.
    """
    seed_plan = soak_plan.make(seed)
    faults = [] if restart else list(seed_plan.faults)
    targets = soak_plan.ENTRIES + soak_plan.AGENTS
    if restart:
        kinds = ("terminate", "kill")
        faults = [
            soak_plan.Fault(RESTART_PERIOD_SECONDS * number, kinds[number % 2], number, 0.3)
            for number in range(targets)
        ]
    faults += [
        soak_plan.Fault(12.0 + (CUT_SECONDS + 2.0) * entry, "store_silent", entry, CUT_SECONDS)
        for entry in range(soak_plan.ENTRIES)
    ]
    late_submissions = [
        dataclasses.replace(item, at=11.0 + item.number, number=100 + item.number, cancel_after=2)
        for item in seed_plan.submissions[:10]
    ]
    return dataclasses.replace(
        seed_plan, faults=tuple(faults), submissions=(*seed_plan.submissions, *late_submissions)
    )


def spawner(trees: Trees, choose: TreeChoice) -> typing.Callable[..., None]:
    """Return a function that starts a soak process from the tree that ``choose`` selects."""
    spawn = soak_installation.spawn
    starts: dict[str, int] = {}

    def spawn_from_tree(soak: typing.Any, process: typing.Any) -> None:
        restarts = starts.get(process.name, 0)
        starts[process.name] = restarts + 1
        os.environ["PYTHONPATH"] = trees.new if choose(process.name, restarts) else trees.old
        spawn(soak, process)

    return spawn_from_tree


async def run_hosted(trees: Trees, name: str, seed: int, folder: pathlib.Path) -> list[str]:
    """Run a case of the hosted programs and return the problems."""
    choose = HOSTED_CASES[name]
    spawn = soak_installation.spawn
    soak_installation.spawn = spawner(trees, choose)
    try:
        plan = hosted_plan(seed, choose("front-0", 0) != choose("front-0", 1))
        observations = await soak_run.run(seed, folder, plan)
    finally:
        soak_installation.spawn = spawn
    passed_on = _count_in_logs(folder, "peers:passed_on")
    jobs, starts = len(observations.accepted), len(observations.starts)
    problems = list(observations.breaches)
    # Without them the case has not exercised what one version reads from the other.
    if not (jobs and starts and passed_on):
        problems.append("expected accepted jobs, starts and forwarded calls")
    counts = f"{jobs} jobs, {starts} starts, {passed_on} calls forwarded"
    print(f"hosted, {name}, seed {seed}: {counts}, {len(problems)} problems", flush=True)
    return [f"hosted, {name}, seed {seed}: {problem}" for problem in problems]


async def run_own(trees: Trees, folder: pathlib.Path) -> list[str]:
    """Run the phases of the product's own interface and return the problems."""
    os.environ["PYTHONPATH"] = trees.old
    site = await installation.start(PLAN, folder)
    run = driver.start(site)
    running = dict.fromkeys(site.processes, False)
    try:
        await driver.change_configuration(run, "PUT", f"/v1/customers/{CUSTOMER}", _customer())
        await driver.change_configuration(
            run, "PUT", "/v1/classes/calendars", {"target": "within 8h"}
        )
        for phase, choose in OWN_PHASES.items():
            jobs = [await _submit(run, phase, number) for number in range(JOBS_PER_PHASE)]
            for name in running:
                new = choose(name, 0)
                if name.startswith(("entry-", "agent-")) and new != running[name]:
                    await installation.stop_process(site, name)
                    os.environ["PYTHONPATH"] = trees.new if new else trees.old
                    await installation.start_process(site, name)
                    running[name] = new
            offset = 100 * list(OWN_PHASES).index(phase)
            for state in ("out", "in"):
                await driver.change_configuration(run, "POST", f"/v1/data-centres/tema-b/{state}")
            verdicts = {
                offset + number: await driver.send_notice(
                    run, offset + number, CUSTOMER, "notices"
                )
                for number in range(NOTICES_PER_PHASE)
            }
            await driver.check_job_results(run, [job for job in jobs if job], JOB_TIMEOUT_SECONDS)
            driver.check_deliveries(run, verdicts, await driver.count_deliveries(run))
            await driver.check_invariant_counters(run)
            ran = list(verdicts.values()).count("ran")
            print(
                f"own interface, {phase}: {len(jobs)} jobs, {ran} of {len(verdicts)} notices ran, "
                f"{len(run.problems)} problems so far",
                flush=True,
            )
        return [f"own interface: {problem}" for problem in run.problems]
    finally:
        await driver.close(run)
        await installation.close(site)


def _count_in_logs(folder: pathlib.Path, text: str) -> int:
    return sum(path.read_text().count(text) for path in folder.glob("*.log"))


def _customer() -> dict[str, typing.Any]:
    digest = hashlib.sha256(driver.customer_token(CUSTOMER).encode()).hexdigest()
    return {"quota_accelerators": 24, "token_sha256": digest}


async def _submit(run: driver.Driver, phase: str, number: int) -> driver.Submitted | None:
    key = f"{phase.replace(' ', '-').replace(',', '')}-{number}"
    command = ["lot-certificate", key, "300000"]
    return await driver.submit(
        run, key, CUSTOMER, command, work_class="calendars", tasks=1 + number % 2
    )


def main() -> int:
    """Run all cases and report."""
    parser = argparse.ArgumentParser()
    parser.add_argument("old", type=pathlib.Path)
    parser.add_argument("new", type=pathlib.Path)
    arguments = parser.parse_args()
    trees = Trees(search_path(arguments.old.resolve()), search_path(arguments.new.resolve()))
    folder = pathlib.Path(tempfile.mkdtemp(prefix="mixed-versions-"))
    problems = []
    for number, name in enumerate(HOSTED_CASES):
        for seed in SEEDS:
            logs = folder / f"{number}-{seed}"
            logs.mkdir()
            problems += asyncio.run(run_hosted(trees, name, seed, logs))
    own = folder / "own"
    own.mkdir()
    problems += asyncio.run(run_own(trees, own))
    for problem in problems:
        print(f"problem: {problem}")
    print(f"{len(problems)} problems; logs are in {folder}")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
