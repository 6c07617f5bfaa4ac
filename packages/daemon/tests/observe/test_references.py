"""Tests of scripts/generate_references.py."""

import dataclasses
import importlib.util
import pathlib

import pydantic
import pytest

from peridothatch_daemon.observe import metric_texts, metrics

ROOT = pathlib.Path(__file__).resolve().parents[4]


@pytest.fixture(scope="module")
def generator():
    path = ROOT / "scripts" / "generate_references.py"
    spec = importlib.util.spec_from_file_location("generate_references", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_a_setting_without_a_description_is_reported(generator):
    """Guards against a settings page without the meaning of a field."""

    class Inner(pydantic.BaseModel):
        unnamed: int = 1

    class Outer(pydantic.BaseModel):
        inner: Inner = pydantic.Field(description="Has a text.")

    _page, problems = generator.settings_page((Outer,))
    assert problems == ["Inner.unnamed has no description"]


@pytest.mark.parametrize(
    ("path", "text", "problem"),
    [
        ("route/slots.py", 'holding.count(state, "unheard_of")', "slots: unheard_of has no text"),
        ("route/flight.py", 'count(state, "unheard_of")', "dispatch: unheard_of has no text"),
        ("intake/status.py", 'x = {"gauges": {"depth": 1}}', "http: depth has no text"),
        ("decide/jobs.py", 'x = {"counters": {"a": 1}}', "of a task without texts"),
        ("decide/jobs.py", 'x["counters"] = y', "of a task without texts"),
        ("route/slots.py", "holding.count(state, name)", "is not a constant"),
        (
            "daemon/src/peridothatch_daemon/observe/metrics.py",
            'meter.create_observable_gauge("peridothatch_threads", [])',
            "every process: peridothatch_threads has no text",
        ),
    ],
)
def test_a_metric_without_a_text_is_reported(generator, path, text, problem):
    """Guards against a counter or gauge that is missing from the metrics page."""
    found, problems = generator.exported({path: text})
    problems += generator.missing_texts(found, generator.TEXTS)
    assert [item for item in problems if problem in item]


def test_a_field_of_a_counters_class_without_a_text_is_reported(generator, monkeypatch):
    """Guards against a field of a counters class that is missing from the metrics page."""
    kind = dataclasses.make_dataclass("Counters", [("unheard_of", int, 0)])
    monkeypatch.setitem(generator.CLASSES, "planner", kind)
    found, _ = generator.exported({})
    assert "planner: unheard_of has no text" in generator.missing_texts(found, generator.TEXTS)


def test_the_check_fails_for_an_outdated_page(generator, monkeypatch, tmp_path):
    """Guards against a check that passes although a page differs from the code."""
    assert generator.main(["--check"]) == 0
    for name in ("settings.md", "metrics.md"):
        text = (generator.PAGES / name).read_text()
        (tmp_path / name).write_text(text + "An old line.\n")
    monkeypatch.setattr(generator, "PAGES", tmp_path)
    assert generator.main(["--check"]) == 1


def test_process_metrics_have_the_documented_names():
    """Guards against documented names that the exporter does not use."""
    running = metrics.start("entry-1")
    try:
        text = metrics.render(running, {"tasks": {}}).decode()
    finally:
        metrics.close(running)
    names = {line.split(" ")[2] for line in text.splitlines() if line.startswith("# TYPE")}
    assert names - {"target_info"} == set(metric_texts.PROCESS_TEXTS)
