"""Frame size and processor time of the messages between processes."""

from __future__ import annotations

import typing

import capacity_fit

from peridothatch_core.message import link
from peridothatch_core.model import job, shape, worker
from peridothatch_wire import codec

FRAME_HEADER_BYTES = 4
TIMES = 400
TASK = shape.TaskShape(1, 4, 16_384)
JOB_ID = "entry-dc1.8f3a21c4.104729"
REVISION_ROW = (
    '{"revision": 104729, "kind": "guarantee", "name": "team-17-rack", "by": "operator-3", '
    '"at": 1793000000.25, "value": {"customer": "team-17", "shape": {"tasks": 4, "task": '
    '{"accelerators": 8, "cores": 32, "memory_mb": 131072}, "adjacency": "rack"}, "count": 2, '
    '"data_centre": "dc1", "promised_by": "operator-3", "promised_at": 1793000000.25}}'
)


def acknowledgement(renewed: int) -> link.HeartbeatAck:
    """Return the answer to a heartbeat that renews a number of gangs."""
    refs = tuple(link.GangRef(f"{JOB_ID}{index}", 3) for index in range(renewed))
    return link.HeartbeatAck(123456.789, True, 0.25, 104_729, 812, True, refs)


def reserve(tasks: int) -> link.Reserve:
    """Return a reservation of a number of tasks of one gang on one worker."""
    cells = tuple(job.Cell(index, "worker-dc1-1089", (index % 8,)) for index in range(tasks))
    return link.Reserve(JOB_ID, 3, 812, cells, TASK, 10.0)


def start(tasks: int) -> link.Start:
    """Return a start with the checkpoint keys of a gang of ``tasks``."""
    keys = "\n".join(f"checkpoint/{JOB_ID}/{index}/17" for index in range(tasks))
    command = ("die-wear-study", "--lot", "104729")
    return link.Start(JOB_ID, 3, 812, command, keys, 123456.789, 0.25, 104_729)


def announcement(members: int) -> link.AnnounceWorker:
    """Return the announcement of a worker that holds a number of members."""
    held = tuple(
        link.Member(f"{JOB_ID}{index}", 3, job.Cell(index, "worker-dc1-1089"), "running")
        for index in range(members)
    )
    return link.AnnounceWorker(worker.Worker("worker-dc1-1089", "dc1", "r7", 8, 64, 262_144), held)


FIXED_SIZE_MESSAGES: dict[str, link.Message] = {
    "Heartbeat": link.Heartbeat(123456.789, 3_405_691_582, 8, 812),
    "MemberState": link.MemberState(
        link.Member(JOB_ID, 3, job.Cell(17, "worker-dc1-1089", (3,)), "running"),
        "worker-dc1-1089",
    ),
    "Reserved": link.Reserved(JOB_ID, 3, 123456.789),
    "ConfigRevision": link.ConfigRevision(104_729, REVISION_ROW, 123456.789, 0.25),
    "CapacityDigest": link.CapacityDigest("dc1", 812, 1_440, (20, 14, 9, 160), 350),
}
VARIABLE_SIZE_MESSAGES: dict[
    str, tuple[str, typing.Callable[[int], link.Message], tuple[int, ...]]
] = {
    "HeartbeatAck": ("renewed gangs", acknowledgement, (0, 8, 22, 64)),
    "Reserve": ("tasks on the worker", reserve, (1, 8, 22, 64)),
    "Start": ("tasks of the gang", start, (1, 64, 256, 1024)),
    "AnnounceWorker": ("members", announcement, (0, 8, 22, 64)),
}


def frame_bytes(message: link.Message) -> int:
    """Return the size of the frame of a message."""
    return len(codec.encode(message)) + FRAME_HEADER_BYTES


def fixed_rows() -> list[str]:
    """Return a table row for each message of fixed size."""
    rows = []
    for name, message in FIXED_SIZE_MESSAGES.items():
        data = codec.encode(message)
        encode_time = capacity_fit.microseconds(
            lambda message=message: codec.encode(message), TIMES
        )
        decode_time = capacity_fit.microseconds(lambda data=data: codec.decode(data), TIMES)
        rows.append(f"| {name} | {frame_bytes(message)} | {encode_time:.1f} | {decode_time:.1f} |")
    return rows


def series() -> list[capacity_fit.Series]:
    """Return sizes and costs of the messages of variable size."""
    found = []
    for name, (variable, build, sizes) in VARIABLE_SIZE_MESSAGES.items():
        made = [(size, build(size)) for size in sizes]
        points = {
            f"{name} frame": ("bytes", frame_bytes),
            f"{name} encode": ("µs", _encode_time),
            f"{name} decode": ("µs", _decode_time),
        }
        for label, (unit, measure) in points.items():
            costs = tuple((size, measure(message)) for size, message in made)
            found.append(capacity_fit.Series(label, variable, unit, costs))
    return found


def _encode_time(message: link.Message) -> float:
    return capacity_fit.microseconds(lambda: codec.encode(message), TIMES)


def _decode_time(message: link.Message) -> float:
    data = codec.encode(message)
    return capacity_fit.microseconds(lambda: codec.decode(data), TIMES)
