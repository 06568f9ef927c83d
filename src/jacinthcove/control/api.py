"""The administration API of the controller, a WSGI application."""

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
from jacinthcove.control.acceptance import (
    Acceptance,
    Accepted,
    Change,
    OutcomeUnknown,
    new_change_id,
)
from jacinthcove.control.web import Answer, Refused, Request, read_request, send
from jacinthcove.errors import ConfigurationError, Conflict, StoreUnavailable
from jacinthcove.moves.rates import pace_warnings
from jacinthcove.observe.logs import get_logger

Statuses = Callable[[], tuple[list[tuple[str, int]], list[str]]]
RETRY_AFTER_MS = 1_000
MAX_HISTORY = 200


@dataclass(frozen=True)
class Call:
    """An authenticated request of an operator."""

    operator: str
    request: Request
    parts: tuple[str, ...]

    def change(self, action: str) -> Change:
        """Return the change that this call makes; a repeated call repeats its id."""
        change_id = self.request.headers.get("x-change-id", "")
        if not NAME.pattern.fullmatch(change_id):  # type: ignore[union-attr]
            change_id = new_change_id()
        return Change(id=change_id, author=self.operator, action=action)


class AdminApi:
    """Answers operators.

    `active` returns None on the active controller and else the address of the active one, empty if
    unknown. `statuses` returns the configuration revisions applied by live members and the ids of
    members that did not answer. `bootstrap_key_hash` admits an operator while none is configured.
    `request_rate` returns the requests/s of a service, None if no router answers.
    """

    def __init__(
        self,
        acceptance: Acceptance,
        active: Callable[[], str | None],
        statuses: Statuses,
        status: Callable[[], dict[str, Any]] = dict,
        bootstrap_key_hash: str = "",
        request_rate: Callable[[str], float | None] = lambda service: None,
    ):
        self.acceptance = acceptance
        self.active = active
        self.statuses = statuses
        self.status = status
        self.bootstrap_key_hash = bootstrap_key_hash
        self.request_rate = request_rate
        self.known = FleetConfig()
        self.log = get_logger(component="admin")
        self.routes: dict[tuple[str, ...], Callable[[Call], Answer]] = {
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
        """Answer one WSGI request."""
        return send(self.answer(environ), start_response)

    def answer(self, environ: dict[str, Any]) -> Answer:
        """Return the answer to a WSGI environment; failures become statuses."""
        operator, request = "", None
        try:
            request = read_request(environ)
            if request.path == "/healthz":
                return Answer(200, {"ok": True})
            self._require_active()
            operator = self._operator(request)
            answer = self._dispatch(operator, request)
        except Exception as error:
            answer = _failure(error)
            if answer.status == 500:
                self.log.exception("admin_call_failed")
        if request is not None and request.method != "GET":
            self._audit(operator, request, answer)
        return answer

    def _audit(self, operator: str, request: Request, answer: Answer) -> None:
        self.log.info(
            "admin_change",
            operator=operator,
            action=f"{request.method} {request.path}",
            outcome=answer.body.get("outcome", "done"),
            status=answer.status,
            revision=answer.body.get("revision"),
            message=answer.body.get("message"),
        )

    def _require_active(self) -> None:
        active = self.active()
        if active is None:
            return
        if not active:
            raise Refused(503, "no controller is active", retry_after_ms=RETRY_AFTER_MS)
        raise Refused(421, f"the active controller is {active}", active=active)

    def _operator(self, request: Request) -> str:
        scheme, _, key = request.headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not key:
            raise Refused(401, "an operator key is required as bearer token")
        key_hash = hashlib.sha256(key.strip().encode("latin-1", "replace")).hexdigest()
        try:
            self.known = self.acceptance.current()
        except StoreUnavailable:
            # Reads still work with the operators known last; a change needs the store anyway.
            if not self.known.operators:
                raise
        for operator in self.known.operators.values():
            if operator.key_hash == key_hash:
                return operator.name
        if not self.known.operators and key_hash == self.bootstrap_key_hash:
            return "bootstrap"
        raise Refused(401, "the operator key is unknown")

    def _dispatch(self, operator: str, request: Request) -> Answer:
        names = tuple(request.path.strip("/").split("/"))
        if names[0] == "admin":
            for (method, *pattern), handler in self.routes.items():
                if method == request.method and _matches(tuple(pattern), names[1:]):
                    return handler(Call(operator, request, names[1:]))
        raise Refused(404, f"no such call: {request.method} {request.path}")

    def _get_config(self, call: Call) -> Answer:
        current = self.acceptance.accepted()
        revision = call.request.number("revision", current.config.revision)
        found = current if revision == current.config.revision else self.acceptance.at(revision)
        if found is None:
            raise Refused(404, f"revision {revision} does not exist or is no longer kept")
        return Answer(200, _shown(found.config), {"X-Revision": str(revision)})

    def _put_config(self, call: Call) -> Answer:
        expected = call.request.number("if-revision", -1, call.request.headers)
        if expected < 0:
            raise Refused(428, "If-Revision is required")
        current = self.acceptance.accepted()
        change = call.change("apply")
        new, warnings = keep_operational_state(current.config, decode(call.request.body))
        report = ProblemReport()
        check_config(new, report, self.acceptance.clock.wall())
        warnings += [str(problem) for problem in report.warnings]
        body = {"warnings": warnings, "changes": diff(current.config, new)}
        if call.request.query.get("dry_run"):
            if report.errors:
                raise ConfigurationError("\n".join(str(problem) for problem in report.errors))
            return Answer(200, {**body, "revision": current.config.revision, "outcome": "dry run"})
        if current.config.revision == expected and not body["changes"]:
            return Answer(200, {**body, "revision": expected, "outcome": "unchanged"})
        revision = self.acceptance.submit(new, expected, change)
        return Answer(200, {**body, "revision": revision})

    def _get_history(self, call: Call) -> Answer:
        limit = min(call.request.number("limit", 20), MAX_HISTORY)
        found = self.acceptance.history(limit + 1)
        older: list[Accepted | None] = [*found[1:], None]
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
        return Answer(200, {"history": entries[:limit]})

    def _get_in_force(self, call: Call) -> Answer:
        revision = call.request.number("revision", self.known.revision)
        applied, silent = self.statuses()
        behind = sorted(name for name, has in applied if has < revision)
        return Answer(
            200,
            {
                "revision": revision,
                "in_force": bool(applied) and not behind and not silent,
                "lowest": min((has for _, has in applied), default=0),
                "confirmed": len(applied) - len(behind),
                "behind": behind,
                "silent": sorted(silent),
            },
        )

    def _drain(self, call: Call) -> Answer:
        return self._set_drained(call, True)

    def _return(self, call: Call) -> Answer:
        return self._set_drained(call, False)

    def _set_drained(self, call: Call, drained: bool) -> Answer:
        name = call.parts[1]
        action = f"{'drain' if drained else 'return'} {name}"
        revision = self.acceptance.update(
            lambda config: set_drained(config, name, drained), call.change(action)
        )
        return Answer(200, {"revision": revision})

    def _get_moves(self, call: Call) -> Answer:
        moves = self.acceptance.current().moves
        return Answer(200, {"moves": [moves[name] for name in sorted(moves)]})

    def _post_move(self, call: Call) -> Answer:
        data = call.request.json()
        wall_ms = self.acceptance.clock.wall()

        def edit(config: FleetConfig) -> FleetConfig:
            return start_move(config, new_move(config, data, wall_ms))

        action = f"start move of {data.get('service')} to {data.get('to')}"
        revision = self.acceptance.update(edit, call.change(action))
        move = self.acceptance.current().moves.get(_move_id(data))
        warnings = self._pace(move, wall_ms) if move is not None else []
        return Answer(200, {"revision": revision, "id": _move_id(data), "warnings": warnings})

    def _pace(self, move: Move, wall_ms: int) -> list[str]:
        left_ms = move.deadline_ms - max(move.start_ms, wall_ms)
        return pace_warnings(move.steps, self.request_rate(move.service), left_ms)

    def _abort(self, call: Call) -> Answer:
        name = call.parts[1]
        reason = f"aborted by {call.operator}"
        revision = self.acceptance.update(
            lambda config: abort_move(config, name, reason), call.change(f"abort {name}")
        )
        return Answer(200, {"revision": revision})

    def _get_status(self, call: Call) -> Answer:
        config = self.known
        drained = sorted(d.name for d in config.failure_domains.values() if d.drained)
        active = [config.active_move(name) for name in sorted(config.services)]
        applied, silent = self.statuses()
        return Answer(
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


def _matches(pattern: tuple[str, ...], names: tuple[str, ...]) -> bool:
    return len(pattern) == len(names) and all(
        part in ("*", name) and name for part, name in zip(pattern, names, strict=True)
    )


def _shown(config: FleetConfig) -> Any:
    """Return the configuration as a JSON value without the fleet key."""
    return orjson.loads(encode(replace(config, fleet_key="")))


def _move_id(data: dict[str, Any]) -> str:
    return str(data.get("id") or f"{data.get('service')}-{data.get('to')}")


def new_move(config: FleetConfig, data: dict[str, Any], wall_ms: int) -> Move:
    """Return the move that an operator asks for; raise `UnknownName` or `ConfigurationError`."""
    service = config.services.get(str(data.get("service")))
    if service is None:
        raise UnknownName(f"no service is called {data.get('service')}")
    was = config.moves.get(_move_id(data))
    try:
        steps = tuple(
            MoveStep(float(step["share"]), int(step["min_requests"]))
            for step in data.get("steps", ())
        )
        return Move(
            id=_move_id(data),
            service=service.name,
            from_version=was.from_version if was else service.version,
            to_version=str(data["to"]),
            start_ms=int(data.get("start_ms", wall_ms)),
            deadline_ms=int(data["deadline_ms"]),
            steps=steps or DEFAULT_STEPS,
        )
    except (KeyError, TypeError, ValueError) as error:
        raise ConfigurationError(
            "a move needs service, to, deadline_ms and, if given, steps of share and min_requests"
        ) from error


def _failure(error: Exception) -> Answer:
    """Return the answer that reports `error`; `outcome` says whether the change took effect."""
    if isinstance(error, Refused):
        return _refusal(error.status, error.message, **error.details)
    if isinstance(error, ConfigurationError):
        return _refusal(422, str(error))
    if isinstance(error, Conflict):
        message = (
            f"another change came first: the configuration is at revision {error.current_version}"
        )
        return _refusal(409, message, revision=error.current_version)
    if isinstance(error, UnknownName):
        return _refusal(404, str(error))
    if isinstance(error, MoveEnded):
        return _refusal(409, str(error))
    if isinstance(error, OutcomeUnknown):
        body = {"outcome": "unknown", "message": str(error), "revision": error.revision}
        return Answer(503, {**body, "retry_after_ms": RETRY_AFTER_MS})
    if isinstance(error, StoreUnavailable):
        message = f"the store does not answer, nothing was changed: {error}"
        return _refusal(503, message, retry_after_ms=RETRY_AFTER_MS)
    return Answer(500, {"outcome": "unknown", "message": "the controller failed; see its log"})


def _refusal(status: int, message: str, **details: Any) -> Answer:
    return Answer(status, {"outcome": "refused", "message": message, **details})
