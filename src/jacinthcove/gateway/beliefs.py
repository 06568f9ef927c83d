"""What the router believes about the configuration, and how old that belief is."""

from collections.abc import Callable

import structlog

from jacinthcove.clock import Clock
from jacinthcove.codes import ResultCode
from jacinthcove.errors import RequestRefused
from jacinthcove.gateway.model import RoutingConfig
from jacinthcove.gateway.routes import RouteTable

log = structlog.get_logger()

RETRY_ELSEWHERE_MS = 50


class Beliefs:
    """The newest configuration with the time at which it was last known to be the newest.

    `max_age_ms` bounds how long keys are honoured without word from the store; the time counts
    while the VM is suspended.
    """

    def __init__(self, clock: Clock, max_age_ms: int):
        self.clock = clock
        self.max_age_ms = max_age_ms
        self.table: RouteTable | None = None
        self.revision = 0
        self.confirmed_at: int | None = None
        self.trusted = False
        self.listeners: list[Callable[[RoutingConfig], None]] = []

    def apply(self, config: RoutingConfig, revision: int) -> None:
        """Put a configuration in force unless a newer one already is."""
        if self.table is not None and config.version <= self.table.config.version:
            return
        self.table = RouteTable(config)
        self.revision = revision
        log.info("configuration_applied", version=config.version, store_revision=revision)
        for listener in self.listeners:
            listener(config)

    def confirm(self, known_at: int) -> None:
        """Note that the store had nothing newer at boot time `known_at`."""
        self.confirmed_at = max(known_at, self.confirmed_at or 0)
        self.check()

    def age_ms(self) -> int | None:
        """Return the age of the last confirmation, or None before the first."""
        return None if self.confirmed_at is None else self.clock.boot() - self.confirmed_at

    def check(self) -> bool:
        """Return whether keys may be honoured; logs when that changes."""
        age = self.age_ms()
        trusted = age is not None and age < self.max_age_ms
        if trusted != self.trusted:
            self.trusted = trusted
            log.warning(
                "configuration_trusted" if trusted else "configuration_stale",
                age_ms=age,
                limit_ms=self.max_age_ms,
                store_revision=self.revision,
            )
        return trusted

    def routes(self) -> RouteTable:
        """Return the routes in force; raises `RequestRefused` before the first configuration."""
        if self.table is None:
            raise RequestRefused(
                ResultCode.CONFIGURATION_STALE, "no configuration yet", RETRY_ELSEWHERE_MS
            )
        return self.table

    def require_fresh(self, workspace: str) -> None:
        """Raise `RequestRefused` if a key may have been revoked without word here."""
        if workspace and not self.check():
            raise RequestRefused(
                ResultCode.CONFIGURATION_STALE,
                f"no word from the store for {self.age_ms()} ms",
                RETRY_ELSEWHERE_MS,
            )
