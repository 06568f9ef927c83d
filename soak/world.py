"""One run: the store, targets, routers and callers, and what the schedule does to them."""

import random
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent

from jacinthcove.platform.names import (
    CONFIG_KIND,
    DRAINED_DOMAINS_KIND,
    ROLLOUTS_KIND,
    TARGETS_KIND,
)
from soak.callers import Caller
from soak.configuration import route_entry, service_entries
from soak.history import History, Span
from soak.proxy import Fault, Proxy
from soak.routers import RouterProcess
from soak.schedule import PLANNED, Action, Kind
from soak.targets import Behaviour, SoakTarget
from tests.platform.store_standin import StoreStandin

DOMAINS = ("a", "b")
KEYS = {"key-of-small": "small", "key-of-large": "large", "key-of-other": "other"}
# Route, kind, whether it may be resumed, and its service.
ROUTES = (
    ("publish", "unsafe", False, "ledger"),
    ("status", "safe", False, "ledger"),
    ("draft", "stream", False, "models"),
    ("ask", "stream", True, "models"),
)
EXTRA_ROUTE = ("extra", "safe", False, "ledger")
MODELS, LEDGERS = 4, 3
COLD_S = 3.0
COLD_PER_S = 12.0
# With restarts, so that the load of a warm target is a flood for a cold one.
RESTARTED_COLD_PER_S = 2.0
# A target that starts again registers up to this time later.
REGISTERED_LATE_S = 0.7
LEAVE_S = 2.6
LOST_ANSWER_S = 1.5
ROLLOUT_S = 6.0
# Time after the last fault in which the routers have to serve again.
AFTERMATH_S = 9.0
NEVER = float("inf")
FIRST_IP = 2
LAST_IP = 250


def network_of(seed: int, process: int) -> str:
    """Return the first three numbers of the routers' addresses, others in each process."""
    return f"127.{process % LAST_IP + 1}.{seed % LAST_IP + 1}"


