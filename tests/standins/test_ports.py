"""Guards against two test runs that give the same port to their processes."""

import subprocess
import sys

from testbed import ports

RESERVE = "import sys; from testbed import ports; print(ports.reserve(int(sys.argv[1])))"


def reserved_elsewhere(port):
    command = [sys.executable, "-c", RESERVE, str(port)]
    return subprocess.run(command, capture_output=True, text=True, check=True).stdout.strip()


def test_a_port_that_is_given_out_cannot_be_reserved_by_another_process():
    port = int(ports.free_addresses(1)[0].rpartition(":")[2])
    assert reserved_elsewhere(port) == "False"


def test_no_port_is_given_out_twice():
    addresses = [ports.free_addresses(1)[0] for _ in range(50)] + ports.free_addresses(50)
    assert len(set(addresses)) == len(addresses)


def test_the_reservation_of_an_ended_process_lapses():
    port = int(ports.free_addresses(1)[0].rpartition(":")[2])
    ports.release(port)
    assert reserved_elsewhere(port) == "True"
    assert reserved_elsewhere(port) == "True"
