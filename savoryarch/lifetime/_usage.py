"""Reads the age, the limits and the use of this process from the operating system."""

import os
import resource
from dataclasses import dataclass
from pathlib import Path

from savoryarch.utils import Clock

MAX_START_MS = 60_000.0  # a platform does not wait longer until a program is loaded
_MS_PER_S = 1000.0
_BYTES_PER_KIB = 1024
_STAT_PATH = Path("/proc/self/stat")
_DESCRIPTORS_PATH = "/proc/self/fd"
_START_TIME_FIELD = 19  # ``starttime`` of proc(5), counted from the field behind the name


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """Soft limits of a process; None if there is none.

    Parameters
    ----------
    descriptor_count : int or None
        Largest number of open file descriptors.
    address_space_bytes : int or None
        Largest size of the address space.
    """

    descriptor_count: int | None
    address_space_bytes: int | None


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """What a process has used until now.

    Parameters
    ----------
    peak_memory_bytes : int
        Largest resident memory.
    processor_ms : float
        Processor time of all threads, in user and system mode.
    descriptor_count : int or None
        Number of open file descriptors; None if the system does not tell.
    """

    peak_memory_bytes: int
    processor_ms: float
    descriptor_count: int | None


def read_limits() -> ProcessLimits:
    """Return the limits of this process."""
    return ProcessLimits(_soft_limit(resource.RLIMIT_NOFILE), _soft_limit(resource.RLIMIT_AS))


def read_usage() -> ProcessUsage:
    """Return what this process has used until now."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return ProcessUsage(
        usage.ru_maxrss * _BYTES_PER_KIB,
        (usage.ru_utime + usage.ru_stime) * _MS_PER_S,
        _count_descriptors(),
    )


def read_age_ms(boot_clock: Clock) -> float | None:
    """Return the time since the start of this process, or None if the system does not tell.

    It is to be called while the process starts.

    Parameters
    ----------
    boot_clock : Clock
        The clock of the kernel's start times. If a machine simulates one of the two, the age is
        negative or too large for a process that starts, and is not known.
    """
    try:
        fields = _STAT_PATH.read_text(encoding="utf-8", errors="replace").rpartition(")")[2].split()
        started_ms = int(fields[_START_TIME_FIELD]) / os.sysconf("SC_CLK_TCK") * _MS_PER_S
    except (OSError, ValueError, IndexError):
        return None
    age_ms = boot_clock.now_ms() - started_ms
    return age_ms if 0.0 <= age_ms <= MAX_START_MS else None


def _soft_limit(kind: int) -> int | None:
    soft, _ = resource.getrlimit(kind)
    return None if soft == resource.RLIM_INFINITY else soft


def _count_descriptors() -> int | None:
    try:
        return len(os.listdir(_DESCRIPTORS_PATH)) - 1  # without the one that lists them
    except OSError:
        return None
