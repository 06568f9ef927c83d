"""Routers with duties over a fake store and platform in virtual time, and the rules they keep."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from jacinthcove.clock import ManualClock
from jacinthcove.duties.agreedtime import AgreedTime
from jacinthcove.duties.calls import CallBudget, DutyCallFailed
from jacinthcove.duties.candidates import own_rank
from jacinthcove.duties.countexchange import CountExchange
from jacinthcove.duties.lease import DutyLease, StoredValue
from jacinthcove.duties.usagereport import ReportSettings, UsageReporter
from jacinthcove.duties.windowcounts import WindowCounts
from jacinthcove.errors import Conflict, PeerUnavailable, StoreUnavailable
from jacinthcove.mesh.peers import Member
from jacinthcove.observe.metrics import Metrics

LEASE_MS = 3_000
WINDOW_MS = 5_000
LATE_MS = 10_000
STEP_MS = 250


class FakeStore:
    """Objects with revisions, which may be restored from an older copy."""

    def __init__(self):
        self.era = 1
        self.revision = 10
        self.objects = {}
        # Writes that take effect later: (router's view, value, condition).
        self.late = []

    def copy(self):
        return self.revision, dict(self.objects)

    def restore(self, copy):
        self.revision, objects = copy
        self.objects = dict(objects)
        self.era += 1

    def apply(self, name, value, revision):
        if self.objects.get(name, (0, None))[0] != revision:
            raise Conflict(name, 0)
        self.revision += 1
        self.objects[name] = (self.revision, value)
        return self.revision

    def apply_late(self):
        late, self.late = self.late, []
        for write in late:
            try:
                self.apply(*write)
            except Conflict:
                pass


class StoreView:
    """The store as one router reaches it; `fault` names what happens to its calls."""

    def __init__(self, store, name, link):
        self.store = store
        self.name = name
        self.link = link

    def era(self):
        return self.link.era

    def read(self):
        self._respond(self.link.fault in ("down", "rejects"))
        revision, value = self.store.objects.get(self.name, (0, None))
        return StoredValue(self.store.era, revision, value)

    def write(self, value, replaced):
        if self.link.era != replaced.era:
            raise StoreUnavailable("the era changed")
        self.link.before_write()
        fault = self.link.fault
        if fault in ("down", "rejects"):
            raise StoreUnavailable(fault)
        if fault == "late":
            self.store.late.append((self.name, value, replaced.revision))
            raise StoreUnavailable(fault)
        try:
            written = self.store.apply(self.name, value, replaced.revision)
        except Conflict:
            self.link.era = self.store.era
            raise
        self.link.after_write()
        self._respond(fault == "lost")
        if self.store.era != replaced.era:
            raise StoreUnavailable("the era changed")
        return written if self.link.says_revision else 0

    def _respond(self, fails):
        if fails:
            raise StoreUnavailable("no answer")
        self.link.era = self.store.era


@dataclass
class Link:
    """What a router's links to the store and the platform do."""

    era: int = 1
    fault: str = ""
    platform_away: bool = False
    says_revision: bool = True
    before_write: object = lambda: None
    after_write: object = lambda: None


@dataclass(frozen=True)
class SeenCall:
    at: int
    holder: str
    token: int
    subject: tuple
    content: object = None


@dataclass
class FakePlatform:
    """Records the calls that arrive, with real time."""

    calls: list = field(default_factory=list)
    answers: bool = True


class Calls:
    def __init__(self, world, router):
        self.world = world
        self.router = router

    def report_usage(self, guard, window, counts):
        self._send(guard, ("usage", window), dict(counts))

    def order_engines(self, guard, service, domain, desired):
        self._send(guard, ("scale", service, domain), desired)

    def _send(self, guard, subject, content):
        grant = guard()
        if grant is None:
            raise DutyCallFailed("the grant has ended", not_sent=True)
        if self.router.link.platform_away:
            raise DutyCallFailed("cut off")
        platform = self.world.platform
        call = SeenCall(self.world.now, grant.holder, grant.token, subject, content)
        platform.calls.append(call)
        if not platform.answers:
            raise DutyCallFailed("no answer")


