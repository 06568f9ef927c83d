"""Tests of the networks of soak runs, and of the check that a process handles a signal."""

import contextlib
import signal
import subprocess
import sys

import gevent
import orjson
import pytest

from jacinthcove.platform.names import ATTEMPT_ID, REPORT_PATH
from soak.history import Call, History
from soak.routers import RouterProcess
from soak.targets import SoakTarget
from soak.world import network_of
from testbed.processes import handles_signal
from tests.platform.wire_bed import read_response, request


def test_runs_of_one_seed_in_several_processes_use_different_networks():
    networks = {network_of(4, process) for process in range(1_000, 1_040)}
    assert len(networks) == 40


def test_runs_of_several_seeds_use_different_networks():
    assert len({network_of(seed, 1_000) for seed in range(100)}) == 100


def test_a_process_handles_a_signal_once_its_handler_is_installed():
    # Under nohup the process inherits SIGHUP as ignored, so it restores the default action first.
    restore = "import signal; signal.signal(1, signal.SIG_DFL); print(0, flush=True); input()"
    ignore = "signal.signal(1, signal.SIG_IGN); print(1, flush=True); input()"
    process = subprocess.Popen(
        [sys.executable, "-c", f"{restore}; {ignore}"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        assert process.stdout.readline() == b"0\n"
        assert not handles_signal(process.pid, signal.SIGHUP)
        process.stdin.write(b"go on\n")
        process.stdin.flush()
        assert process.stdout.readline() == b"1\n"
        assert handles_signal(process.pid, signal.SIGHUP)
    finally:
        process.kill()
        process.communicate()
    assert not handles_signal(process.pid, signal.SIGHUP)


SLEEP = "import time; print(0, flush=True); time.sleep(60)"
SLEEP_WITH_HANDLER = f"import os, signal; signal.signal(15, lambda *a: os._exit(7)); {SLEEP}"


@pytest.fixture
def terminate(tmp_path, monkeypatch):
    """Return a function that ends a router which runs `code`, and returns the history."""

    def terminate(code, answered=False):
        router = RouterProcess(0, "127.0.0.1", "a", "127.0.0.1:1", tmp_path, History())
        if answered:
            call = Call("c1", "/publish/1", "k", router.address, 0.0, ended_at=1e9, status=200)
            router.history.calls.append(call)

        def launch():
            router.launched_at = router.history.now()
            command = [sys.executable, "-c", code]
            router.process = subprocess.Popen(command, stdout=subprocess.PIPE)
            router.process.stdout.readline()
            router.closed = True

        monkeypatch.setattr(router, "_launch", launch)
        router.start()
        gevent.sleep(2)
        router.terminate()
        router.keeper.join(5)
        router.close()
        return router.history

    return terminate


def test_a_router_that_starts_slowly_may_end_by_the_signal_before_its_handler(terminate):
    assert not terminate(SLEEP).exit_codes


def test_a_router_that_has_answered_may_not_end_by_the_signal(terminate):
    assert list(terminate(SLEEP, answered=True).exit_codes.values()) == [-15]


def test_a_router_with_its_handler_may_not_end_with_an_error(terminate):
    assert list(terminate(SLEEP_WITH_HANDLER).exit_codes.values()) == [7]


@pytest.fixture
def target():
    target = SoakTarget("i-1", "ledger", "a", "v1", History(), 1)
    yield target
    target.close()


def connect(target):
    host, _, port = target.proxy.address.rpartition(":")
    sock = gevent.socket.create_connection((host, int(port)), timeout=1)
    sock.settimeout(1)
    return sock


def test_restarted_target_listens_at_its_address_with_a_later_start(target):
    address, before = target.proxy.address, target.born
    sock = connect(target)
    target.end()
    with pytest.raises(ConnectionRefusedError):
        connect(target)
    with contextlib.suppress(ConnectionResetError):
        assert not sock.recv(1)
    target.start_again()
    assert target.proxy.address == address
    sock = connect(target)
    sock.sendall(f"GET {REPORT_PATH} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    _, headers, report = read_response(sock)
    assert orjson.loads(report) == {"born": target.born}
    # It would be taken for the late answer to a request.
    assert ATTEMPT_ID.lower() not in headers
    # The connection goes on, and its request counts for the new start.
    sock.sendall(request("/publish/1"))
    assert read_response(sock)[0] == 200
    assert [arrival.born for arrival in target.history.arrivals] == [target.born]
    assert target.born > before
