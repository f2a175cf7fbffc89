"""Quarantine: requests that crash the targets that run them.

A pure library for the decisions on searches and routes::

    state = make_quarantine_state(QuarantineSettings())
    fingerprint = fingerprint_of(asked.search, asked.query)
    judge_request(state, fingerprint, now_ms)      # Quarantined: refuse the request
    judge_attempt(state, fingerprint, service, target_id, now_ms)
                                                   # before each attempt; Alone: let it wait
    state = note_started(state, attempt_id, service, target_id, fingerprint)
    note_crash(state, target_id, now_ms)           # ConnectionLost, before note_ended; has effects
    note_ended(state, attempt_id, target_id, replied=...)    # has effects
    hear_peer(state, message, now_ms)              # of PeerMessageReceived

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

from savoryarch.quarantine._attempts import note_attempt_ended
from savoryarch.quarantine._decide import (
    Alone,
    Clear,
    Quarantined,
    Verdict,
    declared,
    fingerprint_of,
    hear_peer,
    judge_attempt,
    judge_request,
    note_crash,
    note_ended,
    note_started,
)
from savoryarch.quarantine._messages import CrashReported, QuarantineDeclared, ReplyReported
from savoryarch.quarantine._settings import QuarantineSettings
from savoryarch.quarantine._state import QuarantineState, make_quarantine_state

__all__ = [
    "Alone",
    "Clear",
    "CrashReported",
    "QuarantineDeclared",
    "QuarantineSettings",
    "QuarantineState",
    "Quarantined",
    "ReplyReported",
    "Verdict",
    "declared",
    "fingerprint_of",
    "hear_peer",
    "judge_attempt",
    "judge_request",
    "make_quarantine_state",
    "note_attempt_ended",
    "note_crash",
    "note_ended",
    "note_started",
]
