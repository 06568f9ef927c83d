"""The format of one segment of a key shard's claims in the store."""

import hashlib
from base64 import b64decode, b64encode
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

import orjson

from jacinthcove.codes import ResultCode

KEY_SHARDS = 256
MAX_OUTPUT_BYTES = 4_096
# A segment number is the hour since the Unix epoch times this, plus a sequence within the hour.
SEGMENTS_PER_HOUR = 100
HOUR_MS = 3_600_000
# The store takes values up to 1 MB; the rest is room for the entries of one batch.
MAX_SEGMENT_BYTES = 1_000_000
SOFT_SEGMENT_BYTES = 600_000
# The largest encoded outcome: 4 KB of output in base64 and its fixed fields.
OUTCOME_RESERVE_BYTES = 5_800
ENTRY_RESERVE_BYTES = 700
MAX_ID_CHARS = 128


@dataclass(frozen=True)
class ClaimUsage:
    """The tokens that a keyed request used."""

    input_tokens: int = 0
    output_tokens: int = 0


@dataclass(frozen=True)
class Outcome:
    """The stored end of a keyed request; `output` is None when it exceeded 4 KB."""

    code: ResultCode
    output: bytes | None
    digest: str
    usage: ClaimUsage = field(default_factory=ClaimUsage)


@dataclass(frozen=True)
class Entry:
    """One claim; `until_wall` (ms) is when the request should have ended at the latest."""

    claim_id: str
    router_id: str
    request_id: str
    content_hash: str
    until_wall: int
    outcome: Outcome | None = None


@dataclass(frozen=True)
class Segment:
    """One object of claims; version 0 is not yet stored, `next` is set once it is closed."""

    number: int
    version: int = 0
    previous: int | None = None
    next: int | None = None
    entries: Mapping[str, Entry] = field(default_factory=dict)
    size: int = 0

    @property
    def closed(self) -> bool:
        """Whether no further claims may be added."""
        return self.next is not None

    def reserved_bytes(self) -> int:
        """Return the size that the object reaches when every open claim stores an outcome."""
        unfinished = sum(1 for entry in self.entries.values() if entry.outcome is None)
        return self.size + unfinished * OUTCOME_RESERVE_BYTES


def key_digest(workspace: str, key: str) -> str:
    """Return the fixed-size name of a workspace's idempotency key."""
    return hashlib.sha256(f"{len(workspace)}:{workspace}:{key}".encode()).hexdigest()[:40]


def key_shard(digest: str) -> int:
    """Return the key shard of a key digest."""
    return int(digest[:2], 16) % KEY_SHARDS


def shard_prefix(shard: int) -> str:
    """Return the prefix of all segments of `shard`."""
    return f"claims/{shard:02x}/"


def segment_key(shard: int, number: int) -> str:
    """Return the store key of a segment."""
    return f"{shard_prefix(shard)}{number:012d}"


def segment_number(key: str) -> int:
    """Return the segment number in a store key."""
    return int(key.rsplit("/", 1)[1])


def make_outcome(code: ResultCode, output: bytes, usage: ClaimUsage) -> Outcome:
    """Build an outcome, keeping the output only up to 4 KB."""
    digest = hashlib.sha256(output).hexdigest()
    return Outcome(code, output if len(output) <= MAX_OUTPUT_BYTES else None, digest, usage)


def encode_segment(segment: Segment) -> bytes:
    """Encode a segment as the value of its object."""
    entries = {digest: _entry_row(entry) for digest, entry in segment.entries.items()}
    return orjson.dumps(
        {"previous": segment.previous, "next": segment.next, "entries": entries},
    )


def decode_segment(number: int, value: bytes, version: int) -> Segment:
    """Decode the value of a segment's object."""
    data = orjson.loads(value)
    entries = {digest: _row_entry(row) for digest, row in data["entries"].items()}
    return Segment(number, version, data["previous"], data["next"], entries, len(value))


def stored(segment: Segment, version: int, value: bytes) -> Segment:
    """Return the segment as it stands after a successful write of `value`."""
    return replace(segment, version=version, size=len(value))


def _entry_row(entry: Entry) -> list[Any]:
    outcome = entry.outcome
    row: list[Any] = [
        entry.claim_id,
        entry.router_id,
        entry.request_id,
        entry.content_hash,
        entry.until_wall,
    ]
    if outcome is not None:
        output = None if outcome.output is None else b64encode(outcome.output).decode()
        usage = outcome.usage
        row += [int(outcome.code), output, outcome.digest, usage.input_tokens, usage.output_tokens]
    return row


def _row_entry(row: list[Any]) -> Entry:
    outcome = None
    if len(row) > 5:
        output = None if row[6] is None else b64decode(row[6])
        outcome = Outcome(ResultCode(row[5]), output, row[7], ClaimUsage(row[8], row[9]))
    return Entry(row[0], row[1], row[2], row[3], row[4], outcome)
