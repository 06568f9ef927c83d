"""Documents with unreadable parts, which must not hide the readable ones."""

import sys

import orjson
import pytest

from jacinthcove.store import lenientjson
from jacinthcove.store.lenientjson import loads

CONTAINERS = {"items"}
GOOD = b'{"name":"good","spec":{"text":"a,b]\\"}","n":[1,{"x":2}]}}'
ODD = {
    "nested too deeply": b"[" * 3_000 + b"]" * 3_000,
    "a number too large": b"1" + b"0" * 400,
    "not UTF-8": b'"\xff\xfe"',
    "a surrogate": b'"\\ud800"',
    "not JSON": b"[1 2]",
}


@pytest.mark.parametrize("what", sorted(ODD))
def test_an_unreadable_member_does_not_hide_the_other_objects(what):
    odd = b'{"name":"odd","spec":' + ODD[what] + b"}"
    found = loads(b'{"items": [%b , %b,%b],"at":7}' % (GOOD, odd, GOOD), CONTAINERS)
    assert [item["name"] for item in found["items"]] == ["good", "odd", "good"]
    assert found["items"][0] == found["items"][2] == orjson.loads(GOOD)
    assert found["items"][1]["spec"] is None
    assert found["at"] == 7


@pytest.mark.parametrize("data", [b"", b"x", b'{"items":[', b'{"items":[]', b"{1:2}", b'{"a":1}x'])
def test_an_incomplete_document_is_an_error(data):
    with pytest.raises(orjson.JSONDecodeError):
        loads(data, CONTAINERS)


def test_empty_containers_are_read():
    assert loads(b'{"items":[],"odd":1e999}', CONTAINERS) == {"items": [], "odd": None}


MEGABYTE = 1_000_000
# Lines of Python that may run for a megabyte; most of it must be skipped by the regex engine.
MAX_LINES = 20_000
LARGE_UNITS = {
    "records": b"{},",
    "nested lists": b"[[]],",
    "nested records": b'[{"a":[1]}],',
    "texts": b'"",',
    "numbers": b"1,",
}
LARGE_ENDS = {
    "not UTF-8": b'"\xff"]',
    "not JSON": b"1 2]",
    "deep": b"[" * 2_000 + b"]" * 2_000 + b"]",
}


def large(unit, end):
    return b"[" + unit * (MEGABYTE // len(unit)) + end


def count_lines(function):
    """Return how many lines of `lenientjson` run during a call."""
    lines = 0

    def trace(frame, event, argument):
        nonlocal lines
        if frame.f_code.co_filename != lenientjson.__file__:
            return None
        lines += event == "line"
        return trace

    sys.settrace(trace)
    try:
        function()
    finally:
        sys.settrace(None)
    return lines


@pytest.mark.parametrize("end", sorted(LARGE_ENDS))
@pytest.mark.parametrize("unit", sorted(LARGE_UNITS))
def test_an_unreadable_megabyte_does_not_hold_the_process(unit, end):
    """One such entry, written at every heartbeat, stopped the event loop for seconds."""
    odd = large(LARGE_UNITS[unit], LARGE_ENDS[end])
    document = b'{"items":[{"name":"odd","spec":%b},%b]}' % (odd, GOOD)
    found = []
    assert count_lines(lambda: found.append(loads(document, CONTAINERS))) < MAX_LINES
    assert found[0]["items"] == [{"name": "odd", "spec": None}, orjson.loads(GOOD)]


def test_others_run_while_a_part_of_unusual_form_is_skipped():
    """Deeper lists than the regex engine skips by itself take a step each."""
    odd = large(b"[" * 8 + b"]" * 8 + b",", b"1 2]")
    pauses = []
    document = b'{"items":[{"name":"odd","spec":%b},%b]}' % (odd, GOOD)
    found = loads(document, CONTAINERS, lambda: pauses.append(1))
    assert [item["name"] for item in found["items"]] == ["odd", "good"]
    assert len(pauses) > 100


def test_a_document_nested_too_deeply_is_an_error():
    with pytest.raises(orjson.JSONDecodeError):
        loads(b"[" * MEGABYTE, CONTAINERS)


@pytest.mark.parametrize("text", [b"a{", b'\\"', b"[", b'[\\"'])
def test_a_text_without_end_is_an_error_and_scanned_once(text):
    document = b'{"items":[{"spec":[[[[["' + text * (MEGABYTE // len(text))
    with pytest.raises(orjson.JSONDecodeError):
        loads(document, CONTAINERS)
