"""The admin API of the controller, a WSGI application."""

import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any

import orjson

from jacinthcove.config.checks import check_config
from jacinthcove.config.document import decode, diff, encode
from jacinthcove.config.model import FleetConfig, Move, MoveStep
from jacinthcove.config.options import NAME, ProblemReport
from jacinthcove.config.schema import DEFAULT_STEPS
from jacinthcove.config.state import (
    MoveEnded,
    UnknownName,
    abort_move,
    keep_operational_state,
    set_drained,
    start_move,
)
from jacinthcove.control.configstore import (
    AcceptedConfig,
    Change,
    ConfigStore,
    OutcomeUnknown,
    new_change_id,
)
from jacinthcove.control.jsonhttp import HttpError, Request, Response, read_request, send_response
from jacinthcove.errors import ConfigurationError, Conflict, StoreUnavailable
from jacinthcove.moves.rates import deadline_warnings
from jacinthcove.observe.logs import get_logger

# Returns (member id, applied revision) pairs, and the ids of members that did not reply.
AppliedRevisions = Callable[[], tuple[list[tuple[str, int]], list[str]]]
RETRY_AFTER_MS = 1_000
MAX_HISTORY = 200


@dataclass(frozen=True)
class Call:
    """An authenticated request; `path` holds the path segments after `/admin`."""

    operator: str
    request: Request
    path: tuple[str, ...]

    def change(self, action: str) -> Change:
        """Return the change made by this call; a retry sends the same `X-Change-Id`."""
        change_id = self.request.headers.get("x-change-id", "")
        if not NAME.pattern.fullmatch(change_id):  # type: ignore[union-attr]
            change_id = new_change_id()
        return Change(id=change_id, author=self.operator, action=action)


