"""Checks that addresses which are reachable from other machines require credentials."""

from collections.abc import Iterator
from ipaddress import ip_address
from pathlib import Path

from savoryarch.settings._sections import OperatorsSettings, PeersSettings
from savoryarch.utils import Finding, IniDocument, IniSection, Place, find_key_place


def check_credentials(
    operators: OperatorsSettings, peers: PeersSettings, document: IniDocument
) -> Iterator[Finding]:
    """Yield findings about missing credentials; loopback addresses need none.

    Parameters
    ----------
    operators : OperatorsSettings
        Section ``[operators]``.
    peers : PeersSettings
        Section ``[peers]``.
    document : IniDocument
        The settings file, for the location of findings.

    Yields
    ------
    finding : Finding
        A missing credential, a file that is given without its counterpart, or a file that does
        not exist.
    """
    yield from _check_operators(operators, _section_or_empty(document, "operators"))
    yield from _check_peers(peers, _section_or_empty(document, "peers"))


def _check_operators(operators: OperatorsSettings, section: IniSection) -> Iterator[Finding]:
    files = ("tls_certificate_file", "tls_key_file")
    configured = [name for name in files if getattr(operators, name)]
    if len(configured) == 1:
        counterpart = next(name for name in files if name not in configured)
        yield Finding(find_key_place(section, configured[0]), f"expected {counterpart} as well")
    yield from _check_files(operators, files, section)
    if ip_address(operators.host).is_loopback:
        return
    missing = [name for name in files if not getattr(operators, name)]
    if not operators.write_token_hashes:
        missing.append("write_token_hashes")
    yield from _report_missing(operators.host, missing, section)


def _check_peers(peers: PeersSettings, section: IniSection) -> Iterator[Finding]:
    files = ("tls_certificate_file", "tls_authority_file")
    configured = [name for name in files if getattr(peers, name)]
    if len(configured) == 1:
        counterpart = next(name for name in files if name not in configured)
        yield Finding(find_key_place(section, configured[0]), f"expected {counterpart} as well")
    yield from _check_files(peers, files, section)
    if not ip_address(peers.host).is_loopback and not peers.private_network:
        missing = [name for name in files if not getattr(peers, name)]
        yield from _report_missing(peers.host, missing, section)


def _report_missing(host: str, missing: list[str], section: IniSection) -> Iterator[Finding]:
    if missing:
        yield Finding(
            find_key_place(section, "host"),
            f"got {host}, which is not on loopback; expected {', '.join(missing)} as well",
        )


def _check_files(
    settings: OperatorsSettings | PeersSettings, names: tuple[str, ...], section: IniSection
) -> Iterator[Finding]:
    for name in names:
        path = getattr(settings, name)
        if path and not Path(path).is_file():
            yield Finding(find_key_place(section, name), f"file {path!r} does not exist")


def _section_or_empty(document: IniDocument, name: str) -> IniSection:
    return document.get(name) or IniSection(name, Place(document.source, 0, name), ())
