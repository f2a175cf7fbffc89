"""The configuration as it is stored, changed by operators and spread between instances."""

from collections.abc import Callable
from dataclasses import dataclass, field

from immutables import Map

from savoryarch.model._declarations import (
    Caller,
    Declarations,
    Resource,
    ResourceKind,
    Route,
    Search,
    Service,
)


@dataclass(frozen=True, slots=True, order=True)
class ResourceKey:
    """Kind and name of a resource; unique."""

    kind: ResourceKind
    name: str

    def __str__(self) -> str:
        return f"{self.kind.value}/{self.name}"


def resource_key(resource: Resource) -> ResourceKey:
    """Return the kind and name of a resource."""
    match resource:
        case Service(name=name):
            return ResourceKey(ResourceKind.SERVICE, name)
        case Search(name=name):
            return ResourceKey(ResourceKind.SEARCH, name)
        case Route(name=name):
            return ResourceKey(ResourceKind.ROUTE, name)
        case Caller(name=name):
            return ResourceKey(ResourceKind.CALLER, name)


@dataclass(frozen=True, slots=True)
class ConfigurationVersion:
    """One committed configuration.

    Parameters
    ----------
    generation : int
        Ascends with each accepted change; 0 before the first.
    change_id : str
        The change that made it. Tells apart two configurations of the same generation, which
        can only come about after the store was restored to an older revision.
    """

    generation: int = 0
    change_id: str = ""


@dataclass(frozen=True, slots=True)
class ConfigurationRecord:
    """The whole configuration, as one value of the store.

    Parameters
    ----------
    declarations : Declarations
        Every resource, and the generation.
    revisions : Map
        For each `ResourceKey`, the generation that wrote the resource last.
    deleted : Map
        For each deleted `ResourceKey`, the generation that deleted it.
    compacted_generation : int
        Deletions up to this generation are forgotten; no difference can be made from before it.
    history : tuple of ConfigurationVersion
        The last versions, oldest first, this one included.
    """

    declarations: Declarations = field(default_factory=Declarations)
    revisions: Map[ResourceKey, int] = field(default_factory=Map)
    deleted: Map[ResourceKey, int] = field(default_factory=Map)
    compacted_generation: int = 0
    history: tuple[ConfigurationVersion, ...] = ()

    @property
    def version(self) -> ConfigurationVersion:
        """Return the version of this record."""
        return self.history[-1] if self.history else ConfigurationVersion()

    @property
    def generation(self) -> int:
        """Return the generation of this record."""
        return self.declarations.generation


@dataclass(frozen=True, slots=True)
class RevisedResource:
    """A resource and the generation that wrote it last."""

    resource: Resource
    revision: int


@dataclass(frozen=True, slots=True)
class DeletedResource:
    """A deleted resource and the generation that deleted it."""

    key: ResourceKey
    revision: int


@dataclass(frozen=True, slots=True)
class ConfigurationDelta:
    """What changed after one version up to another.

    Parameters
    ----------
    base : ConfigurationVersion
        The version that the difference starts from.
    puts : tuple of RevisedResource
        Resources written after `base`.
    deletes : tuple of DeletedResource
        Resources deleted after `base`.
    history : tuple of ConfigurationVersion
        The versions after `base`, oldest first; the last one is the version it leads to.
    """

    base: ConfigurationVersion
    puts: tuple[RevisedResource, ...]
    deletes: tuple[DeletedResource, ...]
    history: tuple[ConfigurationVersion, ...]


@dataclass(frozen=True, slots=True)
class RecordCodec:
    """How records become bytes; the decisions do not know the encoding.

    Parameters
    ----------
    encode_record, encode_delta : callable
        Return bytes.
    decode_record, decode_delta : callable
        Return None for bytes that cannot be decoded.
    """

    encode_record: Callable[[ConfigurationRecord], bytes]
    decode_record: Callable[[bytes], ConfigurationRecord | None]
    encode_delta: Callable[[ConfigurationDelta], bytes]
    decode_delta: Callable[[bytes], ConfigurationDelta | None]


@dataclass(frozen=True, slots=True)
class ConfigurationAnnounced:
    """What a peer has in force.

    Parameters
    ----------
    version : ConfigurationVersion
        In force at the sender.
    store_last_contact_ago_ms : float
        How long ago the sender knows of a reply from the store; -1 if it never heard of one.
    store_restored_generation : int
        As in `ConfigurationStatus`; -1 if the store is not behind.
    """

    version: ConfigurationVersion
    store_last_contact_ago_ms: float = -1.0
    store_restored_generation: int = -1


@dataclass(frozen=True, slots=True)
class ConfigurationRequested:
    """Ask a peer for what changed after a version (all of it for generation 0)."""

    since: ConfigurationVersion


@dataclass(frozen=True, slots=True)
class ConfigurationStatusRequested:
    """Ask a peer for `ConfigurationAnnounced`."""


@dataclass(frozen=True, slots=True)
class ConfigurationPart:
    """A difference or a whole record, in one or more parts.

    Parameters
    ----------
    version : ConfigurationVersion
        The version that it leads to.
    full_record : bool
        Whether `payload` is part of an encoded record; otherwise of an encoded difference.
    part, parts : int
        Number of this part from 0, and how many there are.
    payload : bytes
        Encoded by `RecordCodec`.
    acknowledge : bool
        Whether the sender waits for `ConfigurationAnnounced`.
    """

    version: ConfigurationVersion
    full_record: bool
    part: int
    parts: int
    payload: bytes
    acknowledge: bool = False


PEER_CONFIGURATION_MESSAGES = (
    ConfigurationAnnounced,
    ConfigurationRequested,
    ConfigurationStatusRequested,
    ConfigurationPart,
)
