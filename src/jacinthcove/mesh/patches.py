"""Encoding of documents for the wire: in full, or as a JSON patch on an older revision."""

import hashlib
from collections.abc import Callable
from typing import Any

import gevent
import jsonpatch
import orjson

from jacinthcove.mesh import mesh_pb2 as pb
from jacinthcove.mesh.documents import Document

DIGEST_BYTES = 16
# Patches of larger bodies are computed in a native thread, so that they do not block the hub.
MAX_INLINE_BYTES = 32 * 1024


class DigestMismatch(Exception):  # noqa: N818 - the name says which check failed
    """A received or patched body does not match the digest in its message."""


def digest(body: bytes) -> bytes:
    """Return the digest that is sent with a document."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()


def encode_canonical(value: Any) -> bytes:
    """Encode JSON with sorted keys; only bodies in this form are sent as patches."""
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def make_full_push(document: Document) -> pb.DocumentPush:
    """Return a push message with the full body."""
    return pb.DocumentPush(
        kind=document.kind,
        revision=document.revision,
        body=document.body,
        digest=digest(document.body),
    )


def make_patch_push(
    document: Document, old_revision: int, old_body: bytes
) -> pb.DocumentPush | None:
    """Return a push message with a patch on `old_body`, or None if none is possible or smaller."""
    patch = _compute(len(document.body), _make_patch, old_body, document.body)
    if patch is None or len(patch) >= len(document.body):
        return None
    return pb.DocumentPush(
        kind=document.kind,
        revision=document.revision,
        patch_from=old_revision,
        body=patch,
        digest=digest(document.body),
    )


def decode_push(push: pb.DocumentPush, old_body: bytes | None) -> Document:
    """Return the document of a push message; raises `DigestMismatch`.

    `old_body` is the body of revision `patch_from`, or None if this router does not have it.
    """
    body: bytes | None = push.body
    if push.patch_from:
        body = (
            None if old_body is None else _compute(len(old_body), _apply_patch, old_body, push.body)
        )
    if body is None or digest(body) != push.digest:
        raise DigestMismatch(f"{push.kind} {push.revision} does not match its digest")
    return Document(push.kind, push.revision, body)


def _make_patch(old_body: bytes, new_body: bytes) -> bytes | None:
    try:
        old, new = orjson.loads(old_body), orjson.loads(new_body)
    except orjson.JSONDecodeError:
        return None
    if encode_canonical(old) != old_body or encode_canonical(new) != new_body:
        return None
    return orjson.dumps(jsonpatch.make_patch(old, new).patch)


def _apply_patch(old_body: bytes, patch: bytes) -> bytes | None:
    try:
        value = jsonpatch.apply_patch(orjson.loads(old_body), orjson.loads(patch), in_place=True)
    except (orjson.JSONDecodeError, jsonpatch.JsonPatchException, jsonpatch.JsonPointerException):
        return None
    return encode_canonical(value)


def _compute(size: int, function: Callable[[bytes, bytes], Any], *arguments: bytes) -> Any:
    """Call `function`, in a native thread if the body of `size` bytes is large."""
    if size <= MAX_INLINE_BYTES:
        return function(*arguments)
    return gevent.get_hub().threadpool.apply(function, arguments)
