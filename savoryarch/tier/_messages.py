"""Messages between instances that components define outside of the model."""

from savoryarch.discovery import StoreRevisionAdvanced
from savoryarch.quarantine import CrashReported, QuarantineDeclared, ReplyReported
from savoryarch.targets import TargetLeaving

COMPONENT_MESSAGES: tuple[type, ...] = (
    CrashReported,
    QuarantineDeclared,
    ReplyReported,
    StoreRevisionAdvanced,
    TargetLeaving,
)
