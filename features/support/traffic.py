"""Callers of several workspaces that repeat what may be repeated, with a record of each answer."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from random import Random

import gevent

from features.support.site import LONGEST_DEADLINE_MS, PROFILE, Site
from jacinthcove.clock import SystemClock
from jacinthcove.codes import ResultClass, ResultCode
from jacinthcove.load.callers import Caller, Connections
from jacinthcove.load.profiles import WorkspaceProfile, requests
from jacinthcove.load.requests import Outcome, RequestSpec

# Streams carry a comment every second, so that a longer silence means a broken connection.
STREAM_SILENCE_MS = 4_000
# Whole answers carry nothing before their end, which may be as late as the deadline.
WHOLE_SILENCE_MS = LONGEST_DEADLINE_MS + 3_000
REPEAT_PAUSE_MS = 200
REPEAT_TIME_MS = 8_000
FINISH_TIMEOUT_S = 80.0


@dataclass
class Record:
    """One request with the outcome of each time that the caller sent it."""

    spec: RequestSpec
    workspace: str
    started_at: int
    outcomes: list[Outcome] = field(default_factory=list)

    @property
    def last(self) -> Outcome:
        """Return the final outcome."""
        return self.outcomes[-1]

    @property
    def repeatable(self) -> bool:
        """Return whether the caller may send the request again after it may have run."""
        return not self.spec.order_id or bool(self.spec.key)

    @property
    def refused(self) -> bool:
        """Return whether no attempt of the caller may have run."""
        return all(o.result_class is ResultClass.NOT_RUN for o in self.outcomes)

    def describe(self) -> str:
        """Return one line for an assertion message."""
        seen = [
            f"{o.code.name if o.code else 'none'}/{o.result_class.value} {o.message}"
            f" after {o.total_ms} ms, {o.tokens} tokens, {o.resumed} resumptions,"
            f" request {o.request_id}"
            for o in self.outcomes
        ]
        return f"{self.spec.service}/{self.spec.route} {self.spec.nonce}: {'; '.join(seen)}"


class Traffic:
    """Runs sessions in the background of a scenario."""

    def __init__(self, site: Site, seed: int, addresses: Sequence[str] = ()):
        self.site = site
        self.seed = seed
        self.addresses = list(addresses) or site.fleet.callers()
        self.clock = SystemClock()
        self.streams = Connections(STREAM_SILENCE_MS)
        self.wholes = Connections(WHOLE_SILENCE_MS)
        self.records: list[Record] = []
        self.workers: list[gevent.Greenlet] = []
        self.stopping = False

    def start(self, sessions: int, routes: Sequence[str] = (), once: bool = False) -> None:
        """Start `sessions` callers of the site's workspaces, each with one request at a time."""
        for number in range(len(self.workers), len(self.workers) + sessions):
            workspace = PROFILE.workspaces[number % len(PROFILE.workspaces)]
            self.add(workspace, self.specs(workspace, number, routes), once=once)

    def specs(
        self, workspace: WorkspaceProfile, number: int, routes: Sequence[str] = ()
    ) -> Iterator[RequestSpec]:
        """Return the seeded requests of one session, of the named routes only if any."""
        for spec in requests(PROFILE, workspace, f"{self.seed}-{number}"):
            if not routes or spec.route in routes:
                yield spec

    def add(
        self,
        workspace: WorkspaceProfile,
        specs: Iterator[RequestSpec],
        once: bool = False,
        delay_ms: int = 0,
    ) -> None:
        """Start one session; with `once` it sends a single request."""
        number = len(self.workers)
        self.workers.append(gevent.spawn(self._session, number, workspace, specs, once, delay_ms))

    def finish(self) -> list[Record]:
        """Send no further requests, wait for the open ones and return all records."""
        self.stopping = True
        gevent.joinall(self.workers, timeout=FINISH_TIMEOUT_S)
        stuck = [worker for worker in self.workers if not worker.ready()]
        gevent.killall(stuck)
        self.streams.close()
        self.wholes.close()
        assert not stuck, f"{len(stuck)} callers did not end within {FINISH_TIMEOUT_S} s"
        for worker in self.workers:
            worker.get()
        return self.records

    def stop(self) -> None:
        """End all sessions at once after a failed scenario."""
        gevent.killall(self.workers)
        self.streams.close()
        self.wholes.close()

    def completed(self) -> int:
        """Return the number of whole answers so far."""
        return sum(bool(r.outcomes) and r.last.complete for r in self.records)

    def _session(
        self,
        number: int,
        workspace: WorkspaceProfile,
        specs: Iterator[RequestSpec],
        once: bool,
        delay_ms: int,
    ) -> None:
        self.clock.sleep(delay_ms or Random(f"{self.seed}/{number}").randrange(200))
        callers = {
            engine: Caller(
                workspace.name,
                workspace.key,
                self.addresses,
                connections=self.streams if engine else self.wholes,
                delay_ms=1,
                seed=number,
            )
            for engine in (True, False)
        }
        while once or not self.stopping:
            spec = next(specs)
            record = Record(spec, workspace.name, self.clock.now())
            self.records.append(record)
            self._send(callers[spec.engine], record)
            if once:
                return

    def _send(self, caller: Caller, record: Record) -> None:
        ends_at = self.clock.now() + REPEAT_TIME_MS
        while True:
            outcome = caller.call(record.spec)
            record.outcomes.append(outcome)
            unclear = outcome.lost or outcome.code is ResultCode.IN_PROGRESS
            if not (unclear and record.repeatable) or self.clock.now() >= ends_at:
                return
            self.clock.sleep(outcome.retry_after_ms or REPEAT_PAUSE_MS)
