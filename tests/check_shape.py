"""Static checks of the project's coding rules; run by ``make lint``.

Decisions are pure functions on frozen data classes, without input or output; the product runs one
event loop on one thread.
"""

import ast
import re
import sys
from collections.abc import Iterator
from pathlib import Path

from savoryarch.utils import Finding, Place, format_findings

ROOT = Path(__file__).parent.parent
PACKAGES = (
    "savoryarch",
    "savoryarch_standins",
    "savoryarch_bench",
    "savoryarch_soak",
    "benchmarks",
    "examples",
)
DECISION_PACKAGES = {
    "admission",
    "model",
    "charts",
    "targets",
    "search",
    "forwarding",
    "discovery",
    "orders",
    "configuration",
    "membership",
    "notices",
    "quarantine",
    "shutdown",
    "tier",
}
IO_MODULES = {
    "http",
    "httptools",
    "klein",
    "logbook",
    "opentelemetry",
    "pynng",
    "random",
    "select",
    "socket",
    "ssl",
    "time",
    "treq",
    "twisted",
}
CONCURRENCY_MODULES = {"threading", "multiprocessing", "concurrent", "asyncio", "subprocess"}
PACKAGES_WITH_PROCESSES = {
    "savoryarch_standins",
    "savoryarch_bench",
    "savoryarch_soak",
    "benchmarks",
    "tests",
}
NAME_WITHOUT_UNIT = re.compile(
    r"(^|_)(timeout|delay|deadline|interval|duration|latency|age|ttl|period|size|lag|wait|retention)$"
)
MAX_FILE_LINES = 400
MAX_FUNCTION_LINES = 50


def check_tree() -> list[Finding]:
    """Return all violations of the rules in the sources, tests excepted."""
    findings: list[Finding] = []
    for package in PACKAGES:
        for path in sorted((ROOT / package).rglob("*.py")):
            if "tests" not in path.parts:
                findings += check_source(path.read_text(encoding="utf-8"), path.relative_to(ROOT))
    return findings


def check_source(source: str, path: Path) -> Iterator[Finding]:
    """Yield the violations of the rules in one file.

    Parameters
    ----------
    source : str
        Content of the file.
    path : Path
        Path relative to the root of the repository, which selects the rules that apply.
    """
    lines = source.count("\n")
    if lines > MAX_FILE_LINES:
        yield Finding(Place(str(path), 1), f"got {lines} lines, expected at most {MAX_FILE_LINES}")
    for node in ast.walk(ast.parse(source)):
        for message in _check_node(node, path):
            yield Finding(Place(str(path), getattr(node, "lineno", 1)), message)


def _check_node(node: ast.AST, path: Path) -> Iterator[str]:
    match node:
        case ast.ClassDef():
            yield from _check_class(node)
        case ast.FunctionDef(name=name):
            length_lines = (node.end_lineno or 0) - node.lineno
            if length_lines > MAX_FUNCTION_LINES:
                yield f"function {name} has {length_lines} lines, over {MAX_FUNCTION_LINES}"
        case ast.AsyncFunctionDef(name=name):
            yield f"coroutine {name}: got async def, expected Deferreds on one loop"
        case ast.ImportFrom(module=module):
            yield from _check_import(module or "", path)
        case ast.Import(names=names):
            for alias in names:
                yield from _check_import(alias.name, path)
                if alias.name.split(".")[0] == "savoryarch":
                    yield f"import {alias.name}: import names, as in 'from savoryarch.x import y'"
        case ast.AnnAssign(target=ast.Name(id=name)) if NAME_WITHOUT_UNIT.search(name):
            yield f"{name} carries no unit, such as _ms or _bytes"
        case ast.Call(func=ast.Attribute(value=ast.Name(id="time"))) if _may_not_read_clock(path):
            yield "reads a clock outside of savoryarch.utils.Clock"
        case _:
            pass


def _check_class(node: ast.ClassDef) -> Iterator[str]:
    for decorator in node.decorator_list:
        call = decorator if isinstance(decorator, ast.Call) else None
        name = call.func if call else decorator
        if getattr(name, "id", getattr(name, "attr", "")) != "dataclass":
            continue
        keywords = {keyword.arg: keyword.value for keyword in call.keywords} if call else {}
        if not getattr(keywords.get("frozen"), "value", False):
            yield f"data class {node.name} is not frozen"


def _check_import(module: str, path: Path) -> Iterator[str]:
    top_level_package = module.split(".")[0]
    if top_level_package in CONCURRENCY_MODULES and path.parts[0] not in PACKAGES_WITH_PROCESSES:
        yield f"imports {module}: expected one loop on one thread, and no other process"
    is_decision_module = (
        path.parts[0] == "savoryarch" and len(path.parts) > 2 and path.parts[1] in DECISION_PACKAGES
    )
    if is_decision_module and top_level_package in IO_MODULES:
        yield f"imports {module}: decisions stay apart from input and output"


def _may_not_read_clock(path: Path) -> bool:
    return path.name != "_clock.py" and path.parts[0] != "benchmarks"


if __name__ == "__main__":
    all_findings = check_tree()
    print(format_findings(all_findings) or "shape: no findings")
    sys.exit(1 if all_findings else 0)
