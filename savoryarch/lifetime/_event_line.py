"""Format of the events in log lines."""

from collections.abc import Iterable


def format_event(name: str, fields: Iterable[tuple[str, str]]) -> str:
    """Return an event as ``event=NAME key=value ...``.

    Values that are empty or contain white space, quotes or equals signs are quoted.
    """
    return " ".join([f"event={name}", *(f"{key}={_quote(value)}" for key, value in fields)])


def _quote(value: str) -> str:
    text = str(value)
    if text and not any(character in text for character in ' "=\n\r\t'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t") + '"'
