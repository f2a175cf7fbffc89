"""Guards against requests that get no key, or the key of another request.

Both come about when the header or the field of the body is absent, empty, too long or of another
type than expected.
"""

import pytest

from savoryarch.model import KeyFromField, KeyFromHeader
from savoryarch.orders import KeyFound, KeyNotFound, extract_created_at_ms, extract_key

HEADER = KeyFromHeader()
FIELD = KeyFromField("rebuild.wheel_id")


@pytest.mark.parametrize(
    ("source", "headers", "body", "key"),
    [
        (HEADER, {"idempotency-key": "k1"}, b"{}", "k1"),
        (KeyFromHeader("X-Order"), {"x-order": " k1 "}, b"{}", "k1"),
        (FIELD, {}, b'{"rebuild": {"wheel_id": "w1"}}', "w1"),
        (FIELD, {}, b'{"rebuild": {"wheel_id": 17}}', "#17"),
    ],
)
def test_extracts_the_key(source, headers, body, key):
    assert extract_key(source, headers, body) == KeyFound(key)


@pytest.mark.parametrize(
    ("source", "headers", "body", "detail"),
    [
        (HEADER, {}, b"{}", "header 'idempotency-key' is missing"),
        (HEADER, {"idempotency-key": "  "}, b"{}", "is missing"),
        (HEADER, {"idempotency-key": "k" * 513}, b"{}", "longer than 512 bytes"),
        (FIELD, {}, b"{", "not JSON"),
        (FIELD, {}, b"[]", "field 'rebuild.wheel_id' is missing"),
        (FIELD, {}, b'{"rebuild": {}}', "is missing"),
        (FIELD, {}, b'{"rebuild": {"wheel_id": true}}', "neither text nor"),
        (FIELD, {}, b'{"rebuild": {"wheel_id": ""}}', "is missing"),
    ],
)
def test_reports_why_there_is_no_key(source, headers, body, detail):
    found = extract_key(source, headers, body)
    assert isinstance(found, KeyNotFound)
    assert detail in found.detail


@pytest.mark.parametrize(
    ("key", "headers", "created"),
    [
        ("k1", {}, None),
        ("k1", {"x-order-created-ms": "1700000000000"}, 1_700_000_000_000),
        ("k1", {"x-order-created-ms": "soon"}, None),
        ("018bcfe5-6800-7000-8000-000000000000", {}, 1_700_000_000_000),
        ("018bcfe5-6800-4000-8000-000000000000", {}, None),
    ],
)
def test_extracts_the_creation_time(key, headers, created):
    assert extract_created_at_ms(key, headers) == created
