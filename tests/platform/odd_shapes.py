"""Values of about a megabyte that other writers may put into the store."""

MEGABYTE = 1_000_000


def _list_of(unit):
    return b"[" + unit * (MEGABYTE // len(unit)) + b"1]"


SHAPES = {
    "records": _list_of(b'{"id":7},'),
    "empty lists": _list_of(b"[],"),
    "lists of eight levels": _list_of(b"[" * 8 + b"]" * 8 + b","),
    "lists of fifty levels": _list_of(b"[" * 50 + b"]" * 50 + b","),
    "numbers": _list_of(b"1,"),
    "empty texts": _list_of(b'"",'),
    "one text": b'"' + b"a" * MEGABYTE + b'"',
    "backslashes": b'"' + b"\\\\" * (MEGABYTE // 2) + b'"',
    "escaped quotes": b'["' + b'\\"' * (MEGABYTE // 2) + b'"]',
    "nested lists": b"[" * (MEGABYTE // 2) + b"]" * (MEGABYTE // 2),
    "nested objects": b'{"a":' * (MEGABYTE // 6) + b"1" + b"}" * (MEGABYTE // 6),
    "brackets in texts": _list_of(b'"]}",{"a":"[{\\"}"},'),
    "not UTF-8": b'"' + b"\xff" * MEGABYTE + b'"',
    "a number": b"9" * MEGABYTE,
}
