"""Names that leave the process, collected from declarations and by parsing the sources."""

import ast
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import MISSING, fields
from enum import Enum
from inspect import Parameter, getmembers, isclass, signature
from itertools import count
from pathlib import Path
from typing import Any

from savoryarch import model
from savoryarch.charts import CHART_NAMES, Chart, load_chart
from savoryarch.cli._exit_codes import ExitCode
from savoryarch.cli._main import _commands
from savoryarch.codec.tests.outer_examples import CODEC, make_examples
from savoryarch.entry import _log as log
from savoryarch.entry._metrics import Metrics
from savoryarch.model import Count, LogEvent, LogRoutine, RecordHistogram
from savoryarch.peers._frame import FrameDropReason
from savoryarch.platform import _wire as wire
from savoryarch.replay import TraceHeader
from savoryarch.resources import FORMS, format_resource, resource_to_json
from savoryarch.settings import SECTION_CLASSES
from savoryarch.utils import Constraint

ROOT = Path(__file__).parent.parent
VISIBLE_CHARTS = ("client_connection", "member")
LOG_CALLS = (log.log_event, log.log_routine, log.log_error, log.format_event)
LOG_NAMES = {item.__name__ for item in (LogEvent, LogRoutine, *LOG_CALLS)}
COUNTER_NAMES = {Count.__name__, Metrics.count.__name__, Metrics.set_gauge.__name__}
HISTOGRAM_NAMES = {RecordHistogram.__name__, Metrics.record_ms.__name__}


def collect_sections() -> Iterator[str]:
    """Yield the keys of each section of the settings, with defaults and constraints."""
    for section, kind in SECTION_CLASSES.items():
        yield from _fields(section, kind)


def collect_forms() -> Iterator[str]:
    """Yield the keys of resources, examples of them as INI and JSON, and the keys of traces."""
    for kind, form in FORMS.items():
        yield from _fields(kind.value, form)
    for resource in (model.Service, model.Search, model.Route, model.Caller):
        for example in make_examples(resource, CODEC):
            yield repr(format_resource(example))
            yield repr(resource_to_json(example, 5))
    yield "trace header: " + " ".join(item.name for item in fields(TraceHeader))


def collect_charts() -> Iterator[str]:
    """Yield the states that operators see, and the transitions of all charts as numbers.

    The names of all other states, events and actions are internal. Each is replaced by its number
    in the order of the chart file, so that a rename makes no difference but a changed transition
    does.
    """
    for file_name in VISIBLE_CHARTS:
        yield f"{file_name}: {' '.join(sorted(load_chart(file_name).states))}"
    yield from sorted(_number_transitions(load_chart(file_name)) for file_name in CHART_NAMES)


def _number_transitions(chart: Chart) -> str:
    """Return ``state.event>next state/actions`` of each transition, with numbers for names."""
    states, events, actions = (defaultdict[str, int](count().__next__) for _ in range(3))
    parts = [f"start {states[chart.initial]}"]
    for (state, event), transition in chart.transitions.items():
        transition_actions = ",".join(str(actions[action]) for action in transition.actions)
        source, event_number = states[state], events[event]
        parts.append(
            f"{source}.{event_number}>{states[transition.next_state]}/{transition_actions}"
        )
    final = ",".join(map(str, sorted(states[state] for state in chart.final_states)))
    return " ".join([*parts, f"final {final}"])


def collect_commands() -> Iterator[str]:
    """Yield the commands with their arguments and options, and the exit codes."""
    for name, command in _commands().items():
        parts = [name]
        for key, item in signature(command).parameters.items():
            if item.kind is Parameter.VAR_POSITIONAL:
                parts.append(f"{key.upper()}...")
            elif item.default is Parameter.empty:
                parts.append(f"--{key.replace('_', '-')} (required)")
            else:
                parts.append(f"--{key.replace('_', '-')}={item.default!r}")
        yield " ".join(parts)
    yield f"exit codes {' '.join(str(code.value) for code in ExitCode)}"


def collect_enums() -> Iterator[str]:
    """Yield the values of each enum of the model, and the reasons for dropped frames of peers."""
    kinds = [kind for _, kind in getmembers(model, isclass) if issubclass(kind, Enum)]
    rows = [[str(item.value) for item in kind] for kind in [*kinds, FrameDropReason]]
    yield from (" ".join(row) for row in sorted(rows))


def collect_headers() -> Iterator[str]:
    """Yield the headers that clients and targets of the platform use."""
    headers = (
        wire.REQUEST_ID_HEADER,
        wire.DEADLINE_HEADER,
        wire.DIGEST_HEADER,
        wire.EXPECTED_TARGET_HEADER,
        wire.NOT_RUN_HEADER,
        wire.PART_DIGESTS_HEADER,
        wire.MISSING_PARTS_HEADER,
    )
    yield from headers


