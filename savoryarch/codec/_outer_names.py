"""Names of classes and fields in encoded messages, where they differ from those in the code.

Peer messages and the events and effects in traces contain the names of classes and fields. If a
class or a field is renamed in the code, the previous name is added here, so that other instances
and recorded traces remain readable and the encoding does not change.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from types import MappingProxyType

from savoryarch.discovery import StoreRevisionAdvanced
from savoryarch.model import (
    BroadcastToPeers,
    CallerDisconnected,
    ChangeRequested,
    ClaimKeyExpired,
    ClaimOutcomeFound,
    ClaimOutcomeUnknown,
    ClaimResolved,
    ClaimSubmitted,
    ComponentDigest,
    ConfigurationAnnounced,
    ConfigurationPart,
    ConfigurationRecord,
    ConfigurationRequested,
    ConfigurationStatus,
    ConfigurationStatusRequested,
    InstanceStatus,
    OutcomeRecorded,
    OutcomeSubmitted,
    PeerDigestChanged,
    PeerMessageReceived,
    PublishEvent,
    RecordHistogram,
    RequestIntakeStopped,
    RouteOutcomeUnknown,
    RouteRequested,
    SearchRequested,
    SendToPeer,
    StatusRequested,
    StopRequested,
    TargetEvidenceReceived,
    UnfinishedRequestsChanged,
    UnreachableZonesChanged,
)
from savoryarch.quarantine import QuarantineDeclared


def _no_classes() -> Mapping[type, str]:
    return MappingProxyType({})


def _no_fields() -> Mapping[tuple[type, str], str]:
    return MappingProxyType({})


@dataclass(frozen=True, slots=True)
class OuterNames:
    """Names in encoded messages that differ from the names in the code.

    Parameters
    ----------
    classes : mapping of type to str
        Tag of each class whose tag is not its name.
    keys : mapping of (type, str) to str
        Key of each field whose key is not its name, by the class that is encoded and the name of
        the field.

    Raises
    ------
    TypeError
        If a class does not have a field that `keys` names.
    """

    classes: Mapping[type, str] = field(default_factory=_no_classes)
    keys: Mapping[tuple[type, str], str] = field(default_factory=_no_fields)

    def __post_init__(self) -> None:
        for cls, name in self.keys:
            if name not in {item.name for item in fields(cls)}:
                raise TypeError(f"{cls.__name__} has no field {name!r}")

    def tag_of(self, cls: type) -> str:
        """Return the tag of a class; by default its name."""
        return self.classes.get(cls, cls.__name__)

    def keys_of(self, cls: type) -> dict[str, str]:
        """Return the keys of those fields of a class whose key is not their name."""
        return {name: key for (owner, name), key in self.keys.items() if owner is cls}


# Example: with ``classes=MappingProxyType({Probe: "Ping"})``, a class `Probe` that was named
# ``Ping`` keeps its tag. With ``keys=MappingProxyType({(Probe, "number"): "probe_id"})``, its
# field `number` keeps the key ``probe_id``.
OUTER_NAMES = OuterNames(
    classes=MappingProxyType(
        {
            # Configuration.
            ChangeRequested: "ChangeAsked",
            ConfigurationPart: "ConfigurationSent",
            ConfigurationRequested: "ConfigurationWanted",
            ConfigurationStatusRequested: "ConfigurationStatusWanted",
            StatusRequested: "StatusAsked",
            # Effects and events that all components use.
            BroadcastToPeers: "TellPeers",
            PeerMessageReceived: "PeerSaid",
            PublishEvent: "Inform",
            RecordHistogram: "Observe",
            SendToPeer: "TellPeer",
            # Discovery of targets in the platform's store.
            StoreRevisionAdvanced: "StoreMoved",
            # Routes and their claims.
            ClaimKeyExpired: "ClaimForgotten",
            ClaimOutcomeFound: "ClaimSettled",
            ClaimOutcomeUnknown: "ClaimUnknown",
            ClaimResolved: "TellResolution",
            ClaimSubmitted: "AskClaim",
            OutcomeRecorded: "TellRecorded",
            OutcomeSubmitted: "SettleClaim",
            RouteOutcomeUnknown: "RouteUnknown",
            RouteRequested: "RouteAsked",
            # Membership and the lifecycle of an instance.
            ComponentDigest: "SubjectDigest",
            PeerDigestChanged: "PeerDigest",
            RequestIntakeStopped: "NewWorkEnded",
            StopRequested: "StopAsked",
            UnfinishedRequestsChanged: "UnfinishedChanged",
            UnreachableZonesChanged: "ZonesChanged",
            # Searches.
            CallerDisconnected: "CallerGone",
            SearchRequested: "SearchAsked",
            # Targets.
            TargetEvidenceReceived: "TargetSigned",
        }
    ),
    keys=MappingProxyType(
        {
            # Configuration.
            (ConfigurationAnnounced, "store_last_contact_ago_ms"): "store_age_ms",
            (ConfigurationAnnounced, "store_restored_generation"): "store_generation_behind",
            (ConfigurationPart, "full_record"): "whole",
            (ConfigurationRecord, "compacted_generation"): "floor_generation",
            (ConfigurationStatus, "store_last_contact_ago_ms"): "store_seen_ago_ms",
            (ConfigurationStatus, "store_restored_generation"): "store_generation_behind",
            (InstanceStatus, "last_contact_ago_ms"): "heard_ago_ms",
            # Routes and their claims, quarantine.
            (ClaimSubmitted, "remaining_ms"): "left_ms",
            (QuarantineDeclared, "remaining_ms"): "left_ms",
            # Membership and the lifecycle of an instance.
            (ComponentDigest, "component"): "subject",
            # Targets.
            (TargetEvidenceReceived, "evidence"): "sign",
        }
    ),
)
