"""Specification: a worker forgets no end of a run that its agent has not read.

The model has one agent and its worker, which may start a new incarnation under the same id. Each
incarnation numbers its ends from 1 and has seen no fencing token. The agent learns of it by a
heartbeat, which may be late. It reads ends in a list, writes them to the store and then
acknowledges them by number in a list call. Without having read the end of a run, it would record
the run as lost, and the task would run again.

The worker refuses a call whose token is lower than the highest one that it has seen, in a start or
in a list call. Calls and lists may be lost, delayed or overtaken by others, so a call may be
carried out by a later incarnation. An acknowledgement applies to the ends that exist when the call
is carried out. A list call that waits for an end is carried out when it returns, although its
token is checked when it arrives.

A start that is carried out by a later incarnation than the one in the order is modelled, but the
invariant does not cover the end of its run: the token cannot fence an acknowledgement that was
sent with the same token. Restarts of the agent, unreadable ends and deadlines are not modelled.
"""

from __future__ import annotations

import typing

import minicheck

# Number of runs that the agent starts on each incarnation.
RUNS = (2, 1)
MAX_CALLS = 2

# Number of an end that an earlier incarnation listed.
EARLIER = 0

# Maps each guard to the invariant that must fail without it.
GUARDS = {
    "an end in flight is known by its run, not by its number": "no_end_forgotten_unread",
    "each incarnation has its own fencing token": "no_end_forgotten_unread",
    "a call that waits for an end acknowledges none": "no_end_forgotten_unread",
    "a list of another incarnation is not applied": "no_end_forgotten_unread",
}


class Run(typing.NamedTuple):
    """A run, and the incarnation that its order names."""

    incarnation: int
    number: int


class End(typing.NamedTuple):
    """An end that the agent has read; ``number`` may be ``EARLIER``."""

    number: int
    run: Run


class Start(typing.NamedTuple):
    """A call that starts a run."""

    token: int
    run: Run


class ListCall(typing.NamedTuple):
    """A call that acknowledges all ends up to ``through`` and lists the others."""

    token: int
    through: int
    waits: bool


class Listing(typing.NamedTuple):
    """The answer to a list call; the first of ``ends`` has the number ``first``."""

    incarnation: int
    first: int
    ends: tuple[Run, ...]


class Worker(typing.NamedTuple):
    """State of the worker's current incarnation.

    ``token`` is the highest token that it has seen. ``ends`` holds all ends in the order of their
    numbers, of which the first ``forgotten`` are forgotten. ``waiting`` is a list call that waits
    for an end.
    """

    incarnation: int = 0
    token: int = 0
    running: frozenset[Run] = frozenset()
    ends: tuple[Run, ...] = ()
    forgotten: int = 0
    waiting: ListCall | None = None


class Agent(typing.NamedTuple):
    """State of the agent.

    ``known`` is the incarnation of the worker that it knows. ``started`` counts the runs that were
    started for that incarnation, and ``read`` holds all runs whose ends were read. ``ends`` are
    not in the store yet, ``writing`` are the ends in flight, and ``recorded`` are the numbers of
    ends that are in the store.
    """

    known: int = 0
    token: int = 1
    started: int = 0
    read: frozenset[Run] = frozenset()
    ends: frozenset[End] = frozenset()
    writing: frozenset[End] = frozenset()
    recorded: frozenset[int] = frozenset()


class State(typing.NamedTuple):
    """State of the worker and the agent, the calls in flight and a list in flight."""

    worker: Worker = Worker()
    agent: Agent = Agent()
    calls: frozenset[Start | ListCall] = frozenset()
    listing: Listing | None = None


def protocol(removed: frozenset[str] = frozenset()) -> minicheck.Protocol:
    """Return the specification without the guards in ``removed``."""
    return minicheck.Protocol(
        name="acknowledged ends",
        candidate=False,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(_transitions(State(*state), removed)),
        invariants={
            "no_end_forgotten_unread": lambda state: (
                _forgotten_ends(state["worker"]) <= state["agent"].read
            )
        },
    )


def _forgotten_ends(worker: Worker) -> set[Run]:
    """Return the forgotten ends of runs that were started for the current incarnation."""
    forgotten = worker.ends[: worker.forgotten]
    return {run for run in forgotten if run.incarnation == worker.incarnation}


def _transitions(state: State, removed: frozenset[str]) -> typing.Iterator[tuple[str, State]]:
    yield from _worker(state)
    yield from _calls(state)
    yield from _listing(state, removed)
    yield from _heartbeat(state, removed)
    yield from _store(state, removed)
    yield from _agent(state, removed)


