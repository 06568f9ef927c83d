"""Guards against a simulated service that miscounts runs or applies faults out of scope."""

import pytest
from geventhttpclient.response import HTTPConnectionClosed

from jacinthcove.clock import ManualClock
from jacinthcove.errors import ConfigurationError
from jacinthcove.standins.faults import FaultControl, Faults, parse_faults


def test_repeated_order_is_counted_per_route(service):
    body = {"request_id": "r", "payload": {"order_id": "o1", "nonce": "n"}}
    assert service.request_json("POST", "/v1/operations/reprint", body)["nonce"] == "n"
    service.send_and_read("POST", "/v1/operations/reprint", body)
    assert service.request_json("GET", "/executions")["orders"] == {"reprint/o1": 2}


def test_run_with_lost_response_is_counted(service):
    service.send_and_read("PUT", "/faults", {"lose_answers_next": 1})
    with pytest.raises(HTTPConnectionClosed):
        service.send_and_read("POST", "/v1/operations/reprint", {"request_id": "r"})
    assert service.request_json("GET", "/executions")["requests"] == {"r": 1}


def test_operation_that_is_not_admitted_does_not_run(service):
    service.send_and_read("PUT", "/faults", {"not_admitted": True})
    response = service.send("POST", "/v1/operations/reprint", {"request_id": "r"})
    assert (response.status_code, response["x-not-admitted"]) == (503, "1")
    assert service.request_json("GET", "/executions")["requests"] == {}


def test_fault_applies_only_to_its_route_under_load_and_after_its_delay():
    clock = ManualClock()
    control = FaultControl(clock, 1)
    control.set(Faults(fail_rate=1.0, route="a", under_load=3, after_ms=100))
    assert not control.fails("a", 3)
    clock.advance(100)
    assert control.fails("a", 3)
    assert not control.fails("a", 2)
    assert not control.fails("b", 3)


def test_every_invalid_fault_is_reported():
    with pytest.raises(ConfigurationError, match="fail_rte.*fail_rate.*cut_after"):
        parse_faults({"fail_rte": 1, "fail_rate": 2.0, "cut_after": -1})
