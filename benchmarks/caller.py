"""A caller process: opens streams, checks every token and measures the gaps between them.

Its argument is a `Plan` as JSON; it prints a `Report` as one JSON line.
"""

import sys
import time
from dataclasses import dataclass

import gevent
import gevent.socket
import orjson
from geventhttpclient.response import HTTPSocketResponse
from hdrh.histogram import HdrHistogram

from benchmarks.site import ROUTE, SERVICE, WORKSPACES
from jacinthcove.load.requests import RequestSpec
from jacinthcove.standins.text import token_text

MAX_GAP_US = 60_000_000
STAGGER_S = 1.0
RECEIVE_BYTES = 65_536
DEADLINE_MS = 120_000


@dataclass(frozen=True)
class Plan:
    """What a caller process does; times are monotonic seconds of the machine.

    Streams go to `addresses` in turn. Tokens between `from_s` and `to_s` are measured. With
    `router`, requests have the form of the caller API, else that of an engine.
    """

    name: str
    addresses: tuple[str, ...]
    router: bool
    streams: int
    tokens: int
    start_s: float
    from_s: float
    to_s: float


@dataclass(frozen=True)
class Report:
    """What a caller process saw; `gaps` is an encoded histogram in microseconds."""

    tokens: int
    gaps: str
    problems: tuple[str, ...]


def gap_histogram() -> HdrHistogram:
    """Return a histogram of times in microseconds."""
    return HdrHistogram(1, MAX_GAP_US, 3)


def request_bytes(router: bool, nonce: str, tokens: int, address: str, workspace: int) -> bytes:
    """Return a whole HTTP request for a stream of `tokens` tokens."""
    if router:
        path, body = "/v1/requests", RequestSpec(SERVICE, ROUTE, nonce, max_tokens=tokens)
        content = body.body(DEADLINE_MS)
    else:
        path = "/v1/completions"
        content = orjson.dumps({"request_id": nonce, "prompt": nonce, "max_tokens": tokens})
    return (
        f"POST {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
        f"Authorization: Bearer key-bench-{workspace}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n\r\n"
    ).encode() + content


class StreamReader:
    """Reads one stream and keeps the arrival time of each token."""

    def __init__(self, router: bool, nonce: str, tokens: int, address: str, workspace: int):
        self.nonce = nonce
        self.tokens = tokens
        self.address = address
        self.prefix = b"event: chunk\nid: " if router else b"id: "
        self.request = request_bytes(router, nonce, tokens, address, workspace)
        self.sent_at = 0.0
        self.arrivals: list[float] = []
        self.ended = False

    def run(self) -> str:
        """Read the whole stream; return the problem, or an empty text."""
        host, _, port = self.address.rpartition(":")
        sock = gevent.socket.create_connection((host, int(port)))
        try:
            sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)
            self.sent_at = time.monotonic()
            sock.sendall(self.request)
            response = HTTPSocketResponse(sock, block_size=RECEIVE_BYTES, method="POST")
            if response.status_code != 200:
                return f"status {response.status_code}: {response.read()!r}"
            return self._read(response)
        finally:
            sock.close()

    def _read(self, response: HTTPSocketResponse) -> str:
        while block := response.readline(b"\n\n"):
            if block.startswith(self.prefix):
                offset = len(self.arrivals)
                text = token_text(self.nonce, offset)
                if block != b'%b%d\ndata: {"text":"%b"}\n\n' % (self.prefix, offset, text.encode()):
                    return f"expected token {offset}, got {block!r}"
                self.arrivals.append(time.monotonic())
            elif block.startswith(b"event: end"):
                self.ended = True
        complete = self.ended and len(self.arrivals) == self.tokens
        return "" if complete else f"ended after {len(self.arrivals)} tokens"


def run(plan: Plan) -> Report:
    """Run all streams of a plan at the same time."""
    readers = []
    greenlets = []
    for number in range(plan.streams):
        address = plan.addresses[number % len(plan.addresses)]
        nonce = f"{plan.name}/{number}"
        reader = StreamReader(plan.router, nonce, plan.tokens, address, number % WORKSPACES)
        readers.append(reader)
        delay_s = plan.start_s - time.monotonic() + STAGGER_S * number / plan.streams
        greenlets.append(gevent.spawn_later(max(0.0, delay_s), reader.run))
    gevent.joinall(greenlets)
    gaps = gap_histogram()
    tokens = 0
    for reader in readers:
        inside = [at for at in reader.arrivals if plan.from_s <= at < plan.to_s]
        tokens += len(inside)
        for before, after in zip(inside, inside[1:], strict=False):
            gaps.record_value(max(1, round((after - before) * 1_000_000)))
    problems = [g.value if g.successful() else repr(g.exception) for g in greenlets]
    return Report(tokens, gaps.encode().decode(), tuple(p for p in problems if p))


def main(arguments: list[str]) -> int:
    """Run the plan in the argument."""
    print(orjson.dumps(run(Plan(**orjson.loads(arguments[0])))).decode(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
