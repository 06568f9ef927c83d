"""Channels to the store go silent, then a zone is evacuated: the router learns of it too late."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
from bed import KeptCallers, SilentProxy, plain_service, play, route  # noqa: E402

CALLERS = 10
CONTACT_S = 3.0
EVACUATE_S = 5.0
# The time between the silence and the evacuation.
BETWEEN_S = 0.2
CALM_S = 2.0
# The silence begins this long after the router has asked for the evacuations; it asks every 8 s.
AFTER_WATCH_S = 2.0
AFTER_S = 12.0


async def case(bed):
    bed.services = [plain_service("ledger")]
    bed.routes = [route("publish", "unsafe", "ledger")]
    bed.config()
    own = [await bed.add_engine(f"i-a{n}", "ledger", zone="zone-a") for n in range(2)]
    for number in range(2):
        await bed.add_engine(f"i-b{number}", "ledger", zone="zone-b")
    proxy = SilentProxy(bed)
    await proxy.start()
    bed.store_address = proxy.address
    await bed.start()
    callers = KeptCallers(bed, bed.routers[0], CALLERS, "/publish/x", pause_s=0.2)
    callers.start()
    await asyncio.sleep(CALM_S)
    watching = asyncio.Event()
    proxy.on_request = lambda line: watching.set() if "evacuations?watch" in line else None
    await asyncio.wait_for(watching.wait(), 15)
    await asyncio.sleep(AFTER_WATCH_S)
    silent_at = bed.record.now()
    if bed.trouble:
        proxy.silence()
    await asyncio.sleep(BETWEEN_S)
    bed.store.put("evacuations", "zone-a", {})
    acknowledged_at = bed.record.now()
    bed.record.write("evacuation_acknowledged", zone="zone-a")
    await asyncio.sleep(AFTER_S)
    await callers.stop()
    in_touch_at = silent_at + CONTACT_S
    bound_at = max(acknowledged_at + EVACUATE_S, in_touch_at)
    late = [(at, id) for engine in own for at, id in engine.arrivals if at > bound_at]
    for at, attempt in sorted(late):
        bed.record.write("late_arrival", id=attempt, after_ack=f"{at - acknowledged_at:.3f}")
    bed.record.write("summary", sent=callers.sent, late=len(late))
    return not late


play(Path(__file__).parent, case)
