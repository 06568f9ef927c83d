"""The failure domains that operators have drained."""

import heapq

import structlog

from jacinthcove.clock import Clock
from jacinthcove.coldstart.domainreturns import DomainReturns
from jacinthcove.store.kinds import Gap

log = structlog.get_logger()

# An older copy of the store may lack a drain until the operator has written it again.
KEPT_MS = 6_000
# Maximum number of domains in a log line.
MAX_LOGGED = 20


class DrainedDomains:
    """The drained failure domains that the store lists, and those that an older copy may lack."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.listed: frozenset[str] = frozenset()
        # Ends of the drains that are kept although an older copy lacks them, in boot ms.
        self.kept_until: dict[str, int] = {}
        self.returns = DomainReturns(clock)

    def replace(self, domains: frozenset[str], gap: Gap) -> None:
        """Replace the drained domains by a complete list."""
        missing = self.listed - domains
        ends_at = self.clock.boot()
        if gap is Gap.OLDER_COPY and missing:
            log.info("drains_kept", domains=heapq.nsmallest(MAX_LOGGED, missing))
            ends_at += KEPT_MS
            self.kept_until.update(dict.fromkeys(missing, ends_at))
        for domain in missing:
            self.returns.record(domain, ends_at)
        self._set(domains)

    def add(self, domain: str) -> None:
        """Drain a domain."""
        self._set(self.listed | {domain})

    def remove(self, domain: str) -> None:
        """Return a domain to service."""
        if domain in self:
            self.returns.record(domain, self.clock.boot())
        self.kept_until.pop(domain, None)
        self._set(self.listed - {domain})

    def __contains__(self, domain: str) -> bool:
        if domain in self.listed:
            return True
        return bool(self.kept_until) and self.kept_until.get(domain, 0) > self.clock.boot()

    def was_drained(self, domain: str) -> bool:
        """Return whether a domain is drained, or its targets are not known since its return."""
        return domain in self or self.returns.is_pending(domain)

    def _set(self, domains: frozenset[str]) -> None:
        if domains != self.listed:
            shown = heapq.nsmallest(MAX_LOGGED, domains)
            log.info("failure_domains_drained", count=len(domains), domains=shown)
        self.listed = domains
