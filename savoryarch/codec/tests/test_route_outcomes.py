"""The reply to a route request tells its caller whether the request has run and is recorded.

A wrong status or header would make the caller resend a request that has run, or trust that its
outcome is recorded when it is not.
"""

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
    # Compares only the expected headers; the reply also has others.
    assert dict(reply.headers) | headers == dict(reply.headers)
