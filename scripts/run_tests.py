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


def listed_failures():
    """Return the test ids listed in KNOWN-RED.txt, one per ``test:`` line."""
    if not KNOWN_RED.exists():
        return set()
    return set(re.findall(r"^test:\s*(\S+)", KNOWN_RED.read_text(), re.MULTILINE))


def main():
    """Run pytest and return the exit status."""
    command = [
        sys.executable,
        "-m",
        "pytest",
        "-n",
        WORKERS,
        "--dist",
        "loadgroup",
        "-rfE",
        *sys.argv[1:],
    ]
    run = subprocess.run(command, cwd=ROOT, text=True, capture_output=True, check=False)
    print(run.stdout + run.stderr)
    failed = set(re.findall(r"^(?:FAILED|ERROR) ([^\s@]+)", run.stdout, re.MULTILINE))
    listed = listed_failures()
    # A run that failed without naming a test, for instance after a worker process crashed, is a
    # failure.
    if run.returncode not in (0, 1) or (run.returncode == 1 and not failed):
        return run.returncode
    for name in sorted(failed & listed):
        print(f"known failure: {name}")
    for name in sorted(failed - listed):
        print(f"unexpected failure: {name}")
    for name in sorted(listed - failed):
        print(f"listed in KNOWN-RED.txt but passing: {name}")
    return 0 if failed == listed else 1


if __name__ == "__main__":
    sys.exit(main())
