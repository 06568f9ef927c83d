"""Desired states in quick succession: the router keeps every one and exceeds its memory."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from bed import KeptCallers, plain_service, play, route  # noqa: E402

CALLERS = 12
# LOST breaks with more than three such requests.
LOST_ALLOWED = 3
# Doses of lavallee-errata: `big_config` count 350; `config_storm` gap_s 0.08 for 2 s.
BIG_CONFIGS = 4
ROUTES_PER_BIG_CONFIG = 350
STORMS = 16
CHANGES_PER_STORM = 25
STORM_GAP_S = 0.08
PAUSE_S = 1.0


async def case(bed):
    bed.services = [plain_service("ledger")]
    bed.routes = [route("publish", "unsafe", "ledger"), route("status", "safe", "ledger")]
    bed.config()
    for number in range(3):
        await bed.add_engine(f"i-{number}", "ledger", work_s=0.5)
    await bed.start()
    router = bed.routers[0]
    limit = asyncio.ensure_future(router.enforce_memory())
    callers = KeptCallers(bed, router, CALLERS, "/publish/x")
    callers.start()
    await asyncio.sleep(2)
    for step in range(BIG_CONFIGS):
        bed.routes += [
            route(f"big-{step}-{number:04d}", "unsafe", "ledger")
            for number in range(ROUTES_PER_BIG_CONFIG)
        ]
        bed.config()
        await asyncio.sleep(1)
    for storm in range(STORMS):
        for number in range(CHANGES_PER_STORM):
            if bed.trouble and router.process.poll() is None:
                bed.routes[2 + number]["timeout_ms"] += 1
                bed.config()
            await asyncio.sleep(STORM_GAP_S)
        await asyncio.sleep(PAUSE_S)
        mb = round(router.memory_mb())
        bed.record.write("memory", storm=storm, version=bed.version, mb=mb)
        if router.process.poll() is not None:
            break
    await asyncio.sleep(0.5)
    limit.cancel()
    await callers.stop()
    bed.record.write(
        "summary", sent=callers.sent, answered=callers.answered, lost=len(callers.lost),
        most_mb=round(router.most_mb), ended=router.process.poll(),
    )  # fmt: skip
    return len(callers.lost) <= LOST_ALLOWED


play(Path(__file__).parent, case)
