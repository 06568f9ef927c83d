"""Samples of a running local fleet: busy slots, control traffic, processor time and memory."""

import time
from collections import Counter
from dataclasses import dataclass, field

import gevent

from jacinthcove.store.connections import NoReply
from testbed.fleet import LocalFleet, http
from testbed.processes import cpu_seconds, resident_mb

SAMPLE_PERIOD_S = 0.5
MAX_BATCH = 12


@dataclass(frozen=True)
class RouterUse:
    """What one router used per second between two readings."""

    id: str
    bytes_by_kind: Counter[str]
    cpu: float
    resident_mb: float

    @property
    def control_bytes(self) -> float:
        """Return the control bytes per second, sent and received."""
        return sum(self.bytes_by_kind.values())


@dataclass(frozen=True)
class RouterReading:
    """Cumulative values of one router."""

    bytes_by_kind: Counter[str]
    cpu_s: float
    at: float


@dataclass
class FleetSampler:
    """Samples the engines' running requests in the background, and routers on request."""

    fleet: LocalFleet
    busy: list[tuple[float, float]] = field(default_factory=list)
    started: float = 0.0
    readings: dict[str, RouterReading] = field(default_factory=dict)
    greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start sampling and take the first reading of every router."""
        self.started = time.monotonic()
        for router in self.fleet.routers:
            self.readings[router.id] = self._read(router.id)
        self.greenlet = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop sampling."""
        if self.greenlet is not None:
            self.greenlet.kill()

    def utilisation(self, from_s: float, to_s: float) -> float:
        """Return the mean share of engine slots in use, from 0 to 1."""
        inside = [share for at, share in self.busy if from_s <= at <= to_s]
        return sum(inside) / len(inside) if inside else 0.0

    def router_use(self) -> list[RouterUse]:
        """Return what every running router used per second since the start."""
        uses = []
        for router_id, before in self.readings.items():
            if not self.fleet.router_programs[router_id].running:
                continue
            now = self._read(router_id)
            seconds = now.at - before.at
            uses.append(
                RouterUse(
                    router_id,
                    Counter(
                        {
                            kind: (count - before.bytes_by_kind[kind]) / seconds
                            for kind, count in now.bytes_by_kind.items()
                        }
                    ),
                    (now.cpu_s - before.cpu_s) / seconds,
                    resident_mb(self.fleet.router_programs[router_id].pid),
                )
            )
        return uses

    def _read(self, router_id: str) -> RouterReading:
        status = self.fleet.status(router_id)
        traffic = status["control_bytes"]
        by_kind = Counter(traffic["sent"])
        by_kind.update(traffic["received"])
        pid = self.fleet.router_programs[router_id].pid
        return RouterReading(by_kind, cpu_seconds(pid), time.monotonic())

    def _run(self) -> None:
        engines = [
            vm.address
            for vm in self.fleet.targets.values()
            if self.fleet.profile.configured_services()[vm.service].kind.value == "engine"
        ]
        while True:
            gevent.sleep(SAMPLE_PERIOD_S)
            running = 0
            for address in engines:
                try:
                    running += http(address, "GET", "/load")["running"]
                except (NoReply, RuntimeError):
                    continue
            at = time.monotonic() - self.started
            self.busy.append((at, running / (MAX_BATCH * len(engines))))
