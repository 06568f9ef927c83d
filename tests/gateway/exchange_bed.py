"""Load exchanges of routers over meshes without a network, for tests."""

from jacinthcove.gateway.collectors import MAX_DIRECT_ROUTERS
from jacinthcove.gateway.loadexchange import LoadExchange
from jacinthcove.gateway.shares import ShareLedger
from jacinthcove.gateway.targets import TargetRegistry
from jacinthcove.mesh.kinds import LOAD_SHARE
from jacinthcove.mesh.peers import Member
from tests.gateway.samples import record


class Members:
    """This router and others in its own and in another failure domain."""

    me = Member("r1", "10.0.0.1:7400", "10.0.0.1:80", "a")

    def __init__(self, near=2, far=5):
        others = [("a", near), ("b", far)]
        self.others = [
            Member(f"{domain}{number}", "", "", domain)
            for domain, count in others
            for number in range(count)
        ]

    def alive(self):
        return (self.me, *self.others)


class Peers:
    """Ignores handlers and sends nothing."""

    def register(self, kind, handler):
        pass


def load_exchange(clock):
    registry = TargetRegistry(clock)
    registry.put(record("t1"), 1)
    ledger = ShareLedger(clock, 4_000)
    return LoadExchange(clock, Members(), Peers(), registry, ledger, lambda: None)


class Fleet:
    """The load exchanges of two large failure domains over a mesh without delay."""

    def __init__(self, clock, size=MAX_DIRECT_ROUTERS):
        self.clock = clock
        self.known = [Member(f"{d}{n}", "", "", d) for d in "ab" for n in range(size)]
        self.exchanges = {member.id: self.join(member) for member in self.known}
        for exchange in self.exchanges.values():
            exchange.collector_in_use()

    def join(self, member):
        registry = TargetRegistry(self.clock)
        registry.put(record("t1"), 1)
        fleet = self

        class Known:
            me = member

            def alive(self):
                return tuple(fleet.known)

            def get(self, member_id):
                return next((m for m in fleet.known if m.id == member_id), None)

        class Mesh(Peers):
            def send(self, member_id, kind, message):
                receiver = fleet.exchanges.get(member_id)
                if receiver is not None:
                    take = receiver.on_share if kind == LOAD_SHARE else receiver.on_bundle
                    take(member.id, type(message).FromString(message.SerializeToString()))

        ledger = ShareLedger(self.clock, 4_000)
        return LoadExchange(self.clock, Known(), Mesh(), registry, ledger, lambda: None)

    def collector(self, domain):
        exchange = next(e for e in self.exchanges.values() if e.members.me.failure_domain == domain)
        return self.exchanges[exchange.collectors.ranked_candidates(domain)[0]]

    def same_domain(self, exchange):
        domain = exchange.members.me.failure_domain
        return [e for e in self.exchanges.values() if e.members.me.failure_domain == domain]

    def round(self):
        """Let every router report once, then the collectors send their bundles."""
        everyone = list(self.exchanges.values())
        everyone.sort(key=lambda e: e.collector_in_use() == e.members.me.id)
        for exchange in everyone:
            exchange.send_cross_domain()
        for exchange in everyone:
            exchange.send_same_domain()
        self.clock.advance(150)

    def running(self):
        return {e.registry.states["t1"].load.running for e in self.exchanges.values()}
