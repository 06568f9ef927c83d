"""Documents with unreadable parts, which must not hide the readable ones."""

import orjson
import pytest

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
