"""Format in which the claims of a key shard are stored: one object per segment."""

import hashlib
from base64 import b64decode, b64encode
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

import orjson

from jacinthcove.codes import ResultCode

KEY_SHARDS = 256
MAX_OUTPUT_BYTES = 4_096
# Segment number = hours since the Unix epoch x SEGMENTS_PER_HOUR + sequence number in the hour.
SEGMENTS_PER_HOUR = 100
HOUR_MS = 3_600_000
# The store accepts values up to 1 MB. A segment above the soft limit is closed; the difference
# is reserved for the entries of one batch.
MAX_SEGMENT_BYTES = 1_000_000
SOFT_SEGMENT_BYTES = 600_000
# The largest encoded outcome: 4 KB of output in base64 and its fixed fields.
OUTCOME_RESERVE_BYTES = 5_800
ENTRY_RESERVE_BYTES = 700
MAX_ID_CHARS = 128


@dataclass(frozen=True)
class ClaimUsage:
    """The number of tokens that a request with an idempotency key used."""

    input_tokens: int = 0
    output_tokens: int = 0


@dataclass(frozen=True)
class Outcome:
    """The outcome of a request with an idempotency key; `output` is None if it exceeded 4 KB."""

    code: ResultCode
    output: bytes | None
    digest: str
    usage: ClaimUsage = field(default_factory=ClaimUsage)


@dataclass(frozen=True)
class Entry:
    """One stored claim; without outcome after `expected_end_wall_ms` its result is unknown."""

    claim_id: str
    router_id: str
    request_id: str
    content_hash: str
    expected_end_wall_ms: int
    outcome: Outcome | None = None


@dataclass(frozen=True)
class Segment:
    """One stored object of claims, by key digest.

    Version 0 means not yet stored. `previous` and `next` are the numbers of the neighbours; `next`
    is set when the segment is closed. `size` is the encoded size in bytes.
    """

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
        """Return the size in bytes once every claim has the largest possible outcome."""
        unfinished = sum(1 for entry in self.entries.values() if entry.outcome is None)
        return self.size + unfinished * OUTCOME_RESERVE_BYTES


def key_digest(workspace: str, key: str) -> str:
    """Return the digest that identifies an idempotency key of a workspace: 40 hex digits."""
    return hashlib.sha256(f"{len(workspace)}:{workspace}:{key}".encode()).hexdigest()[:40]


def key_shard(digest: str) -> int:
    """Return the number of the key shard to which a digest belongs."""
    return int(digest[:2], 16) % KEY_SHARDS


def shard_prefix(shard: int) -> str:
    """Return the common prefix of the store keys of all segments of `shard`."""
    return f"claims/{shard:02x}/"


def segment_key(shard: int, number: int) -> str:
    """Return the store key of segment `number` of `shard`."""
    return f"{shard_prefix(shard)}{number:012d}"


def segment_number(key: str) -> int:
    """Return the segment number that is part of a store key."""
    return int(key.rsplit("/", 1)[1])


def make_outcome(code: ResultCode, output: bytes, usage: ClaimUsage) -> Outcome:
    """Return an outcome; an output above 4 KB is left out and only its digest kept."""
    digest = hashlib.sha256(output).hexdigest()
    return Outcome(code, output if len(output) <= MAX_OUTPUT_BYTES else None, digest, usage)


def encode_segment(segment: Segment) -> bytes:
    """Encode a segment as the value of its stored object."""
    entries = {digest: _encode_entry(entry) for digest, entry in segment.entries.items()}
    return orjson.dumps(
        {"previous": segment.previous, "next": segment.next, "entries": entries},
    )


def decode_segment(number: int, value: bytes, version: int) -> Segment:
    """Decode the value and version of a stored object to segment `number`."""
    data = orjson.loads(value)
    entries = {digest: _decode_entry(row) for digest, row in data["entries"].items()}
    return Segment(number, version, data["previous"], data["next"], entries, len(value))


def with_version(segment: Segment, version: int, value: bytes) -> Segment:
    """Return the segment with the version and size that it has after writing `value`."""
    return replace(segment, version=version, size=len(value))


def _encode_entry(entry: Entry) -> list[Any]:
    outcome = entry.outcome
    row: list[Any] = [
        entry.claim_id,
        entry.router_id,
        entry.request_id,
        entry.content_hash,
        entry.expected_end_wall_ms,
    ]
    if outcome is not None:
        output = None if outcome.output is None else b64encode(outcome.output).decode()
        usage = outcome.usage
        row += [int(outcome.code), output, outcome.digest, usage.input_tokens, usage.output_tokens]
    return row


def _decode_entry(row: list[Any]) -> Entry:
    outcome = None
    if len(row) > 5:
        output = None if row[6] is None else b64decode(row[6])
        outcome = Outcome(ResultCode(row[5]), output, row[7], ClaimUsage(row[8], row[9]))
    return Entry(row[0], row[1], row[2], row[3], row[4], outcome)
