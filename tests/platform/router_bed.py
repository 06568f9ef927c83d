"""Settings of complete routers for tests, and calls to their addresses."""

import gevent
import orjson
from test_platform_decode import SETTINGS
from wire_bed import KEY, read_response, request

from jacinthcove.platform.names import CONFIG_KIND
from jacinthcove.platform.settings import decode_settings
from testbed.ports import free_addresses


def settings_for(store, name, mesh, more=""):
    """Return the settings of a router; `more` has lines that replace those of the same name."""
    text = (SETTINGS + more).replace("front-1", name).replace("10.200.1.7:8781", store.address)
    text = text.replace("seeds=10.1.0.33:8785,10.2.0.18:8785", "seeds=")
    text = text.replace("ip=10.1.0.33", "ip=127.0.0.1").replace("7400,7415", mesh)
    for port in ("8783", "8780", "8789"):
        text = text.replace(f"10.1.0.33:{port}", free_addresses(1)[0])
    return decode_settings(text).unwrap()


def http(address, path="/publish/1", key=KEY, raw=None):
    """Send one request and return status, headers and body of the response."""
    host, _, port = address.rpartition(":")
    with gevent.socket.create_connection((host, int(port))) as sock:
        sock.settimeout(5)
        sock.sendall(raw or request(path, key=key))
        return read_response(sock)


def stop_hearing(router):
    """Leave a router without news of the configuration, as one that the store rejects has none."""
    next(watch for watch in router.watches if watch.kind == CONFIG_KIND).close()


def refusal_code(router):
    """Send one request and return the result code of its refusal, None if it is served.

    A late router refuses with a code of its own, so the status does not tell the reason.
    """
    status, _, body = http(router.settings.caller_listen)
    return None if status == 200 else orjson.loads(body)["code"]


def get(address, path):
    return http(address, raw=f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
