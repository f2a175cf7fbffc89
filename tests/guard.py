"""What a guard and its proofs are."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class Guard:
    """One guard and the proofs that fail without it.

    Parameters
    ----------
    name, promise : str
        What it does, and what must hold.
    module, attribute : str
        The function that is replaced, where it is called.
    replacement : callable
        What takes its place.
    proofs : tuple of str
        Test ids; each must fail without the guard.
    """

    name: str
    promise: str
    module: str
    attribute: str
    replacement: Callable[..., Any]
    proofs: tuple[str, ...]
