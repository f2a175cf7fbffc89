"""Sends requests to the declared targets, with one pool of connections per target."""

from collections.abc import Callable
from typing import Any

from savoryarch.codec import Dialect, JsonDialect
from savoryarch.entry._reply_memory import ReplyMemory
from savoryarch.entry._target_pool import TargetPool
from savoryarch.model import (
    AttemptEnded,
    CancelAttempt,
    Declarations,
    LimitConnections,
    NotSent,
    OpenConnections,
    ProbeTarget,
    ReturnUnsent,
    SendAttempt,
    Target,
)
from savoryarch.utils import Clock

TargetEffect = (
    SendAttempt | CancelAttempt | ProbeTarget | OpenConnections | LimitConnections | ReturnUnsent
)


class TargetClient:
    """Performs the effects that concern targets.

    Parameters
    ----------
    reactor : IReactorTCP and IReactorTime provider
        Twisted's reactor.
    clock : Clock
        Monotonic clock of the process.
    feed : callable
        Called with the events that result from effects and connections: `AttemptEnded` and
        `TargetEvidenceReceived`.
    dialect : Dialect, optional
        The protocol that targets speak; default is `JsonDialect`.
    reply_memory : ReplyMemory, optional
        Limit on the bytes of incomplete replies of all targets.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        feed: Callable[[object], None],
        dialect: Dialect | None = None,
        reply_memory: ReplyMemory | None = None,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._feed = feed
        self._dialect = dialect or JsonDialect()
        self._reply_memory = reply_memory or ReplyMemory()
        self._pools: dict[str, TargetPool] = {}

    def declare(self, declarations: Declarations) -> None:
        """Make a pool for each new target, and close the pools of removed targets.

        A target whose declaration has changed gets a new pool instead of its previous one.
        """
        declared = {
            target.target_id: target
            for service in declarations.services.values()
            for target in service.targets
        }
        for target_id in list(self._pools):
            if declared.get(target_id) != self._pools[target_id].target:
                self._pools.pop(target_id).close()
        for target_id, target in declared.items():
            if target_id not in self._pools:
                self._pools[target_id] = self._make_pool(target)

    def perform(self, effect: TargetEffect) -> None:
        """Perform one effect.

        If the target is not declared, an attempt ends with `NotSent`, and other effects are
        ignored.
        """
        pool = self._pools.get(effect.target_id)
        if pool is None:
            self._fail_undeclared(effect)
            return
        match effect:
            case SendAttempt():
                pool.send(effect)
            case CancelAttempt(attempt_id=attempt_id):
                pool.cancel(attempt_id)
            case ProbeTarget():
                pool.probe()
            case OpenConnections(count=count):
                pool.keep_open(count)
            case LimitConnections(count=count):
                pool.limit(count)
            case ReturnUnsent():
                pool.return_unsent("the target gets no more requests")

    def connection_count(self, target_id: str) -> int:
        """Return the number of connections of this instance to a target."""
        pool = self._pools.get(target_id)
        return pool.connection_count() if pool else 0

    def close(self) -> None:
        """Close and remove all pools."""
        for pool in self._pools.values():
            pool.close()
        self._pools.clear()

    def _make_pool(self, target: Target) -> TargetPool:
        return TargetPool(
            target, self._reactor, self._clock, self._feed, self._dialect, self._reply_memory
        )

    def _fail_undeclared(self, effect: TargetEffect) -> None:
        if isinstance(effect, SendAttempt):
            reply = NotSent(f"target {effect.target_id!r} is not declared")
            self._feed(AttemptEnded(effect.attempt_id, effect.target_id, reply))
