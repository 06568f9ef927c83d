"""Incremental HTTP responses of targets, with size limits against faulty targets."""

from collections.abc import Callable
from typing import Any

from geventhttpclient.response import HEADER_STATE_INIT, HTTPParseError, HTTPSocketResponse

from jacinthcove.bytebudget import BudgetExceeded, KeptBytes
from jacinthcove.targets.sockets import StallDetectingSocket

RECEIVE_BYTES = 65_536
# Limit for bytes outside of the body: heads, also of interim responses, chunk lines and trailers.
MAX_FRAMING_BYTES = 32_768
# Extra allowance per body byte, because short chunks have more framing bytes than body bytes.
MAX_FRAMING_PER_BODY_BYTE = 16
# Limit for body bytes that were parsed and not read yet. A response that is read as a whole is
# buffered until its end.
MAX_BUFFERED_BODY_BYTES = 8 * 1024 * 1024
# The statuses that HTTP has; the parser takes any three digits, and less than 100 for interim.
STATUSES = range(100, 600)


class TargetResponse(HTTPSocketResponse):
    """A response whose body can be read as it arrives.

    The library only reads lines or fixed lengths, which costs a search and a copy per token. It
    also parses bytes after a complete response as the start of the next one, and then forgets the
    first. This class drops such bytes and sets `has_extra_bytes`.

    Endless data of a faulty target exceeds one of three limits: that for framing bytes, that for
    buffered body bytes, or the common one of all responses, which `kept` counts.

    On a reused connection a late duplicate of an earlier response may arrive first. `is_expected`
    checks the head of each response; responses that are not expected are skipped.
    """

    final_status = 0
    keep_alive = False
    skipping_response = False
    skipped_responses = 0
    has_extra_bytes = False
    invalid_status: int | None = None
    fed_bytes = 0
    body_bytes = 0

    def __init__(
        self,
        sock: Any,
        is_expected: Callable[["TargetResponse"], bool] = lambda response: True,
        kept: KeptBytes | None = None,
        **options: Any,
    ):
        self.is_expected = is_expected
        self.kept = kept
        super().__init__(sock, **options)

    def get_code(self) -> int:
        """Return the status of this response, not of one parsed from extra bytes after it."""
        return self.final_status or super().get_code()

    def feed(self, data: str | bytes) -> None:
        """Parse received bytes.

        Raises `HTTPParseError` if an incomplete response is malformed, has a status that does not
        exist, or exceeds a size limit.
        """
        self.fed_bytes += len(data)
        self._check_kept()
        try:
            super().feed(data)
        except HTTPParseError:
            if not self._is_complete():
                raise
            self.has_extra_bytes = True
        if self.invalid_status is not None:
            raise HTTPParseError(f"the status {self.invalid_status:03} does not exist")
        if not self._is_complete():
            self._check_bounds()

    def _check_bounds(self) -> None:
        framing_bytes = self.fed_bytes - self.body_bytes
        if framing_bytes > MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * self.body_bytes:
            raise HTTPParseError(f"the answer has {framing_bytes} bytes beside its body")
        if len(self._body_buffer) > MAX_BUFFERED_BODY_BYTES:
            raise HTTPParseError(f"the answer is longer than {MAX_BUFFERED_BODY_BYTES} bytes")

    def _check_kept(self) -> None:
        if self.kept is None:
            return
        try:
            self.kept.resize(len(self._body_buffer))
        except BudgetExceeded as error:
            raise HTTPParseError(str(error)) from error

    def _is_complete(self) -> bool:
        return bool(self.final_status) and self.message_complete

    def _on_message_begin(self) -> None:
        if self._is_complete():
            self.has_extra_bytes = True
        else:
            super()._on_message_begin()

    def _on_header_field(self, string: str) -> None:
        if not self.has_extra_bytes:
            super()._on_header_field(string)

    def _on_header_value(self, string: str) -> None:
        if not self.has_extra_bytes:
            super()._on_header_value(string)

    def _on_headers_complete(self) -> int | bool | None:
        if self.has_extra_bytes:
            return None
        status = super().get_code()
        if status not in STATUSES and self.invalid_status is None:
            self.invalid_status = status
        skip_body = super()._on_headers_complete()
        if self.invalid_status is not None:
            # An answer after such a status may be that of another request.
            return skip_body
        if status >= 200 and not self.is_expected(self):
            self.skipping_response = True
            self.headers_complete = False
        elif status >= 200:
            self.final_status = status
        return skip_body

    def _on_body(self, buf: bytearray) -> None:
        if not self.has_extra_bytes and not self.skipping_response:
            self.body_bytes += len(buf)
            super()._on_body(buf)

    def _on_message_complete(self) -> None:
        if not self.skipping_response:
            self.keep_alive = self.should_keep_alive()
            super()._on_message_complete()
            return
        self.skipping_response = False
        self.skipped_responses += 1
        self.message_begun = False
        self._headers_index.clear()
        self._header_state = HEADER_STATE_INIT

    def can_reuse_connection(self) -> bool:
        """Return whether the response is complete and its connection can be reused."""
        return (
            self._is_complete()
            and self.keep_alive
            and not self.has_extra_bytes
            and not self.skipped_responses
        )

    def drop_body(self) -> None:
        """Drop the body bytes received so far."""
        self._body_buffer.clear()

    def mark_progress(self) -> None:
        """Restart the stall timeout; from now on only calls of this method restart it."""
        if isinstance(self._sock, StallDetectingSocket):
            self._sock.mark_progress()

    def receive(self) -> bytes:
        """Return the body bytes received so far, waiting for the first; empty at the end."""
        buffer = self._body_buffer
        while not buffer:
            if self.message_complete or self._sock is None:
                return b""
            self.feed(self._sock.recv(self.block_size))
        data = bytes(buffer)
        buffer.clear()
        return data