def _worker(state: State) -> typing.Iterator[tuple[str, State]]:
    worker = state.worker
    if worker.incarnation + 1 < len(RUNS):
        yield (
            "worker starts a new incarnation",
            state._replace(worker=Worker(incarnation=worker.incarnation + 1)),
        )
    for run in worker.running:
        ended = worker._replace(running=worker.running - {run}, ends=(*worker.ends, run))
        yield "run ends", state._replace(worker=ended)
    if worker.waiting is not None:
        yield "waiting call returns", _answer(state, worker.waiting)


def _calls(state: State) -> typing.Iterator[tuple[str, State]]:
    worker = state.worker
    for call in state.calls:
        taken = state._replace(calls=state.calls - {call})
        yield "call is lost or refused", taken
        if call.token < worker.token:
            continue
        seen = worker._replace(token=call.token)
        if isinstance(call, Start):
            started = seen._replace(running=seen.running | {call.run})
            yield "worker begins a run", taken._replace(worker=started)
        elif not call.waits:
            arrived = taken._replace(worker=seen)
            yield "worker answers a list call", _answer(arrived, call)
            yield (
                "worker answers a list call, the answer is lost",
                _answer(arrived, call, lost=True),
            )
        elif worker.waiting is None:
            waiting = seen._replace(waiting=call)
            yield "list call waits at the worker", taken._replace(worker=waiting)


def _answer(state: State, call: ListCall, *, lost: bool = False) -> State:
    """Carry out a list call; its answer replaces a list in flight, which is lost."""
    worker = state.worker
    forgotten = max(worker.forgotten, min(call.through, len(worker.ends)))
    waiting = None if call.waits else worker.waiting
    listing = Listing(worker.incarnation, forgotten + 1, worker.ends[forgotten:])
    return state._replace(
        worker=worker._replace(forgotten=forgotten, waiting=waiting),
        listing=state.listing if lost else listing,
    )


def _listing(state: State, removed: frozenset[str]) -> typing.Iterator[tuple[str, State]]:
    listing, agent = state.listing, state.agent
    if listing is None:
        return
    received = state._replace(listing=None)
    if (
        listing.incarnation != agent.known
        and "a list of another incarnation is not applied" not in removed
    ):
        yield "agent ignores the list of another incarnation", received
        return
    recorded = agent.recorded
    if listing.ends:
        # The worker has forgotten the ends before the first one of the list.
        recorded |= frozenset(range(1, listing.first))
    listed = enumerate(listing.ends, listing.first)
    ends = {End(number, run) for number, run in listed if run not in agent.read}
    applied = agent._replace(
        read=agent.read | frozenset(listing.ends),
        ends=agent.ends | ends,
        recorded=recorded,
    )
    yield "agent applies a list", received._replace(agent=applied)


def _heartbeat(state: State, removed: frozenset[str]) -> typing.Iterator[tuple[str, State]]:
    agent = state.agent
    for incarnation in range(agent.known + 1, state.worker.incarnation + 1):
        is_raised = "each incarnation has its own fencing token" not in removed
        learned = agent._replace(
            known=incarnation,
            token=agent.token + is_raised,
            started=0,
            ends=frozenset(End(EARLIER, end.run) for end in agent.ends),
            recorded=frozenset(),
        )
        yield "agent learns of a new incarnation", state._replace(agent=learned)


def _store(state: State, removed: frozenset[str]) -> typing.Iterator[tuple[str, State]]:
    agent = state.agent
    if not agent.writing:
        if agent.ends:
            yield "agent writes ends", state._replace(agent=agent._replace(writing=agent.ends))
        return
    yield "write of ends fails", state._replace(agent=agent._replace(writing=frozenset()))
    runs = {end.run for end in agent.writing}
    written = frozenset(end for end in agent.ends if end.run in runs)
    by_run = "an end in flight is known by its run, not by its number" not in removed
    numbers = frozenset(end.number for end in (written if by_run else agent.writing))
    answered = agent._replace(
        ends=agent.ends - written,
        writing=frozenset(),
        recorded=agent.recorded | (numbers - {EARLIER}),
    )
    yield "write of ends is answered", state._replace(agent=answered)


def _agent(state: State, removed: frozenset[str]) -> typing.Iterator[tuple[str, State]]:
    agent = state.agent
    if len(state.calls) == MAX_CALLS:
        return
    through = 0
    while through + 1 in agent.recorded:
        through += 1
    call = ListCall(agent.token, through, waits=False)
    yield "agent sends a list call", state._replace(calls=state.calls | {call})
    if "a call that waits for an end acknowledges none" not in removed:
        through = 0
    call = ListCall(agent.token, through, waits=True)
    yield "agent sends a list call that waits", state._replace(calls=state.calls | {call})
    if agent.started < RUNS[agent.known]:
        run = Run(agent.known, agent.started)
        yield (
            "agent starts a run",
            state._replace(
                agent=agent._replace(started=agent.started + 1),
                calls=state.calls | {Start(agent.token, run)},
            ),
        )
