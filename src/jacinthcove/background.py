"""Background work in greenlets."""

from collections.abc import Callable

import gevent
import structlog

log = structlog.get_logger()


def run_step(step: Callable[[], object]) -> None:
    """Run one step of a loop that has to go on; an error is logged."""
    try:
        step()
    except Exception:
        log.exception("background_step_failed", step=step.__qualname__)


class BackgroundTask:
    """Runs a function in its own greenlet from `start` until it returns or `close` is called."""

    def __init__(self, run: Callable[[], object]):
        self.run = run
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the greenlet."""
        self.greenlet = gevent.spawn(self.run)

    def is_running(self) -> bool:
        """Return whether the greenlet was started and has not ended."""
        return self.greenlet is not None and not self.greenlet.dead

    def close(self) -> None:
        """Kill the greenlet without waiting for its end; does nothing before `start`."""
        if self.greenlet is not None:
            self.greenlet.kill(block=False)
