"""Client of the admin API that finds the active controller itself."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import quote

import orjson

from jacinthcove.clock import Clock, SystemClock
from jacinthcove.config.document import decode, encode
from jacinthcove.config.model import FleetConfig
from jacinthcove.control.configstore import new_change_id
from jacinthcove.errors import ConfigurationError, JacinthcoveError
from jacinthcove.store.connections import Connections, NoReply, Reply

# A call may take as long as the controller tries to resolve an unconfirmed write, and a bit more.
CALL_TIMEOUT_MS = 8_000
# How long a call is retried. A new controller takes over within the lease ttl plus the maximum
# duration of an order.
RETRY_FOR_MS = 20_000
RETRY_PERIOD_MS = 300
POLL_PERIOD_MS = 200


class AdminError(JacinthcoveError):
    """The admin API rejected a call; `status` is the HTTP status."""

    def __init__(self, status: int, message: str, body: dict[str, Any]):
        super().__init__(message)
        self.status = status
        self.body = body


class NoController(JacinthcoveError):  # noqa: N818 - names an outcome
    """No active controller replied in time; a change may have been accepted."""


@dataclass(frozen=True)
class InForce:
    """Which members have applied a revision; `silent` ones did not reply."""

    revision: int
    in_force: bool
    lowest: int
    confirmed: int
    behind: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()

    def summary(self) -> str:
        """Return one line for operators that names the members without confirmation."""
        if self.in_force:
            return f"revision {self.revision} is in force on all {self.confirmed} members"
        missing = [*self.behind, *(f"{name} (no answer)" for name in self.silent)]
        names = ", ".join(missing) or "every member"
        return f"revision {self.revision}: {self.confirmed} confirmed, not confirmed by {names}"


@dataclass(frozen=True)
class StartedMove:
    """A started move; `revision` is a revision that contains it."""

    id: str
    revision: int
    warnings: tuple[str, ...] = ()


@dataclass(frozen=True)
class Applied:
    """The outcome of `apply`, which is an accepted configuration or a dry run."""

    revision: int
    changes: tuple[str, ...] = ()
    warnings: tuple[str, ...] = ()
    outcome: str = "accepted"


@dataclass
class AdminClient:
    """Calls the active controller, starting from any of `addresses`.

    Every method raises `AdminError` if the call is rejected and `NoController` without a reply in
    time. Retries of a change carry the same change id, so that it takes effect once.
    """

    addresses: Sequence[str]
    key: str = field(repr=False)
    clock: Clock = field(default_factory=SystemClock)
    timeout_ms: int = CALL_TIMEOUT_MS
    retry_for_ms: int = RETRY_FOR_MS

    def __post_init__(self) -> None:
        self.address_order = list(self.addresses)
        self.pools: dict[str, Connections] = {}

    def close(self) -> None:
        """Close all connections."""
        for pool in self.pools.values():
            pool.close()

    def config(self, revision: int | None = None) -> FleetConfig:
        """Return a revision of the configuration without secrets, by default the accepted one."""
        query = "" if revision is None else f"?revision={revision}"
        return decode(orjson.dumps(self.call("GET", f"/admin/config{query}")))

    def apply(self, config: FleetConfig, if_revision: int, dry_run: bool = False) -> Applied:
        """Replace revision `if_revision`; a dry run only reports what would change."""
        path = "/admin/config?dry_run=1" if dry_run else "/admin/config"
        headers = {"If-Revision": str(if_revision)}
        body = self.call("PUT", path, encode(config), headers)
        return Applied(
            revision=body["revision"],
            changes=tuple(body.get("changes", ())),
            warnings=tuple(body.get("warnings", ())),
            outcome=body.get("outcome", "accepted"),
        )

    def history(self, limit: int = 20) -> list[dict[str, Any]]:
        """Return the newest revisions, each with author, action and time."""
        return self.call("GET", f"/admin/history?limit={limit}")["history"]

    def in_force(self, revision: int) -> InForce:
        """Return which members have applied a revision."""
        body = self.call("GET", f"/admin/in-force?revision={revision}")
        return InForce(
            revision=body["revision"],
            in_force=body["in_force"],
            lowest=body["lowest"],
            confirmed=body["confirmed"],
            behind=tuple(body["behind"]),
            silent=tuple(body["silent"]),
        )

    def wait_in_force(
        self, revision: int, timeout_ms: int, progress: Callable[[InForce], None] | None = None
    ) -> InForce:
        """Wait until all members have applied a revision; return the last state at the timeout.

        `progress` is called with each state that differs from the previous one.
        """
        ends_at = self.clock.now() + timeout_ms
        last: InForce | None = None
        while True:
            state = self.in_force(revision)
            if progress is not None and state != last:
                progress(state)
            if state.in_force or self.clock.now() >= ends_at:
                return state
            last = state
            self.clock.sleep(POLL_PERIOD_MS)

    def drain(self, domain: str) -> int:
        """Drain a failure domain and return a revision that contains this."""
        return self.call("POST", f"/admin/domains/{quote(domain, safe='')}/drain")["revision"]

    def return_domain(self, domain: str) -> int:
        """Undo the drain of a failure domain and return a revision that contains this."""
        return self.call("POST", f"/admin/domains/{quote(domain, safe='')}/return")["revision"]

    def moves(self) -> list[dict[str, Any]]:
        """Return all moves that the configuration contains."""
        return self.call("GET", "/admin/moves")["moves"]

    def start_move(self, move: dict[str, Any]) -> StartedMove:
        """Start a move of a service to another version, given as the JSON body."""
        body = self.call("POST", "/admin/moves", orjson.dumps(move))
        return StartedMove(body["id"], body["revision"], tuple(body.get("warnings", ())))

    def abort_move(self, move_id: str) -> int:
        """Abort a move, which reverts it, and return a revision that contains this."""
        return self.call("POST", f"/admin/moves/{quote(move_id, safe='')}/abort")["revision"]

    def status(self) -> dict[str, Any]:
        """Return the state of the fleet from `/admin/status`."""
        return self.call("GET", "/admin/status")

    def call(
        self, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> Any:
        """Send a request to the active controller and return the JSON body of its reply.

        Retries for `retry_for_ms` while no active controller replies.
        """
        request_headers = {
            "Authorization": f"Bearer {self.key}",
            "X-Change-Id": new_change_id(),
            "Content-Type": "application/json",
            **(headers or {}),
        }
        gives_up_at = self.clock.now() + self.retry_for_ms
        while True:
            reply = self._try_addresses(method, path, body, request_headers)
            if isinstance(reply, Reply):
                return self._parse_result(reply)
            if self.clock.now() >= gives_up_at:
                raise NoController(f"no active controller answered: {reply}")
            self.clock.sleep(RETRY_PERIOD_MS)

    def _try_addresses(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Reply | str:
        """Try every known address once; return the reply, or the reasons why there is none."""
        reasons = []
        tried: set[str] = set()
        untried = list(self.address_order)
        while untried:
            address = untried.pop(0)
            if address in tried:
                continue
            tried.add(address)
            try:
                reply = self._pool(address).request(method, path, body, headers)
            except NoReply as error:
                reasons.append(str(error))
                continue
            active = _decode_json(reply).get("active")
            if reply.status == 421 and active:
                untried.insert(0, active)
            elif reply.status in (421, 503):
                reasons.append(f"{address}: {_decode_json(reply).get('message', reply.status)}")
            else:
                self.address_order = [
                    address,
                    *(other for other in self.address_order if other != address),
                ]
                return reply
        return "; ".join(reasons) or "no address is known"

    def _pool(self, address: str) -> Connections:
        if address not in self.pools:
            self.pools[address] = Connections(address, self.timeout_ms)
        return self.pools[address]

    def _parse_result(self, reply: Reply) -> Any:
        data = _decode_json(reply)
        if reply.status == 200:
            return data
        message = data.get("message", f"the controller answered {reply.status}")
        if reply.status == 422:
            raise ConfigurationError(message)
        raise AdminError(reply.status, message, data)


def _decode_json(reply: Reply) -> dict[str, Any]:
    try:
        data = orjson.loads(reply.body)
    except orjson.JSONDecodeError:
        return {}
    return data if isinstance(data, dict) else {}
