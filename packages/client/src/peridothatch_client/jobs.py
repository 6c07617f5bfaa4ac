"""Commands for jobs."""

from __future__ import annotations

import enum
import time
import typing
import uuid

import typer

from peridothatch_client import exchange, formats, session

if typing.TYPE_CHECKING:
    from peridothatch_client import settings

# A job submission carries a key, so that it can be sent again without harm.
SUBMIT_ATTEMPTS = 3
WAIT_FAILURES = 5
RETRY_SECONDS = 0.5
POLL_SECONDS = 30.0
FINAL_STATES = ("succeeded", "failed", "cancelled")
KEY_HEADER = "Idempotency-Key"

commands = typer.Typer(help="Submit, watch and cancel jobs.", no_args_is_help=True)


class Adjacency(enum.StrEnum):
    """What must hold the whole gang."""

    WORKER = "worker"
    RACK = "rack"
    DATA_CENTRE = "data_centre"


Tasks = typing.Annotated[int, typer.Option(help="Tasks that run together.")]
Accelerators = typing.Annotated[int, typer.Option(help="Adjacent accelerators of each task.")]
Cores = typing.Annotated[int, typer.Option(help="Cores of each task.")]
MemoryMb = typing.Annotated[int, typer.Option(help="Memory of each task, in MB.")]
Within = typing.Annotated[
    Adjacency, typer.Option("--adjacency", help="What must hold the whole gang.")
]
JobId = typing.Annotated[str, typer.Argument(help="Id of the job.")]
Customer = typing.Annotated[str, typer.Option(help="The customer; for operators.")]


@commands.command()
def submit(
    context: typer.Context,
    command: typing.Annotated[list[str], typer.Argument(help="What each task runs.")],
    work_class: typing.Annotated[str, typer.Option("--class", help="Class of work.")],
    tasks: Tasks = 1,
    accelerators: Accelerators = 1,
    cores: Cores = 1,
    memory_mb: MemoryMb = 256,
    adjacency: Within = Adjacency.DATA_CENTRE,
    customer: Customer = "",
    checkpointable: typing.Annotated[
        bool, typer.Option(help="The job can write checkpoints.")
    ] = False,
    expected_seconds: typing.Annotated[
        float, typer.Option(help="How long the job is expected to run.")
    ] = 0.0,
    idempotency_key: typing.Annotated[
        str, typer.Option(help="Returns the first job when repeated; made up if absent.")
    ] = "",
    wait: typing.Annotated[bool, typer.Option("--wait", help="Wait until it ends.")] = False,
    as_json: session.JsonOption = False,
) -> None:
    """Submit a job."""
    document = {
        "customer": customer,
        "work_class": work_class,
        "shape": formats.shape_document(tasks, accelerators, cores, memory_mb, adjacency.value),
        "command": command,
        "checkpointable": checkpointable,
        "expected_seconds": expected_seconds,
    }
    key = idempotency_key or uuid.uuid4().hex
    target = session.connect(context)
    reply = _submit(
        target,
        exchange.Ask("POST", "/v1/jobs", document=document, headers={KEY_HEADER: key}),
    )
    if reply.verdict == exchange.MAY_HAVE_RUN:
        session.note(f"To ask again without harm, use --idempotency-key {key}")
    session.check(reply)
    accepted = exchange.document(reply)
    if not wait:
        _show(accepted, as_json=as_json)
        return
    session.note(f"Job {accepted['id']} was accepted.")
    _finish(_wait(target, accepted["id"], None), as_json=as_json)


@commands.command("list")
def list_all(
    context: typer.Context,
    state: typing.Annotated[
        str, typer.Option(help="A state, or open for all that are not final.")
    ] = "",
    customer: Customer = "",
    limit: typing.Annotated[int, typer.Option(help="Most jobs to list.")] = 100,
    as_json: session.JsonOption = False,
) -> None:
    """List jobs, newest first."""
    query = {"state": state, "customer": customer, "limit": str(limit)}
    asked = exchange.Ask("GET", "/v1/jobs", {name: text for name, text in query.items() if text})
    answer = session.ask(context, asked)
    if as_json:
        session.show_json(answer)
        return
    session.show_table(
        ("job", "customer", "class", "state", "data centre", "gang", "submitted", "due"),
        [
            (
                item["id"],
                item["customer"],
                item["work_class"],
                formats.state(item),
                item["data_centre"],
                formats.gang(item["shape"]),
                formats.moment(item["submitted_at"]),
                formats.moment(item["due_at"]),
            )
            for item in answer["jobs"]
        ],
    )
    if answer["truncated"]:
        session.note("There are more, older jobs; use --limit to list them.")
    formats.note_age(answer)


