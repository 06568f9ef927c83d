"""Finds where a JSON value ends in bytes that arrive piece by piece, without decoding it.

Anybody may write objects to a shared store, and a decoded value takes up to 25 times the memory of
its text. So the end of a value is found by its brackets and texts alone, and where many of them
follow each other, by counting whole blocks.
"""

import re
from itertools import accumulate

# Tokens that are looked at one by one before whole blocks are counted.
TOKENS_BEFORE_BLOCKS = 400
BLOCK_BYTES = 16_384
# Rounds in which the innermost pairs of brackets are dropped before the others are counted.
PAIR_ROUNDS = 3
NOT_FOUND = -1

# The group is empty or a backslash if the text goes on in the next piece.
_TEXT_REST = rb'(?:[^"\\]++|\\.)*+("|\\?\Z)'
_TEXT_END = re.compile(_TEXT_REST, re.DOTALL)
_TOKEN = re.compile(rb'"' + _TEXT_REST + rb"|[\[{]|[\]}]", re.DOTALL)
_SCALAR_END = re.compile(rb'[,\[\]{}"]')
_OPENING, _CLOSING = b"\x01", b"\xff"
_SIGNS = bytes.maketrans(b"[{]}", 2 * _OPENING + 2 * _CLOSING)
_OTHER_BYTES = bytes(set(range(256)) - set(b'[{]}"'))


class ValueEnd:
    """The state of the search between two pieces; it begins at the first byte of a value."""

    def __init__(self, first: bytes):
        self.is_scalar = first not in (b"[", b"{", b'"')
        self.depth = 0
        self.in_text = False
        self.begun = False
        # Whether the next byte belongs to an escape sequence of a text.
        self.escaped = False

    def find(self, data: bytes, start: int) -> int:
        """Return the position after the value, `NOT_FOUND` if it goes on after `data`."""
        if self.is_scalar:
            found = _SCALAR_END.search(data, start)
            return found.start() if found is not None else NOT_FOUND
        # A value that has filled a piece is likely to go on for many.
        position = self._skip_blocks(data, start) if self.begun else start
        self.begun = True
        while position < len(data):
            text_at = position
            position = self._leave_text(data, position)
            if position != text_at and not self.in_text and not self.depth:
                return position
            end, position = self._step(data, position)
            if end != NOT_FOUND:
                return end
            position = self._skip_blocks(data, position)
        return NOT_FOUND

    def _leave_text(self, data: bytes, start: int) -> int:
        """Return the position after the text that was begun before, `start` without one."""
        if not self.in_text:
            return start
        found = _TEXT_END.match(data, start + self.escaped)
        assert found is not None
        self._record_text(found.group(1))
        return found.end()

    def _record_text(self, last: bytes) -> None:
        self.in_text = last != b'"'
        self.escaped = last == b"\\"

    def _step(self, data: bytes, start: int) -> tuple[int, int]:
        """Look at some tokens; return the end, if they have it, and where the next one begins."""
        for count, token in enumerate(_TOKEN.finditer(data, start), 1):
            first = data[token.start()]
            if first in b"[{":
                self.depth += 1
            elif first in b"]}":
                self.depth -= 1
            else:
                self._record_text(token.group(1))
            if self.depth <= 0 and not self.in_text:
                return token.end(), token.end()
            if count >= TOKENS_BEFORE_BLOCKS:
                return NOT_FOUND, token.end()
        return NOT_FOUND, len(data)

    def _skip_blocks(self, data: bytes, start: int) -> int:
        """Count whole blocks in which the value cannot end; return where the next one begins."""
        for position in range(start, len(data), BLOCK_BYTES):
            before = self.depth, self.in_text, self.escaped
            if not self._count_block(data[position : position + BLOCK_BYTES]):
                self.depth, self.in_text, self.escaped = before
                return position
        return len(data)

    def _count_block(self, block: bytes) -> bool:
        """Count the brackets of a block; return False if the value may end in it."""
        if self.escaped:
            block, self.escaped = block[1:], False
        if b"\\" in block:
            if (len(block) - len(block.rstrip(b"\\"))) % 2:
                block, self.escaped = block[:-1], True
            block = block.replace(b"\\\\", b"").replace(b'\\"', b"")
        # Texts without brackets become two quotes, and so does what stands between two texts.
        signs = block.translate(_SIGNS, _OTHER_BYTES).replace(b'""', b"")
        if b'"' in signs or self.in_text:
            parts = signs.split(b'"')
            signs = b"".join(parts[self.in_text :: 2])
            self.in_text ^= len(parts) % 2 == 0
        for _ in range(PAIR_ROUNDS):
            signs = signs.replace(_OPENING + _CLOSING, b"")
        if signs.count(_CLOSING) >= self.depth:
            levels = accumulate(memoryview(signs).cast("b"), initial=self.depth)
            if min(levels) <= 0:
                return False
        self.depth += 2 * signs.count(_OPENING) - len(signs)
        return True
