"""How long a starting router waits for other routers before it lists the store itself.

Answers the load of a start: the calls of a router that knows no other one yet. A restarted router
learns the members in one exchange, and has to serve within about a second. Routers that start for
the first time often start together, long before their first request, and learn of each other only
after several exchanges.
"""

from jacinthcove.clock import Clock
from jacinthcove.store.relayroles import MIN_ROUTERS, RelayRoles

RESTART_LIMIT_MS = 400
FIRST_START_LIMIT_MS = 2_500
# In a first start the members count as known when none was added for this time. Routers that joined
# later are heard of within about a second.
SETTLED_MS = 1_200
POLL_MS = 20
# A router that reads the store itself may become the relay router soon after its start. Others do
# not use its word while it waits long for its first changes, so these watches are short.
SHORT_WATCHES_MS = 3_000
SHORT_WATCH_MS = 600


class StartWait:
    """Holds back the first lists of a router."""

    def __init__(self, clock: Clock, roles: RelayRoles):
        self.clock = clock
        self.roles = roles
        self.started_at = clock.now()
        self.is_first_start = False
        self.is_over = False
        # Whether a failure domain may have enough routers for a relay router.
        self.is_large_fleet = False

    def record_start(self, is_first: bool, known_routers: int) -> None:
        """Record whether other routers may start too, and how many were found so far."""
        self.is_first_start = is_first
        self.is_large_fleet = known_routers >= MIN_ROUTERS
        if not self.is_large_fleet:
            self.is_over = True

    def limit_watch(self, wait_ms: int) -> int:
        """Return how long a watch of the store may wait that begins now."""
        starts = self.clock.now() - self.started_at < SHORT_WATCHES_MS
        return min(wait_ms, SHORT_WATCH_MS) if self.is_large_fleet and starts else wait_ms

    def wait(self) -> None:
        """Block until the members are known, or the limit has passed."""
        count, changed_at = 0, self.clock.now()
        while not self.is_over:
            now = self.clock.now()
            limit_ms = FIRST_START_LIMIT_MS if self.is_first_start else RESTART_LIMIT_MS
            members = self.roles.members
            if members is not None and len(members.alive()) != count:
                count, changed_at = len(members.alive()), now
            settled_ms = SETTLED_MS if self.is_first_start else 0
            settled = members is not None and now - changed_at >= settled_ms
            if settled or now - self.started_at >= limit_ms:
                self.is_over = True
                return
            self.clock.sleep(POLL_MS)