@commands.command()
def show(context: typer.Context, job: JobId, as_json: session.JsonOption = False) -> None:
    """Show a job."""
    _show(session.ask(context, exchange.Ask("GET", path(job))), as_json=as_json)


@commands.command()
def wait(
    context: typer.Context,
    job: JobId,
    timeout_seconds: typing.Annotated[
        float | None, typer.Option(help="Give up after this time; the job goes on.")
    ] = None,
    as_json: session.JsonOption = False,
) -> None:
    """Wait until a job ends; the exit code is 0 only when it succeeded."""
    _finish(_wait(session.connect(context), job, timeout_seconds), as_json=as_json)


@commands.command()
def cancel(context: typer.Context, job: JobId, as_json: session.JsonOption = False) -> None:
    """Cancel a job."""
    answer = session.ask(context, exchange.Ask("DELETE", path(job)))
    if as_json:
        session.show_json(answer)
    else:
        session.show_text(f"Job {job} is to be cancelled; it is {answer['state']} now.")


def path(job: str) -> str:
    """Return the path of a job."""
    return f"/v1/jobs/{formats.segment(job)}"


def _submit(target: settings.Settings, ask: exchange.Ask) -> exchange.Reply:
    """Send a submission again, under its key, while no answer comes."""
    reply = exchange.send(target, ask)
    for attempt in range(1, SUBMIT_ATTEMPTS):
        if reply.verdict != exchange.MAY_HAVE_RUN:
            break
        time.sleep(RETRY_SECONDS * attempt)
        again = exchange.send(target, ask)
        # A later attempt that was not run says nothing about the first one.
        if again.verdict != exchange.NOT_RUN:
            reply = again
    return reply


def _wait(
    target: settings.Settings, job: str, timeout_seconds: float | None
) -> dict[str, typing.Any]:
    """Return the job once it is final; tell of each change on standard error."""
    give_up_at = None if timeout_seconds is None else time.monotonic() + timeout_seconds
    known, failures = "", 0
    while True:
        left = POLL_SECONDS
        if give_up_at is not None:
            left = min(left, give_up_at - time.monotonic())
        if left <= 0:
            reason = f"job {job} has not ended within {timeout_seconds:g} s; it is {known}"
            session.fail(reason, exchange.Exit.FAILED)
        with session.progress(f"Job {job} is {known or 'being looked up'}"):
            reply = exchange.send(target, _poll(job, known, left))
        if not exchange.done(reply):
            failures += 1
            _check_wait(reply, failures)
            time.sleep(min(RETRY_SECONDS * failures, max(0.0, left)))
            continue
        failures = 0
        found = exchange.document(reply)
        if found["state"] != known:
            known = found["state"]
            session.note(f"Job {job} is {known}.")
        if known in FINAL_STATES:
            return found


def _poll(job: str, known: str, seconds: float) -> exchange.Ask:
    if not known:
        return exchange.Ask("GET", path(job))
    query = {"wait_seconds": f"{seconds:.3f}", "known_state": known}
    return exchange.Ask("GET", path(job), query, wait_seconds=seconds)


def _check_wait(reply: exchange.Reply, failures: int) -> None:
    """End unless the entry may serve the next attempt."""
    if reply.status not in (0, 429, 502, 503, 504) or failures >= WAIT_FAILURES:
        session.check(reply)


def _finish(found: dict[str, typing.Any], *, as_json: bool) -> None:
    _show(found, as_json=as_json)
    if found["state"] != "succeeded":
        raise typer.Exit(int(exchange.Exit.FAILED))


def _show(item: dict[str, typing.Any], *, as_json: bool) -> None:
    if as_json:
        session.show_json(item)
        return
    session.show_table(("field", "value"), formats.job_lines(item))
    formats.note_age(item)
