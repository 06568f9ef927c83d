"""An error of one step must not end a loop that the router depends on."""

import gevent
import pytest

from jacinthcove.background import run_step
from jacinthcove.clock import ManualClock
from jacinthcove.gateway import loadexchange, loopdelay
from jacinthcove.gateway.loopdelay import LoopDelay
from jacinthcove.gateway.shares import ShareLedger


def fail():
    raise ValueError("one step failed")


def test_the_error_of_a_step_is_not_raised():
    run_step(fail)


def test_the_delay_is_measured_on_after_an_error(monkeypatch):
    monkeypatch.setattr(loopdelay, "PERIOD_MS", 5)
    samples = []

    def sample(delay):
        samples.append(delay)
        fail()

    delay = LoopDelay(ManualClock(), sample)
    delay.start()
    with gevent.Timeout(2):
        while len(samples) < 3:
            gevent.sleep(0.005)
    delay.close()


@pytest.mark.parametrize("broken", ["ledger.tick", "on_tick"])
def test_shares_are_computed_on_after_an_error(monkeypatch, broken):
    """A number that did not fit into a report ended the loop for good."""
    monkeypatch.setattr(loadexchange, "TICK_MS", 5)
    calls = []

    class Exchange:
        ledger = ShareLedger(ManualClock(), 4_000)
        collectors = type("Collectors", (), {"drop_departed": lambda self: None})()

        def on_tick(self):
            self.note()

        def note(self):
            calls.append(1)
            fail()

    exchange = Exchange()
    if broken == "ledger.tick":
        exchange.ledger.tick = exchange.note
        exchange.on_tick = lambda: None
    loop = gevent.spawn(loadexchange.LoadExchange._tick, exchange)
    with gevent.Timeout(2):
        while len(calls) < 3:
            gevent.sleep(0.005)
    loop.kill()
