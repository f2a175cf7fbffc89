"""What a guard and its proofs are."""

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from importlib import import_module
from typing import Any
from unittest.mock import patch


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


@dataclass(frozen=True)
class ComponentGuard:
    """One guard of a subject that has scenarios of its own as proofs.

    Parameters
    ----------
    name, promise : str
        What it does, and what must hold.
    replaced : tuple of (str, object)
        ``module.attribute`` within the subject's package, and what takes its place.
    proofs : tuple of str
        Names that the subject's ``run_proof`` takes; each must fail without the guard.
    """

    name: str
    promise: str
    replacements: tuple[tuple[str, object], ...]
    proofs: tuple[str, ...]

    @contextmanager
    def disabled(self, package: str) -> Iterator[None]:
        """Run with the guard of the subject's package taken away."""
        with ExitStack() as stack:
            for path, replacement in self.replacements:
                module, attribute = path.split(".")
                target = import_module(f"{package}.{module}")
                stack.enter_context(patch.object(target, attribute, replacement))
            yield
