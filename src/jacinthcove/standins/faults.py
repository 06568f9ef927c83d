"""Faults that tests inject into the stand-ins through `/faults`."""

from collections.abc import Callable
from dataclasses import asdict, dataclass, fields
from random import Random
from typing import Any

import gevent

from jacinthcove.clock import Clock
from jacinthcove.errors import ConfigurationError
from jacinthcove.standins.server import Request, Response, error_response, json_response


@dataclass(frozen=True)
class Faults:
    """The faults of one stand-in; the defaults mean none.

    `fail_rate` and `slow_factor` apply only to `route` (empty: all routes), while the target has at
    least `under_load` requests, and from `after_ms` after the faults were set. `cut_after` and
    `silent_after` count the chunks of one connection; they apply to resumed streams only if
    `on_resume` is set. `restart` takes effect once.
    """

    outage: bool = False
    delay_ms: int = 0
    lose_answers_next: int = 0
    lose_answers_rate: float = 0.0
    fail_rate: float = 0.0
    slow_factor: float = 1.0
    route: str = ""
    under_load: int = 0
    after_ms: int = 0
    not_admitted: bool = False
    leaving: bool = False
    restart: bool = False
    cut_after: int | None = None
    silent_after: int | None = None
    on_resume: bool = False
    duplicate_rate: float = 0.0
    reorder_rate: float = 0.0


def parse_faults(data: dict[str, Any]) -> Faults:
    """Build faults from JSON; raises `ConfigurationError` that lists every problem."""
    known = {item.name: item for item in fields(Faults)}
    problems = [f"{name}: unknown fault" for name in data if name not in known]
    for name, value in data.items():
        if name in known:
            problem = _value_problem(name, value, known[name].default)
            if problem:
                problems.append(f"{name}: {problem}")
    if problems:
        raise ConfigurationError("; ".join(problems))
    return Faults(**data)


def _value_problem(name: str, value: Any, default: Any) -> str | None:
    if isinstance(default, bool):
        return None if isinstance(value, bool) else "expected true or false"
    if isinstance(default, str):
        return None if isinstance(value, str) else "expected a string"
    if default is None and value is None:
        return None
    allowed = (int, float) if isinstance(default, float) else (int,)
    if isinstance(value, bool) or not isinstance(value, allowed):
        return "expected a number" if isinstance(default, float) else "expected an integer"
    if name.endswith("_rate") and not 0 <= value <= 1:
        return "expected a probability from 0 to 1"
    if name == "slow_factor" and value < 1:
        return "expected a factor of at least 1"
    return "expected no negative number" if value < 0 else None


class FaultControl:
    """Stores the active faults, decides random ones from a seed and serves `/faults`."""

    def __init__(self, clock: Clock, seed: int, on_change: Callable[[Faults], None] | None = None):
        self.clock = clock
        self.random = Random(seed)
        self.on_change = on_change
        self.faults = Faults()
        self.set_at = clock.now()
        self.responses_to_lose = 0

    def set(self, faults: Faults) -> None:
        """Replace all faults and restart the delay `after_ms`."""
        self.faults = faults
        self.set_at = self.clock.now()
        self.responses_to_lose = faults.lose_answers_next
        if self.on_change is not None:
            self.on_change(faults)

    def handle_request(self, request: Request) -> Response:
        """Serve `GET` and `PUT /faults`; a PUT replaces all faults."""
        if request.method == "PUT":
            try:
                self.set(parse_faults(request.json()))
            except ConfigurationError as error:
                return error_response(400, str(error))
        elif request.method != "GET":
            return error_response(405, "use GET or PUT")
        return json_response(asdict(self.faults))

    def delay_and_check_outage(self) -> bool:
        """Sleep for the injected delay, then return whether an outage is active."""
        if self.faults.delay_ms:
            gevent.sleep(self.faults.delay_ms / 1000)
        return self.faults.outage

    def draw(self, rate: float) -> bool:
        """Return True with probability `rate`, from the seeded random numbers."""
        return rate > 0 and self.random.random() < rate

    def loses_response(self) -> bool:
        """Return whether to drop the response of the current call after the call took effect."""
        if self.responses_to_lose > 0:
            self.responses_to_lose -= 1
            return True
        return self.draw(self.faults.lose_answers_rate)

    def fails(self, route: str, running: int) -> bool:
        """Return whether a request on `route` fails while the target has `running` requests."""
        return self._is_active(route, running) and self.draw(self.faults.fail_rate)

    def slow_factor(self, route: str, running: int) -> float:
        """Return the factor by which work on `route` takes longer."""
        return self.faults.slow_factor if self._is_active(route, running) else 1.0

    def _is_active(self, route: str, running: int) -> bool:
        faults = self.faults
        return (
            faults.route in ("", route)
            and running >= faults.under_load
            and self.clock.now() - self.set_at >= faults.after_ms
        )
