"""Guards against assigning a job to a data centre where it cannot start while another has room."""

import hypothesis
from hypothesis import strategies

from peridothatch_core.message import link
from peridothatch_core.model import config, customer, datacentre, job, shape
from peridothatch_core.place import choose_data_centre

FIXED = hypothesis.settings(derandomize=True, deadline=None)
NAMES = ["accra-a", "tema-b", "tamale-a"]
HERE = datacentre.DataCentre("accra-a", "gh-south")


def submitted(tasks=1, accelerators=4):
    gang = shape.GangShape(tasks, shape.TaskShape(accelerators))
    return job.Job("j", "kolar", "c", gang, ("x",), "", 0.0, 0.0)


def snapshot(services, guarantees=()):
    centres = {
        name: datacentre.DataCentre(name, region, service)
        for name, region, service in zip(
            NAMES, ["gh-south", "gh-south", "gh-north"], services, strict=True
        )
    }
    return config.Snapshot(1, {}, {one.name: one for one in guarantees}, {}, centres)


def digest(name, blocks, waiting=0, in_service=True):
    free = sum(count * 2**order for order, count in enumerate(blocks))
    return link.CapacityDigest(name, 1, free, blocks, waiting, in_service)


blocks = strategies.lists(strategies.integers(0, 3), min_size=4, max_size=4).map(tuple)


@FIXED
@hypothesis.given(
    services=strategies.lists(
        strategies.sampled_from(list(datacentre.Service)), min_size=3, max_size=3
    ),
    free=strategies.lists(strategies.none() | blocks, min_size=3, max_size=3),
    tasks=strategies.integers(1, 4),
    accelerators=strategies.integers(0, 8),
)
def test_a_data_centre_in_service_with_room_comes_first(services, free, tasks, accelerators):
    digests = {n: digest(n, b) for n, b in zip(NAMES, free, strict=True) if b is not None}
    job_, centres = submitted(tasks, accelerators), snapshot(services)
    chosen = choose_data_centre.choose(job_, centres, digests, {}, HERE)
    usable = [n for n in NAMES if centres.data_centres[n].service is datacentre.Service.IN]
    with_room = [
        n for n in usable if n in digests and choose_data_centre.has_room(job_.shape, digests[n])
    ]
    assert chosen in (with_room or usable or NAMES)


def test_a_data_centre_with_a_guarantee_of_the_customer_is_preferred():
    gang = shape.GangShape(1, shape.TaskShape(4))
    held = customer.Guarantee("g", "kolar", gang, 1, "tamale-a")
    digests = {name: digest(name, (0, 0, 0, 2)) for name in NAMES}
    centres = snapshot([datacentre.Service.IN] * 3, [held])
    assert choose_data_centre.choose(submitted(), centres, digests, {}, HERE) == "tamale-a"
    assert choose_data_centre.choose(submitted(), centres, digests, {"tamale-a": 16}, HERE) == (
        "accra-a"
    )


def test_a_data_centre_whose_planner_reports_it_out_of_service_is_not_chosen():
    digests = {name: digest(name, (0, 0, 0, 2), 0, name != "accra-a") for name in NAMES}
    centres = snapshot([datacentre.Service.IN] * 3)
    assert choose_data_centre.choose(submitted(), centres, digests, {}, HERE) == "tema-b"


def test_small_blocks_cannot_hold_a_large_task():
    scattered = digest("accra-a", (8, 0, 0, 0))
    assert not choose_data_centre.has_room(submitted(1, 2).shape, scattered)
    assert choose_data_centre.has_room(submitted(8, 1).shape, scattered)


def test_no_data_centre_is_chosen_when_none_is_configured():
    assert choose_data_centre.choose(submitted(), config.Snapshot(), {}, {}, HERE) == ""
