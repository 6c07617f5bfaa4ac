"""Guards against guarantees without a data centre, or in one that cannot keep them."""

import dataclasses

import hypothesis
from hypothesis import strategies

from peridothatch_core.message import link
from peridothatch_core.model import config, customer, datacentre, shape, verdict
from peridothatch_core.place import guarantee_placement, guarantees

FIXED = hypothesis.settings(derandomize=True, deadline=None)
NAMES = ("accra-a", "tamale-a", "tema-b")
IN, OUT, LOST = datacentre.Service


def guarantee(name="g", tasks=1, accelerators=8, count=1, data_centre="", pinned=False):
    gang = shape.GangShape(tasks, shape.TaskShape(accelerators), shape.Adjacency.RACK)
    return customer.Guarantee(name, "ges", gang, count, data_centre, pinned=pinned)


def digest(name, *racks):
    """Return a digest of racks with these numbers of workers, each with 8 accelerators."""
    kinds = (link.WorkerKind(8, 64, 256_000, count) for count in racks)
    return link.HardwareDigest(name, 1, tuple(link.RackHardware((kind,)) for kind in kinds))


def world(racks, kept=(), services=(IN, IN, IN)):
    centres = {
        name: datacentre.DataCentre(name, "r", service)
        for name, service in zip(NAMES, services, strict=True)
    }
    hardware = {name: digest(name, *counts) for name, counts in racks.items()}
    held = {item.name: item for item in kept}
    return guarantee_placement.State(hardware), config.Snapshot(1, {}, held, {}, centres)


def test_the_data_centre_with_the_most_unpromised_accelerators_is_chosen():
    """Guards against a guarantee without a data centre, which no planner keeps."""
    known, snapshot = world(
        {"accra-a": (2,), "tamale-a": (3,), "tema-b": (3,)},
        [guarantee("other", data_centre="tamale-a")],
    )
    assert (
        guarantee_placement.assign(known, snapshot, guarantee()).unwrap().data_centre == "tema-b"
    )


def test_no_guarantee_is_accepted_on_unknown_hardware():
    """Guards against a guarantee that an entry accepts before it knows any worker."""
    known, snapshot = world({"accra-a": (1,)})
    for wanted in (guarantee(tasks=2), guarantee(data_centre="tema-b", pinned=True)):
        refusal = guarantee_placement.assign(known, snapshot, wanted).unwrap_err()
        assert (refusal.code, refusal.verdict) == ("unavailable", "not_run")


def test_a_refused_shape_states_what_would_fit():
    """Guards against accepting a guarantee that can never be kept."""
    known, snapshot = world(dict.fromkeys(NAMES, (3, 3)))
    refusal = guarantee_placement.assign(known, snapshot, guarantee(tasks=4)).unwrap_err()
    assert refusal.code is verdict.Code.NEVER_FITS
    assert "3" in refusal.expected


def test_hardware_that_a_short_guarantee_needs_is_not_promised_again():
    """Guards against promising cells that a short guarantee needs once its hardware returns."""
    known, snapshot = world({"accra-a": (1,)}, [guarantee("pair", 2, data_centre="accra-a")])
    refusal = guarantee_placement.assign(
        known, snapshot, guarantee(data_centre="accra-a", pinned=True)
    ).unwrap_err()
    assert refusal.code is verdict.Code.UNAVAILABLE
    assert "pair" in refusal.detail


def test_a_guarantee_that_asks_for_less_is_always_accepted():
    """Guards against refusing the reduction of a guarantee while hardware is missing."""
    kept = guarantee(count=5, data_centre="tema-b")
    known, snapshot = world({}, [kept])
    less = dataclasses.replace(kept, count=2, data_centre="")
    assert guarantee_placement.assign(known, snapshot, less).unwrap().data_centre == "tema-b"
    known, snapshot = world({"accra-a": (2,)}, [kept], (IN, OUT, LOST))
    assert guarantee_placement.assign(known, snapshot, less).unwrap().data_centre == "accra-a"


