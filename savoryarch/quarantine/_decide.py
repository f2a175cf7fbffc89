"""Finds the requests that crash targets, and keeps them away from the others."""

from collections.abc import Iterable
from dataclasses import dataclass

from immutables import Map
from xxhash import xxh3_64_hexdigest

from savoryarch.model import BroadcastToPeers, Count, Decided, LogEvent
from savoryarch.quarantine._messages import CrashReported, QuarantineDeclared, ReplyReported
from savoryarch.quarantine._state import InFlight, Mark, QuarantineState, RequestRecord
from savoryarch.utils import heap_pop, heap_push, in_order, replace

_MAX_LEAD = 10  # of replies over crashes
_NO_MARK = Mark()
_NO_RECORD = RequestRecord()

Step = Decided[QuarantineState]


@dataclass(frozen=True, slots=True)
class Allowed:
    """Nothing speaks against the attempt."""


@dataclass(frozen=True, slots=True)
class MustWait:
    """It is a suspect: try again when nothing of it, and nothing else at the target, is running.

    The shards that wait go on when the one that runs has ended.
    """


@dataclass(frozen=True, slots=True)
class Quarantined:
    """It is refused.

    Parameters
    ----------
    remaining_ms : float
        Time until it may be tried again.
    """

    remaining_ms: float


Verdict = Allowed | MustWait | Quarantined


def fingerprint_request(name: str, body: bytes) -> str:
    """Return what tells a request from others, whoever sends it.

    Parameters
    ----------
    name : str
        The search or route.
    body : bytes
        The query or the body of the request.
    """
    return str(xxh3_64_hexdigest(name.encode() + b"\0" + body))


def check_request(state: QuarantineState, fingerprint: str, now_ms: float) -> Verdict:
    """Return `Quarantined` or `Allowed` for a request that came in."""
    record = state.records.get(fingerprint)
    if record is not None and now_ms < record.quarantined_until_ms:
        return Quarantined(record.quarantined_until_ms - now_ms)
    return Allowed()


def check_attempt(
    state: QuarantineState, fingerprint: str, service: str, target_id: str, now_ms: float
) -> Verdict:
    """Return whether an attempt may go to a target now.

    A suspect runs one attempt at a time, where nothing of this instance runs beside it, and at the
    services that it is suspected of crashing first.
    """
    record = state.records.get(fingerprint)
    if record is None:
        return Allowed()
    if now_ms < record.quarantined_until_ms:
        return Quarantined(record.quarantined_until_ms - now_ms)
    if not _is_suspect(record) or now_ms >= record.forget_at_ms:
        return Allowed()
    mark = record.marks.get(service, _NO_MARK)
    is_alone = not state.running.get(fingerprint) and not state.in_flight.get(target_id)
    return Allowed() if is_alone and mark.crashes > mark.clean else MustWait()


def record_attempt_started(
    state: QuarantineState, attempt_id: str, service: str, target_id: str, fingerprint: str
) -> QuarantineState:
    """Note that an attempt is sent to a target."""
    attempts = state.in_flight.get(target_id, Map())
    in_flight = state.in_flight.set(
        target_id, attempts.set(attempt_id, InFlight(fingerprint, service))
    )
    running = state.running.set(fingerprint, state.running.get(fingerprint, 0) + 1)
    return replace(state, in_flight=in_flight, running=running)


def record_attempt_ended(
    state: QuarantineState, attempt_id: str, target_id: str, *, replied: bool
) -> Step:
    """Note that an attempt ended.

    Parameters
    ----------
    state : QuarantineState
        Before.
    attempt_id, target_id : str
        As in `record_attempt_started`; others change nothing.
    replied : bool
        Whether the target ran it and replied, which speaks for the request. A refusal, a
        cancellation or a timeout says nothing.
    """
    attempts = state.in_flight.get(target_id, Map())
    attempt = attempts.get(attempt_id)
    if attempt is None:
        return Decided(state)
    state = replace(
        state,
        in_flight=_put(state.in_flight, target_id, attempts.delete(attempt_id)),
        running=_count_down(state.running, attempt.fingerprint),
    )
    if not replied:
        return Decided(state)
    state = _remember_reply(state, attempt)
    if attempt.fingerprint not in state.records:
        return Decided(state)
    was_suspect = _is_suspect_at(state, attempt.fingerprint, attempt.service)
    state = _add_reply(state, attempt.fingerprint, attempt.service)
    if not was_suspect:
        return Decided(state)
    return Decided(state, (BroadcastToPeers(ReplyReported(attempt.fingerprint, attempt.service)),))


