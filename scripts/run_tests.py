"""Run the test suite and compare its failures with KNOWN-RED.txt.

The run passes when the failing tests are exactly the listed ones: an unlisted failure fails
the run, and so does a listed test that passes.
"""

import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
WORKERS = "6"
NO_TESTS = 5
"""Exit status of pytest if no test was selected, for instance by a path on the command line."""


def listed_failures():
    """Return the test ids listed in KNOWN-RED.txt, one per ``test:`` line."""
    if not KNOWN_RED.exists():
        return set()
    return set(re.findall(r"^test:\s*(\S+)", KNOWN_RED.read_text(), re.MULTILINE))


def run_pytest(*options):
    """Run pytest and return the completed process, whose output has been printed."""
    command = [sys.executable, "-m", "pytest", "-rfE", *options, *sys.argv[1:]]
    run = subprocess.run(command, cwd=ROOT, text=True, capture_output=True, check=False)
    print(run.stdout + run.stderr)
    return run


def main():
    """Run pytest and return the exit status.

    The tests that measure whole processes run one at a time after all others.
    """
    runs = [
        run_pytest("-m", "not alone", "-n", WORKERS, "--dist", "loadgroup"),
        run_pytest("-m", "alone"),
    ]
    runs = [run for run in runs if run.returncode != NO_TESTS]
    if not runs:
        return NO_TESTS
    failed = set()
    for run in runs:
        names = set(re.findall(r"^(?:FAILED|ERROR) ([^\s@]+)", run.stdout, re.MULTILINE))
        # A run that failed without naming a test, for instance after a worker process crashed, is
        # a failure.
        if run.returncode not in (0, 1) or (run.returncode == 1 and not names):
            return run.returncode
        failed |= names
    listed = listed_failures()
    for name in sorted(failed & listed):
        print(f"known failure: {name}")
    for name in sorted(failed - listed):
        print(f"unexpected failure: {name}")
    for name in sorted(listed - failed):
        print(f"listed in KNOWN-RED.txt but passing: {name}")
    return 0 if failed == listed else 1


if __name__ == "__main__":
    sys.exit(main())
