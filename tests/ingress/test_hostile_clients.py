"""Hostile clients must not end a router, fill its memory or descriptors, or shut out its callers.

In a trial, clients that sent many chunked bodies and stopped short of the end filled the memory of
a router, with and without a valid key. The bounds here come from the settings of the router.
"""

import pytest
from crowd import Crowd, chunked_head
from wire_bed import request

MEMORY_MB = 128
# The part of `limits.memory_mb` that a router may take at most.
MEMORY_FRACTION = 0.8
MAX_FDS = 400
SETTINGS = f"limits.memory_mb={MEMORY_MB}\nlimits.max_fds={MAX_FDS}\n"
BODY_BYTES = 4_000_000
CHUNK_BYTES = 65_536
CLIENTS = 150
# More connections than descriptors.
CONNECTIONS = 500
LARGE_CHUNK = b"%x\r\n%b\r\n" % (CHUNK_BYTES, b"b" * CHUNK_BYTES)
# Stops just short of the end of a body inside the limits.
LARGE_CHUNKS = LARGE_CHUNK * (BODY_BYTES // CHUNK_BYTES)
TINY_CHUNKS = b"1\r\nb\r\n" * 600_000
EXTENSIONS = (b"1;e=%b\r\nb\r\n" % (b"x" * 4_000)) * 1_000
TRAILERS = b"0\r\n" + b"T: x\r\n" * 600_000


@pytest.fixture
def router(start):
    return start(SETTINGS)


def check(router, crowd):
    """Let the crowd send, and check that the router holds while its connections stay open."""
    try:
        crowd.run()
        status = router.ask() if router.running else 0
        assert router.running
        assert router.memory_mb() < MEMORY_FRACTION * MEMORY_MB
        assert router.highest_descriptors < MAX_FDS
        assert status == 200
    finally:
        crowd.close()


def test_large_chunks_left_open_before_the_end(router):
    check(router, Crowd(router, CLIENTS, [chunked_head(), LARGE_CHUNKS]))


def test_large_chunks_with_a_wrong_key(router):
    check(router, Crowd(router, CLIENTS, [chunked_head(key="wrong"), LARGE_CHUNKS]))


def test_chunks_of_one_byte(router):
    check(router, Crowd(router, CLIENTS, [chunked_head(), TINY_CHUNKS]))


def test_long_chunk_extensions(router):
    check(router, Crowd(router, CLIENTS, [chunked_head(), EXTENSIONS]))


def test_trailers_without_end(router):
    check(router, Crowd(router, CLIENTS, [chunked_head(), TRAILERS]))


def test_heads_a_byte_at_a_time(router):
    head = request("/publish/1", b"", extra="Filler: " + "x" * 4_000 + "\r\n")[:-2]
    check(router, Crowd(router, CONNECTIONS, [head], reopen=True, step=1, pause_s=0.02))


def test_idle_connections(router):
    check(router, Crowd(router, CONNECTIONS, [], reopen=True))


@pytest.mark.parametrize("listener", ["mesh", "ready_listen", "directory_listen"])
def test_idle_connections_to_other_listeners(router, listener):
    """Each listener of a process can take the descriptors of all."""
    check(router, Crowd(router, CONNECTIONS, [], reopen=True, address=getattr(router, listener)))
