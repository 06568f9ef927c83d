"""The marks of a request by which it is recognised when targets crash under it."""

from hashlib import blake2b

from jacinthcove.gateway.model import GatewayRequest

Combination = frozenset[str]

DIGEST_BYTES = 12
# Ids of prompt parts have no colon, so no digest is one of them.
DIGEST_PREFIX = "request:"


def request_digest(request: GatewayRequest) -> str:
    """Return the mark of all requests of a workspace with the same host, method, path and body."""
    fields = (request.route.host, request.method, request.target, request.workspace)
    digest = blake2b(digest_size=DIGEST_BYTES)
    for field in (*(field.encode() for field in fields), request.body):
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return f"{DIGEST_PREFIX}{digest.hexdigest()}"


def is_digest(mark: str) -> bool:
    """Return whether a mark is the digest of a request, not the id of a prompt part."""
    return mark.startswith(DIGEST_PREFIX)


def crash_marks(request: GatewayRequest) -> Combination:
    """Return the marks of a request: its digest, and all parts of its prompt but the last.

    The last part belongs to this request only.
    """
    parts = (part.id for part in request.prompt.parts[:-1])
    return frozenset((request_digest(request), *parts))
