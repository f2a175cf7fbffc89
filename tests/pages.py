"""Regenerates the tables of fields in the documentation: ``python -m tests.pages``."""

import re
from pathlib import Path

from savoryarch.resources import FORMS
from savoryarch.settings import SECTION_CLASSES, format_field_table

DOCS = Path(__file__).parent.parent / "docs"
PAGES = ("RESOURCES.md", "OPERATIONS.md")
_FIELD_TABLE = re.compile(r"<!-- fields of (?P<name>[^ ]+) -->\n.*?<!-- end -->", flags=re.DOTALL)
KINDS = {f"[{name}]": kind for name, kind in SECTION_CLASSES.items()} | {
    kind.value: form for kind, form in FORMS.items()
}


def render_page(text: str) -> str:
    """Return the page with each table regenerated from the declared constraints."""

    def render_table(match: re.Match[str]) -> str:
        table = format_field_table(KINDS[match["name"]])
        return f"<!-- fields of {match['name']} -->\n{table}\n<!-- end -->"

    return _FIELD_TABLE.sub(render_table, text)


def tables_of_page(text: str) -> set[str]:
    """Return the names of the sections and kinds of which the page has a table."""
    return {found["name"] for found in _FIELD_TABLE.finditer(text)}


if __name__ == "__main__":
    for page in PAGES:
        path = DOCS / page
        path.write_text(render_page(path.read_text(encoding="utf-8")), encoding="utf-8")
