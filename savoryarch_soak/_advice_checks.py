"""Checks that instances obey what targets state about themselves in their replies."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator

from savoryarch_soak._fault_times import has_instance_fault, has_reply_fault
from savoryarch_soak._journal import Exchange, Journal
from savoryarch_standins.forwarded import Arrival

LEAVING_DEADLINE_MS = 3000.0  # from an answer that says that the target leaves
PAUSE_SLACK_MS = 500.0  # from a refusal that asks for a pause
MAX_REQUESTS_IN_PAUSE = 2
_OK = 200


def check_leaving(journal: Journal) -> Iterable[str]:
    """Check that an instance sends nothing to a target that it was told leaves.

    The instance was told when its client had the answer to a request whose only attempt at the
    service reached this target. A restart or a freeze of the instance since then excuses it.
    """
    attempts = Counter((item.request_id, item.service) for item in journal.arrivals)
    told_at_ms: dict[tuple[int, int, str], float] = {}
    for arrival, exchange in _pair_arrivals(journal):
        key = (exchange.instance, exchange.life, arrival.target)
        if not arrival.leaving:
            told_at_ms.pop(key, None)  # a new start of the target
            continue
        from_ms = told_at_ms.get(key)
        if from_ms is not None and exchange.sent_at_ms > from_ms + LEAVING_DEADLINE_MS:
            excused = has_instance_fault(journal, exchange.instance, from_ms, exchange.ended_at_ms)
            yield "" if excused else f"{arrival.request_id} reached {arrival.target}, which leaves"
        is_told = exchange.status == _OK and arrival.ran and _has_part(exchange, arrival)
        if is_told and attempts[(arrival.request_id, arrival.service)] == 1:
            told_at_ms[key] = min(from_ms or exchange.ended_at_ms, exchange.ended_at_ms)
            yield ""


def check_pauses(journal: Journal) -> Iterable[str]:
    """Check that a target that refused with a pause gets at most two requests until its end.

    Pauses during which an instance was stopped, frozen or killed, or during which messages of
    targets could be lost or delayed, are left out.
    """
    by_pair: dict[tuple[int, int, str], list[Arrival]] = defaultdict(list)
    for arrival, exchange in _pair_arrivals(journal):
        by_pair[(exchange.instance, exchange.life, arrival.target)].append(arrival)
    for (instance, _, target), arrivals in by_pair.items():
        for number, refused in enumerate(arrivals):
            ends_ms = refused.at_ms + refused.hold_ms
            if refused.hold_ms <= PAUSE_SLACK_MS:
                continue
            if has_reply_fault(journal, refused.at_ms, ends_ms) or has_instance_fault(
                journal, instance, refused.at_ms, ends_ms
            ):
                continue
            from_ms = refused.at_ms + PAUSE_SLACK_MS
            late = [item for item in arrivals[number:] if from_ms < item.at_ms < ends_ms]
            too_many = len(late) > MAX_REQUESTS_IN_PAUSE
            yield f"{late[0].request_id} reached {target} in its pause" if too_many else ""


def _pair_arrivals(journal: Journal) -> Iterator[tuple[Arrival, Exchange]]:
    """Yield each arrival with the exchange of its client, in the order of the arrivals."""
    exchanges = {exchange.request_id: exchange for exchange in journal.exchanges}
    for arrival in sorted(journal.arrivals, key=lambda item: item.at_ms):
        exchange = exchanges.get(arrival.request_id)
        if exchange is not None:
            yield arrival, exchange


def _has_part(exchange: Exchange, arrival: Arrival) -> bool:
    """Return whether the answer has the reply of the service, which a search may leave out."""
    if exchange.route != "find":
        return True
    return any(digest.partition(".")[0] == arrival.service for digest in exchange.digests)
