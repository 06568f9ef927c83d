"""The controller process: connects the lease, the admin API and the move driver."""

from typing import Any

import gevent
from gevent.pywsgi import WSGIServer

from jacinthcove.address import split_address
from jacinthcove.clock import SystemClock
from jacinthcove.config.settings import ControllerSettings
from jacinthcove.control.api import AdminApi
from jacinthcove.control.configstore import ConfigStore
from jacinthcove.control.fleetview import FleetView
from jacinthcove.control.lease import Lease
from jacinthcove.control.orders import HttpOrderSender, Orders
from jacinthcove.errors import Conflict, StoreUnavailable
from jacinthcove.moves.driver import MoveDriver
from jacinthcove.observe.logs import get_logger
from jacinthcove.store.client import HttpStore

log = get_logger(component="controller")


class Controller:
    """One of several controllers; only the one that holds the lease is active."""

    def __init__(self, settings: ControllerSettings):
        self.settings = settings
        self.clock = SystemClock()
        self.store = HttpStore(settings.store, settings.store_timeout_ms)
        self.lease = Lease(
            self.store, self.clock, settings.id, settings.lease_ttl_ms, settings.admin_listen
        )
        self.config_store = ConfigStore(self.store, self.clock)
        self.fleet_view = FleetView(self.clock, settings.router, self.store.fetch_vms)
        orders = Orders(
            self.lease, self.clock, HttpOrderSender(), max_order_ms=settings.order_timeout_ms
        )
        self.driver = MoveDriver(
            self.config_store,
            orders,
            self.fleet_view.reports,
            self.fleet_view.vms,
            self.lease.held,
            self.clock,
        )
        self.api = AdminApi(
            self.config_store,
            self.active_elsewhere,
            self.fleet_view.revisions,
            self.status,
            settings.bootstrap_key_hash,
            self.fleet_view.request_rate,
        )
        self.server = WSGIServer(
            split_address(settings.admin_listen), self.api, log=None, error_log=None
        )
        self.task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Serve the admin API and start to compete for the lease."""
        self.lease.start()
        self.server.start()
        self.task = gevent.spawn(self._run_driver)
        log.info("controller_started")

    def close(self) -> None:
        """Stop serving and release the lease."""
        self.server.stop(timeout=1)
        if self.task is not None:
            self.task.kill()
        self.lease.close()
        self.store.close()
        log.info("controller_stopped")

    def active_elsewhere(self) -> str | None:
        """Return None if this controller is active, else the active one's address ("": unknown)."""
        return None if self.lease.held() else self.lease.active_address()

    def status(self) -> dict[str, Any]:
        """Return what this controller adds to the response of `GET /admin/status`."""
        return {
            "controller": self.settings.id,
            "fencing": self.lease.fencing,
            "store_calls": dict(self.store.calls),
        }

    def _run_driver(self) -> None:
        was_held = False
        while True:
            if was_held != self.lease.held():
                was_held = self.lease.held()
                event = "lease_acquired" if was_held else "lease_lost"
                log.info(event, fencing=self.lease.fencing)
            try:
                self.driver.tick()
            except (Conflict, StoreUnavailable) as error:
                log.warning("moves_not_driven", reason=str(error))
            except Exception:
                log.exception("move_driver_failed")
            self.clock.sleep(self.settings.move_interval_ms)