def collect_page() -> Iterator[str]:
    """Yield the lines of a counter, a gauge and a histogram in the exposition of metrics."""
    metrics = Metrics()
    metrics.count("outer_counter", "some_reason", 2)
    metrics.set_gauge("outer_gauge", "some_reason", 3.0)
    metrics.record_ms("outer_ms", 30.0, (("route", "one"),))
    try:
        lines = metrics.render().decode().splitlines()
    finally:
        metrics.close()
    yield from (line for line in lines if "outer_" in line and "_created" not in line)


def collect_logs() -> Iterator[str]:
    """Yield each event of the log with its keys, and then each key."""
    yield from sorted(set(_find_calls(LOG_NAMES, with_reasons=False)))
    yield from sorted(
        {f"key {key}" for row in _find_calls(LOG_NAMES, False) for key in row.split()[1:]}
    )


def collect_metrics() -> Iterator[str]:
    """Yield the names of counters and gauges with their reasons, and the names of histograms."""
    yield from sorted(set(_find_calls(COUNTER_NAMES, with_reasons=True)))
    yield from sorted(
        {f"histogram {row}" for row in _find_calls(HISTOGRAM_NAMES, with_reasons=False)}
    )


def _fields(owner: str, kind: type) -> Iterator[str]:
    """Yield ``owner.field default constraint`` for each field that has a constraint."""
    for item in fields(kind):
        if "constraint" not in item.metadata:
            continue
        constraint: Constraint = item.metadata["constraint"]
        default = "required" if item.default is MISSING else _format_value(item.default)
        yield f"{owner}.{item.name} {default} {_format_constraint(constraint)}".rstrip()


def _format_value(value: Any) -> str:
    return str(value.value) if isinstance(value, Enum) else repr(value)


def _format_constraint(constraint: Constraint) -> str:
    """Return the fields of a constraint without `example`, which appears in messages only."""
    names = [item.name for item in fields(constraint) if item.name != "example"]
    values = (getattr(constraint, name) for name in names)
    return " ".join(
        (
            ",".join(_format_value(one) for one in value)
            if isinstance(value, type)
            else _format_value(value)
        )
        for value in values
    )


def _find_calls(names: Iterable[str], with_reasons: bool) -> Iterator[str]:
    """Yield a row for each call in the product's sources of one of the functions.

    Parameters
    ----------
    names : iterable of str
        Names of the functions or classes whose first argument is the name of an event or metric.
    with_reasons : bool
        Whether a row has the second argument, the reason, instead of the keys.
    """
    for path in sorted((ROOT / "savoryarch").rglob("*.py")):
        if "tests" not in path.parts:
            tree = ast.parse(path.read_text(encoding="utf-8"))
            functions = [node for node in ast.walk(tree) if isinstance(node, ast.FunctionDef)]
            forwarding = {item.name for item in functions if _forwards_name(item, set(names))}
            for function in functions:
                yield from _calls_of_function(
                    function, functions, {*names, *forwarding}, with_reasons
                )


def _forwards_name(function: ast.FunctionDef, names: set[str]) -> bool:
    """Return whether a function passes its first argument as the first argument of such a call."""
    first = [item.arg for item in function.args.args][:1]
    return any(
        isinstance(node, ast.Call)
        and _called_names(node, {}) & names
        and [getattr(item, "id", "") for item in node.args[:1]] == first
        for node in ast.walk(function)
    )


def _calls_of_function(
    function: ast.FunctionDef,
    functions: list[ast.FunctionDef],
    names: set[str],
    with_reasons: bool,
) -> Iterator[str]:
    """Yield the rows of the calls in one function."""
    assignments = _find_assignments(function, functions)
    for call in ast.walk(function):
        if isinstance(call, ast.Call) and _called_names(call, assignments) & names and call.args:
            # Names that the source does not show as literals cannot be collected.
            yield from (
                row for row in _format_call(call, assignments, with_reasons) if row[0] != "*"
            )


def _called_names(call: ast.Call, assignments: dict[str, list[ast.expr]]) -> set[str]:
    """Return the names that a call may refer to, following ``partial`` and local assignments."""
    match call:
        case ast.Call(func=ast.Name(id="partial"), args=[function, *rest]):
            return _called_names(ast.Call(function, rest, []), assignments)
        case ast.Call(func=ast.Attribute(value=owner, attr=name)):
            owner_name = getattr(owner, "attr", getattr(owner, "id", ""))
            return {name} if owner_name.strip("_") in ("metrics", "self") else set()
        case ast.Call(func=ast.Name(id=name)):
            nodes = [node for value in assignments.get(name, ()) for node in ast.walk(value)]
            return {name} | {getattr(node, "id", "") for node in nodes}
        case _:
            return set()


