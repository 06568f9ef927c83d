"""Guards against an object API that allows lost updates or ignores injected faults."""

import gevent

from jacinthcove.clock import ManualClock
from jacinthcove.standins.objectapi import ObjectApi, ObjectApiSettings


def test_write_with_old_version_changes_nothing(api):
    assert api.send_and_read("PUT", "/objects/config/current", b"a", If_Version=0)[0] == 200
    assert api.send_and_read("PUT", "/objects/config/current", b"b", If_Version=0)[0] == 409
    assert api.send_and_read("GET", "/objects/config/current") == (200, b"a")


def test_recreated_key_has_a_higher_version(api):
    version = int(api.send("PUT", "/objects/a", b"1", If_Version=0)["x-version"])
    assert api.send_and_read("DELETE", "/objects/a", If_Version=version)[0] == 200
    again = api.send("PUT", "/objects/a", b"2", If_Version=0)
    assert int(again["x-version"]) > version


def test_watch_returns_the_change_it_waited_for(api):
    watch = gevent.spawn(api.send_and_read, "GET", "/watch/a/b?after=0&timeout_ms=5000")
    gevent.sleep(0.02)
    api.send_and_read("PUT", "/objects/a/b", b"new", If_Version=0)
    assert watch.get(timeout=2) == (200, b"new")
    assert api.send_and_read("GET", "/watch/a/b?after=1&timeout_ms=1")[0] == 204


def test_write_with_lost_response_takes_effect(api):
    api.send_and_read("PUT", "/faults", {"lose_answers_next": 1})
    # The client library retries a PUT without a response; the retry conflicts with the first PUT.
    assert api.send_and_read("PUT", "/objects/a", b"x", If_Version=0)[0] == 409
    assert api.send_and_read("GET", "/objects/a") == (200, b"x")
    assert api.request_json("GET", "/counters")["answers_lost"] == 1


def test_outage_rejects_all_calls_but_the_fault_endpoint(api):
    api.send_and_read("PUT", "/faults", {"outage": True})
    assert api.send_and_read("GET", "/objects/a")[0] == 503
    assert api.send_and_read("PUT", "/faults", {})[0] == 200
    assert api.send_and_read("GET", "/objects/a")[0] == 404


def test_calls_above_the_rate_limits_are_rejected(start_standin):
    settings = ObjectApiSettings(writes_per_second=2, reads_per_second=3)
    limited = start_standin(ObjectApi("127.0.0.1:0", settings, ManualClock()))
    writes = [limited.send_and_read("PUT", f"/objects/{n}", b"", If_Version=0)[0] for n in range(3)]
    reads = [limited.send_and_read("GET", "/objects/0")[0] for _ in range(4)]
    assert writes == [200, 200, 429]
    assert reads == [200, 200, 200, 429]


def test_vm_list_lags_behind_a_change(start_standin):
    clock = ManualClock()
    api = start_standin(ObjectApi("127.0.0.1:0", ObjectApiSettings(vm_lag_ms=500), clock))
    vm = {"role": "target", "address": "127.0.0.1:1", "failure_domain": "a"}
    api.send_and_read("PUT", "/vms/e1", vm)
    assert api.request_json("GET", "/vms")["vms"] == []
    clock.advance(500)
    assert [item["id"] for item in api.request_json("GET", "/vms")["vms"]] == ["e1"]
