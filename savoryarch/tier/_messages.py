"""Messages between instances that are defined by their subjects instead of the model."""

from savoryarch.discovery import StoreRevisionAdvanced
from savoryarch.quarantine import CrashReported, QuarantineDeclared, ReplyReported

COMPONENT_MESSAGES: tuple[type, ...] = (
    CrashReported,
    QuarantineDeclared,
    ReplyReported,
    StoreRevisionAdvanced,
)
