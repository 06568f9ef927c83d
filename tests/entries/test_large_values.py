"""Values of other writers that are as large as the store takes, in pieces as they come in."""

import json
import random
import tracemalloc

import orjson
import pytest
from odd_shapes import MEGABYTE, SHAPES

from jacinthcove.entries import valueend
from jacinthcove.entries.scanner import JsonScanner, MalformedTextError
from jacinthcove.platform.kindrules import VALUE_BYTES
from jacinthcove.platform.replies import ObjectsReader, decode_object
from jacinthcove.store.connections import PIECE_BYTES

GOOD = b'{"metadata":{"name":"good","revision":2},"spec":{"a":["]}",{}]}}'
# Pieces in flight, and one value that is kept until its object is complete.
MAX_MEMORY_BYTES = 8 * PIECE_BYTES + 2 * VALUE_BYTES


def pieces(data, size):
    found = iter([data[at : at + size] for at in range(0, len(data), size)])
    return lambda: next(found, b"")


def page_with(spec):
    odd = b'{"metadata":{"finalizers":%b,"name":"odd","revision":1},"spec":%b}' % (spec, spec)
    return b'{"items":[%b,%b,%b],"current_rev":7}' % (GOOD, odd, GOOD)


def read_objects(data, size=PIECE_BYTES):
    found = []
    members = ObjectsReader(
        pieces(data, size), VALUE_BYTES, lambda part: found.append(decode_object(part))
    ).read()
    return found, members


@pytest.mark.parametrize("shape", sorted(SHAPES))
def test_large_value_takes_no_memory_and_hides_no_object(shape):
    """A decoded entry takes up to 25 times its text; 16 ended a router of 300 MB."""
    data = page_with(SHAPES[shape])
    tracemalloc.start()
    found, members = read_objects(data)
    _, highest = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    # The list of the pieces themselves, which a socket would hold, is not of the reader.
    assert highest < len(data) + MAX_MEMORY_BYTES
    assert [item.name for item in found] == ["good", "odd", "good"]
    assert found[1].spec is None
    assert found[0] == found[2]
    assert members["current_rev"] == 7


@pytest.mark.parametrize("shape", ["records", "nested lists", "backslashes", "brackets in texts"])
def test_most_of_a_large_value_is_skipped_in_blocks(shape, monkeypatch):
    """A step of Python for each bracket of a megabyte would stop the event loop."""
    tokens = 0
    step = valueend.ValueEnd._step

    def count(end, data, start):
        nonlocal tokens
        found = step(end, data, start)
        tokens += valueend.TOKENS_BEFORE_BLOCKS
        return found

    monkeypatch.setattr(valueend.ValueEnd, "_step", count)
    read_objects(page_with(SHAPES[shape]))
    assert tokens < MEGABYTE / 50


def some_value(rng, depth=0):
    if depth > 5 or rng.random() < 0.3:
        return rng.choice(
            [1, -2.5, None, True, "", "\\", '"', '[{"', '}]\\"', "\u00e9\\\\", "x" * 40]
        )
    values = [some_value(rng, depth + 1) for _ in range(rng.randint(0, 4))]
    if rng.random() < 0.5:
        return values
    return {f'{rng.choice("ab")}\\"{number}': value for number, value in enumerate(values)}


@pytest.mark.parametrize(("block_bytes", "tokens"), [(16_384, 400), (7, 2), (64, 1)])
@pytest.mark.parametrize("size", [1, 3, 64, 10_000])
def test_values_end_where_they_end_wherever_the_pieces_do(monkeypatch, block_bytes, tokens, size):
    """A wrong end would join an entry to the next one, or hide it."""
    monkeypatch.setattr(valueend, "BLOCK_BYTES", block_bytes)
    monkeypatch.setattr(valueend, "TOKENS_BEFORE_BLOCKS", tokens)
    rng = random.Random(59)
    for _ in range(60):
        values = [some_value(rng) for _ in range(rng.randint(0, 5))]
        text = json.dumps({"items": values, "x": 1}, indent=rng.choice([None, 1])).encode()
        scanner = JsonScanner(pieces(text, size))
        found = []
        for name in scanner.members():
            if name == "items":
                found += [orjson.loads(scanner.value(MEGABYTE)) for _ in scanner.elements()]
            else:
                assert orjson.loads(scanner.value(10)) == 1
        scanner.finish()
        assert found == values


@pytest.mark.parametrize("end", [b"", b'{"items":[', b'{"items":[1', b'{"items":[1 [2]]}', b"[1]"])
def test_incomplete_response_is_an_error(end):
    with pytest.raises(MalformedTextError):
        ObjectsReader(pieces(end, 1), VALUE_BYTES, lambda part: None).read()
