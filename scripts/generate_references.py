"""Write docs/use/settings.md and docs/use/metrics.md from the code.

With ``--check`` nothing is written, and the exit status is not 0 when a page is out of date. A
setting, counter or gauge without a description is an error.
"""

from __future__ import annotations

import ast
import dataclasses
import pathlib
import sys
import types
import typing

import pydantic
import pydantic_core

from peridothatch_core.start import gang_state, member_state
from peridothatch_daemon import settings
from peridothatch_daemon.hosted import counters
from peridothatch_daemon.observe import metric_texts

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGES = ROOT / "docs" / "use"
SOURCES = (
    ROOT / "packages/core/src/peridothatch_core",
    ROOT / "packages/daemon/src/peridothatch_daemon",
)
METRICS_MODULE = "daemon/src/peridothatch_daemon/observe/metrics.py"
# Files that export counters and gauges in a state dump, with the task that owns the dump.
EXPORTERS = {
    "route/flight.py": "dispatch",
    "route/holding.py": "slots",
    "decide/members.py": "members",
    "decide/planner_state.py": "planner",
    "intake/status.py": "http",
    "hosted/passing.py": "peers",
    "hosted/grouping.py": "grouping",
    "hosted/commit_route.py": "commit_route",
    "hosted/connections.py": "connections",
    "hosted/reception.py": "reception",
    "hosted/scheduler.py": "scheduler",
    "hosted/supervisor.py": "supervisor",
}
# Modules whose function ``count`` increments a counter of the task.
COUNTER_MODULES = {"flight": "dispatch", "holding": "slots"}
CLASSES = {
    "planner": gang_state.Counters,
    "members": member_state.Counters,
    "peers": counters.Peers,
    "grouping": counters.Grouping,
    "commit_route": counters.CommitRoute,
    "connections": counters.Connections,
    "reception": counters.Reception,
    "scheduler": counters.Scheduler,
    "supervisor": counters.Supervisor,
}
EVERY_PROCESS = "every process"
TEXTS = {EVERY_PROCESS: metric_texts.PROCESS_TEXTS, **metric_texts.TASK_TEXTS}
LIMITS = {"ge": "at least", "gt": "more than", "le": "at most", "lt": "less than"}
LENGTHS = {"min_length": "at least", "max_length": "at most"}

Names = set[tuple[str, str, str]]


def exported(sources: dict[str, str]) -> tuple[Names, list[str]]:
    """Return (task, group, name) of each metric that the sources export, and the problems."""
    found: Names = {
        (task, "counters", field.name)
        for task, kind in CLASSES.items()
        for field in dataclasses.fields(kind)
    }
    problems: list[str] = []
    for path, text in sources.items():
        is_metrics_module = path.endswith(METRICS_MODULE)
        for node in ast.walk(ast.parse(text)):
            if is_metrics_module:
                _collect_instrument(node, found)
            elif isinstance(node, ast.Call):
                _collect_counter(path, node, found, problems)
            elif isinstance(node, ast.Dict):
                for key, value in zip(node.keys, node.values, strict=True):
                    _collect_dump(path, key, value, found, problems)
            elif isinstance(node, ast.Assign) and isinstance(node.targets[0], ast.Subscript):
                _collect_dump(path, node.targets[0].slice, node.value, found, problems)
    return found, problems


def _collect_instrument(node: ast.AST, found: Names) -> None:
    """Add an instrument of every process; other instruments have no constant name."""
    if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
        return
    kind = node.func.attr.removeprefix("create_observable_")
    if kind in ("counter", "gauge") and isinstance(node.args[0], ast.Constant):
        suffix = "_total" if kind == "counter" else ""
        found.add((EVERY_PROCESS, f"{kind}s", node.args[0].value + suffix))


