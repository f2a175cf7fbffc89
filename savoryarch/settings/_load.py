"""Reads the settings file of one instance."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, get_type_hints

from savoryarch.configuration import ConfigurationSettings
from savoryarch.exceptions import FindingsError
from savoryarch.search import SearchSettings
from savoryarch.settings._sections import (
    CallersSettings,
    InstanceSettings,
    LogSettings,
    OperatorsSettings,
    PeersSettings,
    PlatformSettings,
)
from savoryarch.targets import TargetsSettings
from savoryarch.utils import (
    Finding,
    IniDocument,
    IniSection,
    Place,
    read_ini,
    read_section,
    suggest,
)


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one instance; each field is a section of the file.

    A new section is one line here; its fields are declared by the subject that uses them.
    """

    instance: InstanceSettings
    callers: CallersSettings = field(default_factory=CallersSettings)
    operators: OperatorsSettings = field(default_factory=OperatorsSettings)
    peers: PeersSettings = field(default_factory=PeersSettings)
    platform: PlatformSettings = field(default_factory=PlatformSettings)
    log: LogSettings = field(default_factory=LogSettings)
    targets: TargetsSettings = field(default_factory=TargetsSettings)
    search: SearchSettings = field(default_factory=SearchSettings)
    configuration: ConfigurationSettings = field(default_factory=ConfigurationSettings)


SECTIONS: dict[str, type] = {name: kind for name, kind in get_type_hints(Settings).items()}


def load_settings(path: str | Path) -> Settings:
    """Load a settings file.

    Raises
    ------
    FindingsError
        With everything that is wrong in the file, or that it cannot be read.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise FindingsError((Finding(Place(str(path)), f"cannot be read: {error}"),)) from None
    settings, findings = parse_settings(text, str(path))
    if settings is None:
        raise FindingsError(findings)
    return settings


def parse_settings(text: str, source: str) -> tuple[Settings | None, tuple[Finding, ...]]:
    """Parse the text of a settings file.

    Returns
    -------
    settings : Settings or None
        None if there are findings.
    findings : tuple of Finding
        Everything that is wrong, each with its file, line and key.
    """
    document, syntax = read_ini(text, source)
    findings = list(syntax)
    values: dict[str, Any] = {}
    for section in document.sections:
        kind = SECTIONS.get(section.name)
        if kind is None:
            hint = suggest(section.name, tuple(SECTIONS))
            findings.append(Finding(section.place, f"section [{section.name}] is unknown{hint}"))
            continue
        values[section.name], more = read_section(section, kind)
        findings += more
    if not syntax and not document.get("instance"):
        findings += _missing_instance(document)
    return (None if findings else Settings(**values)), tuple(findings)


def _missing_instance(document: IniDocument) -> list[Finding]:
    place = Place(document.source)
    _, findings = read_section(IniSection("instance", place, ()), InstanceSettings)
    return [Finding(place, "section [instance] is missing"), *findings]
