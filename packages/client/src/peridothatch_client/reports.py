"""Commands that report state and history, and that send a request to a service."""

from __future__ import annotations

import base64
import json
import pathlib
import sys
import typing

import typer

from peridothatch_client import exchange, formats, jobs, session

DEFAULT_DEADLINE_MS = 30_000


def explain(
    context: typer.Context, job: jobs.JobIdArgument, as_json: session.JsonOption = False
) -> None:
    """Explain why a job waits, where it runs and what was promised."""
    response = session.send_request(context, exchange.Ask("GET", f"{jobs.job_path(job)}/explain"))
    if as_json:
        session.print_json(response)
        return
    for sentence in response["sentences"]:
        session.print_text(sentence)


def request(
    context: typer.Context,
    service: typing.Annotated[str, typer.Argument(help="Name of the service.")],
    body: typing.Annotated[str, typer.Option(help="Request body; see also --body-file.")] = "",
    body_file: typing.Annotated[
        str, typer.Option(help="File with the request body; - reads standard input.")
    ] = "",
    content_type: typing.Annotated[str, typer.Option()] = "application/json",
    deadline_ms: typing.Annotated[
        int, typer.Option(help="Deadline for the response, in milliseconds.", min=1)
    ] = DEFAULT_DEADLINE_MS,
    idempotent: typing.Annotated[
        bool, typer.Option("--idempotent", help="The request can safely be run twice.")
    ] = False,
    idempotency_key: typing.Annotated[
        str, typer.Option(help="Key that makes it safe to retry the request.")
    ] = "",
    customer: jobs.CustomerOption = "",
    as_json: session.JsonOption = False,
) -> None:
    """Send a request to a backend server and print the response."""
    headers = {
        "Content-Type": content_type,
        "Peridothatch-Deadline-Ms": str(deadline_ms),
        "Peridothatch-Idempotent": "true" if idempotent else "false",
        jobs.IDEMPOTENCY_KEY_HEADER: idempotency_key,
        "Peridothatch-Customer": customer,
    }
    response = exchange.send(
        session.load_settings(context),
        exchange.Ask(
            "POST",
            f"/v1/services/{formats.quote_segment(service)}/requests",
            body=_read_body(body, body_file),
            headers={name: value for name, value in headers.items() if value},
            extra_timeout_seconds=deadline_ms / 1000,
        ),
    )
    if as_json:
        session.print_json(_response_document(response))
    elif response.verdict == exchange.RAN and response.status:
        sys.stdout.buffer.write(response.body)
        sys.stdout.buffer.flush()
    session.require_success(response)


def changes(
    context: typer.Context,
    limit: typing.Annotated[int, typer.Option(help="Maximum number of changes to list.")] = 100,
    as_json: session.JsonOption = False,
) -> None:
    """List accepted configuration changes, newest first."""
    response = session.send_request(
        context, exchange.Ask("GET", "/v1/changes", {"limit": str(limit)})
    )
    if as_json:
        session.print_json(response)
        return
    session.print_table(
        ("revision", "when", "who", "what", "name", "value"),
        [
            (
                item["revision"],
                formats.format_time(item["changed_at"]),
                item["changed_by"],
                item["kind"].replace("_", " "),
                item["name"],
                "deleted" if item["deleted"] else _format_value(item["value"]),
            )
            for item in response["changes"]
        ],
    )


def promises(
    context: typer.Context,
    customer: jobs.CustomerOption = "",
    as_json: session.JsonOption = False,
) -> None:
    """Show what was promised, by whom and since when, and how well it is kept."""
    query = {"customer": customer} if customer else {}
    response = session.send_request(context, exchange.Ask("GET", "/v1/promises", query))
    if as_json:
        session.print_json(response)
        return
    session.print_table(
        (
            "customer",
            "class",
            "target",
            "by",
            "since",
            "kept",
            "missed",
            "overdue",
            "open",
            "share",
        ),
        [
            (
                item["customer"],
                item["work_class"],
                item["target"] or "class deleted",
                item["promised_by"],
                formats.format_time(item["promised_at"]),
                item["kept"],
                item["missed"],
                item["overdue"],
                item["open"],
                formats.format_share(item["kept_share"]),
            )
            for item in response["classes"]
        ],
    )
    session.print_table(
        ("customer", "guarantee", "gang", "count", "data centre", "by", "since", "state"),
        [
            (
                item["customer"],
                item["name"],
                formats.format_gang(item["shape"]),
                item["count"],
                formats.format_location(item),
                item["promised_by"],
                formats.format_time(item["promised_at"]),
                item["state"],
            )
            for item in response["guarantees"]
        ],
    )
    formats.warn_if_stale(response)


def state(
    context: typer.Context,
    address: typing.Annotated[str, typer.Argument(help="Address of the entry.")],
    as_json: session.JsonOption = False,
) -> None:
    """Show the state of one entry."""
    response = session.send_request(context, exchange.Ask("GET", "/debug/state"), address)
    if as_json:
        session.print_json(response)
        return
    for part in sorted(response):
        fields = response[part] if isinstance(response[part], dict) else {"": response[part]}
        session.print_table(
            (part, "value"), [(name, _format_value(fields[name])) for name in sorted(fields)]
        )


def register_commands(app: typer.Typer) -> None:
    """Register the commands of this module with the program."""
    for command in (explain, request, changes, promises, state):
        app.command()(command)


def _read_body(text: str, file: str) -> bytes:
    if text and file:
        session.exit_with_error(
            "--body and --body-file are mutually exclusive", exchange.ExitCode.USAGE
        )
    if file == "-":
        return sys.stdin.buffer.read()
    if not file:
        return text.encode()
    try:
        return pathlib.Path(file).read_bytes()
    except OSError as error:
        reason = f"{file}: cannot read the file: {type(error).__name__}"
        session.exit_with_error(reason, exchange.ExitCode.USAGE)


def _response_document(response: exchange.Response) -> dict[str, typing.Any]:
    """Build the ``--json`` document; a body that is not valid UTF-8 is encoded in base64."""
    try:
        text, encoding = response.body.decode(), "utf-8"
    except UnicodeDecodeError:
        text, encoding = base64.b64encode(response.body).decode(), "base64"
    return {
        "status": response.status,
        "verdict": response.verdict,
        "request_id": response.headers.get("Peridothatch-Request-Id", ""),
        "body": text,
        "body_encoding": encoding,
        "detail": response.detail,
    }


def _format_value(value: typing.Any) -> str:
    return value if isinstance(value, str) else json.dumps(value, sort_keys=True)
