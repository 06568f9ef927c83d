"""A large unreadable entry among the engines, written at every heartbeat, stops the router."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from bed import Channel, plain_service, play, route  # noqa: E402

# Route of the kind of `seal-issue` of sereno-jacinth.
TIMEOUT_MS = 1_500
# Requesters are willing to wait longer than the operator's limit for the route.
DEADLINE_MS = 6_000
LATE_S = 0.5
CALLERS = 30
PAUSE_S = 0.7
PLAY_S = 24.0
HEARTBEAT_S = 1.2
# An object is `value_bytes` (1,048,576) at most, with its metadata.
ENTRY_BYTES = 1_040_000
# The rule speaks of a share; with fewer requests it says nothing.
LEAST_REQUESTS = 8


def odd_entry(turn):
    """Return a list of empty records, with one byte that is not UTF-8, in place of an engine."""
    record = "{},"
    count = ENTRY_BYTES // len(record)
    return f'[{record * count}"Montr\udce9al",{turn}]'


async def case(bed):
    bed.services = [plain_service("ledger")]
    bed.routes = [route("publish", "unsafe", "ledger", timeout_ms=TIMEOUT_MS)]
    bed.config()
    for number in range(3):
        await bed.add_engine(f"i-{number}", "ledger", work_s=0.02)
    await bed.start()
    router = bed.routers[0]
    # (seconds until the answer, status)
    answers = []
    ends_at = time.monotonic() + 2 + PLAY_S

    async def caller(number):
        channel = Channel(bed, router)
        await channel.open()
        turn = 0
        while time.monotonic() < ends_at:
            turn += 1
            attempt = f"q-{number}-{turn}"
            sent_at = time.monotonic()
            bed.record.write("sent", id=attempt)
            try:
                await channel.send("/publish/x", attempt, deadline_ms=DEADLINE_MS)
                answer = await channel.receive(DEADLINE_MS / 1000)
            except ConnectionError:
                answer = None
            waited = time.monotonic() - sent_at
            status = answer.status if answer is not None else 0
            if status == 0 and waited < DEADLINE_MS / 1000 - 0.1:
                status = "closed"
            bed.record.write("answer", id=attempt, status=status, waited=f"{waited:.3f}")
            answers.append((waited, status))
            if status in (0, "closed") or answer.fields.get("connection") == "close":
                channel.close()
                channel = Channel(bed, router)
                try:
                    await channel.open()
                except (OSError, TimeoutError):
                    await asyncio.sleep(0.5)
                    channel = Channel(bed, router)
                    await channel.open()
            await asyncio.sleep(PAUSE_S)

    async def safely(number):
        await asyncio.sleep(number * PAUSE_S / CALLERS)
        while time.monotonic() < ends_at:
            try:
                await caller(number)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.5)

    tasks = [asyncio.ensure_future(safely(number)) for number in range(CALLERS)]
    await asyncio.sleep(2)
    turn = 0
    while bed.trouble and time.monotonic() < ends_at:
        turn += 1
        bed.store.put("servers", "inventory", odd_entry(turn), raw=True)
        bed.record.write("odd_entry", turn=turn)
        await asyncio.sleep(HEARTBEAT_S)
    await asyncio.gather(*tasks)
    timeout_s = TIMEOUT_MS / 1000
    overdue = [waited for waited, _ in answers if waited > timeout_s]
    unanswered = [waited for waited in overdue if waited > timeout_s + LATE_S]
    bed.record.write(
        "summary", requests=len(answers), overdue=len(overdue), unanswered=len(unanswered),
        longest=f"{max(waited for waited, _ in answers):.2f}",
    )  # fmt: skip
    return len(unanswered) < LEAST_REQUESTS or len(unanswered) * 2 <= len(overdue)


play(Path(__file__).parent, case)
