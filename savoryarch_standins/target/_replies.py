"""Bodies of the replies of a target stand-in."""

from dataclasses import dataclass

from msgspec.json import encode

from savoryarch_standins.target._model import Behaviour, RouteWork, SearchWork, TargetSpec


@dataclass(frozen=True, slots=True)
class Refusal:
    """Body of a refusal."""

    reason: str
    not_run: bool | None = None
    retry_after_ms: float | None = None

    def encode(self) -> bytes:
        """Encode the fields that are set."""
        fields = {
            "reason": self.reason,
            "not_run": self.not_run,
            "retry_after_ms": self.retry_after_ms,
        }
        return encode({name: value for name, value in fields.items() if value is not None})


@dataclass(frozen=True, slots=True)
class Record:
    """One record; names where it was read so that a checker can prove one snapshot."""

    id: str
    service: str
    target_id: str
    snapshot: str


@dataclass(frozen=True, slots=True)
class PartBody:
    """Body of a searched shard."""

    snapshot: str
    complete: bool
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class OrderBody:
    """Body of a route that ran."""

    route: str
    idempotency_key: str
    target_id: str
    run: int
    ordinal: int


def encode_part(
    spec: TargetSpec, behaviour: Behaviour, work: SearchWork, is_cut_short: bool
) -> bytes:
    """Encode the part of one shard: record `n` lives on shard `n` modulo the shards."""
    snapshot = behaviour.answers_from or work.snapshot
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
    """Encode the outcome of a route; `run` counts the runs of its idempotency key."""
    return encode(OrderBody(work.route, work.idempotency_key, spec.target_id, run, ordinal))
