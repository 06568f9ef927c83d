"""The memory of a router process beside odd entries of 1 MB, and how long its event loop stops.

For 160 and 300 MB, prints the most memory by the number and shape of the entries of another writer,
which are there before the router starts or are written while it runs. Then prints the longest step
of reading one entry of each shape, between two pieces of a response.
"""

import sys
import tempfile
import time
from pathlib import Path

import gevent
import orjson

TESTS = Path(__file__).resolve().parent.parent / "tests"
# The stand-ins of the store and of targets belong to the tests.
sys.path[:0] = [str(TESTS / "ingress"), str(TESTS / "platform")]

from odd_shapes import SHAPES  # noqa: E402
from router_process import RouterProcess  # noqa: E402
from store_standin import StoreStandin  # noqa: E402
from test_platform_decode import CONFIG, ENTRY  # noqa: E402
from wire_bed import KEY, ScriptedTarget, response  # noqa: E402

from benchmarks.site import machine  # noqa: E402
from jacinthcove.platform.kindrules import VALUE_BYTES  # noqa: E402
from jacinthcove.platform.replies import ObjectsReader  # noqa: E402
from jacinthcove.store.connections import PIECE_BYTES  # noqa: E402

MEMORY_MB = (160, 300)
MEMORY_FRACTION = 0.8
COUNTS = (16, 48, 200)
MAX_STEP_MS = 50.0
WATCH_S = 12.0


def main(arguments: list[str]) -> int:
    """Run the benchmark; return 1 if a target is missed."""
    del arguments
    print(f"entries: {machine()}")
    missed = False
    print(f"{'MB':>5}{'bound':>7}{'entries':>9}{'written':>9}{'peak MB':>9}{'asked':>7}{'s':>6}")
    for memory_mb in MEMORY_MB:
        for count in COUNTS:
            for early in (True, False):
                peak, status, taken_s = run_router(memory_mb, count, early)
                missed |= peak >= MEMORY_FRACTION * memory_mb or status != 200
                written = "before" if early else "after"
                bound = MEMORY_FRACTION * memory_mb
                row = f"{memory_mb:>5}{bound:>7.0f}{count:>9}{written:>9}{peak:>9.1f}{status:>7}"
                print(f"{row}{taken_s:>6.1f}", flush=True)
    for name, spec in sorted(SHAPES.items()):
        step_ms, total_ms = longest_step(spec)
        missed |= step_ms >= MAX_STEP_MS
        print(f"{name}: longest step {step_ms:.1f} ms of {total_ms:.0f} ms for 1 MB", flush=True)
    return int(missed)


def run_router(memory_mb: int, count: int, early: bool) -> tuple[float, int, float]:
    """Return the most memory in MB, the status of a request afterwards, and the time to start."""
    store = StoreStandin()
    target = ScriptedTarget("i-1", "ledger", lambda t, sock, head: sock.sendall(response(head)))
    store.start()
    store.put("servers", "i-1", ENTRY | {"service": "ledger", "address": target.address})
    store.put("config", "main", {**CONFIG, "tenants": [{"name": "a", "api_keys": [KEY]}]})
    entry = {"service": [{"id": 7}] * 116_000, "state": "ready"}
    with tempfile.TemporaryDirectory() as directory:
        router = RouterProcess(store, Path(directory), f"limits.memory_mb={memory_mb}\n")
        try:
            if early:
                write(store, count, entry)
            started = time.monotonic()
            router.start()
            taken_s = time.monotonic() - started
            if not early:
                write(store, count, entry)
            gevent.sleep(WATCH_S)
            return router.memory_mb(), router.ask(), taken_s
        finally:
            router.kill()
            target.close()
            store.close()


def write(store: StoreStandin, count: int, entry: dict[str, object]) -> None:
    for number in range(count):
        store.put("servers", f"x-{number}", entry)


def longest_step(spec: bytes) -> tuple[float, float]:
    """Return the longest time between two pieces of a page with one entry, and of all, in ms."""
    item = b'{"metadata":{"name":"x","revision":1},"spec":%b}' % spec
    page = b'{"items":[%b],"has_more":false,"current_rev":%b}' % (item, orjson.dumps(7))
    pieces = iter([page[at : at + PIECE_BYTES] for at in range(0, len(page), PIECE_BYTES)])
    times = [time.perf_counter()]

    def read() -> bytes:
        times.append(time.perf_counter())
        return next(pieces, b"")

    ObjectsReader(read, VALUE_BYTES, lambda part: None).read()
    times.append(time.perf_counter())
    steps = [1_000 * (after - before) for before, after in zip(times, times[1:], strict=False)]
    return max(steps), sum(steps)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
