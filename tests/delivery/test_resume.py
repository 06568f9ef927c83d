"""Guards against forged, foreign, altered or expired resume tokens."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthcove.codes import ResultCode
from jacinthcove.delivery.resume import ResumeToken, decode_token, encode_token
from jacinthcove.errors import RequestRefused

TOKEN = ResumeToken("t1", "127.0.0.1:9", "s1", "w", "r", 5, 1_000)
TEXT = encode_token(TOKEN, "key")


def refused(text, key="key", wall_ms=999):
    with pytest.raises(RequestRefused) as error:
        decode_token(text, key, wall_ms)
    return error.value.code is ResultCode.TOKEN_INVALID


def test_token_round_trip():
    assert decode_token(TEXT, "key", 999) == TOKEN


def test_expired_or_foreign_token_is_refused():
    assert refused(TEXT, wall_ms=1_000)
    assert refused(TEXT, key="other")
    assert refused(encode_token(replace(TOKEN, workspace="x"), ""), key="")


@settings(derandomize=True, database=None)
@given(st.integers(0, len(TEXT) - 1), st.sampled_from("AZaz09-_=é"))
def test_altered_token_is_refused(position, character):
    altered = TEXT[:position] + character + TEXT[position + 1 :]
    if altered != TEXT:
        assert refused(altered)


@settings(derandomize=True, database=None)
@given(st.text(max_size=80))
def test_arbitrary_text_is_refused(text):
    assert refused(text)
