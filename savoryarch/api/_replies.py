"""Encoding of outcomes as HTTP replies to operators."""

from collections.abc import Iterable
from typing import Any

from msgspec import json

from savoryarch.codec import EncodedReply
from savoryarch.configuration import WatchedChanges
from savoryarch.model import (
    ChangeAccepted,
    ChangeBlocked,
    ChangeConflicts,
    ChangeInvalid,
    ChangeOutcome,
    ChangeUnavailable,
    ChangeUnknown,
    ConfigurationStatus,
    RevisionConflict,
)
from savoryarch.notices import OpenNotice
from savoryarch.resources import resource_to_json
from savoryarch.utils import Finding


def encode_value(value: object, status: int = 200) -> EncodedReply:
    """Encode a value that consists of JSON types."""
    return EncodedReply(status, json.encode(value))


def encode_refusal(status: int, reason: str, detail: str) -> EncodedReply:
    """Encode the refusal of a request, which has changed nothing."""
    return _encode_refusal(status, reason, detail)


def encode_findings(findings: Iterable[Finding]) -> EncodedReply:
    """Encode the refusal of an invalid request, with all findings."""
    items = [
        {"path": finding.place.path, "message": finding.message} for finding in sorted(findings)
    ]
    return _encode_refusal(422, "invalid", f"{len(items)} findings", findings=items)


def encode_change_outcome(change_id: str, outcome: ChangeOutcome) -> EncodedReply:
    """Encode the outcome of a change.

    Returns
    -------
    reply : EncodedReply
        Status 200 if it was accepted, 422, 409 or 503 if it was refused, 504 if it is unknown.
    """
    match outcome:
        case ChangeAccepted(generation=generation, changed=changed):
            return encode_value(
                {
                    "outcome": "accepted",
                    "change_id": change_id,
                    "generation": generation,
                    "changed": changed,
                }
            )
        case ChangeInvalid(findings=findings):
            return encode_findings(findings)
        case ChangeConflicts(conflicts=conflicts):
            return _encode_refusal(
                409,
                "conflict",
                "resources are at other revisions than expected",
                change_id=change_id,
                conflicts=[_conflict_to_json(item) for item in conflicts],
            )
        case ChangeBlocked(stored_generation=stored, generation=generation):
            detail = (
                f"the store was restored to generation {stored}, and {generation} is in force; "
                "decide with POST /v1/restore"
            )
            return _encode_refusal(
                409,
                "store_restored",
                detail,
                change_id=change_id,
                stored_generation=stored,
                generation=generation,
            )
        case ChangeUnavailable(detail=detail):
            return _encode_refusal(503, "store_unavailable", detail, change_id=change_id)
        case ChangeUnknown(detail=detail):
            body = {"outcome": "unknown", "reason": "reply_lost", "detail": detail}
            return encode_value(body | {"change_id": change_id, "not_run": False}, 504)


def encode_status(status: ConfigurationStatus) -> EncodedReply:
    """Encode the generations that are in force on the instances."""
    return encode_value(
        {
            "instance_id": status.instance_id,
            "generation": status.version.generation,
            "change_id": status.version.change_id,
            "store_seen_ago_ms": status.store_last_contact_ago_ms,
            "store_generation_behind": status.store_restored_generation,
            "instances": [
                {
                    "instance_id": item.instance_id,
                    "generation": item.generation,
                    "live": item.live,
                    "heard_ago_ms": item.last_contact_ago_ms,
                }
                for item in status.instances
            ],
        }
    )


def encode_notices(notices: Iterable[OpenNotice], now_ms: float) -> EncodedReply:
    """Encode the open notices, with the time for which each has been open."""
    items = [
        {
            "notice_id": item.notice.notice_id,
            "summary": item.notice.summary,
            "decision": item.notice.decision,
            "choices": list(item.notice.choices),
            "open_for_ms": now_ms - item.opened_at_ms,
        }
        for item in notices
    ]
    return encode_value({"notices": items})


def encode_watched_changes(changes: WatchedChanges) -> EncodedReply:
    """Encode changed and deleted resources, and the generation to resume watching after."""
    puts = [
        {"type": "put", "resource": resource_to_json(item.resource, item.revision)}
        for item in changes.puts
    ]
    deletes = [
        {
            "type": "delete",
            "kind": item.key.kind.value,
            "name": item.key.name,
            "revision": item.revision,
        }
        for item in changes.deletes
    ]
    return encode_value({"generation": changes.generation, "changes": puts + deletes})


def _conflict_to_json(conflict: RevisionConflict) -> dict[str, Any]:
    return {
        "kind": conflict.key.kind.value,
        "name": conflict.key.name,
        "expected_revision": conflict.expected_revision,
        "actual_revision": conflict.actual_revision,
    }


def _encode_refusal(status: int, reason: str, detail: str, **fields: object) -> EncodedReply:
    body = {"outcome": "refused", "reason": reason, "detail": detail, "not_run": True, **fields}
    return encode_value(body, status)
