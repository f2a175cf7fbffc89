import re

import pytest

from savoryarch.cli import check_arguments
from savoryarch.resources import parse_resources
from savoryarch.settings import parse_settings
from tests.pages import DOCS, KINDS, PAGES, described, render_page


@pytest.mark.parametrize("page", PAGES)
def test_tables_follow_the_declared_constraints(page):
    text = (DOCS / page).read_text(encoding="utf-8")
    assert render_page(text) == text, "run python -m tests.pages"


def test_every_field_is_described():
    texts = [(DOCS / page).read_text(encoding="utf-8") for page in PAGES]
    assert set().union(*map(described, texts)) == set(KINDS)


@pytest.mark.parametrize("page", PAGES)
def test_commands_of_the_page_exist(page):
    text = (DOCS / page).read_text(encoding="utf-8")
    commands = re.findall(r"^    savoryarch (.+)$", text, flags=re.MULTILINE)
    assert commands
    assert [check_arguments(command.split()) for command in commands] == [""] * len(commands)


def test_examples_of_the_pages_are_valid():
    resources = (DOCS / "RESOURCES.md").read_text(encoding="utf-8")
    settings = (DOCS / "OPERATIONS.md").read_text(encoding="utf-8")
    for text in re.findall(r"```ini\n(.*?)```", resources, flags=re.DOTALL):
        assert parse_resources(text, "RESOURCES.md")[1] == ()
    for text in re.findall(r"```ini\n(.*?)```", settings, flags=re.DOTALL):
        assert parse_settings(text, "OPERATIONS.md")[1] == ()
