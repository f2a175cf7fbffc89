"""Quarantine of requests that crash the targets that run them.

A pure library for the decisions on searches and forwarded requests::

    state = make_quarantine_state(QuarantineSettings())
    fingerprint = fingerprint_request(search.name, query)
    check_request(state, fingerprint, now_ms)      # Quarantined: refuse the request
    # Before each attempt; MustWait: send it later.
    check_attempt(state, fingerprint, service, target_id, now_ms)
    state = record_attempt_started(state, attempt_id, service, target_id, fingerprint)
    # After ConnectionLost, before record_attempt_ended.
    decided = record_crash(state, target_id, now_ms)
    decided = record_attempt_ended(state, attempt_id, target_id, replied=True)
    decided = handle_quarantine_message(state, message, now_ms)

A request that is in flight on a target when the target crashes becomes a suspect at that service.
Each further crash there counts against the request, and each reply from there counts for it. A
suspect has more crashes than replies at some service. It has one attempt in flight at a time, alone
on its target, until replies clear it. With two crashes more than replies
(`QuarantineSettings.crashes`), it is quarantined here and, by `QuarantineDeclared`, at every peer.
A harmless request in flight on the same target as the one that crashes it is cleared by its next
reply, and a harmless request that is in flight most of the time has had recent replies.

If a suspect is in flight on a target that crashes, no other request is blamed. A request with a
recent reply from the service is not blamed either, if one without such a reply is in flight. The
quarantine cannot distinguish a request that crashes targets from a harmless one that never got a
reply from the service at this instance and is in flight there at two crashes.

After the quarantine the request is a suspect again, and one more crash quarantines it again.
"""

from savoryarch.quarantine._attempts import record_attempt_result
from savoryarch.quarantine._decide import (
    Allowed,
    MustWait,
    Quarantined,
    Verdict,
    active_quarantines,
    check_attempt,
    check_request,
    fingerprint_request,
    handle_quarantine_message,
    record_attempt_ended,
    record_attempt_started,
    record_crash,
)
from savoryarch.quarantine._messages import CrashReported, QuarantineDeclared, ReplyReported
from savoryarch.quarantine._settings import QuarantineSettings
from savoryarch.quarantine._state import QuarantineState, make_quarantine_state

__all__ = [
    "MustWait",
    "Allowed",
    "CrashReported",
    "QuarantineDeclared",
    "QuarantineSettings",
    "QuarantineState",
    "Quarantined",
    "ReplyReported",
    "Verdict",
    "active_quarantines",
    "fingerprint_request",
    "handle_quarantine_message",
    "check_attempt",
    "check_request",
    "make_quarantine_state",
    "record_attempt_result",
    "record_crash",
    "record_attempt_ended",
    "record_attempt_started",
]