class AdminApi:
    """Handles the calls of operators.

    `active` returns None on the active controller; elsewhere it returns the address of the active
    one, empty if unknown. `applied_revisions` returns what each live member applied and which
    members are silent. `status` returns further fields for `/admin/status`. `bootstrap_key_hash`
    is that of a key accepted only while no operator is configured. `request_rate` returns the
    requests/s of a service, None if no router replies.
    """

    def __init__(
        self,
        config_store: ConfigStore,
        active: Callable[[], str | None],
        applied_revisions: AppliedRevisions,
        status: Callable[[], dict[str, Any]] = dict,
        bootstrap_key_hash: str = "",
        request_rate: Callable[[str], float | None] = lambda service: None,
    ):
        self.config_store = config_store
        self.active = active
        self.applied_revisions = applied_revisions
        self.status = status
        self.bootstrap_key_hash = bootstrap_key_hash
        self.request_rate = request_rate
        self.last_config = FleetConfig()
        self.log = get_logger(component="admin")
        self.routes: dict[tuple[str, ...], Callable[[Call], Response]] = {
            ("GET", "config"): self._get_config,
            ("PUT", "config"): self._put_config,
            ("GET", "history"): self._get_history,
            ("GET", "in-force"): self._get_in_force,
            ("GET", "moves"): self._get_moves,
            ("POST", "moves"): self._post_move,
            ("GET", "status"): self._get_status,
            ("POST", "domains", "*", "drain"): self._drain,
            ("POST", "domains", "*", "return"): self._return,
            ("POST", "moves", "*", "abort"): self._abort,
        }

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Handle one WSGI request."""
        return send_response(self.handle(environ), start_response)

    def handle(self, environ: dict[str, Any]) -> Response:
        """Return the response to a WSGI environment; exceptions become error responses."""
        operator, request = "", None
        try:
            request = read_request(environ)
            if request.path == "/healthz":
                return Response(200, {"ok": True})
            self._require_active()
            operator = self._authenticate(request)
            response = self._dispatch(operator, request)
        except Exception as error:
            response = _error_response(error)
            if response.status == 500:
                self.log.exception("admin_call_failed")
        if request is not None and request.method != "GET":
            self._audit(operator, request, response)
        return response

    def _audit(self, operator: str, request: Request, response: Response) -> None:
        self.log.info(
            "admin_change",
            operator=operator,
            action=f"{request.method} {request.path}",
            outcome=response.body.get("outcome", "done"),
            status=response.status,
            revision=response.body.get("revision"),
            message=response.body.get("message"),
        )

    def _require_active(self) -> None:
        active = self.active()
        if active is None:
            return
        if not active:
            raise HttpError(503, "no controller is active", retry_after_ms=RETRY_AFTER_MS)
        raise HttpError(421, f"the active controller is {active}", active=active)

    def _authenticate(self, request: Request) -> str:
        scheme, _, key = request.headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not key:
            raise HttpError(401, "an operator key is required as bearer token")
        key_hash = hashlib.sha256(key.strip().encode("latin-1", "replace")).hexdigest()
        try:
            self.last_config = self.config_store.current()
        except StoreUnavailable:
            # Calls that do not read the store still work, with the last known operators.
            if not self.last_config.operators:
                raise
        for operator in self.last_config.operators.values():
            if operator.key_hash == key_hash:
                return operator.name
        if not self.last_config.operators and key_hash == self.bootstrap_key_hash:
            return "bootstrap"
        raise HttpError(401, "the operator key is unknown")

    def _dispatch(self, operator: str, request: Request) -> Response:
        path = tuple(request.path.strip("/").split("/"))
        if path[0] == "admin":
            for (method, *pattern), handler in self.routes.items():
                if method == request.method and _matches(tuple(pattern), path[1:]):
                    return handler(Call(operator, request, path[1:]))
        raise HttpError(404, f"no such call: {request.method} {request.path}")

    def _get_config(self, call: Call) -> Response:
        current = self.config_store.accepted()
        revision = call.request.number("revision", current.config.revision)
        found = (
            current
            if revision == current.config.revision
            else self.config_store.get_revision(revision)
        )
        if found is None:
            raise HttpError(404, f"revision {revision} does not exist or is no longer kept")
        return Response(200, _without_secrets(found.config), {"X-Revision": str(revision)})

    def _put_config(self, call: Call) -> Response:
        expected = call.request.number("if-revision", -1, call.request.headers)
        if expected < 0:
            raise HttpError(428, "If-Revision is required")
        current = self.config_store.accepted()
        change = call.change("apply")
        new, warnings = keep_operational_state(current.config, decode(call.request.body))
        report = ProblemReport()
        check_config(new, report, self.config_store.clock.wall())
        warnings += [str(problem) for problem in report.warnings]
        body = {"warnings": warnings, "changes": diff(current.config, new)}
        if call.request.query.get("dry_run"):
            if report.errors:
                raise ConfigurationError("\n".join(str(problem) for problem in report.errors))
            return Response(
                200, {**body, "revision": current.config.revision, "outcome": "dry run"}
            )
        if current.config.revision == expected and not body["changes"]:
            return Response(200, {**body, "revision": expected, "outcome": "unchanged"})
        revision = self.config_store.submit(new, expected, change)
        return Response(200, {**body, "revision": revision})

    def _get_history(self, call: Call) -> Response:
        limit = min(call.request.number("limit", 20), MAX_HISTORY)
        found = self.config_store.history(limit + 1)
        older: list[AcceptedConfig | None] = [*found[1:], None]
        entries = [
            {
                "revision": entry.config.revision,
                "author": entry.change.author,
                "action": entry.change.action,
                "wall_ms": entry.change.wall_ms,
                "changes": len(diff(before.config if before else FleetConfig(), entry.config)),
            }
            for entry, before in zip(found, older, strict=True)
        ]
        return Response(200, {"history": entries[:limit]})

    def _get_in_force(self, call: Call) -> Response:
        revision = call.request.number("revision", self.last_config.revision)
        applied, silent = self.applied_revisions()
        behind = sorted(name for name, latest in applied if latest < revision)
        return Response(
            200,
            {
                "revision": revision,
                "in_force": bool(applied) and not behind and not silent,
                "lowest": min((latest for _, latest in applied), default=0),
                "confirmed": len(applied) - len(behind),
                "behind": behind,
                "silent": sorted(silent),
            },
        )

    def _drain(self, call: Call) -> Response:
        return self._set_drained(call, True)

    def _return(self, call: Call) -> Response:
        return self._set_drained(call, False)

    def _set_drained(self, call: Call, drained: bool) -> Response:
        name = call.path[1]
        action = f"{'drain' if drained else 'return'} {name}"
        revision = self.config_store.update(
            lambda config: set_drained(config, name, drained), call.change(action)
        )
        return Response(200, {"revision": revision})

    def _get_moves(self, call: Call) -> Response:
        moves = self.config_store.current().moves
        return Response(200, {"moves": [moves[name] for name in sorted(moves)]})

    def _post_move(self, call: Call) -> Response:
        data = call.request.json()
        wall_ms = self.config_store.clock.wall()

        def edit(config: FleetConfig) -> FleetConfig:
            return start_move(config, new_move(config, data, wall_ms))

        action = f"start move of {data.get('service')} to {data.get('to')}"
        revision = self.config_store.update(edit, call.change(action))
        move = self.config_store.current().moves.get(_move_id(data))
        warnings = self._deadline_warnings(move, wall_ms) if move is not None else []
        return Response(200, {"revision": revision, "id": _move_id(data), "warnings": warnings})

    def _deadline_warnings(self, move: Move, wall_ms: int) -> list[str]:
        left_ms = move.deadline_ms - max(move.start_ms, wall_ms)
        return deadline_warnings(move.steps, self.request_rate(move.service), left_ms)

    def _abort(self, call: Call) -> Response:
        name = call.path[1]
        reason = f"aborted by {call.operator}"
        revision = self.config_store.update(
            lambda config: abort_move(config, name, reason), call.change(f"abort {name}")
        )
        return Response(200, {"revision": revision})

    def _get_status(self, call: Call) -> Response:
        config = self.last_config
        drained = sorted(d.name for d in config.failure_domains.values() if d.drained)
        active = [config.active_move(name) for name in sorted(config.services)]
        applied, silent = self.applied_revisions()
        return Response(
            200,
            {
                **self.status(),
                "site": config.site,
                "revision": config.revision,
                "drained": drained,
                "moves": [move for move in active if move is not None],
                "members": dict(applied),
                "silent": sorted(silent),
            },
        )


def _matches(pattern: tuple[str, ...], path: tuple[str, ...]) -> bool:
    return len(pattern) == len(path) and all(
        segment in ("*", name) and name for segment, name in zip(pattern, path, strict=True)
    )


def _without_secrets(config: FleetConfig) -> Any:
    """Return the configuration as a JSON value with an empty fleet key."""
    return orjson.loads(encode(replace(config, fleet_key="")))


def _move_id(data: dict[str, Any]) -> str:
    return str(data.get("id") or f"{data.get('service')}-{data.get('to')}")


def new_move(config: FleetConfig, data: dict[str, Any], wall_ms: int) -> Move:
    """Build the move in a request body; raise `UnknownName` or `ConfigurationError`."""
    service = config.services.get(str(data.get("service")))
    if service is None:
        raise UnknownName(f"no service is called {data.get('service')}")
    existing = config.moves.get(_move_id(data))
    try:
        steps = tuple(
            MoveStep(float(step["share"]), int(step["min_requests"]))
            for step in data.get("steps", ())
        )
        return Move(
            id=_move_id(data),
            service=service.name,
            from_version=existing.from_version if existing else service.version,
            to_version=str(data["to"]),
            start_ms=int(data.get("start_ms", wall_ms)),
            deadline_ms=int(data["deadline_ms"]),
            steps=steps or DEFAULT_STEPS,
        )
    except (KeyError, TypeError, ValueError) as error:
        raise ConfigurationError(
            "a move needs service, to, deadline_ms and, if given, steps of share and min_requests"
        ) from error


def _error_response(error: Exception) -> Response:
    """Return the response to `error`; its `outcome` says whether the change took effect."""
    if isinstance(error, HttpError):
        return _rejection(error.status, error.message, **error.details)
    if isinstance(error, ConfigurationError):
        return _rejection(422, str(error))
    if isinstance(error, Conflict):
        message = (
            f"another change came first: the configuration is at revision {error.current_version}"
        )
        return _rejection(409, message, revision=error.current_version)
    if isinstance(error, UnknownName):
        return _rejection(404, str(error))
    if isinstance(error, MoveEnded):
        return _rejection(409, str(error))
    if isinstance(error, OutcomeUnknown):
        body = {"outcome": "unknown", "message": str(error), "revision": error.revision}
        return Response(503, {**body, "retry_after_ms": RETRY_AFTER_MS})
    if isinstance(error, StoreUnavailable):
        message = f"the store does not answer, nothing was changed: {error}"
        return _rejection(503, message, retry_after_ms=RETRY_AFTER_MS)
    return Response(500, {"outcome": "unknown", "message": "the controller failed; see its log"})


def _rejection(status: int, message: str, **details: Any) -> Response:
    return Response(status, {"outcome": "refused", "message": message, **details})
