"""Guards against a service that hides repeated runs or shows faults where none are set."""

import pytest
from geventhttpclient.response import HTTPConnectionClosed

from jacinthcove.clock import ManualClock
from jacinthcove.errors import ConfigurationError
from jacinthcove.standins.faults import FaultControl, Faults, parse_faults


def test_repeated_order_is_counted_per_route(service):
    body = {"request_id": "r", "payload": {"order_id": "o1", "nonce": "n"}}
    assert service.json("POST", "/v1/operations/reprint", body)["nonce"] == "n"
    service.whole("POST", "/v1/operations/reprint", body)
    assert service.json("GET", "/executions")["orders"] == {"reprint/o1": 2}


def test_lost_answer_still_counts_as_a_run(service):
    service.whole("PUT", "/faults", {"lose_answers_next": 1})
    with pytest.raises(HTTPConnectionClosed):
        service.whole("POST", "/v1/operations/reprint", {"request_id": "r"})
    assert service.json("GET", "/executions")["requests"] == {"r": 1}


def test_not_admitted_operation_does_not_run(service):
    service.whole("PUT", "/faults", {"not_admitted": True})
    response = service.send("POST", "/v1/operations/reprint", {"request_id": "r"})
    assert (response.status_code, response["x-not-admitted"]) == (503, "1")
    assert service.json("GET", "/executions")["requests"] == {}


def test_fault_shows_only_on_its_route_under_load_and_after_its_delay():
    clock = ManualClock()
    control = FaultControl(clock, 1)
    control.set(Faults(fail_rate=1.0, route="a", under_load=3, after_ms=100))
    assert not control.fails("a", 3)
    clock.advance(100)
    assert control.fails("a", 3)
    assert not control.fails("a", 2)
    assert not control.fails("b", 3)


def test_every_problem_of_a_fault_setting_is_named():
    with pytest.raises(ConfigurationError, match="fail_rte.*fail_rate.*cut_after"):
        parse_faults({"fail_rte": 1, "fail_rate": 2.0, "cut_after": -1})
