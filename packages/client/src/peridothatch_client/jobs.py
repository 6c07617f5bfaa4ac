"""Commands to submit, list, show, wait for and cancel jobs."""

from __future__ import annotations

import enum
import time
import typing
import uuid

import typer

from peridothatch_client import exchange, formats, session

if typing.TYPE_CHECKING:
    from peridothatch_client import settings

# Retrying a submission is safe, because every attempt carries the same idempotency key.
SUBMIT_ATTEMPTS = 3
MAX_POLL_FAILURES = 5
RETRY_DELAY_SECONDS = 0.5
LONG_POLL_SECONDS = 30.0
FINAL_STATES = ("succeeded", "failed", "cancelled")
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"

commands = typer.Typer(help="Submit, monitor and cancel jobs.", no_args_is_help=True)


class Adjacency(enum.StrEnum):
    """The unit that the whole gang must fit in."""

    WORKER = "worker"
    RACK = "rack"
    DATA_CENTRE = "data_centre"


TasksOption = typing.Annotated[int, typer.Option(help="Number of tasks that run together.")]
AcceleratorsOption = typing.Annotated[
    int, typer.Option(help="Number of adjacent accelerators per task.")
]
CoresOption = typing.Annotated[int, typer.Option(help="CPU cores per task.")]
MemoryOption = typing.Annotated[int, typer.Option(help="Memory per task, in MB.")]
AdjacencyOption = typing.Annotated[
    Adjacency, typer.Option("--adjacency", help="Unit that the whole gang must fit in.")
]
JobIdArgument = typing.Annotated[str, typer.Argument(help="Id of the job.")]
CustomerOption = typing.Annotated[str, typer.Option(help="Name of the customer; for operators.")]


