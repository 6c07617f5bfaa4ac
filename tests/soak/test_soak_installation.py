"""Failure: a soak fails because a port of its programs is taken, and does not say so."""

import pathlib
import socket
import subprocess
import sys

import pytest
import soak_checks
import soak_installation
import soak_plan


def test_a_reserved_port_is_left_to_the_program_that_listens_on_it():
    # Ports that were only tested were taken by a parallel soak before the program had bound them.
    reserved = soak_installation._reserve_ports(2)
    used, other = (found.getsockname() for found in reserved)
    for _ in range(2):
        with socket.create_server(used), socket.create_connection(used):
            pass
    with socket.socket() as parallel, pytest.raises(OSError, match="in use"):
        parallel.bind(other)
    for found in reserved:
        found.close()


def test_a_process_that_has_ended_is_reported_with_its_log(tmp_path):
    # The test waited 60 s for an agent whose metrics port was in use.
    plan = soak_plan.make(1)
    observations = soak_checks.Observations()
    soak = soak_installation.Soak(plan, observations, None, [], [], [], [], [], tmp_path)
    popen = subprocess.Popen([sys.executable, "-c", "raise SystemExit(3)"])
    popen.wait()
    (tmp_path / "side-3.log").write_text("Address already in use")
    path = pathlib.Path(tmp_path / "side-3.toml")
    soak.processes.append(soak_installation.Process("side-3", "agent", path, None, None, popen))
    with pytest.raises(AssertionError, match=r"side-3 ended with status 3: Address already"):
        soak_installation.check_running(soak)
