"""Validation of settings files and resource files."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from pathlib import Path

from savoryarch.configuration import apply_changes, check_declarations
from savoryarch.model import Declarations, PutResource, ResourceKey, resource_key
from savoryarch.resources import DeclaredResource, find_field_place, parse_resources
from savoryarch.settings import SECTION_CLASSES, parse_settings
from savoryarch.utils import Finding, Place, parse_ini


@dataclass(frozen=True, slots=True)
class CheckedFiles:
    """Result of `check_files`.

    Parameters
    ----------
    resources : tuple of DeclaredResource
        Resources of all files.
    settings_count : int
        Number of files with settings.
    findings : tuple of Finding
        All errors in the files.
    """

    resources: tuple[DeclaredResource, ...]
    settings_count: int
    findings: tuple[Finding, ...]


def check_files(paths: Iterable[str]) -> CheckedFiles:
    """Read and validate settings files and resource files.

    Parameters
    ----------
    paths : iterable of str
        Paths of the files. Resources may refer to resources of other files.

    Returns
    -------
    checked : CheckedFiles
        Resources and findings of all files.
    """
    resources: list[DeclaredResource] = []
    findings: list[Finding] = []
    settings_count = 0
    for path in paths:
        try:
            text = Path(path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            findings.append(Finding(Place(path), f"cannot be read: {error}"))
            continue
        if _contains_settings(text, path):
            settings_count += 1
            findings += parse_settings(text, path)[1]
        else:
            parsed, resource_findings = parse_resources(text, path)
            resources += parsed
            findings += resource_findings
    by_key = {resource_key(item.resource): item for item in resources}
    findings += _find_duplicates(resources, by_key)
    if not findings:
        findings += _check_declarations(resources, by_key)
    return CheckedFiles(tuple(resources), settings_count, tuple(sorted(findings)))


def _contains_settings(text: str, path: str) -> bool:
    document, _ = parse_ini(text, path)
    return any(section.name in SECTION_CLASSES for section in document.sections)


def _find_duplicates(
    resources: Iterable[DeclaredResource], by_key: Mapping[ResourceKey, DeclaredResource]
) -> list[Finding]:
    # The key "" of `places` is the location of the resource's section.
    return [
        Finding(item.places[""], f"is declared again at {by_key[key].places['']}")
        for item in resources
        if by_key[key := resource_key(item.resource)] is not item
    ]


def _check_declarations(
    resources: Iterable[DeclaredResource], by_key: Mapping[ResourceKey, DeclaredResource]
) -> list[Finding]:
    changes = tuple(PutResource(item.resource) for item in resources)
    declarations = apply_changes(Declarations(), changes)
    by_path = {f"{key.kind.value}.{key.name}": item for key, item in by_key.items()}
    findings: list[Finding] = []
    for finding in check_declarations(declarations):
        # The path is KIND.NAME, or KIND.NAME.FIELD if the finding is about a field.
        kind, name, *rest = finding.place.path.split(".")
        place = find_field_place(by_path[f"{kind}.{name}"], rest[0] if rest else "")
        findings.append(replace(finding, place=replace(place, path=finding.place.path)))
    return findings
