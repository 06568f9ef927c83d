"""Guards against a store that accepts lost updates or hides its faults."""

import gevent

from jacinthcove.clock import ManualClock
from jacinthcove.standins.objectapi import ObjectApi, ObjectApiSettings


def test_write_with_old_version_changes_nothing(api):
    assert api.whole("PUT", "/objects/config/current", b"a", If_Version=0)[0] == 200
    assert api.whole("PUT", "/objects/config/current", b"b", If_Version=0)[0] == 409
    assert api.whole("GET", "/objects/config/current") == (200, b"a")


def test_version_rises_when_a_key_is_created_again(api):
    version = int(api.send("PUT", "/objects/a", b"1", If_Version=0)["x-version"])
    assert api.whole("DELETE", "/objects/a", If_Version=version)[0] == 200
    again = api.send("PUT", "/objects/a", b"2", If_Version=0)
    assert int(again["x-version"]) > version


def test_watch_returns_the_change_it_waited_for(api):
    watch = gevent.spawn(api.whole, "GET", "/watch/a/b?after=0&timeout_ms=5000")
    gevent.sleep(0.02)
    api.whole("PUT", "/objects/a/b", b"new", If_Version=0)
    assert watch.get(timeout=2) == (200, b"new")
    assert api.whole("GET", "/watch/a/b?after=1&timeout_ms=1")[0] == 204


def test_lost_answer_hides_a_write_that_took_effect(api):
    api.whole("PUT", "/faults", {"lose_answers_next": 1})
    # The client library resends a PUT whose answer is lost, and so meets its own write.
    assert api.whole("PUT", "/objects/a", b"x", If_Version=0)[0] == 409
    assert api.whole("GET", "/objects/a") == (200, b"x")
    assert api.json("GET", "/counters")["answers_lost"] == 1


def test_outage_refuses_calls_but_not_the_fault_endpoint(api):
    api.whole("PUT", "/faults", {"outage": True})
    assert api.whole("GET", "/objects/a")[0] == 503
    assert api.whole("PUT", "/faults", {})[0] == 200
    assert api.whole("GET", "/objects/a")[0] == 404


def test_calls_above_the_rates_are_refused(started):
    settings = ObjectApiSettings(writes_per_second=2, reads_per_second=3)
    limited = started(ObjectApi("127.0.0.1:0", settings, ManualClock()))
    writes = [limited.whole("PUT", f"/objects/{n}", b"", If_Version=0)[0] for n in range(3)]
    reads = [limited.whole("GET", "/objects/0")[0] for _ in range(4)]
    assert writes == [200, 200, 429]
    assert reads == [200, 200, 200, 429]


def test_vm_list_lags_behind_a_change(started):
    clock = ManualClock()
    api = started(ObjectApi("127.0.0.1:0", ObjectApiSettings(vm_lag_ms=500), clock))
    vm = {"role": "target", "address": "127.0.0.1:1", "failure_domain": "a"}
    api.whole("PUT", "/vms/e1", vm)
    assert api.json("GET", "/vms")["vms"] == []
    clock.advance(500)
    assert [item["id"] for item in api.json("GET", "/vms")["vms"]] == ["e1"]
