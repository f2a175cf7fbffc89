"""Records the names and bytes that leave the process: ``python -m tests.outer_names [FOLDER]``.

Each section is a file of ``tests/outer_names/``. Callers, targets, operators, other instances and
stored data depend on the recorded names, so that a difference is either a mistake or a change
that must be announced.
"""

import sys
from collections.abc import Callable, Iterator
from pathlib import Path

from tests import outer_bytes, outer_source

FOLDER = Path(__file__).parent / "outer_names"
SECTIONS: dict[str, Callable[[], Iterator[str]]] = {
    "callers": outer_bytes.collect_callers,
    "clients": outer_bytes.collect_clients,
    "operators": outer_bytes.collect_operators,
    "reasons": outer_bytes.collect_reasons,
    "store": outer_bytes.collect_store,
    "targets": outer_bytes.collect_targets,
    "charts": outer_source.collect_charts,
    "commands": outer_source.collect_commands,
    "enums": outer_source.collect_enums,
    "forms": outer_source.collect_forms,
    "headers": outer_source.collect_headers,
    "logs": outer_source.collect_logs,
    "metrics": outer_source.collect_metrics,
    "page": outer_source.collect_page,
    "sections": outer_source.collect_sections,
}


def collect(section: str) -> str:
    """Return the present content of a section, one line per item."""
    return "".join(f"{line}\n" for line in SECTIONS[section]())


if __name__ == "__main__":
    folder = Path(sys.argv[1]) if len(sys.argv) > 1 else FOLDER
    folder.mkdir(exist_ok=True)
    for name in SECTIONS:
        (folder / f"{name}.txt").write_text(collect(name), encoding="utf-8")
