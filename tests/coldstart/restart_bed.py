"""Many routers without a network, and one target that starts again; each router has its own view.

A connection leads to the start of the target that accepted it, whatever its router believes.
"""

from dataclasses import dataclass, field
from functools import cache
from random import Random

from jacinthcove.clock import ManualClock
from jacinthcove.coldstart.startcheck import StartCheck
from jacinthcove.gateway.fleetquota import FleetQuota
from jacinthcove.gateway.model import GatewayService
from jacinthcove.gateway.raterule import ColdRateLimit
from jacinthcove.gateway.targetrates import TargetRates
from jacinthcove.gateway.targets import TargetRegistry
from jacinthcove.observe.metrics import Metrics
from tests.gateway.samples import record

TARGET = "t1"
STEP_MS = 10
# The bound of the users' rules for a cold target, and the part of it that the routers divide.
COLD_PER_S = 7.8
ALLOWED_PER_S = COLD_PER_S * 1.5 + 5
COLD_RATE_LIMIT = ColdRateLimit(1.5 * 0.8, 5 * 0.8)
COLD_MS = 3_000
SERVICES = {"models": GatewayService("models", COLD_PER_S, COLD_MS)}


@cache
def fleet_quotas(size):
    """Return the quotas of a fleet whose members all know each other."""
    routers = [f"r{number}" for number in range(size)]
    quotas = {router: FleetQuota(ManualClock(), router) for router in routers}
    for quota in quotas.values():
        quota.set_routers(routers)
    return quotas


@dataclass(eq=False)
class Start:
    """One start of the target: it listens from `at` to `ended_at` and is cold for `COLD_MS`."""

    at: int
    ended_at: int
    cold: bool
    arrivals: list[int] = field(default_factory=list)

    @property
    def started_at(self):
        return 1_000_000 + self.at

    def record(self, now=None):
        left_ms = max(0, self.at + COLD_MS - now) if self.cold and now is not None else 0
        return record(TARGET, started_at=self.started_at, cold_for_ms=left_ms)


@dataclass(eq=False)
class Connection:
    start: Start
    # The start that its router knew when it opened the connection.
    known_started_at: int
    confirmed: bool = False


class Router:
    """The decisions of one router about the target, in the order of a real attempt."""

    def __init__(self, id, clock, quota, first):
        self.id = id
        self.clock = clock
        self.registry = TargetRegistry(clock)
        limits, returns = self.registry.stated_limits, self.registry.drained.returns
        self.rates = TargetRates(clock, quota, COLD_RATE_LIMIT, limits, returns)
        self.rates.cold.services = SERVICES
        self.starts = StartCheck(self.registry, self.rates.cold, None, Metrics())
        self.registry.put(first.record(), 1)
        self.connections = []
        self.sent = 0

    @property
    def target(self):
        return self.registry.states[TARGET]

    def choose(self):
        """Select the target for a request; returns the request's id, or None."""
        state = self.target
        if state.unreachable_until > self.clock.now() or not self.rates.allows(state):
            return None
        self.sent += 1
        id = f"{self.id}-{self.sent}"
        self.rates.reserve(id, state)
        return id

    def open(self, listening):
        """Return an idle connection, or a new one to what listens, None if nothing does."""
        known = self.target.record.started_at
        idle = [item for item in self.connections if item.known_started_at == known]
        self.connections = [item for item in idle if item.start is listening]
        if self.connections:
            return self.connections.pop()
        if listening is None:
            self.target.record_connect_failure(self.clock.now())
            return None
        return Connection(listening, known)

    def send(self, id, connection):
        """Send a request on its connection if the router decides so."""
        if not connection.confirmed and self.starts.is_needed(self.target):
            known, found = connection.known_started_at, connection.start.started_at
            connection.confirmed = self.starts.record_read(self.target, known, found)
            if not connection.confirmed:
                return False
        if not self.rates.try_send(id, self.target, connection.confirmed):
            return False
        connection.start.arrivals.append(self.clock.now())
        return True


class Play:
    """A target that crashes at `down_at` and starts again at `up_at`, under some load."""

    def __init__(self, routers, load_per_s, entry_lag_ms, view_lags_ms, seed, down_at, up_at):
        self.clock = ManualClock()
        self.rng = Random(seed)
        self.begin = self.clock.now()
        self.first = Start(self.begin - 60_000, self.begin + down_at, False)
        self.second = Start(self.begin + up_at, 1 << 60, True)
        quotas = fleet_quotas(routers)
        self.routers = [Router(id, self.clock, quota, self.first) for id, quota in quotas.items()]
        self.load_per_s = load_per_s
        entry_at = self.second.at + entry_lag_ms
        entry = self.second.record(entry_at)
        self.views = sorted(
            (entry_at + lag, number) for number, lag in enumerate(view_lags_ms[:routers])
        )
        self.entry = entry
        # Requests that chose the target and open their connection later: time, router, id.
        self.late = []
        # Ends of the pauses of frozen routers, by number of the router.
        self.frozen_until = {}
        self.max_delay_ms = 0

    def listening(self, now):
        for start in (self.first, self.second):
            if start.at <= now < start.ended_at:
                return start
        return None

    def run(self, until_ms):
        while self.clock.now() - self.begin < until_ms:
            self._tell_views()
            self._choose()
            self._send()
            self.clock.advance(STEP_MS)

    def _tell_views(self):
        while self.views and self.views[0][0] <= self.clock.now():
            _, number = self.views.pop(0)
            self.routers[number].registry.put(self.entry, 2)

    def _choose(self):
        now = self.clock.now()
        asked = self.load_per_s * STEP_MS / 1_000
        count = int(asked) + (self.rng.random() < asked % 1)
        for _ in range(count):
            number = self.rng.randrange(len(self.routers))
            if self.frozen_until.get(number, 0) > now:
                continue
            id = self.routers[number].choose()
            if id is not None:
                self.late.append((now + self.rng.randint(0, self.max_delay_ms), number, id))

    def _send(self):
        now = self.clock.now()
        due = [item for item in self.late if item[0] <= now]
        self.late = [item for item in self.late if item[0] > now]
        for _, number, id in due:
            router = self.routers[number]
            if self.frozen_until.get(number, 0) > now:
                self.late.append((self.frozen_until[number], number, id))
                continue
            connection = router.open(self.listening(now))
            if connection is None or not router.send(id, connection):
                router.rates.cancel(id, router.target)
            if connection is not None:
                router.connections.append(connection)

    def most_while_cold(self):
        """Return the most requests in one second at the second start while it was cold."""
        start = self.second
        times = [at for at in start.arrivals if at < start.at + COLD_MS]
        return max((sum(at <= other < at + 1_000 for other in times) for at in times), default=0)
