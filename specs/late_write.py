"""Specification: the end of a run is kept until the job's row accounts for the run.

The model has one job with one task, whose row only the leader writes. A write of the leader may
have no answer and be applied later, if the row still has the version that it requires. After a
write without an answer or a conflict, the leader reads all rows. A feed delivers the changes of
the store in order. The leader deletes an end when it has closed the run in the job's row, or when
it knows of no such run.
"""

from __future__ import annotations

import typing

import minicheck

MAX_VERSION = 4

JOB = "job"
END = "end"

# Maps each guard to the invariant that must fail without it.
GUARDS = {
    "a newer row of a known job is read again": "end_is_kept",
    "a write requires the known version of the job's row": "end_is_kept",
    "a feed delivers changes in order": "end_is_kept",
}


class State(typing.NamedTuple):
    """State of the store, the messages in flight, the leader and the worker.

    ``version``, ``run`` and ``done`` are the job's row in the store, ``end`` is the row of the
    run's end. ``late`` is the version required by an order that has had no answer, or -1.
    ``feed`` holds the changes that the leader has not received; a change of the job's row has the
    version. ``known``, ``known_run`` and ``known_end`` are the leader's copies, and ``loading``
    means that it is about to read all rows. ``executed`` means that the task has run.
    """

    version: int = 0
    run: int = 0
    done: int = 0
    end: int = 0
    late: int = -1
    feed: tuple[tuple[str, int], ...] = ()
    known: int = 0
    known_run: int = 0
    known_end: int = 0
    loading: int = 0
    executed: int = 0


def protocol(removed: frozenset[str] = frozenset()) -> minicheck.Protocol:
    """Return the specification without the guards in ``removed``."""
    return minicheck.Protocol(
        name="late write",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(_transitions(State(*state), removed)),
        invariants={
            "end_is_kept": lambda state: (
                not (state["run"] and state["executed"] and not state["end"])
            ),
        },
    )


def _transitions(state: State, removed: frozenset[str]) -> typing.Iterator[tuple[str, State]]:
    yield from _store(state, removed)
    yield from _worker(state)
    yield from _feed(state, removed)
    yield from _leader(state)


def _open_run(state: State) -> State:
    version = state.version + 1
    return state._replace(version=version, run=1, feed=(*state.feed, (JOB, version)))


def _store(state: State, removed: frozenset[str]) -> typing.Iterator[tuple[str, State]]:
    if state.late < 0:
        return
    yield "late order is lost", state._replace(late=-1)
    unconditional = "a write requires the known version of the job's row" in removed
    if state.late == state.version or unconditional:
        yield "late order is applied", _open_run(state._replace(late=-1))


def _worker(state: State) -> typing.Iterator[tuple[str, State]]:
    if state.run and not state.executed:
        yield (
            "run ends and its end is recorded",
            state._replace(executed=1, end=1, feed=(*state.feed, (END, 0))),
        )


def _feed(state: State, removed: frozenset[str]) -> typing.Iterator[tuple[str, State]]:
    in_order = "a feed delivers changes in order" not in removed
    for place in range(min(1, len(state.feed)) if in_order else len(state.feed)):
        kind, version = state.feed[place]
        received = state._replace(feed=state.feed[:place] + state.feed[place + 1 :])
        if kind == END:
            yield "leader receives the end", received._replace(known_end=state.end)
        elif version > state.known and "a newer row of a known job is read again" not in removed:
            yield "leader receives a newer job row", received._replace(loading=1)
        else:
            yield "leader ignores a job row", received


def _leader(state: State) -> typing.Iterator[tuple[str, State]]:
    if state.loading:
        yield (
            "leader reads all rows",
            state._replace(
                loading=0, known=state.version, known_run=state.run, known_end=state.end
            ),
        )
        return
    if state.version == MAX_VERSION:
        return
    if state.known_end:
        yield from _process_end(state)
    elif not state.known_run and not state.done:
        yield from _order(state)


def _order(state: State) -> typing.Iterator[tuple[str, State]]:
    if state.late < 0:
        yield "leader orders a run, no answer", state._replace(late=state.known, loading=1)
    if state.known != state.version:
        yield "leader orders a run, conflict", state._replace(loading=1)
        return
    ordered = _open_run(state)
    yield "leader orders a run", ordered._replace(known=ordered.version, known_run=1)
    yield "leader orders a run, answer lost", ordered._replace(loading=1)


def _process_end(state: State) -> typing.Iterator[tuple[str, State]]:
    if not state.known_run:
        yield "leader deletes an unmatched end", state._replace(known_end=0, end=0)
    elif state.known != state.version:
        yield "leader closes the run, conflict", state._replace(loading=1)
    else:
        version = state.version + 1
        yield (
            "leader closes the run",
            state._replace(
                version=version,
                known=version,
                run=0,
                known_run=0,
                done=1,
                end=0,
                known_end=0,
                feed=(*state.feed, (JOB, version)),
            ),
        )
