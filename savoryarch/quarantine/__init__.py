"""Quarantine: requests that crash the targets that run them.

A pure library for the decisions on searches and routes::

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

A request in flight on a target when it crashes becomes a suspect at that service. Each crash there
counts against it and each reply from there for it. A suspect (more crashes than replies) runs one
attempt at a time, alone on its target, until a reply clears it; two crashes more than
replies quarantine it here and, by `QuarantineDeclared`, at every peer. So an innocent request
beside it is cleared by its next reply, and the hot one that is always in flight has had replies
before. If a suspect is in flight on a target that crashes, it explains the crash and nobody else is
blamed; nor is a request that got a reply from the service of late, if another that did not is in
flight. An innocent request that never got a reply from the service here and is in flight there at
two crashes cannot be told from the guilty one.

After the quarantine the request is a suspect again: one crash more quarantines it at once.
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