def broken_rules(calls, lease_ms=LEASE_MS):
    """Return which rules of the fencing the calls break, as text; empty if none."""
    found = []
    holder_by_token = {}
    highest = {}
    reports = defaultdict(set)
    first_act, sequence = {}, []
    for call in calls:
        subject = call.subject[:1] if call.subject[0] == "usage" else call.subject
        if holder_by_token.setdefault((subject, call.token), call.holder) != call.holder:
            found.append(f"token {call.token} sent by two holders")
        if call.token < highest.get(subject, 0):
            found.append(f"token {call.token} after {highest[subject]}")
        highest[subject] = max(call.token, highest.get(subject, 0))
        if call.subject[0] == "usage":
            reports[call.subject].add(tuple(sorted(call.content.items())))
        if not sequence or sequence[-1] != call.holder:
            earlier = first_act.get(call.holder)
            if earlier is not None and call.at - earlier <= lease_ms:
                found.append(f"{call.holder} acted again after {call.at - earlier} ms")
            sequence.append(call.holder)
        first_act[call.holder] = call.at
    found += [f"{key} reported twice" for key, items in reports.items() if len(items) > 1]
    return found


class Router:
    def __init__(self, world, name, domain):
        self.world = world
        self.member = Member(name, "", "", domain)
        self.clock = ManualClock(now_ms=1_000, wall_ms=world.now)
        self.frozen = False
        self.link = Link(era=world.store.era)
        self.me = self.member
        self.handlers = {}
        self.time = AgreedTime(self.clock)
        self.counts = WindowCounts(self.time, name, WINDOW_MS)
        self.exchange = CountExchange(self.clock, self, self, self.time, self.counts)
        self.lease = DutyLease(
            StoreView(world.store, "lease", self.link),
            self.clock,
            name,
            LEASE_MS,
            self.rank,
            self.notify,
        )
        self.reporter = UsageReporter(
            self.clock,
            self.lease,
            StoreView(world.store, "reports", self.link),
            Calls(world, self),
            CallBudget(self.clock, 50.0),
            self.exchange,
            ReportSettings(WINDOW_MS, LATE_MS),
            LEASE_MS,
            Metrics(),
        )
        self.next_lease_step = 0

    # Implements `Members` and `Peers`.

    def alive(self):
        return tuple(item.member for item in self.world.reachable(self))

    def register(self, kind, handler):
        self.handlers[kind] = handler

    def call(self, member_id, kind, message, timeout_ms):
        peer = self.world.routers.get(member_id)
        if peer is None or peer.frozen or peer not in self.world.reachable(self):
            raise PeerUnavailable(member_id)
        return peer.handlers[kind](
            self.me.id, type(message).FromString(message.SerializeToString())
        )

    def notify(self, seen):
        for peer in self.world.reachable(self):
            if peer is not self and not peer.frozen:
                peer.lease.on_notice(seen)

    def rank(self):
        """Return the place among up to three routers by name, so that tests know the holder."""
        if len(self.world.routers) > 3:
            return own_rank(self)
        names = [member.id for member in self.alive()]
        return sorted(names).index(self.me.id) if self.me.id in sorted(names)[:3] else None

    def step(self):
        now = self.clock.boot()
        if now >= self.next_lease_step:
            self.next_lease_step = now + self.lease.period_ms()
            self.lease.step()
        self.exchange.step()
        self.reporter.step()


class World:
    """Routers `r0`, `r1`, ... by rank; `now` is the true time."""

    def __init__(self, size=3):
        # Begins with a window.
        self.now = 1_700_000_000_000
        self.store = FakeStore()
        self.platform = FakePlatform()
        self.routers = {}
        self.cut_off = set()
        self.begun = Counter()
        for number in range(size):
            self.start(f"r{number}")

    def start(self, name):
        """Start a router, or start it again without its memory."""
        self.routers[name] = Router(self, name, "abc"[int(name[1:]) % 3])
        return self.routers[name]

    def reachable(self, router):
        if router.me.id in self.cut_off:
            return [router]
        return [item for name, item in self.routers.items() if name not in self.cut_off]

    def begin(self, name, workspace, count=1):
        """Let requests begin at a router."""
        for _ in range(count):
            self.routers[name].counts.record_begun(workspace)
        self.begun[self.now // WINDOW_MS, workspace] += count

    def run(self, duration_ms, each=lambda: None):
        for _ in range(duration_ms // STEP_MS):
            self.now += STEP_MS
            for router in list(self.routers.values()):
                if router.frozen:
                    router.clock.suspend(STEP_MS)
                else:
                    router.clock.advance(STEP_MS)
            each()
            for router in list(self.routers.values()):
                if not router.frozen:
                    router.step()

    def holder(self):
        found = [item for item in self.routers.values() if item.lease.grant() is not None]
        assert len(found) <= 1
        return found[0] if found else None

    def calls_of(self, kind):
        return [call for call in self.platform.calls if call.subject[0] == kind]

    def reported(self):
        """Return the counts by window that were reported."""
        return {call.subject[1]: call.content for call in self.calls_of("usage")}