def _collect_counter(path: str, call: ast.Call, found: Names, problems: list[str]) -> None:
    function = call.func
    if isinstance(function, ast.Attribute) and isinstance(function.value, ast.Name):
        module, name = function.value.id, function.attr
    elif isinstance(function, ast.Name):
        module, name = pathlib.PurePath(path).stem, function.id
    else:
        return
    if name != "count" or module not in COUNTER_MODULES:
        return
    counter = call.args[1]
    if isinstance(counter, ast.Constant):
        found.add((COUNTER_MODULES[module], "counters", counter.value))
    else:
        problems.append(f"{path}:{call.lineno}: the name of the counter is not a constant")


def _collect_dump(
    path: str, key: ast.expr | None, value: ast.expr, found: Names, problems: list[str]
) -> None:
    if not isinstance(key, ast.Constant) or key.value not in ("counters", "gauges"):
        return
    task = next((task for end, task in EXPORTERS.items() if path.endswith(end)), None)
    if task is None:
        problems.append(f"{path}:{key.lineno}: exports {key.value} of a task without texts")
    elif isinstance(value, ast.Dict):
        found |= {(task, key.value, item.value) for item in value.keys}


def missing_texts(found: Names, texts: dict[str, dict[str, metric_texts.Text]]) -> list[str]:
    """Return a problem for each metric without a text and each text without a metric."""
    known = {(task, name) for task, several in texts.items() for name in several}
    present = {(task, name) for task, _group, name in found}
    return [
        *(f"{task}: {name} has no text" for task, name in sorted(present - known)),
        *(f"{task}: the text of {name} has no metric" for task, name in sorted(known - present)),
    ]


def metrics_page(found: Names) -> str:
    """Return the page of all metrics."""
    lines = [
        "# Metrics",
        "",
        "Written by `scripts/generate_references.py`; change the texts in "
        "`packages/daemon/src/peridothatch_daemon/observe/metric_texts.py`.",
        "",
        "Entries serve `GET /metrics` to operators, agents on their `debug` address. Counters "
        "start at zero with the process. In names of planner metrics `DC` stands for the data "
        "centre, with `_` for `-`; they are exported by the entry that holds the planner "
        "lease and start at zero with each takeover. A counter of requests appears with its "
        "first event.",
        "",
        "## Every process",
        "",
        *_metric_rows(metric_texts.PROCESS_TEXTS),
    ]
    for task, texts in metric_texts.TASK_TEXTS.items():
        groups = {name: group for owner, group, name in found if owner == task}
        stem = "planner_DC" if task == "planner" else task
        named = {
            f"peridothatch_{stem}_{name}" + "_total" * (groups[name] == "counters"): text
            for name, text in texts.items()
        }
        lines += ["", f"## Task `{task}`", "", *_metric_rows(named)]
    return "\n".join(lines) + "\n"


def _metric_rows(texts: dict[str, metric_texts.Text]) -> list[str]:
    rows = [f"| `{name}` | {text.meaning} | {text.action} |" for name, text in texts.items()]
    return ["| metric | meaning | when it moves |", "|---|---|---|", *rows]


def settings_page(
    roots: tuple[type[pydantic.BaseModel], ...] = (settings.Entry, settings.Agent),
) -> tuple[str, list[str]]:
    """Return the page of all settings, and a problem for each field without a text."""
    lines = [
        "# Settings",
        "",
        "Written by `scripts/generate_references.py` from "
        "`packages/daemon/src/peridothatch_daemon/settings.py`.",
        "",
        "`peridothatchd entry --settings FILE` and `peridothatchd agent --settings FILE` read a "
        "YAML file; `peridothatchd check-settings FILE` checks it. Unknown and repeated keys are "
        "errors. A name has 1 to 63 lower-case letters, digits and hyphens and does not begin "
        "with a hyphen.",
    ]
    problems: list[str] = []
    waiting, seen = list(roots), set(roots)
    while waiting:
        model = waiting.pop(0)
        lines += ["", f"## {model.__name__}", "", (model.__doc__ or "").strip().split("\n")[0]]
        lines += ["", "| field | type | limits | default | meaning |", "|---|---|---|---|---|"]
        for name, field in model.model_fields.items():
            if not field.description:
                problems.append(f"{model.__name__}.{name} has no description")
            lines.append(_field_row(name, field))
            nested = [item for item in _models(field.annotation) if item not in seen]
            seen.update(nested)
            waiting += nested
    return "\n".join(lines) + "\n", problems


