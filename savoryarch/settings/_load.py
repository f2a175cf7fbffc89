"""Parser of the settings file of one instance."""

from collections.abc import Callable
from dataclasses import dataclass, fields, replace
from pathlib import Path
from typing import Any, get_type_hints

from savoryarch.admission import AdmissionSettings
from savoryarch.configuration import ConfigurationSettings
from savoryarch.discovery import DiscoverySettings
from savoryarch.exceptions import FindingsError
from savoryarch.forwarding import ForwardingSettings
from savoryarch.membership import MembershipSettings
from savoryarch.notices import NoticesSettings
from savoryarch.orders import OrdersSettings
from savoryarch.quarantine import QuarantineSettings
from savoryarch.search import SearchSettings
from savoryarch.settings._credentials import check_credentials
from savoryarch.settings._sections import (
    CallersSettings,
    FrontSettings,
    InstanceSettings,
    LogSettings,
    MetricsSettings,
    OperatorsSettings,
    PeersSettings,
    PlatformSettings,
)
from savoryarch.shutdown import ShutdownSettings
from savoryarch.targets import TargetsSettings
from savoryarch.utils import (
    Finding,
    IniDocument,
    IniSection,
    Place,
    format_suggestion,
    parse_ini,
    parse_section,
    sleep,
)

SETTINGS_CHECK_INTERVAL_MS = 100.0  # between attempts to load a file that is not there yet


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one instance; each field is a section of the file.

    To add a section, add a field; its class belongs to the component that uses the settings.
    """

    instance: InstanceSettings
    callers: CallersSettings
    operators: OperatorsSettings
    peers: PeersSettings
    platform: PlatformSettings
    log: LogSettings
    targets: TargetsSettings
    search: SearchSettings
    orders: OrdersSettings
    admission: AdmissionSettings
    quarantine: QuarantineSettings
    membership: MembershipSettings
    shutdown: ShutdownSettings
    configuration: ConfigurationSettings
    notices: NoticesSettings
    front: FrontSettings
    metrics: MetricsSettings
    forwarding: ForwardingSettings
    discovery: DiscoverySettings


SECTION_CLASSES: dict[str, type] = {
    name: section_class for name, section_class in get_type_hints(Settings).items()
}


def load_settings(path: str | Path) -> Settings:
    """Load a settings file.

    Parameters
    ----------
    path : str or Path
        Path of the file.

    Returns
    -------
    settings : Settings
        The settings of the file, and defaults for absent keys.

    Raises
    ------
    FindingsError
        If the file cannot be read or has errors; it lists all of them.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise FindingsError((Finding(Place(str(path)), f"cannot be read: {error}"),)) from None
    settings, findings = parse_settings(text, str(path))
    if settings is None:
        raise FindingsError(findings)
    return settings


def await_settings(
    path: str | Path, timeout_ms: float, report: Callable[[FindingsError], None]
) -> Settings:
    """Load a settings file, and wait for one that is absent or incomplete.

    Parameters
    ----------
    path : str or Path
        Path of the file.
    timeout_ms : float
        Time in ms after which the wait ends.
    report : callable
        Called once, with the findings of the first attempt, if it fails.

    Returns
    -------
    settings : Settings
        As `load_settings` returns them.

    Raises
    ------
    FindingsError
        If the file has errors or cannot be read when the time has passed.
    """
    for attempt in range(int(timeout_ms / SETTINGS_CHECK_INTERVAL_MS)):
        try:
            return load_settings(path)
        except FindingsError as error:
            if attempt == 0:
                report(error)
        sleep(SETTINGS_CHECK_INTERVAL_MS)
    return load_settings(path)


def parse_settings(text: str, source: str) -> tuple[Settings | None, tuple[Finding, ...]]:
    """Parse the text of a settings file.

    Parameters
    ----------
    text : str
        Text of the file.
    source : str
        Name of the file, for the location of findings.

    Returns
    -------
    settings : Settings or None
        The settings; None if there are findings.
    findings : tuple of Finding
        All errors in the text, each with its file, line and key.
    """
    document, syntax_findings = parse_ini(text, source)
    if syntax_findings:
        return None, syntax_findings
    findings: list[Finding] = []
    values: dict[str, Any] = {}
    for section in document.sections:
        if section.name not in SECTION_CLASSES:
            suggestion = format_suggestion(section.name, tuple(SECTION_CLASSES))
            findings.append(
                Finding(section.place, f"section [{section.name}] is unknown{suggestion}")
            )
    for name, section_class in SECTION_CLASSES.items():
        # If [instance] is invalid, absent sections are skipped. They would lack the keys that they
        # inherit from it, and repeat its findings.
        if name != "instance" and not values["instance"] and not document.get(name):
            continue
        section = document.get(name) or IniSection(name, Place(source, 0, name), ())
        values[name], section_findings = parse_section(
            _inherit_instance_keys(section, section_class, document), section_class
        )
        findings += section_findings
    operators, peers = values.get("operators"), values.get("peers")
    if operators and peers:
        findings += check_credentials(operators, peers, document)
    return (None if findings else Settings(**values)), tuple(findings)


def _inherit_instance_keys(
    section: IniSection, section_class: type, document: IniDocument
) -> IniSection:
    """Return a section with the keys that it lacks and [instance] has, such as the zone."""
    instance = document.get("instance")
    if instance is None or section.name == "instance":
        return section
    names = {item.name for item in fields(section_class)}
    inherited = tuple(
        entry for entry in instance.entries if entry.key in names and section.get(entry.key) is None
    )
    return replace(section, entries=section.entries + inherited)
