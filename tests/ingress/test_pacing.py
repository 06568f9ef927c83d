"""The work for each byte must be bounded, however the bytes arrive."""

import gevent
import pytest

from jacinthcove.ingress import pacing
from jacinthcove.ingress.pacing import FREE_RECEIVES, DecodingTurns, PacedSocket


class TrickleSocket:
    """Has `size` bytes ready at each receive."""

    def __init__(self, size):
        self.size = size

    def recv_into(self, buffer):
        return min(self.size, len(buffer))


@pytest.fixture
def pauses(monkeypatch):
    """Return the pauses before receives, which take no time."""
    pauses = []
    monkeypatch.setattr(pacing.gevent, "sleep", pauses.append)
    return pauses


def receive(size, count, buffer_size=8_192):
    paced = PacedSocket(TrickleSocket(size))
    for _ in range(count):
        paced.readinto(bytearray(buffer_size))
    return paced


def test_single_bytes_are_received_more_and_more_rarely(pauses):
    """Each byte of a head woke the event loop."""
    receive(1, FREE_RECEIVES + 20)
    assert len(pauses) == 20
    assert pauses == sorted(pauses) and pauses[-1] == pacing.MAX_PAUSE_S


def test_large_receives_are_not_delayed(pauses):
    receive(8_192, 1_000)
    assert pauses == []


def test_the_end_of_a_chunk_does_not_end_the_delays(pauses):
    """Chunks of one byte would be received without delays."""
    paced = receive(1, FREE_RECEIVES + 10)
    before = paced.pause_s
    paced.readinto(bytearray(1))
    assert paced.pause_s == before and len(pauses) == 11


def test_the_next_message_is_not_delayed(pauses):
    paced = receive(1, FREE_RECEIVES + 10)
    pauses.clear()
    paced.begin_message()
    paced.readinto(bytearray(8_192))
    assert pauses == []


def test_decoding_takes_a_part_of_the_time():
    """Bodies in very small chunks held the event loop for seconds."""
    slept = []
    times = iter([0.0, 1.0])
    with DecodingTurns(lambda: next(times), slept.append).turn():
        pass
    assert slept == [pytest.approx(1 / pacing.DECODING_FRACTION - 1)]


def test_one_body_is_decoded_at_a_time():
    turns = DecodingTurns()
    running = []

    def decode():
        with turns.turn():
            running.append(1)
            assert len(running) == 1
            gevent.sleep(0)
            running.pop()

    tasks = [gevent.spawn(decode) for _ in range(5)]
    gevent.joinall(tasks, raise_error=True)
