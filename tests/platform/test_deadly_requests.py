"""A plain request that crashes the targets that run it, at a complete router."""

import gevent
import pytest
from router_bed import http
from store_standin import eventually
from test_platform_decode import ENTRY
from wire_bed import KEY, ScriptedTarget, request, response

from jacinthcove.codes import ResultCode
from jacinthcove.gateway.crashevidence import SAME_CRASH_MS, SUSPECT_CRASHES

DEADLY = "/publish/deadly"
# Until a crash has been confirmed and examined.
EXAMINED_S = 0.3


class CrashingLedger:
    """The only target of the ledger; it starts again under another id after each crash."""

    def __init__(self, store):
        self.store = store
        self.crashes = 0
        self.target = None

    def begin(self):
        name = f"i-{self.crashes}"
        self.target = ScriptedTarget(name, "ledger", self.run)
        entry = ENTRY | {"service": "ledger", "address": self.target.address}
        self.store.put("servers", name, entry)

    def run(self, target, sock, head):
        if not head.startswith(f"POST {DEADLY} "):
            sock.sendall(response(head))
            return
        self.store.remove("servers", f"i-{self.crashes}")
        self.crashes += 1
        target.close()
        sock.close()


@pytest.fixture
def fallible(store):
    fallible = CrashingLedger(store)
    yield fallible
    fallible.target.close()


@pytest.fixture
def router(start, operator, fallible):
    operator(7)
    router = start()
    eventually(router.ready)
    return router


def served(router, path="/publish/1"):
    return http(router.settings.caller_listen, path)[0] == 200


def crash_once(router, fallible):
    """Send the deadly request to a target that serves another one before."""
    fallible.begin()
    eventually(lambda: served(router))
    status, _, _ = http(router.settings.caller_listen, DEADLY)
    gevent.sleep(EXAMINED_S + SAME_CRASH_MS / 1_000)
    return status


def test_a_plain_request_that_crashed_three_targets_is_refused_and_others_are_served(
    router, fallible
):
    statuses = [crash_once(router, fallible) for _ in range(SUSPECT_CRASHES)]
    assert statuses == [502] * SUSPECT_CRASHES
    assert crash_once(router, fallible) == 503
    assert fallible.crashes == SUSPECT_CRASHES
    refused = http(router.settings.caller_listen, DEADLY)
    assert str(int(ResultCode.PART_QUARANTINED)).encode() in refused[2]
    # The same caller, route and service; another body is another request.
    assert served(router)
    assert served(router, "/publish/deadly2")
    raw = request(DEADLY, b"{1}", key=KEY)
    assert http(router.settings.caller_listen, raw=raw)[0] == 502
