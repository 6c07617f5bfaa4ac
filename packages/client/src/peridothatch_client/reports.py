"""Commands that explain, report and send single requests."""

from __future__ import annotations

import base64
import json
import pathlib
import sys
import typing

import typer

from peridothatch_client import exchange, formats, jobs, session

DEFAULT_DEADLINE_MS = 30_000


def explain(context: typer.Context, job: jobs.JobId, as_json: session.JsonOption = False) -> None:
    """Say why a job waits, where it runs and what was promised."""
    answer = session.ask(context, exchange.Ask("GET", f"{jobs.path(job)}/explain"))
    if as_json:
        session.show_json(answer)
        return
    for sentence in answer["sentences"]:
        session.show_text(sentence)


def request(
    context: typer.Context,
    service: typing.Annotated[str, typer.Argument(help="Name of the service.")],
    body: typing.Annotated[str, typer.Option(help="The body; see also --body-file.")] = "",
    body_file: typing.Annotated[
        str, typer.Option(help="File with the body; - reads standard input.")
    ] = "",
    content_type: typing.Annotated[str, typer.Option()] = "application/json",
    deadline_ms: typing.Annotated[
        int, typer.Option(help="Time left for the answer.", min=1)
    ] = DEFAULT_DEADLINE_MS,
    idempotent: typing.Annotated[
        bool, typer.Option("--idempotent", help="Running it twice does no harm.")
    ] = False,
    idempotency_key: typing.Annotated[str, typer.Option(help="Makes asking again safe.")] = "",
    customer: jobs.Customer = "",
    as_json: session.JsonOption = False,
) -> None:
    """Send a request to a backend server and print its answer."""
    headers = {
        "Content-Type": content_type,
        "Peridothatch-Deadline-Ms": str(deadline_ms),
        "Peridothatch-Idempotent": "true" if idempotent else "false",
        jobs.KEY_HEADER: idempotency_key,
        "Peridothatch-Customer": customer,
    }
    reply = exchange.send(
        session.connect(context),
        exchange.Ask(
            "POST",
            f"/v1/services/{formats.segment(service)}/requests",
            body=_body(body, body_file),
            headers={name: value for name, value in headers.items() if value},
            wait_seconds=deadline_ms / 1000,
        ),
    )
    if as_json:
        session.show_json(_reply_document(reply))
    elif reply.verdict == exchange.RAN and reply.status:
        sys.stdout.buffer.write(reply.body)
        sys.stdout.buffer.flush()
    session.check(reply)


def changes(
    context: typer.Context,
    limit: typing.Annotated[int, typer.Option(help="Most changes to list.")] = 100,
    as_json: session.JsonOption = False,
) -> None:
    """List accepted changes, newest first."""
    answer = session.ask(context, exchange.Ask("GET", "/v1/changes", {"limit": str(limit)}))
    if as_json:
        session.show_json(answer)
        return
    session.show_table(
        ("revision", "when", "who", "what", "name", "value"),
        [
            (
                item["revision"],
                formats.moment(item["changed_at"]),
                item["changed_by"],
                item["kind"].replace("_", " "),
                item["name"],
                "deleted" if item["deleted"] else _value(item["value"]),
            )
            for item in answer["changes"]
        ],
    )


def promises(
    context: typer.Context,
    customer: jobs.Customer = "",
    as_json: session.JsonOption = False,
) -> None:
    """Show what was promised, by whom, since when, and how it is being kept."""
    query = {"customer": customer} if customer else {}
    answer = session.ask(context, exchange.Ask("GET", "/v1/promises", query))
    if as_json:
        session.show_json(answer)
        return
    session.show_table(
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
                formats.moment(item["promised_at"]),
                item["kept"],
                item["missed"],
                item["overdue"],
                item["open"],
                formats.share(item["kept_share"]),
            )
            for item in answer["classes"]
        ],
    )
    session.show_table(
        ("customer", "guarantee", "gang", "count", "data centre", "by", "since", "state"),
        [
            (
                item["customer"],
                item["name"],
                formats.gang(item["shape"]),
                item["count"],
                formats.home(item),
                item["promised_by"],
                formats.moment(item["promised_at"]),
                item["state"],
            )
            for item in answer["guarantees"]
        ],
    )
    formats.note_age(answer)


def state(
    context: typer.Context,
    address: typing.Annotated[str, typer.Argument(help="Address of the entry.")],
    as_json: session.JsonOption = False,
) -> None:
    """Show the state of one entry."""
    answer = session.ask(context, exchange.Ask("GET", "/debug/state"), address)
    if as_json:
        session.show_json(answer)
        return
    for part in sorted(answer):
        fields = answer[part] if isinstance(answer[part], dict) else {"": answer[part]}
        session.show_table(
            (part, "value"), [(name, _value(fields[name])) for name in sorted(fields)]
        )


def add_to(app: typer.Typer) -> None:
    """Add the commands of this module to the program."""
    for command in (explain, request, changes, promises, state):
        app.command()(command)


def _body(text: str, file: str) -> bytes:
    if text and file:
        session.fail("--body and --body-file exclude each other", exchange.Exit.USAGE)
    if file == "-":
        return sys.stdin.buffer.read()
    if not file:
        return text.encode()
    try:
        return pathlib.Path(file).read_bytes()
    except OSError as error:
        reason = f"{file}: cannot be read: {type(error).__name__}"
        session.fail(reason, exchange.Exit.USAGE)


def _reply_document(reply: exchange.Reply) -> dict[str, typing.Any]:
    """Return an answer for scripts; a body that is not text is in base64."""
    try:
        text, encoding = reply.body.decode(), "utf-8"
    except UnicodeDecodeError:
        text, encoding = base64.b64encode(reply.body).decode(), "base64"
    return {
        "status": reply.status,
        "verdict": reply.verdict,
        "request_id": reply.headers.get("Peridothatch-Request-Id", ""),
        "body": text,
        "body_encoding": encoding,
        "detail": reply.detail,
    }


def _value(value: typing.Any) -> str:
    return value if isinstance(value, str) else json.dumps(value, sort_keys=True)
