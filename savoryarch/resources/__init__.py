"""Formats of resources: INI files, JSON of the operators' API, and bytes in the store."""

from savoryarch.resources._forms import FORMS, format_scalar, make_form
from savoryarch.resources._ini import (
    DeclaredResource,
    find_field_place,
    format_resource,
    format_resources,
    parse_resources,
)
from savoryarch.resources._json import resource_from_json, resource_to_json
from savoryarch.resources._record import (
    RECORD_CODEC,
    decode_delta,
    decode_record,
    encode_delta,
    encode_record,
)

__all__ = [
    "FORMS",
    "RECORD_CODEC",
    "DeclaredResource",
    "decode_delta",
    "decode_record",
    "encode_delta",
    "encode_record",
    "format_resource",
    "format_resources",
    "format_scalar",
    "make_form",
    "parse_resources",
    "find_field_place",
    "resource_from_json",
    "resource_to_json",
]
