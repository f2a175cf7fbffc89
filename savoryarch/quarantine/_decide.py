"""Decisions of the quarantine: which requests crash targets, and which attempts may be sent."""

from collections.abc import Iterable
from dataclasses import dataclass

from immutables import Map
from xxhash import xxh3_64_hexdigest

from savoryarch.model import BroadcastToPeers, Count, Decided, LogEvent
from savoryarch.quarantine._messages import CrashReported, QuarantineDeclared, ReplyReported
from savoryarch.quarantine._state import (
    InFlightAttempt,
    QuarantineState,
    RequestRecord,
    ServiceHistory,
)
from savoryarch.utils import fast_init, heap_pop, heap_push, replace, sorted_items

# Replies count at one service only up to the crashes plus this number, so that a request with many
# replies is still quarantined after a bounded number of crashes.
_MAX_REPLY_SURPLUS = 10
_NO_HISTORY = ServiceHistory()
_NO_RECORD = RequestRecord()

DecidedQuarantine = Decided[QuarantineState]


@fast_init
@dataclass(frozen=True, slots=True)
class Allowed:
    """The request or the attempt may go ahead."""


@fast_init
@dataclass(frozen=True, slots=True)
class MustWait:
    """The request is a suspect, and the attempt must wait.

    The check is repeated whenever an attempt has ended. A suspect has only one attempt in flight,
    so that the other shards of a search wait for it.
    """


@fast_init
@dataclass(frozen=True, slots=True)
class Quarantined:
    """The request is refused.

    Parameters
    ----------
    remaining_ms : float
        Time in milliseconds until the quarantine ends.
    """

    remaining_ms: float


Verdict = Allowed | MustWait | Quarantined


def fingerprint_request(name: str, body: bytes) -> str:
    """Return a digest that identifies a request by its content, independent of the caller.

    Parameters
    ----------
    name : str
        Name of the search, or path of the forwarded request.
    body : bytes
        Query of the search or body of the request.

    Returns
    -------
    fingerprint : str
        Hash of 64 bits in hexadecimal.
    """
    return str(xxh3_64_hexdigest(name.encode() + b"\0" + body))


def check_request(state: QuarantineState, fingerprint: str, now_ms: float) -> Verdict:
    """Return whether an incoming request is `Quarantined` or `Allowed`."""
    record = state.records.get(fingerprint)
    if record is not None and now_ms < record.quarantined_until_ms:
        return Quarantined(record.quarantined_until_ms - now_ms)
    return Allowed()


def check_attempt(
    state: QuarantineState, fingerprint: str, service: str, target_id: str, now_ms: float
) -> Verdict:
    """Return whether an attempt of a request may be sent to a target now.

    A suspect has one attempt in flight at a time, on a target without other attempts of this
    instance. Its attempts go only to services at which it is a suspect, until replies clear it.
    """
    record = state.records.get(fingerprint)
    if record is None:
        return Allowed()
    if now_ms < record.quarantined_until_ms:
        return Quarantined(record.quarantined_until_ms - now_ms)
    if not _is_suspect(record) or now_ms >= record.expires_at_ms:
        return Allowed()
    history = record.histories.get(service, _NO_HISTORY)
    is_alone = not state.in_flight_counts.get(fingerprint) and not state.in_flight.get(target_id)
    return Allowed() if is_alone and history.crashes > history.replies else MustWait()


def record_attempt_started(
    state: QuarantineState, attempt_id: str, service: str, target_id: str, fingerprint: str
) -> QuarantineState:
    """Return the state with an attempt in flight on a target."""
    attempts = state.in_flight.get(target_id, Map())
    in_flight = state.in_flight.set(
        target_id, attempts.set(attempt_id, InFlightAttempt(fingerprint, service))
    )
    in_flight_counts = state.in_flight_counts.set(
        fingerprint, state.in_flight_counts.get(fingerprint, 0) + 1
    )
    return replace(state, in_flight=in_flight, in_flight_counts=in_flight_counts)


def record_attempt_ended(
    state: QuarantineState, attempt_id: str, target_id: str, *, replied: bool
) -> DecidedQuarantine:
    """Remove an attempt from those in flight, and count its reply.

    A reply to a request that is a suspect at the service is reported to the peers.

    Parameters
    ----------
    state : QuarantineState
        State before the end of the attempt.
    attempt_id, target_id : str
        As in `record_attempt_started`. Unknown attempts change nothing.
    replied : bool
        Whether the target ran the attempt and replied, which is evidence that the request is
        harmless. A refusal, a cancellation or a timeout is no evidence.

    Returns
    -------
    decided : DecidedQuarantine
        The state after the end of the attempt, and the report to the peers, if there is one.
    """
    attempts = state.in_flight.get(target_id, Map())
    attempt = attempts.get(attempt_id)
    if attempt is None:
        return Decided(state)
    state = replace(
        state,
        in_flight=_put_attempts(state.in_flight, target_id, attempts.delete(attempt_id)),
        in_flight_counts=_decrement_count(state.in_flight_counts, attempt.fingerprint),
    )
    if not replied:
        return Decided(state)
    state = _record_recent_reply(state, attempt)
    if attempt.fingerprint not in state.records:
        return Decided(state)
    was_suspect = _is_suspect_at(state, attempt.fingerprint, attempt.service)
    state = _count_reply(state, attempt.fingerprint, attempt.service)
    if not was_suspect:
        return Decided(state)
    return Decided(state, (BroadcastToPeers(ReplyReported(attempt.fingerprint, attempt.service)),))


