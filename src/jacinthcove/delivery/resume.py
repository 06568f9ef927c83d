"""Signed tokens that let a caller resume its stream on any router."""

import binascii
import hashlib
import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from dataclasses import astuple, dataclass, fields

import orjson

from jacinthcove.codes import ResultCode
from jacinthcove.errors import RequestRefused

SIGNATURE_BYTES = 32
MAX_TOKEN_CHARS = 2_048


@dataclass(frozen=True)
class ResumeToken:
    """Data that a router needs to resume a stream; `expires_wall` is in ms since the epoch."""

    target_id: str
    target_address: str
    stream_id: str
    workspace: str
    request_id: str
    offset_base: int
    expires_wall: int


_FIELD_TYPES = tuple(item.type for item in fields(ResumeToken))


def encode_token(token: ResumeToken, fleet_key: str) -> str:
    """Sign a token with the fleet key and encode it in urlsafe base64 without padding."""
    body = orjson.dumps(astuple(token))
    return urlsafe_b64encode(_sign(body, fleet_key) + body).rstrip(b"=").decode()


def decode_token(text: str, fleet_key: str, wall_ms: int) -> ResumeToken:
    """Decode a token after checking its signature and expiry.

    Raises `RequestRefused(TOKEN_INVALID)` for any other text.
    """
    raw = _decode_base64(text)
    signature, body = raw[:SIGNATURE_BYTES], raw[SIGNATURE_BYTES:]
    if not fleet_key or not hmac.compare_digest(signature, _sign(body, fleet_key)):
        raise _invalid("the resume token is not signed by this fleet")
    values = orjson.loads(body)
    if len(values) != len(_FIELD_TYPES):
        raise _invalid("the resume token has another format")
    token = ResumeToken(*values)
    if token.expires_wall <= wall_ms:
        raise _invalid("the resume token is expired")
    return token


def _sign(body: bytes, fleet_key: str) -> bytes:
    return hmac.new(fleet_key.encode(), b"resume:" + body, hashlib.sha256).digest()


def _decode_base64(text: str) -> bytes:
    if len(text) > MAX_TOKEN_CHARS:
        raise _invalid("the resume token is too long")
    try:
        return urlsafe_b64decode(text.encode("ascii") + b"=" * (-len(text) % 4))
    except (binascii.Error, UnicodeEncodeError):
        raise _invalid("the resume token is malformed") from None


def _invalid(message: str) -> RequestRefused:
    return RequestRefused(ResultCode.TOKEN_INVALID, message)