def record_crash(state: QuarantineState, target_id: str, now_ms: float) -> Step:
    """Blame the requests in flight on a target that crashed, and tell the peers.

    Call it when a connection to the target is lost with a request in flight, before
    `record_attempt_ended`; the losses that follow at once count as the same crash. If some of the
    requests are suspects at this service already, they explain the crash, and the others are not
    blamed; nor are those that got a reply from the service of late, if there are others.
    """
    attempts = state.in_flight.get(target_id, Map())
    if not attempts:
        return Decided(state)
    service = next(iter(attempts.values())).service
    blamed = sorted({attempt.fingerprint for attempt in attempts.values()})
    fresh = [item for item in blamed if not _is_same_crash(state, item, service, target_id, now_ms)]
    state = _extend_crash(state, set(blamed) - set(fresh), service, now_ms)
    unknown = [item for item in fresh if (item, service) not in state.replied]
    suspects = [item for item in fresh if _is_suspect_at(state, item, service)]
    fresh = suspects or unknown or fresh
    if not fresh:
        return Decided(state)
    step = _blame(state, fresh, service, target_id, now_ms)
    report = BroadcastToPeers(CrashReported(service, target_id, tuple(fresh)))
    return Decided(step.state, (report, *step.effects))


def handle_quarantine_message(state: QuarantineState, message: object, now_ms: float) -> Step:
    """Take in a message of this package from a peer; others change nothing."""
    match message:
        case CrashReported(service=service, target_id=target_id, fingerprints=fingerprints):
            fresh = [
                item
                for item in fingerprints
                if not _is_same_crash(state, item, service, target_id, now_ms)
            ]
            return _blame(state, fresh, service, target_id, now_ms)
        case ReplyReported(fingerprint=fingerprint, service=service):
            return Decided(_add_reply(state, fingerprint, service))
        case QuarantineDeclared(fingerprint=fingerprint, remaining_ms=remaining_ms):
            record = state.records.get(fingerprint, _NO_RECORD)
            remaining_ms = min(remaining_ms, state.settings.quarantine_ms)
            until_ms = max(record.quarantined_until_ms, now_ms + remaining_ms)
            return Decided(_quarantine(state, fingerprint, record, until_ms, now_ms))
        case _:
            return Decided(state)


def active_quarantines(state: QuarantineState, now_ms: float) -> tuple[QuarantineDeclared, ...]:
    """Return what a peer that has just started should be told."""
    return tuple(
        QuarantineDeclared(fingerprint, record.quarantined_until_ms - now_ms)
        for fingerprint, record in in_order(state.records)
        if record.quarantined_until_ms > now_ms
    )


def _blame(
    state: QuarantineState, blamed: Iterable[str], service: str, target_id: str, now_ms: float
) -> Step:
    effects: list[object] = []
    for fingerprint in blamed:
        record = state.records.get(fingerprint, _NO_RECORD)
        old = record.marks.get(service) or _first_mark(state, fingerprint, service)
        mark = Mark(old.crashes + 1, old.clean, target_id, now_ms)
        record = replace(record, marks=record.marks.set(service, mark))
        if not _deserves_quarantine(state, mark):
            state = _remember(state, fingerprint, record, now_ms)
            effects.append(Count("quarantine", "suspected"))
            continue
        is_new = record.quarantined_until_ms <= now_ms
        until_ms = now_ms + state.settings.quarantine_ms
        state = _quarantine(state, fingerprint, record, until_ms, now_ms)
        if is_new:
            fields = (("fingerprint", fingerprint), ("service", service), ("target", target_id))
            effects.append(BroadcastToPeers(QuarantineDeclared(fingerprint, until_ms - now_ms)))
            effects.append(Count("quarantine", "declared"))
            effects.append(LogEvent("quarantined", fields))
    return Decided(state, tuple(effects))


