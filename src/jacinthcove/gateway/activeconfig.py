"""The configuration in force, and how long ago the store confirmed that it is the newest."""

from collections.abc import Callable

import structlog

from jacinthcove.clock import Clock
from jacinthcove.codes import ResultCode
from jacinthcove.errors import RequestRefused
from jacinthcove.gateway.model import RoutingConfig
from jacinthcove.gateway.routes import RouteTable

log = structlog.get_logger()

# Delay after which a caller should retry at another router.
RETRY_ELSEWHERE_MS = 50


class ActiveConfig:
    """The newest known configuration, and the boot time of its last confirmation by the store.

    Workspace keys are accepted for at most `max_age_ms` after a confirmation, because the store may
    have revoked them since. A newer version must be in force `apply_ms` after the store has it, so
    without a confirmation for that time no name is denied for good, and no request of another
    router is served. Boot time goes on while the VM is suspended.
    """

    def __init__(self, clock: Clock, max_age_ms: int, apply_ms: int):
        self.clock = clock
        self.max_age_ms = max_age_ms
        self.apply_ms = apply_ms
        self.table: RouteTable | None = None
        self.revision = 0
        self.confirmed_at: int | None = None
        self.is_fresh = False
        self.listeners: list[Callable[[RoutingConfig], None]] = []

    def apply(self, config: RoutingConfig, revision: int) -> None:
        """Apply a configuration and notify the listeners, unless its version is not newer."""
        if self.table is not None and config.version <= self.table.config.version:
            return
        before = self.version()
        self.table = RouteTable(config)
        self.revision = revision
        log.info(
            "configuration_applied",
            version=config.version,
            before=before,
            store_revision=revision,
            silent_ms=self.age_ms(),
        )
        for listener in self.listeners:
            listener(config)

    def confirm(self, known_at: int) -> None:
        """Record that the store had nothing newer at boot ms `known_at`."""
        self.confirmed_at = max(known_at, self.confirmed_at or 0)
        self.check_freshness()

    def version(self) -> int:
        """Return the version in force, 0 before the first configuration."""
        return 0 if self.table is None else self.table.config.version

    def age_ms(self) -> int | None:
        """Return the age of the last confirmation, or None before the first."""
        return None if self.confirmed_at is None else self.clock.boot() - self.confirmed_at

    def is_current(self) -> bool:
        """Return whether no newer version has to be in force by now."""
        age = self.age_ms()
        return age is not None and age < min(self.apply_ms, self.max_age_ms)

    def check_freshness(self) -> bool:
        """Return whether the configuration is fresh enough to accept keys; logs each change."""
        age = self.age_ms()
        is_fresh = age is not None and age < self.max_age_ms
        if is_fresh != self.is_fresh:
            self.is_fresh = is_fresh
            log.warning(
                "configuration_trusted" if is_fresh else "configuration_stale",
                age_ms=age,
                limit_ms=self.max_age_ms,
                store_revision=self.revision,
            )
        return is_fresh

    def routes(self) -> RouteTable:
        """Return the routes in force; raises `RequestRefused` before the first configuration."""
        if self.table is None:
            raise RequestRefused(
                ResultCode.CONFIGURATION_STALE, "no configuration yet", RETRY_ELSEWHERE_MS
            )
        return self.table

    def time_limit_ms(self, host: str, path: str) -> int:
        """Return the time limit of a route, or the longest one if this router does not know it."""
        if self.table is None:
            return 0
        try:
            return self.table.find(host, path).timeout_ms
        except RequestRefused:
            return max((route.timeout_ms for route in self.table.config.routes), default=0)

    def require_fresh(self, workspace: str) -> None:
        """Raise `RequestRefused` if the key of `workspace` may have been revoked since.

        Anonymous requests, with an empty `workspace`, always pass.
        """
        if workspace and not self.check_freshness():
            raise RequestRefused(
                ResultCode.CONFIGURATION_STALE,
                f"no word from the store for {self.age_ms()} ms",
                RETRY_ELSEWHERE_MS,
            )