class World:
    """Builds everything from the seed; `run` plays a schedule and returns the history."""

    def __init__(
        self,
        seed: int,
        routers: int,
        callers: int,
        directory: Path,
        network: str,
        cold_per_s: float = COLD_PER_S,
    ):
        self.rng = random.Random(seed)
        self.history = History(workspaces=dict(KEYS), cold_per_s=cold_per_s)
        self.history.removed_routes.append(Span("route", 0.0, NEVER, EXTRA_ROUTE[0]))
        self.store = StoreStandin()
        self.version = 1
        self.routes = list(ROUTES)
        self.keys = dict(KEYS)
        self.timeout_ms = 3_000
        self.boots = 0
        self.targets: list[SoakTarget] = []
        self.store.start()
        directory.mkdir(parents=True, exist_ok=True)
        self.routers = [
            RouterProcess(
                number,
                f"{network}.{FIRST_IP + number}",
                DOMAINS[number % len(DOMAINS)],
                self.store.address,
                directory,
                self.history,
            )
            for number in range(routers)
        ]
        names = [route[0] for route in (*ROUTES, EXTRA_ROUTE)]
        directories = [router.directory for router in self.routers]
        self.callers = [
            Caller(number, directories, self.history, random.Random(seed + number), names,
                   list(KEYS))
            for number in range(callers)
        ]  # fmt: skip
        self.greenlets: list[Any] = []

    def run(self, schedule: list[Action], seconds: float) -> History:
        """Play the schedule, then let everything recover, and return what was seen."""
        try:
            self._start()
            began = self.history.now()
            for action in schedule:
                gevent.sleep(max(0.0, began + action.at - self.history.now()))
                self.greenlets.append(gevent.spawn(self._play, action))
            gevent.sleep(max(0.0, began + seconds - self.history.now()))
            gevent.joinall(self.greenlets)
            self.history.faults_over_at = self.history.now()
            gevent.sleep(AFTERMATH_S)
            for caller in self.callers:
                caller.stopped = True
            gevent.sleep(1.0)
        finally:
            self._close()
        return self.history

    def _start(self) -> None:
        for number in range(MODELS + LEDGERS):
            service = "models" if number < MODELS else "ledger"
            self._add_target(service, DOMAINS[number % len(DOMAINS)])
        self._write_config()
        for router in self.routers:
            router.start()
        gevent.sleep(2.5)
        for caller in self.callers:
            gevent.spawn(caller.run)

    def _close(self) -> None:
        for router in self.routers:
            router.close()
        for target in self.targets:
            target.close()
        self.store.close()

    def _add_target(
        self, service: str, domain: str, version: str = "v1", cold_s: float = 0.0
    ) -> SoakTarget:
        self.boots += 1
        target = SoakTarget(
            f"i-{self.boots}", service, domain, version, self.history, self.rng.randrange(1 << 30)
        )
        self.targets.append(target)
        if cold_s:
            self._record_cold(target, cold_s)
        self._register(target, cold_s)
        return target

    def _record_cold(self, target: SoakTarget, cold_s: float) -> None:
        now = self.history.now()
        self.history.cold.append(Span("cold", now, now + cold_s, target.id, target.born))

    def _register(self, target: SoakTarget, cold_s: float = 0.0) -> None:
        self.store.put(TARGETS_KIND, target.id, target.entry(round(cold_s * 1_000)))

    def _write_config(self) -> None:
        self.version += self.rng.randint(1, 3)
        routes = [route_entry(*route, self.timeout_ms) for route in self.routes]
        services = service_entries(COLD_S, self.history.cold_per_s)
        tenants = [
            {"name": workspace, "api_keys": [key]} for key, workspace in sorted(self.keys.items())
        ]
        limits = {"header_timeout_ms": 2_000, "idle_timeout_ms": 15_000}
        spec = {"version": self.version, "routes": routes, "services": services}
        self.store.put(CONFIG_KIND, "main", spec | {"tenants": tenants, "limits": limits})

    def _play(self, action: Action) -> None:
        start = self.history.now()
        play, subject = self._plan(action)
        play()
        end = self.history.now()
        if action.kind not in PLANNED:
            self.history.disturbances.append(Span(action.kind.value, start, end, subject))

    def _plan(self, action: Action) -> tuple[Callable[[], None], str]:
        """Return what an action does and to whom."""
        name = action.kind.value
        hold = action.for_s
        router = self.routers[int(action.draw * len(self.routers))]
        living = [target for target in self.targets if not target.leaving]
        target = living[int(action.draw * len(living))]
        if name.startswith("router_") or name == "clock_jump":
            return (lambda: self._router(action.kind, router, hold)), router.address
        if name.startswith("store_path_"):
            return (lambda: self._path(router.store_path, name.rpartition("path_")[2], hold)), (
                router.address
            )
        if name.startswith("target_path_"):
            return (lambda: self._path(target.proxy, name.rpartition("path_")[2], hold)), target.id
        if name.startswith("target_"):
            return (lambda: self._target(action.kind, target, hold)), target.id
        if name.startswith("store_"):
            return (lambda: self._store(action.kind, hold)), ""
        return (lambda: self._plan_work(action, hold)), ""

    def _router(self, kind: Kind, router: RouterProcess, hold: float) -> None:
        if kind is Kind.ROUTER_TERM:
            router.terminate()
        elif kind is Kind.ROUTER_KILL:
            router.kill()
        elif kind is Kind.ROUTER_HUP:
            router.reload()
        elif kind is Kind.ROUTER_PAUSE:
            router.signal(signal.SIGSTOP)
            gevent.sleep(hold)
            router.signal(signal.SIGCONT)
        else:
            router.clock_path.write_text(str(random.Random(hold).randint(-5_000, 5_000)))
            gevent.sleep(hold)
            router.clock_path.write_text("0")

    def _path(self, proxy: Proxy, how: str, hold: float) -> None:
        faults = {
            "silent": Fault(mute=frozenset(("out", "back"))),
            "one_way": Fault(mute=frozenset(("back",))),
            "reset": Fault(reset_part=0.3, refuse=hold > 2.0),
            "slow": Fault(delay_ms=120),
        }
        proxy.fault = faults[how]
        if how == "reset":
            proxy.reset_all()
        gevent.sleep(hold)
        proxy.fault = Fault()
        if how in ("silent", "one_way"):
            # What was dropped is lost, so its connections cannot go on.
            proxy.reset_all()

    def _target(self, kind: Kind, target: SoakTarget, hold: float) -> None:
        changed = {
            Kind.TARGET_GREY: Behaviour(fail=0.4),
            Kind.TARGET_REFUSES: Behaviour(refuse=0.5),
            Kind.TARGET_BREAKS: Behaviour(truncate=0.3, reset=0.2),
            Kind.TARGET_GARBLES: Behaviour(garble=0.4, lose=0.1),
            Kind.TARGET_SLOW: Behaviour(slow=0.7),
        }.get(kind)
        if changed is not None:
            target.behaviour = changed
            gevent.sleep(hold)
            target.behaviour = Behaviour()
        elif kind is Kind.TARGET_DRAIN:
            self._drain(target)
        elif kind is Kind.TARGET_COLD:
            self._record_cold(target, COLD_S)
            self._register(target, COLD_S)
            gevent.sleep(COLD_S)
        elif kind is Kind.TARGET_RESTART:
            self._restart(target, hold)
        else:
            self._crash(target, hold, reuse=kind is Kind.TARGET_REUSE)

    def _drain(self, target: SoakTarget) -> None:
        target.leaving = True
        self._add_target(target.service, target.failure_domain, target.version)
        self._register(target)
        since = self.history.now()
        gevent.sleep(LEAVE_S)
        self.store.remove(TARGETS_KIND, target.id)
        self.history.drained_targets.append(Span("drained", since, NEVER, target.id))
        gevent.sleep(1.0)
        self._stop(target)

    def _crash(self, target: SoakTarget, hold: float, reuse: bool) -> None:
        """End a target; with `reuse` its address goes to a target of another service."""
        target.leaving = True
        target.server.close()
        target.proxy.reset_all()
        gevent.sleep(min(hold, 1.0))
        if reuse:
            other = "ledger" if target.service == "models" else "models"
            heir = self._add_target(other, target.failure_domain)
            target.proxy.server = heir.server.address
        gevent.sleep(hold)
        if (TARGETS_KIND, target.id) in self.store.objects:
            self.store.remove(TARGETS_KIND, target.id)
        self._add_target(target.service, target.failure_domain, target.version, COLD_S)

    def _restart(self, target: SoakTarget, hold: float) -> None:
        """End a target and start it again under its id, cold; its entry changes later."""
        if not target.running:
            return
        target.end()
        gevent.sleep(hold)
        if target.leaving:
            return
        target.start_again()
        self._record_cold(target, COLD_S)
        late_s = random.Random(hold).uniform(0.0, REGISTERED_LATE_S)
        gevent.sleep(late_s)
        if not target.leaving:
            self._register(target, COLD_S - late_s)

    def _stop(self, target: SoakTarget) -> None:
        target.close()
        self.targets.remove(target)

    def _store(self, kind: Kind, hold: float) -> None:
        if kind is Kind.STORE_FORGETS:
            self.store.forget()
            return

        def lose(environ: dict[str, Any]) -> Any:
            if environ["REQUEST_METHOD"] in ("POST", "PUT"):
                return self.store.respond_later(environ, LOST_ANSWER_S)
            return None

        faults: dict[Kind, Callable[[dict[str, Any]], Any]] = {
            Kind.STORE_BUSY: lambda environ: (503, None),
            Kind.STORE_SLOW: lambda environ: gevent.sleep(0.25),
            Kind.STORE_LOSES_ANSWERS: lose,
        }
        self.store.fault = faults[kind]
        gevent.sleep(hold)
        self.store.fault = lambda environ: None

    def _plan_work(self, action: Action, hold: float) -> None:
        work = {
            Kind.ALL_KILLED: self._kill_all,
            Kind.CONFIG_ROUTE: self._toggle_route,
            Kind.CONFIG_REVOKE: self._revoke,
            Kind.CONFIG_TIMEOUT: self._change_timeout,
            Kind.DOMAIN_DRAIN: self._drain_domain,
            Kind.ROLLOUT: self._roll_out,
        }
        work[action.kind](hold)

    def _kill_all(self, hold: float) -> None:
        for router in self.routers:
            router.kill()

    def _toggle_route(self, hold: float) -> None:
        if EXTRA_ROUTE in self.routes:
            self.routes.remove(EXTRA_ROUTE)
        else:
            self.routes.append(EXTRA_ROUTE)
        self._write_config()
        now = self.history.now()
        gone = self.history.removed_routes
        if EXTRA_ROUTE not in self.routes:
            gone.append(Span("route", now, NEVER, EXTRA_ROUTE[0]))
        else:
            last = gone.pop()
            gone.append(Span("route", last.start, now, last.subject))

    def _revoke(self, hold: float) -> None:
        """Take a key away for good; the last one stays, so that callers have one."""
        if len(self.keys) > 1:
            key = sorted(self.keys)[0]
            del self.keys[key]
            self._write_config()
            self.history.removed_keys.append(Span("key", self.history.now(), NEVER, key))

    def _change_timeout(self, hold: float) -> None:
        self.timeout_ms = 2_000 if self.timeout_ms == 3_000 else 3_000
        self._write_config()

    def _drain_domain(self, hold: float) -> None:
        if (DRAINED_DOMAINS_KIND, DOMAINS[0]) in self.store.objects:
            return
        self.store.put(DRAINED_DOMAINS_KIND, DOMAINS[0], {})
        since = self.history.now()
        gevent.sleep(hold + 4.0)
        self.history.drained_domains.append(Span("drained", since, self.history.now(), DOMAINS[0]))
        self.store.remove(DRAINED_DOMAINS_KIND, DOMAINS[0])

    def _roll_out(self, hold: float) -> None:
        """Start targets of a new version beside the old ones, and end those that lose."""
        if any(kind == ROLLOUTS_KIND for kind, _ in self.store.objects):
            return
        old = [t for t in self.targets if t.service == "models" and not t.leaving]
        version = f"v{self.boots + 1}"
        new = [self._add_target("models", t.failure_domain, version) for t in old]
        spec = {"service": "models", "to": version, "duration_s": ROLLOUT_S}
        self.store.put(ROLLOUTS_KIND, "models", spec)
        gevent.sleep(ROLLOUT_S + 1.0)
        status = self.store.objects[ROLLOUTS_KIND, "models"]["status"] or {}
        losers = old if status.get("state") == "completed" else new
        for target in losers:
            if target.leaving:
                continue
            target.leaving = True
            self.store.remove(TARGETS_KIND, target.id)
            target.close()
        self.store.remove(ROLLOUTS_KIND, "models")
