"""Guards against use of targets that have no fresh load report of the right version."""

import pytest
from gevent.pywsgi import WSGIServer

from jacinthcove.clock import ManualClock
from jacinthcove.config.model import Limits
from jacinthcove.targets.affinity import PrefixAffinity
from jacinthcove.targets.reports import LoadPoller, decode_report
from jacinthcove.targets.state import REPORT_STALE_MS, TargetState
from jacinthcove.targets.table import Pool, Target

REPORT = b'{"boot_id":"%s","running":0,"waiting":0,"version":"%s","leaving":false,"cold":false}'


@pytest.fixture
def served():
    response = {"status": "200 OK", "body": REPORT % (b"one", b"v1")}

    def application(environ, start_response):
        start_response(response["status"], [])
        return [response["body"]]

    server = WSGIServer(("127.0.0.1", 0), application, log=None)
    server.start()
    yield server, response
    server.stop()


def test_poller_detects_version_change_restart_stale_report_and_refused_connection(served):
    server, response = served
    clock = ManualClock()
    target = Target("t", Pool("draft", "v1", "a"), f"127.0.0.1:{server.server_port}")
    state = TargetState(target, Limits(cold=2, max=12), clock)
    calls = []
    poller = LoadPoller(state, lambda: calls.append(state.usable))
    assert not state.usable
    poller.poll()
    state.limit.value = 9.0
    response["body"] = REPORT % (b"one", b"v2")
    poller.poll()
    assert state.limit.value == 9.0
    response["body"] = REPORT % (b"two", b"v1")
    poller.poll()
    assert calls == [True, False, True]
    assert state.limit.value == 2.0
    for status, body in (("500 Broken", b"{}"), ("200 OK", b"[]"), ("200 OK", b'{"boot_id":1}')):
        response["status"], response["body"] = status, body
        poller.poll()
    assert len(calls) == 3
    clock.advance(REPORT_STALE_MS + 1)
    assert not state.usable
    state.on_report(decode_report(REPORT % (b"two", b"v1")))
    server.stop()
    poller.close()
    poller.poll()
    assert not state.usable
    poller.close()


def test_affinity_evicts_the_oldest_prefix():
    affinity = PrefixAffinity(2)
    for key in ("a", "b", "a", "c", ""):
        affinity.add_prefix(key)
    assert [affinity.probably_caches(key) for key in "abc"] == [True, False, True]
    affinity.remove_prefix("unknown")
    affinity.remove_prefix("a")
    assert len(affinity) == 1