@commands.command()
def submit(
    context: typer.Context,
    command: typing.Annotated[list[str], typer.Argument(help="Command that each task runs.")],
    work_class: typing.Annotated[str, typer.Option("--class", help="Class of work.")],
    tasks: TasksOption = 1,
    accelerators: AcceleratorsOption = 1,
    cores: CoresOption = 1,
    memory_mb: MemoryOption = 256,
    adjacency: AdjacencyOption = Adjacency.DATA_CENTRE,
    customer: CustomerOption = "",
    checkpointable: typing.Annotated[
        bool, typer.Option(help="The job can write checkpoints.")
    ] = False,
    expected_seconds: typing.Annotated[
        float, typer.Option(help="Expected run time of the job, in seconds.")
    ] = 0.0,
    idempotency_key: typing.Annotated[
        str, typer.Option(help="A repeated key returns the first job; generated if absent.")
    ] = "",
    wait: typing.Annotated[bool, typer.Option("--wait", help="Wait until the job ends.")] = False,
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
    target = session.load_settings(context)
    response = _submit_with_retries(
        target,
        exchange.Ask("POST", "/v1/jobs", document=document, headers={IDEMPOTENCY_KEY_HEADER: key}),
    )
    if response.verdict == exchange.MAY_HAVE_RUN:
        session.print_status(f"To retry safely, use --idempotency-key {key}")
    session.require_success(response)
    accepted = exchange.decode_json(response)
    if not wait:
        _print_job(accepted, as_json=as_json)
        return
    session.print_status(f"Job {accepted['id']} was accepted.")
    _report_outcome(_wait_until_final(target, accepted["id"], None), as_json=as_json)


@commands.command("list")
def list_all(
    context: typer.Context,
    state: typing.Annotated[
        str, typer.Option(help="A job state, or open for all states that are not final.")
    ] = "",
    customer: CustomerOption = "",
    limit: typing.Annotated[int, typer.Option(help="Maximum number of jobs to list.")] = 100,
    as_json: session.JsonOption = False,
) -> None:
    """List jobs, newest first."""
    query = {"state": state, "customer": customer, "limit": str(limit)}
    request = exchange.Ask("GET", "/v1/jobs", {name: text for name, text in query.items() if text})
    response = session.send_request(context, request)
    if as_json:
        session.print_json(response)
        return
    session.print_table(
        ("job", "customer", "class", "state", "data centre", "gang", "submitted", "due"),
        [
            (
                item["id"],
                item["customer"],
                item["work_class"],
                formats.format_state(item),
                item["data_centre"],
                formats.format_gang(item["shape"]),
                formats.format_time(item["submitted_at"]),
                formats.format_time(item["due_at"]),
            )
            for item in response["jobs"]
        ],
    )
    if response["truncated"]:
        session.print_status("There are older jobs; increase --limit to list them.")
    formats.warn_if_stale(response)


@commands.command()
def show(context: typer.Context, job: JobIdArgument, as_json: session.JsonOption = False) -> None:
    """Show a job."""
    _print_job(session.send_request(context, exchange.Ask("GET", job_path(job))), as_json=as_json)


@commands.command()
def wait(
    context: typer.Context,
    job: JobIdArgument,
    timeout_seconds: typing.Annotated[
        float | None, typer.Option(help="Stop waiting after this time; the job continues.")
    ] = None,
    as_json: session.JsonOption = False,
) -> None:
    """Wait until a job ends; the exit code is 0 only when it succeeded."""
    _report_outcome(
        _wait_until_final(session.load_settings(context), job, timeout_seconds), as_json=as_json
    )


@commands.command()
def cancel(
    context: typer.Context, job: JobIdArgument, as_json: session.JsonOption = False
) -> None:
    """Cancel a job."""
    response = session.send_request(context, exchange.Ask("DELETE", job_path(job)))
    if as_json:
        session.print_json(response)
    else:
        session.print_text(
            f"Cancellation of job {job} was requested; its state is {response['state']}."
        )


def job_path(job: str) -> str:
    """Return the URL path of a job."""
    return f"/v1/jobs/{formats.quote_segment(job)}"


def _submit_with_retries(target: settings.Settings, request: exchange.Ask) -> exchange.Response:
    """Send a submission and retry it, with the same key, while its outcome is unknown."""
    response = exchange.send(target, request)
    for attempt in range(1, SUBMIT_ATTEMPTS):
        if response.verdict != exchange.MAY_HAVE_RUN:
            break
        time.sleep(RETRY_DELAY_SECONDS * attempt)
        retry = exchange.send(target, request)
        # A retry that was not run does not tell whether an earlier attempt ran.
        if retry.verdict != exchange.NOT_RUN:
            response = retry
    return response


def _wait_until_final(
    target: settings.Settings, job: str, timeout_seconds: float | None
) -> dict[str, typing.Any]:
    """Poll a job until its state is final; print each state change to standard error."""
    give_up_at = None if timeout_seconds is None else time.monotonic() + timeout_seconds
    last_state, failures = "", 0
    while True:
        remaining = LONG_POLL_SECONDS
        if give_up_at is not None:
            remaining = min(remaining, give_up_at - time.monotonic())
        if remaining <= 0:
            reason = f"job {job} has not ended within {timeout_seconds:g} s; it is {last_state}"
            session.exit_with_error(reason, exchange.ExitCode.FAILED)
        with session.show_progress(f"Job {job} is {last_state or 'being looked up'}"):
            response = exchange.send(target, _poll_request(job, last_state, remaining))
        if not exchange.succeeded(response):
            failures += 1
            _check_poll(response, failures)
            time.sleep(min(RETRY_DELAY_SECONDS * failures, max(0.0, remaining)))
            continue
        failures = 0
        job_document = exchange.decode_json(response)
        if job_document["state"] != last_state:
            last_state = job_document["state"]
            session.print_status(f"Job {job} is {last_state}.")
        if last_state in FINAL_STATES:
            return job_document


def _poll_request(job: str, last_state: str, seconds: float) -> exchange.Ask:
    if not last_state:
        return exchange.Ask("GET", job_path(job))
    query = {"wait_seconds": f"{seconds:.3f}", "known_state": last_state}
    return exchange.Ask("GET", job_path(job), query, extra_timeout_seconds=seconds)


def _check_poll(response: exchange.Response, failures: int) -> None:
    """Exit unless the error is temporary and fewer than the maximum have occurred in a row."""
    if response.status not in (0, 429, 502, 503, 504) or failures >= MAX_POLL_FAILURES:
        session.require_success(response)


def _report_outcome(job_document: dict[str, typing.Any], *, as_json: bool) -> None:
    _print_job(job_document, as_json=as_json)
    if job_document["state"] != "succeeded":
        raise typer.Exit(int(exchange.ExitCode.FAILED))


def _print_job(item: dict[str, typing.Any], *, as_json: bool) -> None:
    if as_json:
        session.print_json(item)
        return
    session.print_table(("field", "value"), formats.job_fields(item))
    formats.warn_if_stale(item)