def test_only_guarantees_that_are_not_pinned_leave_a_data_centre_out_of_service():
    """Guards against a guarantee that stays where it cannot be kept, or moves although pinned."""
    kept = [
        guarantee("stays", data_centre="accra-a", pinned=True),
        guarantee("moves", data_centre="accra-a"),
        guarantee("elsewhere", data_centre="tema-b"),
        guarantee("nowhere"),
    ]
    _, snapshot = world({}, kept, (OUT, IN, IN))
    due = [
        item.name
        for item in guarantee_placement.due_for_reassignment(snapshot, "accra-a", {}, 0.0)
    ]
    assert due == ["moves", "nowhere"]
    assert (
        guarantee_placement.due_for_reassignment(
            snapshot, "accra-a", {"moves": 0.0, "nowhere": 0.0}, 9.0
        )
        == ()
    )
    assert guarantee_placement.due_for_reassignment(snapshot, "tema-b", {}, 0.0) == ()
    assert guarantee_placement.out_of_service(snapshot, "accra-a") == {"moves", "stays", "nowhere"}


racks = strategies.lists(strategies.integers(1, 3), max_size=2).map(tuple)
wishes = strategies.builds(
    guarantee,
    strategies.sampled_from("abcd"),
    strategies.integers(1, 3),
    strategies.sampled_from([0, 3, 4, 8]),
    strategies.integers(1, 2),
)


@FIXED
@hypothesis.given(
    strategies.dictionaries(strategies.sampled_from(NAMES), racks),
    strategies.lists(strategies.sampled_from(list(datacentre.Service)), min_size=3, max_size=3),
    strategies.lists(wishes, max_size=6),
)
def test_accepted_guarantees_are_kept_in_service_beside_the_others(hardware, services, wanted):
    """Guards against two promises on the same room, and a home where nothing starts."""
    known, snapshot = world(hardware, (), services)
    for item in wanted:
        settled = guarantee_placement.assign(known, snapshot, item)
        if settled.is_err():
            assert settled.unwrap_err().verdict is verdict.Verdict.NOT_RUN
            continue
        home = settled.unwrap().data_centre
        assert guarantee_placement.is_in_service(snapshot, home)
        left = guarantee_placement.unpromised_accelerators(known, snapshot, home, item.name)
        for name in NAMES if item.name not in snapshot.guarantees else ():
            here = dataclasses.replace(item, data_centre=name)
            if (
                guarantee_placement.is_in_service(snapshot, name)
                and guarantee_placement.check(known, snapshot, here, name).is_ok()
            ):
                assert (
                    guarantee_placement.unpromised_accelerators(known, snapshot, name, item.name)
                    <= left
                )
        held = {**snapshot.guarantees, item.name: settled.unwrap()}
        snapshot = dataclasses.replace(snapshot, guarantees=held)
        fresh = guarantee_placement._ledger(known, snapshot, known.hardware[home], "")
        assert guarantees.shortfalls(fresh) == ()
        assert guarantees.breaches(fresh, fresh.promised) == []


def test_accepted_guarantees_are_kept_when_all_are_bound_anew():
    """Guards against accepting a guarantee that only fits by the order of binding.

    The second guarantee fits beside the first, whose slots share a rack. A ledger that binds
    both anew, as after a change of hardware, has no cells for one gang of the first.
    """
    known, snapshot = world({"accra-a": (2, 3)})
    for item in (guarantee("b", 2, 3, 2), guarantee("a", 3, 3, 2)):
        assigned = guarantee_placement.assign(known, snapshot, item).unwrap()
        held = {**snapshot.guarantees, item.name: assigned}
        snapshot = dataclasses.replace(snapshot, guarantees=held)
    rebuilt = guarantee_placement._ledger(known, snapshot, known.hardware["accra-a"], "")
    assert guarantees.shortfalls(rebuilt) == ()
