"""Loads and validates chart files."""

from collections.abc import Iterable
from functools import cache
from pathlib import Path
from types import MappingProxyType

from savoryarch.charts._chart import Chart, Transition
from savoryarch.exceptions import FindingsError
from savoryarch.utils import Finding, IniDocument, IniEntry, IniSection, Place, parse_ini

_STATE_PREFIX = "state "
_CHART_KEYS = ("name", "summary", "initial", "events")
_FOLDER = Path(__file__).parent  # `importlib.resources` would take a longer time to load


def _list_chart_names() -> tuple[str, ...]:
    return tuple(sorted(path.stem for path in _FOLDER.glob("*.ini")))


CHART_NAMES = _list_chart_names()


@cache
def load_chart(name: str, actions: frozenset[str] | None = None) -> Chart:
    """Load the chart file ``savoryarch/charts/NAME.ini``.

    Parameters
    ----------
    name : str
        Name of the chart file without its suffix.
    actions : frozenset of str, optional
        Actions that the user of the chart implements; the transitions have to name exactly these.

    Returns
    -------
    chart : Chart
        The chart; it is loaded once for each pair of arguments.

    Raises
    ------
    FindingsError
        If the file has errors; it lists all of them.
    """
    source = f"{name}.ini"
    text = (_FOLDER / source).read_text(encoding="utf-8")
    return parse_chart(text, source, actions)


def parse_chart(text: str, source: str, actions: frozenset[str] | None = None) -> Chart:
    """Parse and validate the text of a chart file.

    Parameters
    ----------
    text : str
        Text of the file.
    source : str
        Name of the file, for the location of findings.
    actions : frozenset of str, optional
        Actions that the user of the chart implements; the transitions have to name exactly these.

    Returns
    -------
    chart : Chart
        The chart.

    Raises
    ------
    FindingsError
        If the text has errors; it lists all of them.
    """
    document, findings = parse_ini(text, source)
    if findings:
        raise FindingsError(findings)
    chart, findings = _parse_sections(document)
    findings += _check_chart(chart, document)
    if actions is not None:
        findings += _check_actions(chart, actions, source)
    if findings:
        raise FindingsError(findings)
    return chart


def _parse_sections(document: IniDocument) -> tuple[Chart, tuple[Finding, ...]]:
    findings: list[Finding] = []
    chart_section = document.get("chart")
    values = {entry.key: entry.value for entry in chart_section.entries} if chart_section else {}
    place = chart_section.place if chart_section else Place(document.source)
    findings += [
        Finding(place, f"key {key!r} is missing from [chart]")
        for key in _CHART_KEYS
        if not values.get(key)
    ]
    findings += [
        Finding(section.place, f"got section [{section.name}], expected [chart] or [state NAME]")
        for section in document.sections
        if section.name != "chart" and not section.name.startswith(_STATE_PREFIX)
    ]
    transitions: dict[tuple[str, str], Transition] = {}
    final_states: set[str] = set()
    for section in _state_sections(document):
        name = _state_name(section)
        for entry in section.entries:
            if entry.key == "final":
                final_states.add(name)
            elif entry.key != "summary":
                transitions[(name, entry.key)] = _parse_transition(entry)
    chart = Chart(
        name=values.get("name", ""),
        summary=values.get("summary", ""),
        initial=values.get("initial", ""),
        events=frozenset(_split_names(values.get("events", ""))),
        states=frozenset(_state_name(section) for section in _state_sections(document)),
        final_states=frozenset(final_states),
        transitions=MappingProxyType(transitions),
    )
    return chart, tuple(findings)


def _parse_transition(entry: IniEntry) -> Transition:
    next_state, _, actions = entry.value.partition("/")
    return Transition(next_state.strip(), tuple(_split_names(actions)))


def _check_chart(chart: Chart, document: IniDocument) -> tuple[Finding, ...]:
    findings: list[Finding] = []
    chart_section = document.get("chart")
    chart_place = chart_section.place if chart_section else Place(document.source)
    if chart.initial and chart.initial not in chart.states:
        findings.append(Finding(chart_place, f"initial state {chart.initial!r} does not exist"))
    for section in _state_sections(document):
        findings += _check_state(chart, section)
    used_events = {event for _, event in chart.transitions}
    findings += [
        Finding(chart_place, f"event {event!r} has no transition in any state")
        for event in sorted(chart.events - used_events)
    ]
    return tuple(findings)


def _check_state(chart: Chart, section: IniSection) -> Iterable[Finding]:
    name = _state_name(section)
    if name not in _reachable_states(chart):
        yield Finding(section.place, f"state {name!r} cannot be reached from {chart.initial!r}")
    entries = [entry for entry in section.entries if entry.key not in ("final", "summary")]
    if name in chart.final_states and entries:
        yield Finding(section.place, f"final state {name!r} must not have transitions")
    if name not in chart.final_states and not entries:
        yield Finding(section.place, f"state {name!r} has no transition and is not final")
    for entry in entries:
        if entry.key not in chart.events:
            yield Finding(entry.place, f"event {entry.key!r} is not listed in [chart] events")
        next_state = chart.transitions[(name, entry.key)].next_state
        if next_state not in chart.states:
            yield Finding(entry.place, f"next state {next_state!r} does not exist")


def _check_actions(chart: Chart, actions: frozenset[str], source: str) -> tuple[Finding, ...]:
    place = Place(source)
    unknown = [
        Finding(place, f"action {action!r} is not implemented")
        for action in sorted(chart.actions() - actions)
    ]
    unused = [
        Finding(place, f"action {action!r} is implemented but no transition names it")
        for action in sorted(actions - chart.actions())
    ]
    return tuple(unknown + unused)


def _reachable_states(chart: Chart) -> set[str]:
    reachable = {chart.initial}
    has_grown = True
    while has_grown:
        next_states = {
            transition.next_state
            for (state, _), transition in chart.transitions.items()
            if state in reachable
        }
        has_grown = not next_states <= reachable
        reachable |= next_states
    return reachable


def _state_sections(document: IniDocument) -> tuple[IniSection, ...]:
    return tuple(section for section in document.sections if section.name.startswith(_STATE_PREFIX))


def _state_name(section: IniSection) -> str:
    return section.name.removeprefix(_STATE_PREFIX).strip()


def _split_names(text: str) -> list[str]:
    return [name.strip() for name in text.split(",") if name.strip()]
