"""Encoding of outcomes as HTTP replies to callers."""

from dataclasses import dataclass
from typing import Any

from msgspec import Raw, json

from savoryarch.model import (
    RefusalReason,
    Refused,
    RouteDone,
    RouteOutcome,
    RouteOutcomeUnknown,
    SearchAnswered,
    SearchOutcome,
)

_REFUSAL_STATUS = {
    RefusalReason.UNKNOWN_SEARCH: 404,
    RefusalReason.UNKNOWN_ROUTE: 404,
    RefusalReason.OVERLOADED: 503,
    RefusalReason.DEADLINE_TOO_SHORT: 503,
    RefusalReason.COVERAGE_TOO_LOW: 503,
    RefusalReason.NO_SNAPSHOT: 503,
    RefusalReason.QUARANTINED: 422,
    RefusalReason.STOPPING: 503,
    RefusalReason.NO_CONFIGURATION: 503,
    RefusalReason.KEY_MISSING: 400,
    RefusalReason.KEY_REUSED: 409,
    RefusalReason.KEY_EXPIRED: 409,
    RefusalReason.STORE_UNAVAILABLE: 503,
    RefusalReason.NO_TARGET: 503,
}
_MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class EncodedReply:
    """One HTTP reply.

    Parameters
    ----------
    status : int
        HTTP status code.
    body : bytes
        Body; JSON, except that of a target's reply and of metrics.
    headers : tuple of (str, str)
        Headers in addition to the content type.
    """

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


def encode_search_outcome(request_id: str, search: str, outcome: SearchOutcome) -> EncodedReply:
    """Encode the outcome of a search.

    Parameters
    ----------
    request_id : str
        Id of the request.
    search : str
        Name of the declared search.
    outcome : SearchOutcome
        The outcome; the JSON records of the shards are copied into the body unchanged.

    Returns
    -------
    reply : EncodedReply
        Reply with status 200, or with the status of the refusal.
    """
    match outcome:
        case SearchAnswered(snapshot=snapshot, coverage=coverage, parts=parts):
            body = {
                "outcome": "answered",
                "request_id": request_id,
                "search": search,
                "snapshot": {"shard_map": snapshot.shard_map, "index": snapshot.index},
                "coverage": {
                    "asked": coverage.asked,
                    "answered": coverage.answered,
                    "left_out": [
                        {"service": shard.service, "reason": shard.reason.value}
                        for shard in coverage.left_out
                    ],
                },
                "parts": [
                    {"service": part.service, "records": Raw(part.records)} for part in parts
                ],
            }
            return EncodedReply(200, json.encode(body))
        case Refused():
            return _encode_refusal(request_id, outcome)


def encode_route_outcome(request_id: str, outcome: RouteOutcome) -> EncodedReply:
    """Encode the outcome of a request of a route.

    Parameters
    ----------
    request_id : str
        Id of the request.
    outcome : RouteOutcome
        The outcome; the status and the body of the target's reply are not changed.

    Returns
    -------
    reply : EncodedReply
        Reply with the status of the target or of the refusal, or 502 if the outcome is unknown.
    """
    match outcome:
        case RouteDone(status=status, body=body, recorded=recorded, body_kept=body_kept):
            headers = (
                ("x-outcome", "done"),
                ("x-recorded", "yes" if recorded else "no"),
                ("x-body-kept", "yes" if body_kept else "no"),
                ("x-request-id", request_id),
            )
            return EncodedReply(status, body, headers)
        case RouteOutcomeUnknown(detail=detail):
            unknown = {"outcome": "unknown", "request_id": request_id, "detail": detail}
            return EncodedReply(502, json.encode(unknown), (("x-outcome", "unknown"),))
        case Refused():
            return _encode_refusal(request_id, outcome)


def encode_error(status: int, reason: str, detail: str) -> EncodedReply:
    """Encode a refusal that needs no decision, for example of a request with a malformed body.

    Parameters
    ----------
    status : int
        HTTP status code.
    reason : str
        Reason of the refusal, for programs.
    detail : str
        Description of the error, for people.

    Returns
    -------
    reply : EncodedReply
        Reply which says that the request did not run.
    """
    body = {"outcome": "refused", "reason": reason, "detail": detail, "not_run": True}
    return EncodedReply(status, json.encode(body), (("x-outcome", "refused"),))


def _encode_refusal(request_id: str, refused: Refused) -> EncodedReply:
    body: dict[str, Any] = {
        "outcome": "refused",
        "request_id": request_id,
        "reason": refused.reason.value,
        "detail": refused.detail,
        "not_run": refused.not_run,
    }
    headers = [("x-outcome", "refused")]
    if refused.retry_after_ms is not None:
        body["retry_after_ms"] = refused.retry_after_ms
        headers.append(("retry-after", str(max(1, round(refused.retry_after_ms / _MS_PER_S)))))
    return EncodedReply(_REFUSAL_STATUS[refused.reason], json.encode(body), tuple(headers))
