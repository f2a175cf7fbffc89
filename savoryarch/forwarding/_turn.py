"""What a decision on one forwarded request works on."""

from dataclasses import dataclass

from savoryarch.forwarding._state import Forward, ForwardingState, SubRequest
from savoryarch.model import DecidedOnTargets, SetTimer
from savoryarch.targets import TargetsState
from savoryarch.utils import replace

DUE_TIMER = "forwarding/due/"
ROOM_TIMER = "forwarding/room/"

DecidedForward = DecidedOnTargets[ForwardingState, TargetsState]


@dataclass(frozen=True, slots=True)
class Turn:
    """The request at hand, everything around it, and the effects so far.

    Parameters
    ----------
    state : ForwardingState
        All requests; the one at hand is put back at the end of the turn.
    targets : TargetsState
        The targets.
    forward : Forward
        The request at hand.
    now_ms : float
        Time of the event.
    effects : tuple of object
        What has to be done.
    """

    state: ForwardingState
    targets: TargetsState
    forward: Forward
    now_ms: float
    effects: tuple[object, ...] = ()


def emit(turn: Turn, *effects: object) -> Turn:
    """Add effects."""
    return Turn(turn.state, turn.targets, turn.forward, turn.now_ms, turn.effects + effects)


def put_piece(turn: Turn, piece: SubRequest) -> Turn:
    """Put a changed piece back."""
    forward = replace(turn.forward, pieces=turn.forward.pieces.set(piece.service, piece))
    return Turn(turn.state, turn.targets, forward, turn.now_ms, turn.effects)


def arm(turn: Turn, at_ms: float) -> Turn:
    """Have the request looked at again at a time, or earlier."""
    if at_ms >= turn.forward.check_at_ms:
        return turn
    turn = replace(turn, forward=replace(turn.forward, check_at_ms=at_ms))
    return emit(turn, SetTimer(DUE_TIMER + turn.forward.request_id, at_ms))
