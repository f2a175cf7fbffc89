"""Records of the configuration, and the messages that disseminate it between peers."""

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
    """Unique key of a resource: its kind and its name."""

    kind: ResourceKind
    name: str

    def __str__(self) -> str:
        return f"{self.kind.value}/{self.name}"


def resource_key(resource: Resource) -> ResourceKey:
    """Return the key of a resource."""
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
    """Identity of a committed configuration.

    Parameters
    ----------
    generation : int
        Number that each accepted change increases; 0 before the first change.
    change_id : str
        Id of the change that created this version. It distinguishes two versions of the same
        generation, which can only exist after the store was restored to an older revision.
    """

    generation: int = 0
    change_id: str = ""


@dataclass(frozen=True, slots=True)
class ConfigurationRecord:
    """The complete configuration; the store holds it as the value of one key.

    Parameters
    ----------
    declarations : Declarations
        All resources, and the generation.
    revisions : Map
        For each `ResourceKey`, the generation that last wrote the resource.
    deleted : Map
        For each deleted `ResourceKey`, the generation that deleted it.
    compacted_generation : int
        Deletions up to this generation are no longer recorded in `deleted`, so that no delta
        can be computed from an earlier generation.
    history : tuple of ConfigurationVersion
        The most recent versions, oldest first; the last one is the version of this record.
    """

    declarations: Declarations = field(default_factory=Declarations)
    revisions: Map[ResourceKey, int] = field(default_factory=Map)
    deleted: Map[ResourceKey, int] = field(default_factory=Map)
    compacted_generation: int = 0
    history: tuple[ConfigurationVersion, ...] = ()

    @property
    def version(self) -> ConfigurationVersion:
        """Version of this record; generation 0 if nothing has been committed."""
        return self.history[-1] if self.history else ConfigurationVersion()

    @property
    def generation(self) -> int:
        """Generation of this record."""
        return self.declarations.generation


@dataclass(frozen=True, slots=True)
class RevisedResource:
    """A resource and its revision, the generation that last wrote it."""

    resource: Resource
    revision: int


@dataclass(frozen=True, slots=True)
class DeletedResource:
    """Key of a deleted resource and the generation that deleted it."""

    key: ResourceKey
    revision: int


@dataclass(frozen=True, slots=True)
class ConfigurationDelta:
    """The difference between two versions of the configuration.

    Parameters
    ----------
    base : ConfigurationVersion
        The older version, which the delta applies to.
    puts : tuple of RevisedResource
        Resources written after `base`.
    deletes : tuple of DeletedResource
        Resources deleted after `base`.
    history : tuple of ConfigurationVersion
        The versions after `base`, oldest first; the last one is the version that applying the
        delta results in.
    """

    base: ConfigurationVersion
    puts: tuple[RevisedResource, ...]
    deletes: tuple[DeletedResource, ...]
    history: tuple[ConfigurationVersion, ...]


@dataclass(frozen=True, slots=True)
class RecordCodec:
    """Functions that encode and decode records, so that decisions do not depend on the encoding.

    Parameters
    ----------
    encode_record, encode_delta : callable
        Return the encoded bytes.
    decode_record, decode_delta : callable
        Return None for bytes that cannot be decoded.
    """

    encode_record: Callable[[ConfigurationRecord], bytes]
    decode_record: Callable[[bytes], ConfigurationRecord | None]
    encode_delta: Callable[[ConfigurationDelta], bytes]
    decode_delta: Callable[[bytes], ConfigurationDelta | None]


@dataclass(frozen=True, slots=True)
class ConfigurationAnnounced:
    """A peer announces the version that it has in force, and what it knows of the store.

    Parameters
    ----------
    version : ConfigurationVersion
        The version in force at the sender.
    store_last_contact_ago_ms : float
        Milliseconds since the last reply of the store that the sender knows of, to itself or to
        a peer that announced it; -1 if it knows of none.
    store_restored_generation : int
        The generation in the store if the store was restored to an older configuration than
        the one in force; otherwise -1.
    """

    version: ConfigurationVersion
    store_last_contact_ago_ms: float = -1.0
    store_restored_generation: int = -1


@dataclass(frozen=True, slots=True)
class ConfigurationRequested:
    """Request to a peer for all changes after a version; generation 0 requests everything."""

    since: ConfigurationVersion


@dataclass(frozen=True, slots=True)
class ConfigurationStatusRequested:
    """Request to a peer for a `ConfigurationAnnounced`."""


@dataclass(frozen=True, slots=True)
class ConfigurationPart:
    """One part of an encoded delta or an encoded full record, sent to a peer.

    Parameters
    ----------
    version : ConfigurationVersion
        The version that the receiver has in force after it applied all parts.
    full_record : bool
        Whether the parts form a `ConfigurationRecord`; otherwise they form a
        `ConfigurationDelta`.
    part, parts : int
        Index of this part, from 0, and the number of parts.
    payload : bytes
        This part of the bytes that `RecordCodec` encoded.
    acknowledge : bool
        Whether the receiver replies with `ConfigurationAnnounced`.
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
