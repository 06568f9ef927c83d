"""The memory of a router process while hostile clients send to it, and the cost of a request.

For 160 and 300 MB, prints the most memory (with the unread bytes of its sockets) by the number of
clients, for large and small chunks, with and without a valid key. Each client sends a body up to
just before its end and stays open. `--cost` prints the processor time of ordinary requests.
"""

import argparse
import itertools
import sys
import tempfile
import time
from pathlib import Path

from testbed.processes import cpu_seconds

TESTS = Path(__file__).resolve().parent.parent / "tests"
# The stand-ins of the store and of targets belong to the tests.
sys.path[:0] = [str(TESTS / "ingress"), str(TESTS / "platform")]

import crowd as crowds  # noqa: E402
from router_process import RouterProcess  # noqa: E402
from store_standin import StoreStandin  # noqa: E402
from test_hostile_clients import LARGE_CHUNKS, MEMORY_FRACTION, TINY_CHUNKS  # noqa: E402
from test_platform_decode import CONFIG, ENTRY  # noqa: E402
from wire_bed import KEY, ScriptedTarget, read_response, request, response  # noqa: E402

from benchmarks.site import machine  # noqa: E402

MEMORY_MB = (160, 300)
MAX_FDS = 1_638
CLIENTS = (40, 200, 1_000)
BODIES = {"large": LARGE_CHUNKS, "small": TINY_CHUNKS}
KEYS = {"valid": KEY, "wrong": "wrong"}
CROWD_S = 5.0
COST_REQUESTS = 4_000
COST_ROUNDS = 3


def main(arguments: list[str]) -> int:
    """Run the benchmark; return 1 if a target is missed."""
    parser = argparse.ArgumentParser(prog="benchmarks ingress", description=__doc__)
    parser.add_argument("--cost", action="store_true")
    options = parser.parse_args(arguments)
    print(f"ingress: {machine()}")
    store, target = StoreStandin(), ScriptedTarget("i-1", "ledger", answer)
    store.start()
    store.put("servers", "i-1", ENTRY | {"service": "ledger", "address": target.address})
    tenants = [{"name": "small", "api_keys": [KEY]}]
    store.put("config", "main", {**CONFIG, "tenants": tenants})
    try:
        return measure_cost(store) if options.cost else measure_memory(store)
    finally:
        target.close()
        store.close()


def answer(target, sock, head) -> None:
    sock.sendall(response(head))


def measure_memory(store: StoreStandin) -> int:
    crowds.CROWD_S = CROWD_S
    print(f"{'MB':>5}{'bound':>7}{'chunks':>8}{'key':>7}{'clients':>9}{'peak MB':>9}{'asked':>7}")
    missed = False
    for memory_mb, body, key, clients in itertools.product(MEMORY_MB, BODIES, KEYS, CLIENTS):
        bound = MEMORY_FRACTION * memory_mb
        peak, status = run_crowd(store, memory_mb, BODIES[body], KEYS[key], clients)
        missed |= peak >= bound
        row = f"{memory_mb:>5}{bound:>7.0f}{body:>8}{key:>7}{clients:>9}{peak:>9.1f}{status:>7}"
        print(row, flush=True)
    return int(missed)


def run_crowd(
    store: StoreStandin, memory_mb: int, body: bytes, key: str, clients: int
) -> tuple[float, int]:
    """Return the most memory in MB, and the status of one ordinary request afterwards."""
    with tempfile.TemporaryDirectory() as directory:
        settings = f"limits.memory_mb={memory_mb}\nlimits.max_fds={MAX_FDS}\n"
        router = RouterProcess(store, Path(directory), settings)
        router.start()
        crowd = crowds.Crowd(router, clients, [crowds.chunked_head(key=key), body])
        try:
            crowd.run()
            status = router.ask()
            return router.memory_mb(), status
        finally:
            crowd.close()
            router.kill()


def measure_cost(store: StoreStandin) -> int:
    with tempfile.TemporaryDirectory() as directory:
        router = RouterProcess(store, Path(directory), "")
        router.start()
        router.sampler.kill()
        data = request("/publish/1", b"x" * 500)
        try:
            sock = router.connect()
            for _ in range(COST_ROUNDS):
                before, started = cpu_seconds(router.program.pid), time.monotonic()
                served = 0
                for _ in range(COST_REQUESTS):
                    sock.sendall(data)
                    served += read_response(sock)[0] == 200
                used_s = cpu_seconds(router.program.pid) - before
                elapsed_s = time.monotonic() - started
                each_us = used_s / COST_REQUESTS * 1e6
                print(f"{each_us:.0f} us of processor time a request, {served} served, "
                      f"{elapsed_s:.1f} s", flush=True)  # fmt: skip
        finally:
            router.kill()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
