"""A local fleet as the experiments of `jacinthcove.load` see it."""

import signal
import tempfile
from collections import Counter
from collections.abc import Sequence
from datetime import datetime
from pathlib import Path

import gevent
import orjson

from jacinthcove.clock import SystemClock
from jacinthcove.config.model import ServiceKind
from jacinthcove.config.state import set_drained
from jacinthcove.control.configstore import ConfigStore
from jacinthcove.load.baseline import BaselineMode
from jacinthcove.load.experiments import FleetFactory
from jacinthcove.load.profiles import Profile
from jacinthcove.store.client import HttpStore
from jacinthcove.store.connections import NoReply
from testbed.fleet import CALL_TIMEOUT_MS, FleetOptions, LocalFleet, RouterAddresses, http

BASELINE_MODULE = "jacinthcove.load.baseline_router"


class Site:
    """Implements `Fleet` on a started `LocalFleet`."""

    def __init__(self, fleet: LocalFleet, temporary: tempfile.TemporaryDirectory | None = None):
        self.fleet = fleet
        self.profile = fleet.profile
        self.temporary = temporary

    def list_routers(self) -> Sequence[RouterAddresses]:
        """Return the routers."""
        return self.fleet.routers

    def close(self) -> None:
        """Stop every process and remove temporary logs."""
        self.fleet.close()
        if self.temporary is not None:
            self.temporary.cleanup()

    def callers(self) -> list[str]:
        """Return the caller addresses of the routers."""
        return self.fleet.callers()

    def engine_utilisation(self) -> float:
        """Return the share of all engine slots that is in use now, from 0 to 1."""
        slots = {
            s.name: s.limits.max for s in self.profile.services if s.kind is ServiceKind.ENGINE
        }
        engines = [vm for vm in self.fleet.targets.values() if vm.service in slots]
        jobs = [gevent.spawn(_running, vm.address) for vm in engines]
        gevent.joinall(jobs)
        return sum(job.value for job in jobs) / sum(slots[vm.service] for vm in engines)

    def set_drained(self, domain: str, drained: bool) -> None:
        """Drain a failure domain or return it, with a write to the store."""
        store = HttpStore(self.fleet.store_address, CALL_TIMEOUT_MS)
        try:
            ConfigStore(store, SystemClock()).update(
                lambda config: set_drained(config, domain, drained)
            )
        finally:
            store.close()

    def last_grant_s(self, domain: str, from_s: float, to_s: float) -> float | None:
        """Return when, in epoch seconds, a target of `domain` was last granted in a period."""
        inside = {vm.id for vm in self.fleet.targets.values() if vm.failure_domain == domain}
        last = None
        for router in self.fleet.routers:
            for line in (self.fleet.directory / f"{router.id}.log").read_bytes().splitlines():
                if b'"event":"grant"' not in line:
                    continue
                event = orjson.loads(line)
                at = datetime.fromisoformat(event["time"]).timestamp()
                if event["target"] in inside and from_s <= at < to_s:
                    last = max(at, last or at)
        return last

    def kill_router(self, router_id: str) -> None:
        """Kill a router without notice."""
        self.fleet.router_programs[router_id].kill()

    def start_router(self, router_id: str) -> None:
        """Start a killed router again."""
        self.fleet.start_router(router_id)

    def pause_router(self, router_id: str) -> None:
        """Stop a router's process from running."""
        self.fleet.signal_router(router_id, signal.SIGSTOP)

    def continue_router(self, router_id: str) -> None:
        """Let a paused router run again."""
        self.fleet.signal_router(router_id, signal.SIGCONT)

    def set_store_outage(self, outage: bool) -> None:
        """Let the object API fail every call, or serve again."""
        self.fleet.set_faults(self.fleet.store_address, outage=outage)

    def order_runs(self) -> Counter[str]:
        """Return the number of runs of each order, named `route/order`."""
        plain = {s.name for s in self.profile.services if s.kind is ServiceKind.PLAIN}
        runs: Counter[str] = Counter()
        for vm in self.fleet.targets.values():
            if vm.service in plain:
                runs.update(http(vm.address, "GET", "/executions")["orders"])
        return runs


def site_factory(profile: Profile, logs: Path | None = None) -> FleetFactory:
    """Return a starter of fleets; with `logs` the logs of the processes are kept there."""
    started = 0

    def start(mode: BaselineMode | None, engine_flags: tuple[str, ...]) -> Site:
        nonlocal started
        started += 1
        temporary = None
        if logs is None:
            temporary = tempfile.TemporaryDirectory()
            directory = Path(temporary.name)
        else:
            directory = logs / f"fleet-{started}-{mode.value if mode else 'normal'}"
            directory.mkdir(parents=True)
        options = FleetOptions(controllers=0, engine_flags=engine_flags)
        if mode is not None:
            options = FleetOptions(
                controllers=0,
                engine_flags=engine_flags,
                router_flags=("--mode", mode.value),
                router_module=BASELINE_MODULE,
            )
        fleet = LocalFleet(profile, directory, options)
        try:
            fleet.start()
        except BaseException:
            fleet.close()
            raise
        return Site(fleet, temporary)

    return start


def _running(address: str) -> int:
    try:
        return int(http(address, "GET", "/load")["running"])
    except (NoReply, RuntimeError):
        return 0
