import pytest

from savoryarch.codec import encode_route_outcome
from savoryarch.model import RefusalReason, Refused, RouteDone, RouteOutcomeUnknown


@pytest.mark.parametrize(
    ("outcome", "status", "headers"),
    [
        (RouteDone(201, b"{}"), 201, {"x-recorded": "no", "x-body-kept": "yes"}),
        (RouteDone(201, b"{}", recorded=True), 201, {"x-recorded": "yes", "x-body-kept": "yes"}),
        (
            RouteDone(201, b"", recorded=True, body_kept=False),
            201,
            {"x-recorded": "yes", "x-body-kept": "no"},
        ),
        (RouteOutcomeUnknown("lost"), 502, {"x-outcome": "unknown"}),
        (Refused(RefusalReason.KEY_EXPIRED, "old", not_run=False), 409, {"x-outcome": "refused"}),
    ],
)
def test_route_outcomes_have_their_status_and_headers(outcome, status, headers):
    reply = encode_route_outcome("r1", outcome)
    assert reply.status == status
    assert dict(reply.headers) | headers == dict(reply.headers)
