"""The documentation agrees with the code: tables of fields, commands, links and examples."""

import re
from pathlib import Path
from shlex import split

import pytest

from savoryarch.cli import check_arguments, main
from savoryarch.resources import parse_resources
from savoryarch.settings import parse_settings
from tests.pages import DOCS, KINDS, PAGES, render_page, tables_of_page

ROOT = Path(__file__).parent.parent
ALL_PAGES = sorted([*DOCS.glob("*.md"), ROOT / "README.md", ROOT / "DEVELOPERS.md"])


@pytest.mark.parametrize("page", PAGES)
def test_tables_follow_the_declared_constraints(page):
    text = (DOCS / page).read_text(encoding="utf-8")
    assert render_page(text) == text, "run python -m tests.pages"


def test_every_kind_has_a_table_of_fields():
    texts = [(DOCS / page).read_text(encoding="utf-8") for page in PAGES]
    assert set().union(*map(tables_of_page, texts)) == set(KINDS)


def commands_of(path, program):
    text = path.read_text(encoding="utf-8")
    return re.findall(rf"^    {program} (.+)$", text, flags=re.MULTILINE)


PAGES_WITH_COMMANDS = [path for path in ALL_PAGES if commands_of(path, "savoryarch")]
# These commands need no running instance, so that the test runs them.
LOCAL_COMMANDS = [
    (path, command)
    for path in PAGES_WITH_COMMANDS
    for command in commands_of(path, "savoryarch")
    if command.split()[0] in ("check", "replay", "version") and "FILE" not in command
]


@pytest.mark.parametrize("page", PAGES)
def test_pages_of_operators_have_commands(page):
    assert DOCS / page in PAGES_WITH_COMMANDS


@pytest.mark.parametrize("path", PAGES_WITH_COMMANDS, ids=lambda path: path.name)
def test_commands_of_the_page_exist(path):
    commands = commands_of(path, "savoryarch")
    assert [check_arguments(split(command)) for command in commands] == [""] * len(commands)


@pytest.mark.parametrize(("path", "command"), LOCAL_COMMANDS, ids=lambda item: str(item)[-40:])
def test_local_commands_of_the_page_succeed(path, command, capsys):
    arguments = [str(ROOT / word) if (ROOT / word).is_file() else word for word in split(command)]
    assert main(arguments) == 0, capsys.readouterr()


@pytest.mark.parametrize("path", ALL_PAGES, ids=lambda path: path.name)
def test_make_targets_of_the_page_exist(path):
    make_targets = re.findall(
        r"^([a-z]+):", (ROOT / "Makefile").read_text(encoding="utf-8"), re.MULTILINE
    )
    assert {command.split()[0] for command in commands_of(path, "make")} <= set(make_targets)


@pytest.mark.parametrize("path", ALL_PAGES, ids=lambda path: path.name)
def test_links_of_the_page_lead_to_existing_files(path):
    text = path.read_text(encoding="utf-8")
    links = re.findall(r"\]\(([^)#:]+)\)", text)
    assert [link for link in links if not (path.parent / link).exists()] == []


def test_examples_of_the_pages_are_valid():
    resources = (DOCS / "RESOURCES.md").read_text(encoding="utf-8")
    settings = (DOCS / "OPERATIONS.md").read_text(encoding="utf-8")
    for text in re.findall(r"```ini\n(.*?)```", resources, flags=re.DOTALL):
        assert parse_resources(text, "RESOURCES.md")[1] == ()
    for text in re.findall(r"```ini\n(.*?)```", settings, flags=re.DOTALL):
        assert parse_settings(text, "OPERATIONS.md")[1] == ()
