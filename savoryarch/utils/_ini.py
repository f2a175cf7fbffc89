"""Parser of INI text that retains the line number of each section and entry."""

import configparser
import re
from dataclasses import dataclass

from savoryarch.utils._findings import Finding, Place

_SECTION = re.compile(r"^\[(?P<name>[^]]+)\]")
_ENTRY = re.compile(r"^(?P<key>[^=\s][^=]*?)\s*=")


@dataclass(frozen=True, slots=True)
class IniEntry:
    """One ``key = value`` entry of a section, with its location."""

    key: str
    value: str
    place: Place


@dataclass(frozen=True, slots=True)
class IniSection:
    """One section, with its location and its entries in file order."""

    name: str
    place: Place
    entries: tuple[IniEntry, ...]

    def get(self, key: str) -> IniEntry | None:
        """Return the entry with the given key, or None if the section has none."""
        return next((entry for entry in self.entries if entry.key == key), None)


@dataclass(frozen=True, slots=True)
class IniDocument:
    """The sections of one INI text in file order."""

    source: str
    sections: tuple[IniSection, ...]

    def get(self, name: str) -> IniSection | None:
        """Return the section with the given name, or None if the document has none."""
        return next((section for section in self.sections if section.name == name), None)


def parse_ini(text: str, source: str) -> tuple[IniDocument, tuple[Finding, ...]]:
    """Parse INI text.

    Parameters
    ----------
    text : str
        The text; ``#`` and ``;`` start comment lines, continuation lines are indented.
    source : str
        File name or another name of the text, for the location of sections, entries and findings.

    Returns
    -------
    document : IniDocument
        The parsed text; it has no sections if there are findings.
    findings : tuple of Finding
        Syntax errors, or a duplicate section or key, with their lines.
    """
    # No section can have the name "\0", so that no section gives defaults to the others.
    parser = configparser.RawConfigParser(delimiters=("=",), default_section="\0")
    # Keys keep their case.
    parser.optionxform = str  # type: ignore[method-assign,assignment]
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        return IniDocument(source, ()), _findings_of_error(error, source)
    line_numbers = _find_line_numbers(text)
    sections = tuple(
        IniSection(
            name,
            Place(source, line_numbers.get((name, ""), 0), name),
            tuple(
                IniEntry(
                    key, value, Place(source, line_numbers.get((name, key), 0), f"{name}.{key}")
                )
                for key, value in parser.items(name)
            ),
        )
        for name in parser.sections()
    )
    return IniDocument(source, sections), ()


def _findings_of_error(error: configparser.Error, source: str) -> tuple[Finding, ...]:
    match error:
        case configparser.ParsingError(errors=errors) if errors:
            return tuple(
                Finding(Place(source, line), f"got {text}, expected 'key = value' or '[section]'")
                for line, text in errors
            )
        case configparser.MissingSectionHeaderError(lineno=line):
            return (Finding(Place(source, line), "got an entry, expected a '[section]' first"),)
        case configparser.DuplicateSectionError(section=section, lineno=line):
            return (Finding(Place(source, line or 0, section), "section is given twice"),)
        case configparser.DuplicateOptionError(section=section, option=option, lineno=line):
            place = Place(source, line or 0, f"{section}.{option}")
            return (Finding(place, "key is given twice in this section"),)
        case _:
            return (Finding(Place(source), str(error)),)


def _find_line_numbers(text: str) -> dict[tuple[str, str], int]:
    """Return line numbers by section and key; the key of a section itself is empty."""
    numbers: dict[tuple[str, str], int] = {}
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        if header := _SECTION.match(line):
            section = header["name"]
            numbers[(section, "")] = number
        elif entry := _ENTRY.match(line):
            numbers.setdefault((section, entry["key"]), number)
    return numbers