def record_crash(state: QuarantineState, target_id: str, now_ms: float) -> DecidedQuarantine:
    """Count a crash against requests in flight on the crashed target, and report it to the peers.

    Call this function when a connection to the target is lost with an attempt in flight, before
    `record_attempt_ended`. Further losses within `QuarantineSettings.same_crash_ms` belong to the
    same crash. If some of the requests are already suspects at the service, only these are blamed.
    Otherwise the requests without a recent reply from the service are blamed; if each has one, all
    are blamed.
    """
    attempts = state.in_flight.get(target_id, Map())
    if not attempts:
        return Decided(state)
    service = next(iter(attempts.values())).service
    fingerprints = sorted({attempt.fingerprint for attempt in attempts.values()})
    blamed = [
        fingerprint
        for fingerprint in fingerprints
        if not _is_same_crash(state, fingerprint, service, target_id, now_ms)
    ]
    state = _extend_crash_window(state, set(fingerprints) - set(blamed), service, now_ms)
    without_reply = [
        fingerprint for fingerprint in blamed if (fingerprint, service) not in state.recent_replies
    ]
    suspects = [
        fingerprint for fingerprint in blamed if _is_suspect_at(state, fingerprint, service)
    ]
    blamed = suspects or without_reply or blamed
    if not blamed:
        return Decided(state)
    counted = _count_crash(state, blamed, service, target_id, now_ms)
    report = BroadcastToPeers(CrashReported(service, target_id, tuple(blamed)))
    return Decided(counted.state, (report, *counted.effects))


def handle_quarantine_message(
    state: QuarantineState, message: object, now_ms: float
) -> DecidedQuarantine:
    """Apply a message of a peer on crashes, replies or quarantines; others change nothing."""
    match message:
        case CrashReported(service=service, target_id=target_id, fingerprints=fingerprints):
            blamed = [
                fingerprint
                for fingerprint in fingerprints
                if not _is_same_crash(state, fingerprint, service, target_id, now_ms)
            ]
            return _count_crash(state, blamed, service, target_id, now_ms)
        case ReplyReported(fingerprint=fingerprint, service=service):
            return Decided(_count_reply(state, fingerprint, service))
        case QuarantineDeclared(fingerprint=fingerprint, remaining_ms=remaining_ms):
            record = state.records.get(fingerprint, _NO_RECORD)
            remaining_ms = min(remaining_ms, state.settings.quarantine_ms)
            until_ms = max(record.quarantined_until_ms, now_ms + remaining_ms)
            return Decided(_put_quarantined(state, fingerprint, record, until_ms, now_ms))
        case _:
            return Decided(state)


def active_quarantines(state: QuarantineState, now_ms: float) -> tuple[QuarantineDeclared, ...]:
    """Return the messages that make a newly discovered peer adopt the quarantines in force."""
    return tuple(
        QuarantineDeclared(fingerprint, record.quarantined_until_ms - now_ms)
        for fingerprint, record in sorted_items(state.records)
        if record.quarantined_until_ms > now_ms
    )


def _count_crash(
    state: QuarantineState, blamed: Iterable[str], service: str, target_id: str, now_ms: float
) -> DecidedQuarantine:
    """Count a crash against each blamed request, and quarantine those that reach the limit."""
    effects: list[object] = []
    for fingerprint in blamed:
        record = state.records.get(fingerprint, _NO_RECORD)
        previous = record.histories.get(service) or _initial_history(state, fingerprint, service)
        history = ServiceHistory(previous.crashes + 1, previous.replies, target_id, now_ms)
        record = replace(record, histories=record.histories.set(service, history))
        if not _reaches_crash_limit(state, history):
            state = _put_record(state, fingerprint, record, now_ms)
            effects.append(Count("quarantine", "suspected"))
            continue
        is_new = record.quarantined_until_ms <= now_ms
        until_ms = now_ms + state.settings.quarantine_ms
        state = _put_quarantined(state, fingerprint, record, until_ms, now_ms)
        if is_new:
            fields = (("fingerprint", fingerprint), ("service", service), ("target", target_id))
            effects.append(BroadcastToPeers(QuarantineDeclared(fingerprint, until_ms - now_ms)))
            effects.append(Count("quarantine", "declared"))
            effects.append(LogEvent("quarantined", fields))
    return Decided(state, tuple(effects))