def _first_mark(state: QuarantineState, fingerprint: str, service: str) -> Mark:
    """Return a mark in which replies from before the first crash count as one."""
    return Mark(clean=1) if (fingerprint, service) in state.replied else _NO_MARK


def _extend_crash(
    state: QuarantineState, fingerprints: Iterable[str], service: str, now_ms: float
) -> QuarantineState:
    """Let losses that go on belong to the same crash, for as long as they go on."""
    for fingerprint in fingerprints:
        record = state.records[fingerprint]
        mark = replace(record.marks[service], at_ms=now_ms)
        record = replace(record, marks=record.marks.set(service, mark))
        state = replace(state, records=state.records.set(fingerprint, record))
    return state


def _remember_reply(state: QuarantineState, attempt: InFlight) -> QuarantineState:
    key = (attempt.fingerprint, attempt.service)
    if key in state.replied:
        return state
    number = state.replied_count
    replied, order = state.replied.set(key, number), state.replied_order.set(number, key)
    oldest = number - state.settings.max_replied
    if oldest >= 0:
        replied, order = replied.delete(order[oldest]), order.delete(oldest)
    return replace(state, replied=replied, replied_order=order, replied_count=number + 1)


def _add_reply(state: QuarantineState, fingerprint: str, service: str) -> QuarantineState:
    record = state.records.get(fingerprint)
    if record is None or service not in record.marks:
        return state
    mark = record.marks[service]
    mark = replace(mark, clean=min(mark.clean + 1, mark.crashes + _MAX_LEAD))
    record = replace(record, marks=record.marks.set(service, mark))
    return replace(state, records=state.records.set(fingerprint, record))


def _deserves_quarantine(state: QuarantineState, mark: Mark) -> bool:
    return mark.crashes - mark.clean >= state.settings.crashes


def _quarantine(
    state: QuarantineState, fingerprint: str, record: RequestRecord, until_ms: float, now_ms: float
) -> QuarantineState:
    return _remember(state, fingerprint, replace(record, quarantined_until_ms=until_ms), now_ms)


def _remember(
    state: QuarantineState, fingerprint: str, record: RequestRecord, now_ms: float
) -> QuarantineState:
    """Keep a record for its time, and drop the oldest ones that are out of date or too many."""
    until_ms = max(now_ms, record.quarantined_until_ms) + state.settings.suspicion_ms
    records = state.records.set(fingerprint, replace(record, forget_at_ms=until_ms))
    expiry = heap_push(state.expiry, (until_ms, state.numbered), fingerprint)
    state = replace(state, records=records, expiry=expiry, numbered=state.numbered + 1)
    while (heap := state.expiry) is not None:
        at_ms, oldest = heap.key[0], heap.value
        kept = state.records.get(oldest)
        if kept is not None and kept.forget_at_ms == at_ms:
            if at_ms > now_ms and len(state.records) <= state.settings.max_records:
                break
            state = replace(state, records=state.records.delete(oldest))
        state = replace(state, expiry=heap_pop(heap))
    return state


def _is_suspect(record: RequestRecord) -> bool:
    return any(mark.crashes > mark.clean for mark in record.marks.values())


def _is_suspect_at(state: QuarantineState, fingerprint: str, service: str) -> bool:
    mark = state.records.get(fingerprint, _NO_RECORD).marks.get(service, _NO_MARK)
    return mark.crashes > mark.clean


def _is_same_crash(
    state: QuarantineState, fingerprint: str, service: str, target_id: str, now_ms: float
) -> bool:
    mark = state.records.get(fingerprint, _NO_RECORD).marks.get(service, _NO_MARK)
    return mark.target_id == target_id and now_ms - mark.at_ms < state.settings.same_crash_ms


def _put(
    in_flight: Map[str, Map[str, InFlight]], target_id: str, attempts: Map[str, InFlight]
) -> Map[str, Map[str, InFlight]]:
    return in_flight.set(target_id, attempts) if attempts else in_flight.delete(target_id)


def _count_down(running: Map[str, int], fingerprint: str) -> Map[str, int]:
    left = running.get(fingerprint, 0) - 1
    return running.set(fingerprint, left) if left > 0 else running.delete(fingerprint)