def _models(annotation: typing.Any) -> list[type[pydantic.BaseModel]]:
    if isinstance(annotation, type) and issubclass(annotation, pydantic.BaseModel):
        return [annotation]
    return [model for part in typing.get_args(annotation) for model in _models(part)]


def _field_row(name: str, field: pydantic.fields.FieldInfo) -> str:
    default = "required"
    if field.default is not pydantic_core.PydanticUndefined:
        shown = field.default
        if isinstance(shown, pydantic.BaseModel):
            shown = shown.model_dump()
        default = "none" if shown is None else f"`{shown}`"
    limits = "; ".join(_limits(field.metadata))
    kind = _type_name(field.annotation)
    return f"| `{name}` | {kind} | {limits} | {default} | {field.description or ''} |"


def _limits(metadata: list[typing.Any]) -> list[str]:
    limits: list[str] = []
    for item in metadata:
        for key, word in LIMITS.items():
            if getattr(item, key, None) is not None:
                limits.append(f"{word} {getattr(item, key)}")
        for key, word in LENGTHS.items():
            if getattr(item, key, None) is not None:
                limits.append(f"{word} {getattr(item, key)} items")
        if getattr(item, "pattern", None):
            limits.append("a name" if item.pattern == settings.NAME_PATTERN else item.pattern)
    return [item.replace("|", "\\|") for item in limits]


def _type_name(annotation: typing.Any) -> str:
    origin, parts = typing.get_origin(annotation), typing.get_args(annotation)
    if origin is typing.Annotated:
        limits = "; ".join(
            item for part in parts[1:] for item in _limits([part, *_nested_metadata(part)])
        )
        return _type_name(parts[0]) + (f" ({limits})" if limits else "")
    if origin is typing.Literal:
        return ", ".join(f"`{part}`" for part in parts)
    if origin is list:
        return f"list of {_type_name(parts[0])}"
    if origin in (typing.Union, types.UnionType):
        return " or ".join(_type_name(part) for part in parts if part is not type(None))
    if annotation is pydantic.IPvAnyAddress:
        return "IP number"
    names = {str: "text", int: "whole number", float: "number", pathlib.Path: "path"}
    if isinstance(annotation, type) and issubclass(annotation, pydantic.BaseModel):
        return f"[{annotation.__name__}](#{annotation.__name__.lower()})"
    return names.get(annotation, "URL" if annotation is pydantic.HttpUrl else str(annotation))


def _nested_metadata(part: typing.Any) -> list[typing.Any]:
    return list(getattr(part, "metadata", []))


def main(arguments: list[str]) -> int:
    """Write or check the pages and return the exit status."""
    sources = {
        path.relative_to(ROOT).as_posix(): path.read_text(encoding="utf-8")
        for folder in SOURCES
        for path in sorted(folder.rglob("*.py"))
    }
    found, problems = exported(sources)
    problems += missing_texts(found, TEXTS)
    settings_text, without_text = settings_page()
    problems += without_text
    if problems:
        print("\n".join(problems), file=sys.stderr)
        return 1
    for name, text in {"settings.md": settings_text, "metrics.md": metrics_page(found)}.items():
        page = PAGES / name
        if page.exists() and page.read_text(encoding="utf-8") == text:
            continue
        if "--check" in arguments:
            problems.append(f"{page} is not current; run make docs")
        else:
            page.write_text(text, encoding="utf-8")
            print(f"wrote {page}")
    if problems:
        print("\n".join(problems), file=sys.stderr)
    return int(bool(problems))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
