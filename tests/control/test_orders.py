"""Orders must have the format of the target API and fail if the target does not reply."""

import gevent
import orjson
import pytest
from gevent.pywsgi import WSGIServer

from jacinthcove.control.orders import HttpOrderSender, SentOrder, TargetState
from jacinthcove.errors import TargetFailed

ORDER = SentOrder(7, "o1", "load_version", "v2", 500)


@pytest.fixture
def target():
    seen = []

    def app(environ, start_response):
        body = environ["wsgi.input"].read()
        seen.append((environ["REQUEST_METHOD"], environ["PATH_INFO"], body))
        if environ["PATH_INFO"] == "/orders":
            start_response("409 Conflict", [])
            return [b""]
        start_response("200 OK", [])
        return [orjson.dumps({"version": "v1", "running": 0})]

    server = WSGIServer(("127.0.0.1", 0), app, log=None)
    server.start()
    server.seen = seen
    server.text_address = f"127.0.0.1:{server.server_port}"
    yield server
    server.stop()


def test_order_and_state_use_the_target_api(target):
    sender = HttpOrderSender()
    assert sender.send(target.text_address, ORDER) == 409
    assert sender.state(target.text_address) == TargetState("v1")
    method, path, body = target.seen[0]
    assert (method, path) == ("POST", "/orders")
    assert orjson.loads(body) == {
        "fencing": 7,
        "order_id": "o1",
        "kind": "load_version",
        "version": "v2",
        "time_limit_ms": 500,
    }


def test_unreachable_target_raises_target_failed(target):
    target.stop()
    gevent.sleep(0)
    with pytest.raises(TargetFailed):
        HttpOrderSender().send(target.text_address, ORDER)
