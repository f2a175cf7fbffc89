"""Keeps the code that `dataclasses` compiles at each start, so that a start need not compile it.

The standard library compiles the methods of each data class from source text when the class is
made. With some 350 classes, this takes a quarter of the processor time of a start, and after a loss
of power all machines start at once. The build stores the code objects by their source text.
"""

import builtins
import dataclasses
import marshal
from importlib.util import MAGIC_NUMBER
from pathlib import Path
from types import CodeType
from typing import Any

CODE_PATH = Path(__file__).with_name("class_code.bin")


def use_stored_code() -> dict[str, CodeType]:
    """Let `dataclasses` use the stored code, and return what it compiles in addition.

    Without a stored file, or with one of another version of Python, everything is compiled.
    """
    stored = _read_stored()
    compiled: dict[str, CodeType] = {}

    def execute(source: str, scope: dict[str, Any], names: dict[str, Any] | None = None) -> None:
        code = stored.get(source)
        if code is None:
            code = compiled[source] = compile(source, "<dataclass>", "exec")
        builtins.exec(code, scope, names)

    # The module calls the built-in function by its name, which a global of the module overrides.
    dataclasses.exec = execute  # type: ignore[attr-defined]
    return compiled


def store_code(compiled: dict[str, CodeType]) -> None:
    """Store code objects for later starts with the same version of Python."""
    CODE_PATH.write_bytes(MAGIC_NUMBER + marshal.dumps(compiled))


def _read_stored() -> dict[str, CodeType]:
    try:
        data = CODE_PATH.read_bytes()
    except FileNotFoundError:
        return {}
    if not data.startswith(MAGIC_NUMBER):
        return {}
    stored: dict[str, CodeType] = marshal.loads(data[len(MAGIC_NUMBER) :])
    return stored
