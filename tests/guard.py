"""Data classes of guards and their proofs.

A guard is a function of the product that upholds an invariant, such as a check before a send. A
proof is a test or a scenario that passes with the guard and must fail while it is disabled. That
shows that the test would notice if the guard were removed or broken.
"""

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from importlib import import_module
from typing import Any
from unittest.mock import patch


@dataclass(frozen=True)
class Guard:
    """A guard whose proofs are tests.

    Parameters
    ----------
    name : str
        What the guard does.
    promise : str
        The invariant that it upholds.
    module, attribute : str
        Module and dotted attribute of the guard, in the module that calls it.
    replacement : callable
        Function without the guard's effect that replaces it.
    proofs : tuple of str
        Ids of tests, each of which must fail without the guard.
    """

    name: str
    promise: str
    module: str
    attribute: str
    replacement: Callable[..., Any]
    proofs: tuple[str, ...]


@dataclass(frozen=True)
class ComponentGuard:
    """A guard of a component whose proofs are scenarios of that component.

    Parameters
    ----------
    name : str
        What the guard does.
    promise : str
        The invariant that it upholds.
    replacements : tuple of (str, object)
        Pairs of a ``module.attribute`` in the component's package and the object that replaces it.
    proofs : tuple of str
        Arguments of the component's ``run_proof``, each of which must fail without the guard.
    """

    name: str
    promise: str
    replacements: tuple[tuple[str, object], ...]
    proofs: tuple[str, ...]

    @contextmanager
    def disabled(self, package: str) -> Iterator[None]:
        """Disable the guard inside the block.

        Parameters
        ----------
        package : str
            Package of the component.
        """
        with ExitStack() as stack:
            for path, replacement in self.replacements:
                module, attribute = path.split(".")
                target = import_module(f"{package}.{module}")
                stack.enter_context(patch.object(target, attribute, replacement))
            yield