def _initial_history(state: QuarantineState, fingerprint: str, service: str) -> ServiceHistory:
    """Return the history before the first crash, in which all recent replies count as one."""
    return (
        ServiceHistory(replies=1) if (fingerprint, service) in state.recent_replies else _NO_HISTORY
    )


def _extend_crash_window(
    state: QuarantineState, fingerprints: Iterable[str], service: str, now_ms: float
) -> QuarantineState:
    """Extend the time in which further losses of connections belong to the same crash."""
    for fingerprint in fingerprints:
        record = state.records[fingerprint]
        history = replace(record.histories[service], last_crash_at_ms=now_ms)
        record = replace(record, histories=record.histories.set(service, history))
        state = replace(state, records=state.records.set(fingerprint, record))
    return state


def _record_recent_reply(state: QuarantineState, attempt: InFlightAttempt) -> QuarantineState:
    """Add the request and service of an attempt to the recent replies, and evict the oldest."""
    key = (attempt.fingerprint, attempt.service)
    if key in state.recent_replies:
        return state
    number = state.recent_reply_count
    recent_replies, order = state.recent_replies.set(key, number), state.recent_reply_order.set(
        number, key
    )
    oldest = number - state.settings.max_replied
    if oldest >= 0:
        recent_replies, order = recent_replies.delete(order[oldest]), order.delete(oldest)
    return replace(
        state,
        recent_replies=recent_replies,
        recent_reply_order=order,
        recent_reply_count=number + 1,
    )


def _count_reply(state: QuarantineState, fingerprint: str, service: str) -> QuarantineState:
    """Count a reply for a request that has been blamed at the service; others change nothing."""
    record = state.records.get(fingerprint)
    if record is None or service not in record.histories:
        return state
    history = record.histories[service]
    history = replace(
        history, replies=min(history.replies + 1, history.crashes + _MAX_REPLY_SURPLUS)
    )
    record = replace(record, histories=record.histories.set(service, history))
    return replace(state, records=state.records.set(fingerprint, record))


def _reaches_crash_limit(state: QuarantineState, history: ServiceHistory) -> bool:
    return history.crashes - history.replies >= state.settings.crashes


def _put_quarantined(
    state: QuarantineState, fingerprint: str, record: RequestRecord, until_ms: float, now_ms: float
) -> QuarantineState:
    return _put_record(state, fingerprint, replace(record, quarantined_until_ms=until_ms), now_ms)


def _put_record(
    state: QuarantineState, fingerprint: str, record: RequestRecord, now_ms: float
) -> QuarantineState:
    """Store a record, and drop records that have expired or that exceed the limit of records."""
    expires_at_ms = max(now_ms, record.quarantined_until_ms) + state.settings.suspicion_ms
    records = state.records.set(fingerprint, replace(record, expires_at_ms=expires_at_ms))
    expiry_heap = heap_push(state.expiry_heap, (expires_at_ms, state.next_sequence), fingerprint)
    state = replace(
        state, records=records, expiry_heap=expiry_heap, next_sequence=state.next_sequence + 1
    )
    while (heap := state.expiry_heap) is not None:
        oldest_expires_at_ms, oldest_fingerprint = heap.key[0], heap.value
        oldest_record = state.records.get(oldest_fingerprint)
        if oldest_record is not None and oldest_record.expires_at_ms == oldest_expires_at_ms:
            if oldest_expires_at_ms > now_ms and len(state.records) <= state.settings.max_records:
                break
            state = replace(state, records=state.records.delete(oldest_fingerprint))
        state = replace(state, expiry_heap=heap_pop(heap))
    return state


def _is_suspect(record: RequestRecord) -> bool:
    return any(history.crashes > history.replies for history in record.histories.values())


def _is_suspect_at(state: QuarantineState, fingerprint: str, service: str) -> bool:
    history = state.records.get(fingerprint, _NO_RECORD).histories.get(service, _NO_HISTORY)
    return history.crashes > history.replies


def _is_same_crash(
    state: QuarantineState, fingerprint: str, service: str, target_id: str, now_ms: float
) -> bool:
    """Return whether a lost connection belongs to the last crash that the request is blamed for."""
    history = state.records.get(fingerprint, _NO_RECORD).histories.get(service, _NO_HISTORY)
    return (
        history.last_crash_target_id == target_id
        and now_ms - history.last_crash_at_ms < state.settings.same_crash_ms
    )


def _put_attempts(
    in_flight: Map[str, Map[str, InFlightAttempt]],
    target_id: str,
    attempts: Map[str, InFlightAttempt],
) -> Map[str, Map[str, InFlightAttempt]]:
    return in_flight.set(target_id, attempts) if attempts else in_flight.delete(target_id)


def _decrement_count(in_flight_counts: Map[str, int], fingerprint: str) -> Map[str, int]:
    count = in_flight_counts.get(fingerprint, 0) - 1
    return (
        in_flight_counts.set(fingerprint, count)
        if count > 0
        else in_flight_counts.delete(fingerprint)
    )
