"""One request that states an absurd number of tokens: the router fails all later prompts."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from bed import Channel, Engine, plain_service, play, route  # noqa: E402

# Of sereno-jacinth.
ENGINE = {"slots": 64, "kv_tokens": 541_948}
# Tenants, their keys and the router that their requesters use.
TENANTS = {
    "north": ("keyofnorthkeyofnorth1", 0),
    "south": ("keyofsouthkeyofsouth1", 1),
    "third": ("keyofthirdkeyofthird1", 0),
}
CALLERS = 8
PAUSE_S = 0.2
CALM_S = 6
AFTER_S = 24
PROMPT_TOKENS = 500
OUTPUT_TOKENS = 49
SIZE = PROMPT_TOKENS + 2 * OUTPUT_TOKENS
EVENTS = 8
AIM_S = 0.4
# Just larger than an engine's memory, and larger than any number of 64 bits.
LARGE_TOKENS = 600_000
ABSURD_TOKENS = 10**20
# FAIR looks at six seconds and takes off three of the largest requests.
WINDOW_S = 6
LESS_REQUESTS = 3


class StreamEngine(Engine):
    """An engine that answers with a stream of events; a prompt above its memory is rejected."""

    async def answer(self, line, fields, body, reader, writer, attempt):
        if int(fields["x-token-count"].split(",")[0]) > ENGINE["kv_tokens"]:
            writer.write(
                b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
            await writer.drain()
            return True
        self.begin(attempt)
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Seal: s.{attempt}\r\n"
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(self.work_s)
            event = f"id: {number}\ndata: {attempt}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def ask(channel, tenant, attempt, tokens):
    """Send one prompt of `tokens` tokens and return the answer."""
    lines = [
        "POST /ask/x HTTP/1.1",
        "Host: desk.example",
        f"X-Attempt-Id: {attempt}",
        "X-Deadline-Ms: 12000",
        f"Authorization: Token {TENANTS[tenant][0]}",
        "X-Model: m",
        f"X-Token-Count: {tokens},{OUTPUT_TOKENS}",
        f"X-Prompt-Prefix: 5c1e07a2:100,{attempt.encode().hex()}:{tokens - 100}",
        "Content-Length: 2",
    ]
    channel.writer.write(("\r\n".join(lines) + "\r\n\r\n{}").encode())
    return await channel.receive()


class Tenant:
    """Requesters of one tenant, and what they asked and got, by second."""

    def __init__(self, bed, name):
        self.bed = bed
        self.name = name
        self.asked = {}
        self.got = {}
        self.missed = {}
        self.stopped = False

    async def caller(self, number):
        """Send prompts one after the other on kept channels."""
        router = self.bed.routers[TENANTS[self.name][1]]
        channel = None
        turn = 0
        while not self.stopped:
            turn += 1
            if channel is None:
                channel = Channel(self.bed, router)
                await channel.open()
            attempt = f"{self.name}-{number}-{turn}"
            sent_at = self.bed.record.now()
            second = int(sent_at)
            self.asked[second] = self.asked.get(second, 0) + SIZE
            answer = await ask(channel, self.name, attempt, PROMPT_TOKENS)
            late = self.bed.record.now() - sent_at > AIM_S + 1
            self.bed.record.write("answer", id=attempt, status=answer.status)
            if answer.status == 200 and answer.complete:
                self.got[second] = self.got.get(second, 0) + SIZE
            if answer.status != 200 or late:
                self.missed[second] = self.missed.get(second, 0) + 1
            if not answer.complete or answer.fields.get("connection") == "close":
                channel.close()
                channel = None
            await asyncio.sleep(PAUSE_S)


def unfair_windows(tenant, best, first, last):
    """Return the seconds at which a window begins in which FAIR is broken for a tenant."""
    found = []
    for start in range(first, last - WINDOW_S + 1):
        seconds = range(start, start + WINDOW_S)
        asked = sum(tenant.asked.get(second, 0) for second in seconds)
        got = sum(tenant.got.get(second, 0) for second in seconds)
        best_got = sum(best.got.get(second, 0) for second in seconds)
        due = sum(
            min(tenant.asked.get(second, 0), best.got.get(second, 0)) for second in seconds
        ) - LESS_REQUESTS * SIZE
        if all(tenant.missed.get(second) for second in seconds) and got * 2 < due:
            found.append((start, asked, got, best_got))
    return found


async def case(bed):
    bed.services = [
        plain_service("models") | {"cold_s": 3.0, "cold_per_s": 14.0, "engine": ENGINE}
    ]
    bed.routes = [
        route("ask", "stream", "models", timeout_ms=12_000, attempts=2, goal_ms=400,
              sticky=True, can_resume=True, gap_aim_ms=400),
    ]  # fmt: skip
    tenants = [
        {"name": name, "api_keys": [key], "priority": 1} for name, (key, _) in TENANTS.items()
    ]
    bed.config(tenants=tenants)
    for number in range(3):
        await bed.add_engine(f"m-{number}", "models", make=StreamEngine, work_s=0.01)
    await bed.start(routers=2)
    north, south = Tenant(bed, "north"), Tenant(bed, "south")
    tasks = [
        asyncio.ensure_future(tenant.caller(number))
        for tenant in (north, south)
        for number in range(CALLERS)
    ]
    await asyncio.sleep(CALM_S)
    tokens = ABSURD_TOKENS if bed.trouble else LARGE_TOKENS
    channel = Channel(bed, bed.routers[0])
    await channel.open()
    answer = await ask(channel, "third", "odd-request", tokens)
    bed.record.write("odd_request", tokens=tokens, status=answer.status)
    first = int(bed.record.now()) + 1
    await asyncio.sleep(AFTER_S)
    last = int(bed.record.now())
    north.stopped = south.stopped = True
    await asyncio.wait(tasks, timeout=10)
    ready = await bed.routers[0].is_ready()
    windows = unfair_windows(north, south, first, last)
    for start, asked, got, best in windows:
        bed.record.write("unfair", second=start, asked=asked, got=got, best=best)
    served = sum(north.got.get(second, 0) for second in range(first, last)) // SIZE
    failed = sum(north.missed.get(second, 0) for second in range(first, last))
    bed.record.write(
        "summary", served=served, failed=failed, unfair_windows=len(windows), says_ready=ready
    )
    return not windows


play(Path(__file__).parent, case)
