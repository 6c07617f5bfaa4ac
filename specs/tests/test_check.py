"""The invariants hold in every reachable state, and each fails when its guard is removed.

The second part detects a model check that cannot fail.
"""

import importlib.util
import pathlib
import sys

import pytest

PATH = pathlib.Path(__file__).parent.parent / "check.py"
SPEC = importlib.util.spec_from_file_location("specs_check", PATH)
check = importlib.util.module_from_spec(SPEC)
sys.modules["specs_check"] = check
SPEC.loader.exec_module(check)

MUTATIONS = [
    (name, guard, invariant)
    for name, module in check.SPECIFICATIONS.items()
    for guard, invariant in module.GUARDS.items()
]


@pytest.mark.parametrize("name", check.SPECIFICATIONS)
def test_every_reachable_state_keeps_the_invariants(name):
    report = check.check(name)
    assert report.exhaustive
    assert report.traces == {}


@pytest.mark.parametrize(("name", "guard", "invariant"), MUTATIONS)
def test_the_invariant_fails_without_its_guard(name, guard, invariant):
    assert invariant in check.check(name, guard).traces
