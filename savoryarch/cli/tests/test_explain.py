"""Log lines are parsed as the entry process formats them, and selected for one request.

Guards against values that formatting and parsing quote differently, and against events of other
requests, instances or targets that are shown with the request.
"""

import pytest

from savoryarch.cli import main
from savoryarch.cli._commands import Console
from savoryarch.cli._explain import parse_log_line
from savoryarch.entry._log import format_event

HEAD = "time=2026-12-04T10:00:0{second}.000000 level=INFO {event} instance={instance}"


def line(second, instance, name, **fields):
    event = format_event(name, fields.items())
    return HEAD.format(second=second, event=event, instance=instance)


@pytest.mark.parametrize(
    ("fields", "parsed"),
    [
        ({"a": "1"}, {"a": "1"}),
        ({"detail": "two words"}, {"detail": "two words"}),
        ({"detail": 'say "no"'}, {"detail": 'say "no"'}),
        ({"detail": "a\\b\nc"}, {"detail": "a\\b\nc"}),
        ({"empty": ""}, {"empty": ""}),
    ],
)
def test_formatted_log_lines_are_parsed_to_the_same_fields(fields, parsed):
    assert parse_log_line(line(1, "one", "name", **fields)).fields == parsed


@pytest.mark.parametrize("text", ["", "ready callers=1:2", "time=1 level=INFO nothing", "x" * 9999])
def test_lines_of_other_formats_are_ignored(text):
    assert parse_log_line(text) is None


LOG = [
    line(1, "one", "started", ready="1:2"),
    line(1, "two", "started", ready="1:3"),
    line(2, "one", "table_in_force", version="4"),
    line(3, "one", "target_learned", key="servers/i-7"),
    line(3, "one", "target_learned", key="servers/i-8"),
    line(4, "one", "store_lost", detail="timeout"),
    line(5, "one", "attempt_failed", request="r1", target="i-7@1", reply="connection_lost"),
    line(6, "one", "request_ended", request="r1", outcome="failures"),
    line(7, "one", "table_in_force", version="5"),
    line(8, "two", "request_ended", request="r2", outcome="refusals"),
]


@pytest.mark.parametrize(
    ("request_id", "included", "excluded"),
    [
        ("r1", ["attempt_failed", "failures", "version=4", "store_lost", "i-7"], ["i-8", "=5"]),
        ("r2", ["refusals", "two started"], ["store_lost", "i-7"]),
        ("r3", ["no line names request"], ["started"]),
    ],
)
def test_explain_shows_a_request_and_the_state_before_it(tmp_path, request_id, included, excluded):
    paths = []
    for number in range(2):
        path = tmp_path / f"{number}.log"
        # The lines are divided between two files, so that they have to be merged by time.
        path.write_text("\n".join(LOG[number::2]))
        paths.append(str(path))
    written = []
    assert main(["explain", request_id, *paths], Console(write=written.append)) == 0
    text = "\n".join(written)
    assert [word for word in included if word not in text] == []
    assert [word for word in excluded if word in text] == []


def test_a_file_that_cannot_be_read_is_reported(tmp_path):
    errors = []
    path = str(tmp_path / "absent.log")
    assert main(["explain", "r1", path], Console(write_error=errors.append)) == 1
    assert path in errors[0]
