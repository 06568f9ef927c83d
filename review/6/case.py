"""Entries of another writer among the engines: each is an object below `value_bytes`.

They name no engine. The processes must stay below `limits.memory_mb`, and the others must serve.
"""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import bed  # noqa: E402

ENTRIES = 16
# A list in place of the name of a service. Each object stays below `platform.value_bytes`.
ITEMS = 116_000
VALUE_BYTES = 1_048_576
WATCH_S = 40.0


def ordinary(record, router, id):
    try:
        with router.connect() as sock:
            sock.sendall(bed.head("GET", b"/status/7", id))
            status, _, body = bed.read_answer(sock, 3.0)
    except OSError as error:
        status, body = 0, repr(error)
    record.write(f"requester gets {status} for {id} at {router.name}: {body!r}")
    return status


def case(record, store, folder, routers):
    bed.Engine(store, record, "i-ledger1", "notice-ledger", "qc-east-a")
    store.put("config", "main", bed.config(7))
    routers += [bed.Router(store, folder, 1, "qc-east-a"), bed.Router(store, folder, 2, "qc-east-b")]
    for router in routers:
        router.start()
    for router in routers:
        bed.wait_until(router.is_ready, bed.START_S, "a router did not become ready")
        if ordinary(record, router, "0" * 16) != 200:
            raise RuntimeError("no answer before the entries")
    platform = bed.Platform(record, routers)
    platform.sample()
    platform.report()
    items = [{"id": 7}] * ITEMS if bed.TROUBLE else []
    entry = {"service": items, "state": "ready"}
    names = [f"x-{number}" for number in range(ENTRIES)]
    sizes = store.put_in_quick_succession("servers", names, entry)
    record.write(f"another writer has put {ENTRIES} entries of {min(sizes)} to {max(sizes)} bytes")
    assert max(sizes) <= VALUE_BYTES
    platform.watch(WATCH_S if bed.TROUBLE else 5.0, platform.is_broken)
    platform.report()
    served = [ordinary(record, router, "f" * 16) == 200 for router in routers]
    if platform.is_broken():
        record.write("Fault: on all machines the processes ended by themselves three times")
        return bed.BROKEN
    return bed.HELD if bed.TROUBLE or all(served) else bed.COULD_NOT_RUN


bed.run_case(FOLDER, case)
