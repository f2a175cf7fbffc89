"""Rewrites the tables of fields in the pages: ``python -m tests.pages``."""

import re
from pathlib import Path

from savoryarch.resources import FORMS
from savoryarch.settings import SECTION_CLASSES, format_field_table

DOCS = Path(__file__).parent.parent / "docs"
PAGES = ("RESOURCES.md", "OPERATIONS.md")
_TABLE = re.compile(r"<!-- fields of (?P<name>[^ ]+) -->\n.*?<!-- end -->", flags=re.DOTALL)
KINDS = {f"[{name}]": kind for name, kind in SECTION_CLASSES.items()} | {
    kind.value: form for kind, form in FORMS.items()
}


def render_page(text: str) -> str:
    """Return the page with every table made from the declared constraints."""

    def render(found: re.Match[str]) -> str:
        table = format_field_table(KINDS[found["name"]])
        return f"<!-- fields of {found['name']} -->\n{table}\n<!-- end -->"

    return _TABLE.sub(render, text)


def described(text: str) -> set[str]:
    """Return what the page has tables of."""
    return {found["name"] for found in _TABLE.finditer(text)}


if __name__ == "__main__":
    for page in PAGES:
        path = DOCS / page
        path.write_text(render_page(path.read_text(encoding="utf-8")), encoding="utf-8")
