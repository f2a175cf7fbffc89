"""The names that classes and fields have outside of the process.

Peer messages, trace events and effects carry class names and field names. A class or a field that
is renamed in the code is entered here with the name that other instances and recorded traces know,
so that its encoding stays the same.
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
        The tag of a class; a class that is absent has its own name as its tag.
    keys : mapping of (type, str) to str
        The key of a field, by the class that it is encoded for; a field that is absent has its
        own name as its key.

    Raises
    ------
    TypeError
        If a key belongs to a field that its class does not have.
    """

    classes: Mapping[type, str] = field(default_factory=_no_classes)
    keys: Mapping[tuple[type, str], str] = field(default_factory=_no_fields)

    def __post_init__(self) -> None:
        for kind, name in self.keys:
            if name not in {item.name for item in fields(kind)}:
                raise TypeError(f"{kind.__name__} has no field {name!r}")

    def tag_of(self, kind: type) -> str:
        """Return the tag of a class."""
        return self.classes.get(kind, kind.__name__)

    def keys_of(self, kind: type) -> dict[str, str]:
        """Return the keys of the fields of a class that differ from their names."""
        return {name: key for (owner, name), key in self.keys.items() if owner is kind}


# Example: ``classes=MappingProxyType({Probe: "Ping"})`` keeps the tag of a class `Probe` that was
# named ``Ping``, and ``keys=MappingProxyType({(Probe, "number"): "probe_id"})`` the key of its
# field `number`.
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
            # Discovery in the platform's store.
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
            # Membership and the life cycle of an instance.
            ComponentDigest: "SubjectDigest",
            PeerDigestChanged: "PeerDigest",
            RequestIntakeStopped: "NewWorkEnded",
            StopRequested: "StopAsked",
            UnfinishedRequestsChanged: "UnfinishedChanged",
            UnreachableZonesChanged: "ZonesChanged",
            # searches
            CallerDisconnected: "CallerGone",
            SearchRequested: "SearchAsked",
            # targets
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
            # Membership and the life cycle of an instance.
            (ComponentDigest, "component"): "subject",
            # targets
            (TargetEvidenceReceived, "evidence"): "sign",
        }
    ),
)