def _format_call(
    call: ast.Call, assignments: dict[str, list[ast.expr]], with_reasons: bool
) -> Iterator[str]:
    """Yield ``name reason`` or ``name key key...`` for each name that a call may pass."""
    arguments = [item for item in call.args if not isinstance(item, ast.Attribute)]
    if getattr(call.func, "id", "") != "partial":
        arguments = call.args
    names, reason_arguments = _possible_texts(arguments[0], assignments), arguments[1:2]
    if not with_reasons:
        keys = {key for item in arguments[1:] for key in _find_keys(item, assignments)}
        yield from (" ".join([name, *sorted(keys)]) for name in names)
        return
    reasons = _possible_texts(reason_arguments[0], assignments) if reason_arguments else ["*"]
    if len(names) == len(reasons):
        yield from map(" ".join, zip(names, reasons, strict=True))
    else:
        yield from (f"{name} {reason}" for name in names for reason in reasons)


def _find_assignments(
    function: ast.FunctionDef, functions: list[ast.FunctionDef]
) -> dict[str, list[ast.expr]]:
    """Return the expressions that are assigned to each local name.

    A name that is assigned from a call of a function of the same module gets the expressions
    that this function returns.
    """
    values: dict[str, list[ast.expr]] = {}
    for node in ast.walk(function):
        match node:
            case ast.Assign(targets=[ast.Name(id=name)], value=value):
                values.setdefault(name, []).append(value)
            case ast.AnnAssign(target=ast.Name(id=name), value=ast.expr() as value):
                values.setdefault(name, []).append(value)
            case ast.AugAssign(target=ast.Name(id=name), value=value):
                values.setdefault(name, []).append(value)
            case ast.For(target=ast.Tuple(elts=targets), iter=ast.Name(id=name)):
                tables = values.get(name, [])
                _assign_rows(
                    values, targets, [row for table in tables for row in getattr(table, "elts", ())]
                )
            case ast.Assign(
                targets=[ast.Tuple(elts=targets)], value=ast.Call(func=ast.Name(id=name))
            ):
                _assign_rows(values, targets, _returned_values(name, functions))
    return values


def _assign_rows(
    values: dict[str, list[ast.expr]], targets: list[ast.expr], rows: list[ast.expr]
) -> None:
    """Add the items of tuples to the names of the targets that they are unpacked into."""
    for row in rows:
        items = getattr(row, "elts", ())
        is_conditional = any(isinstance(item, ast.IfExp) for item in items)
        for branch in ("body", "orelse") if is_conditional else ("",):
            for target, item in zip(targets, items, strict=False):
                value = getattr(item, branch) if isinstance(item, ast.IfExp) else item
                values.setdefault(getattr(target, "id", ""), []).append(value)


def _returned_values(name: str, functions: list[ast.FunctionDef]) -> list[ast.expr]:
    """Return the expressions in the return statements of the functions of that name."""
    return [
        node.value
        for function in functions
        if function.name == name
        for node in ast.walk(function)
        if isinstance(node, ast.Return) and node.value is not None
    ]


def _possible_texts(value: ast.expr, assignments: dict[str, list[ast.expr]]) -> list[str]:
    """Return the strings that an expression may evaluate to, or ``*`` if they are unknown."""
    match value:
        case ast.Constant(value=str(text)):
            return [text]
        case ast.IfExp(body=body, orelse=orelse):
            return _possible_texts(body, assignments) + _possible_texts(orelse, assignments)
        case ast.Name(id=name) if name in assignments:
            other_assignments = {key: values for key, values in assignments.items() if key != name}
            return [
                text
                for item in assignments[name]
                for text in _possible_texts(item, other_assignments)
            ]
        case _:
            return ["*"]


def _find_keys(value: ast.expr, assignments: dict[str, list[ast.expr]]) -> Iterator[str]:
    """Yield the keys of the ``(key, value)`` pairs in an expression and in assigned names."""
    for node in ast.walk(value):
        match node:
            case ast.Tuple(elts=[ast.Constant(value=str(key)), _]):
                yield key
            case ast.Name(id=name) if name in assignments:
                other_assignments = {
                    key: values for key, values in assignments.items() if key != name
                }
                for item in assignments[name]:
                    yield from _find_keys(item, other_assignments)
