"""Forms: the fields that declare a resource of each kind, with their constraints.

A form has the fields as they are named and typed in INI and JSON. It converts to the resource of
the model and back.
"""

from dataclasses import dataclass
from enum import Enum

from savoryarch.model import (
    Caller,
    KeyFromField,
    KeyFromHeader,
    KeySource,
    Preference,
    Priority,
    Resource,
    ResourceKind,
    Route,
    Search,
    Service,
    ShardMap,
    Target,
)
from savoryarch.utils import NAME, Boolean, Number, OneOf, Text, setting

TARGET_ID = Text(r"[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?", "balcao-03-a")
_HEADER_PREFIX = "header:"
_FIELD_PREFIX = "field:"


def _multiline_text(example: str) -> Text:
    """Return the constraint of a field with one entry per line, which module `_lines` checks."""
    return Text(r"(?s).*", example)


@dataclass(frozen=True, slots=True)
class ServiceForm:
    """One shard or one stateless service, and the targets that serve it."""

    targets: tuple[Target, ...] = setting(
        _multiline_text("balcao-03-a zone-a 127.0.0.1:7003"),
        "the replicas, one a line",
    )
    slots: int = setting(Number(1, 10_000, integer=True), "requests that one target runs at a time")
    connection_limit: int = setting(
        Number(1, 100_000, integer=True),
        "connections that one target accepts from all entry instances together",
    )
    group: str = setting(NAME, "services that are declared alike", "")


@dataclass(frozen=True, slots=True)
class SearchForm:
    """A search over every shard of a shard map."""

    shard_maps: tuple[ShardMap, ...] = setting(
        _multiline_text("1: balcao-01 balcao-02"),
        "the services that hold every record exactly once, one partitioning a line",
    )
    deadline_ms: float = setting(Number(1, 600_000), "time until the answer is due")
    minimum_coverage: float = setting(
        Number(0, 1), "share of the shards below which the search is refused", 0.0
    )
    prefer: Preference = setting(
        OneOf(Preference),
        "whether to answer early or to wait for missing shards",
        Preference.LATENCY,
    )
    priority: Priority = setting(OneOf(Priority), "default priority class", Priority.NORMAL)
    extra_load_share: float = setting(
        Number(0, 1), "hedged and retried sub-requests allowed per ordinary one", 0.05
    )


@dataclass(frozen=True, slots=True)
class RouteForm:
    """A request route to one service."""

    service: str = setting(NAME, "the service whose targets run the request")
    deadline_ms: float = setting(Number(1, 600_000), "time until the outcome is due")
    idempotent: bool = setting(Boolean(), "whether a request may run more than once", False)
    key: str = setting(
        Text(r"header:[A-Za-z0-9-]{1,64}|field:[A-Za-z0-9_]+(\.[A-Za-z0-9_]+)*", "field:wheel_id"),
        "where the idempotency key is found, a header or a field of the JSON body",
        "header:idempotency-key",
    )
    priority: Priority = setting(OneOf(Priority), "default priority class", Priority.NORMAL)


@dataclass(frozen=True, slots=True)
class CallerForm:
    """A caller; capacity is shared among callers in proportion to their weights."""

    weight: float = setting(Number(0.001, 1000), "share relative to the other callers", 1.0)


Form = ServiceForm | SearchForm | RouteForm | CallerForm

FORMS: dict[ResourceKind, type] = {
    ResourceKind.SERVICE: ServiceForm,
    ResourceKind.SEARCH: SearchForm,
    ResourceKind.ROUTE: RouteForm,
    ResourceKind.CALLER: CallerForm,
}


def make_resource(name: str, form: Form) -> Resource:
    """Return the resource that the fields of a form declare."""
    match form:
        case ServiceForm():
            targets = tuple(
                Target(item.target_id, name, item.availability_zone, item.host, item.port)
                for item in form.targets
            )
            return Service(name, form.group, form.slots, form.connection_limit, targets)
        case SearchForm():
            return Search(
                name=name,
                shard_maps=form.shard_maps,
                deadline_ms=form.deadline_ms,
                minimum_coverage=form.minimum_coverage,
                prefer=form.prefer,
                priority=form.priority,
                extra_load_share=form.extra_load_share,
            )
        case RouteForm():
            return Route(
                name=name,
                service=form.service,
                deadline_ms=form.deadline_ms,
                idempotent=form.idempotent,
                key=_parse_key(form.key),
                priority=form.priority,
            )
        case CallerForm():
            return Caller(name, form.weight)


def make_form(resource: Resource) -> Form:
    """Return the form whose fields declare a resource."""
    match resource:
        case Service(group=group, slots=slots, connection_limit=limit, targets=targets):
            return ServiceForm(targets, slots, limit, group)
        case Search():
            return SearchForm(
                shard_maps=resource.shard_maps,
                deadline_ms=resource.deadline_ms,
                minimum_coverage=resource.minimum_coverage,
                prefer=resource.prefer,
                priority=resource.priority,
                extra_load_share=resource.extra_load_share,
            )
        case Route():
            return RouteForm(
                service=resource.service,
                deadline_ms=resource.deadline_ms,
                idempotent=resource.idempotent,
                key=_format_key(resource.key),
                priority=resource.priority,
            )
        case Caller(weight=weight):
            return CallerForm(weight)


def format_scalar(value: object) -> str:
    """Return the INI text of the value of a single-line field."""
    match value:
        case bool():
            return "yes" if value else "no"
        case Enum():
            return str(value.value)
        case float():
            return f"{value:g}" if value == float(f"{value:g}") else repr(value)
        case _:
            return str(value)


def _parse_key(text: str) -> KeySource:
    if text.startswith(_FIELD_PREFIX):
        return KeyFromField(text.removeprefix(_FIELD_PREFIX))
    return KeyFromHeader(text.removeprefix(_HEADER_PREFIX).lower())


def _format_key(key: KeySource) -> str:
    match key:
        case KeyFromHeader(header=header):
            return _HEADER_PREFIX + header
        case KeyFromField(field_path=field_path):
            return _FIELD_PREFIX + field_path
