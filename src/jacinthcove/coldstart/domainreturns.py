"""Failure domains that returned from a drain, until this router knows how their targets are now.

Targets of a drained domain may have become cold shortly before it returns. The store's kinds are
watched apart, so a router may learn of the return before it has the entries that say so. What it
knows of the targets has to be as new as the moment at which it learned of the return, which the
store saw before.
"""

import structlog

from jacinthcove.clock import Clock

log = structlog.get_logger()


class DomainReturns:
    """The returned domains whose targets may be colder than this router knows; in boot ms."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.returned_at: dict[str, int] = {}

    def record(self, domain: str, returned_at: int) -> None:
        """Record that a domain returned at `returned_at` or earlier."""
        self.returned_at[domain] = returned_at
        log.info("domain_returned", domain=domain)

    def confirm(self, known_at: int) -> None:
        """Record that this router knows the targets as they were at `known_at`."""
        for domain, returned_at in list(self.returned_at.items()):
            if returned_at <= known_at:
                del self.returned_at[domain]
                waited_ms = self.clock.boot() - returned_at
                log.info("domain_return_confirmed", domain=domain, waited_ms=waited_ms)

    def is_pending(self, domain: str) -> bool:
        """Return whether targets of a domain may be cold although their known entries are not."""
        return domain in self.returned_at
