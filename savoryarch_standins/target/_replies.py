"""Encodes the bodies of the replies of a target stand-in."""

from dataclasses import dataclass

from msgspec.json import encode

from savoryarch_standins.target._model import Behaviour, RouteWork, SearchWork, TargetSpec


@dataclass(frozen=True, slots=True)
class Refusal:
    """Body of an error reply.

    Parameters
    ----------
    reason : str
        Why the request has no result, for example ``shed``.
    not_run : bool or None
        Whether the request is known not to have run; left out of the body if None.
    retry_after_ms : float or None
        Time after which the sender may retry; left out of the body if None.
    """

    reason: str
    not_run: bool | None = None
    retry_after_ms: float | None = None

    def encode(self) -> bytes:
        """Return the body as JSON, without the fields that are None."""
        fields = {
            "reason": self.reason,
            "not_run": self.not_run,
            "retry_after_ms": self.retry_after_ms,
        }
        return encode({name: value for name, value in fields.items() if value is not None})


@dataclass(frozen=True, slots=True)
class Record:
    """A record, with the target and the snapshot that it was read from.

    A test checks with them that all records of an answer are of one snapshot.
    """

    id: str
    service: str
    target_id: str
    snapshot: str


@dataclass(frozen=True, slots=True)
class PartBody:
    """Body of the reply to a search of one shard."""

    snapshot: str
    complete: bool
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class OrderBody:
    """Body of the reply to a route request that ran.

    Parameters
    ----------
    route, idempotency_key, target_id : str
        The route, the idempotency key of the request and the target that ran it.
    run : int
        How many times this target has started this idempotency key; 0 without a key.
    ordinal : int
        How many requests, searches included, this target has started.
    """

    route: str
    idempotency_key: str
    target_id: str
    run: int
    ordinal: int


def encode_part(
    spec: TargetSpec, behaviour: Behaviour, work: SearchWork, is_cut_short: bool
) -> bytes:
    """Return the body with the records of one shard.

    A snapshot is written ``SHARD_MAP_VERSION.INDEX_VERSION``; its shard map gives the shards.
    Record `n` belongs to the shard at position `n` modulo the number of shards, so that every
    record is on exactly one shard. If `is_cut_short`, only the first half of the records is
    returned and the part is marked as incomplete.
    """
    snapshot = behaviour.answers_from or work.snapshot
    # Without a declared shard map, the service is the only shard.
    services = spec.shard_maps.get(int(snapshot.partition(".")[0]), (spec.service,))
    if spec.service not in services:
        return encode(PartBody(snapshot, not is_cut_short, ()))
    record_numbers = range(services.index(spec.service), behaviour.record_count, len(services))
    records = tuple(Record(f"r{n}", spec.service, spec.target_id, snapshot) for n in record_numbers)
    return encode(
        PartBody(
            snapshot, not is_cut_short, records[: len(records) // 2] if is_cut_short else records
        )
    )


def encode_order(spec: TargetSpec, work: RouteWork, run: int, ordinal: int) -> bytes:
    """Return the body of a route request that ran; see `OrderBody` for `run` and `ordinal`."""
    return encode(OrderBody(work.route, work.idempotency_key, spec.target_id, run, ordinal))
