"""Fixtures: stand-ins on free loopback ports, each with an HTTP client."""

import orjson
import pytest
from geventhttpclient import HTTPClient

from jacinthcove.standins.engine import Engine, EngineSettings
from jacinthcove.standins.objectapi import ObjectApi, ObjectApiSettings
from jacinthcove.standins.service import Service, ServiceSettings


class Client:
    def __init__(self, address):
        host, port = address.split(":")
        self.http = HTTPClient(host, int(port), concurrency=100)

    def send(self, method, path, body=b"", **headers):
        data = body if isinstance(body, bytes) else orjson.dumps(body)
        header_values = {name.replace("_", "-"): str(value) for name, value in headers.items()}
        return self.http.request(method, path, data, header_values)

    def request_json(self, method, path, body=b""):
        return orjson.loads(bytes(self.send(method, path, body).read()))

    def send_and_read(self, method, path, body=b"", **headers):
        response = self.send(method, path, body, **headers)
        return response.status_code, bytes(response.read())


@pytest.fixture
def start_standin():
    running = []

    def start(standin):
        standin.start()
        running.append(standin)
        return Client(standin.address)

    yield start
    for standin in running:
        standin.close()


@pytest.fixture
def api(start_standin):
    return start_standin(ObjectApi("127.0.0.1:0", ObjectApiSettings(vm_lag_ms=0, seed=3)))


@pytest.fixture
def engine(start_standin):
    return start_standin(Engine("127.0.0.1:0", EngineSettings(token_ms=1, cold_ms=0, seed=3)))


@pytest.fixture
def service(start_standin):
    return start_standin(Service("127.0.0.1:0", ServiceSettings(work_ms=1, seed=3)))
