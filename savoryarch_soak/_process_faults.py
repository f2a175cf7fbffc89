"""Injects the faults of the processes of entry instances."""

from typing import Any

from savoryarch_soak._faults import (
    AddInstance,
    BlockOutput,
    Fault,
    FreezeInstance,
    KillInstance,
    KillInstances,
    OverlapRestart,
    ReloadInstance,
    SignalStart,
    StopInstance,
)
from savoryarch_soak._instances import SoakInstance

RETRY_INTERVAL_S = 0.1
_MS_PER_S = 1000.0


class ProcessFaults:
    """Begins and ends the faults of entry instances.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    instances : list of SoakInstance
        All instances, also those that are added during the run.
    """

    def __init__(self, reactor: Any, instances: list[SoakInstance]) -> None:
        self._reactor = reactor
        self._instances = instances

    def begin(self, fault: Fault) -> None:
        """Begin a fault; those of other kinds are ignored."""
        match fault:
            case KillInstance(instance=number):
                self._instances[number].kill()
            case KillInstances(instances=numbers):
                for number in numbers:
                    self._instances[number].kill()
            case StopInstance(instance=number):
                self._stop(self._instances[number])
            case FreezeInstance(instance=number):
                self._instances[number].freeze()
            case ReloadInstance(instance=number):
                self._instances[number].reload()
            case AddInstance(instance=number):
                self._instances[number].start()
            case SignalStart(instance=number):
                instance = self._instances[number]
                instance.kill()
                instance.when_ended().addCallback(lambda _: self._start_and_signal(instance, fault))
            case BlockOutput(instance=number, closes=closes):
                self._instances[number].block_output(closes)
            case OverlapRestart(instance=number):
                self._stop(self._instances[number])
                self._instances[number].start_successor()

    def end(self, fault: Fault) -> None:
        """End a fault; those of other kinds are ignored."""
        match fault:
            case KillInstance(instance=number) | StopInstance(instance=number):
                self._start_after_exit(self._instances[number])
            case KillInstances(instances=numbers):
                for number in numbers:
                    self._start_after_exit(self._instances[number])
            case FreezeInstance(instance=number):
                self._instances[number].resume()
            case SignalStart(instance=number, stops=True):
                self._start_after_exit(self._instances[number])
            case BlockOutput(instance=number, closes=False):
                self._instances[number].read_output()
            case BlockOutput(instance=number):
                # The log of a process whose output is closed is lost until it is restarted.
                self._stop(self._instances[number])
                self._start_after_exit(self._instances[number])

    def _stop(self, instance: SoakInstance) -> None:
        instance.clients.hold_incomplete_request()
        instance.stop()

    def _start_and_signal(self, instance: SoakInstance, fault: SignalStart) -> None:
        instance.start()
        send = instance.stop if fault.stops else instance.reload
        self._reactor.callLater(fault.delay_ms / _MS_PER_S, send)

    def _start_after_exit(self, instance: SoakInstance) -> None:
        """Start an instance as soon as its process has exited."""
        if instance.is_running():
            self._reactor.callLater(RETRY_INTERVAL_S, self._start_after_exit, instance)
        else:
            instance.start()
