"""The text of model responses, which engines generate and callers verify."""

import zlib


def token_text(seed: str, index: int) -> str:
    """Return token `index` of a response; `seed` is the prompt, or the request id if none."""
    return f"{index}:{zlib.crc32(b'%d' % index, zlib.crc32(seed.encode())):08x} "


def response_text(seed: str, start: int, end: int) -> str:
    """Return the tokens from `start` up to but not including `end` as one text."""
    return "".join(token_text(seed, index) for index in range(start, end))
