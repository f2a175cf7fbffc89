"""Checks of the references and constraints between the resources of one configuration."""

from collections import Counter
from collections.abc import Iterator
from difflib import get_close_matches

from savoryarch.model import Declarations, KeyFromField, Route, Search, Service
from savoryarch.utils import Finding, Place


def check_declarations(declarations: Declarations) -> tuple[Finding, ...]:
    """Return the problems between resources, sorted, each with the dotted path of its field."""
    findings: list[Finding] = []
    findings += _check_targets(declarations)
    for service in declarations.services.values():
        findings += _check_service(service)
    for search in declarations.searches.values():
        findings += _check_search(search, declarations)
    for route in declarations.routes.values():
        findings += _check_route(route, declarations)
    return tuple(sorted(findings))


def _check_targets(declarations: Declarations) -> Iterator[Finding]:
    service_of_target: dict[str, str] = {}
    target_of_address: dict[tuple[str, int], str] = {}
    for service in sorted(declarations.services.values(), key=lambda item: item.name):
        path = f"service.{service.name}.targets"
        for target in service.targets:
            other_service = service_of_target.setdefault(target.target_id, service.name)
            if other_service != service.name:
                yield _finding(
                    path, f"target {target.target_id!r} is also in service {other_service!r}"
                )
            if target.port == 0:
                yield _finding(path, f"target {target.target_id!r} has port 0")
            address = (target.host, target.port)
            other_target_id = target_of_address.setdefault(address, target.target_id)
            if other_target_id != target.target_id:
                yield _finding(
                    path,
                    f"targets {other_target_id!r} and {target.target_id!r} have the same address "
                    f"{target.host}:{target.port}",
                )


def _check_service(service: Service) -> Iterator[Finding]:
    path = f"service.{service.name}"
    target_ids: set[str] = set()
    for target in service.targets:
        if target.target_id in target_ids:
            yield _finding(f"{path}.targets", f"target {target.target_id!r} is given twice")
        target_ids.add(target.target_id)
    if service.connection_limit < service.slots:
        yield _finding(
            f"{path}.connection_limit",
            f"got {service.connection_limit}, expected at least the slots ({service.slots})",
        )


def _check_search(search: Search, declarations: Declarations) -> Iterator[Finding]:
    path = f"search.{search.name}.shard_maps"
    versions = [shard_map.version for shard_map in search.shard_maps]
    if sorted(set(versions)) != versions:
        yield _finding(path, f"got versions {versions}, expected them to ascend")
    for shard_map in search.shard_maps:
        label = f"shard map {shard_map.version}"
        if not shard_map.services:
            yield _finding(path, f"{label} names no service")
        for name, count in sorted(Counter(shard_map.services).items()):
            if count > 1:
                yield _finding(path, f"{label} names service {name!r} twice")
            if name not in declarations.services:
                yield _finding(path, f"{label} names {_missing_service(name, declarations)}")


def _check_route(route: Route, declarations: Declarations) -> Iterator[Finding]:
    path = f"route.{route.name}"
    if route.service not in declarations.services:
        yield _finding(f"{path}.service", f"got {_missing_service(route.service, declarations)}")
    if isinstance(route.key, KeyFromField) and route.idempotent:
        yield _finding(f"{path}.key", "an idempotent route takes no key from a field of the body")


def _missing_service(name: str, declarations: Declarations) -> str:
    close_matches = get_close_matches(name, tuple(declarations.services), n=1)
    hint = f"; did you mean {close_matches[0]!r}?" if close_matches else ""
    return f"service {name!r}, which does not exist{hint}"


def _finding(path: str, message: str) -> Finding:
    return Finding(Place("", 0, path), message)
