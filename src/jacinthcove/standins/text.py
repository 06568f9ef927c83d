"""The text of model answers, known to engines and to the callers that verify them."""

import zlib


def token_text(seed: str, index: int) -> str:
    """Return token `index` of an answer; `seed` is the prompt, or the request id without one."""
    return f"{index}:{zlib.crc32(b'%d' % index, zlib.crc32(seed.encode())):08x} "


def answer_text(seed: str, start: int, end: int) -> str:
    """Return the tokens from `start` up to but not including `end`."""
    return "".join(token_text(seed, index) for index in range(start, end))
