"""Commands return the exit code of their outcome, and report errors before they send a request.

Scripts rely on the exit codes. A change whose outcome is unknown must not look refused or accepted,
and it must be sent again with the same id, so that it is applied once.
"""

import pytest

from savoryarch.cli import Console, ExitCode, HttpFailed, HttpReplied, main

SETTINGS = "[instance]\ninstance_id = entry-1\navailability_zone = zone-a\n"
RESOURCES = "[caller portal]\nweight = 2\n"
ACCEPTED = HttpReplied(200, {"outcome": "accepted"})
UNKNOWN = HttpReplied(504, {"outcome": "unknown"})


class ScriptedConsole:
    """Console that returns prepared outcomes, and records the requests and the output."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.calls = []
        self.written = []
        self.errors = []

    def perform(self, steps):
        outcome = None
        while True:
            try:
                self.calls.append(steps.send(outcome))
            except StopIteration as ended:
                return ended.value
            outcome = self.outcomes.pop(0)

    def run(self, *arguments):
        console = Console(self.perform, self.written.append, self.errors.append)
        return main(arguments, console)


@pytest.mark.parametrize(
    ("arguments", "code", "error"),
    [
        (["version"], ExitCode.OK, None),
        (["--help"], ExitCode.OK, None),
        (["apply", "x", "--help"], ExitCode.OK, None),
        ([], ExitCode.USAGE, None),
        (["aply", "x"], ExitCode.USAGE, "command 'aply' is unknown; did you mean 'apply'?"),
        (["apply"], ExitCode.USAGE, "needs at least one file"),
        (["apply", "x", "--prun"], ExitCode.USAGE, "has no option '--prun'; did you mean"),
        (["apply", "x", "--operators"], ExitCode.USAGE, "option '--operators' needs a value"),
        (["status", "a", "b"], ExitCode.USAGE, "status takes at most 1 arguments, got 2"),
        (["get", "serch"], ExitCode.USAGE, "kind 'serch' is unknown; did you mean 'search'?"),
        (["get", "search", "--output", "xml"], ExitCode.USAGE, "expected json or ini"),
        (["watch", "--since", "x"], ExitCode.USAGE, "take whole numbers"),
        (["restore", "both"], ExitCode.USAGE, "expected one of keep-in-force, take-stored"),
        (["check", "absent.ini"], ExitCode.REFUSED, "absent.ini: cannot be read"),
        (["serve", "--settings", "absent.ini"], ExitCode.REFUSED, "cannot be read"),
    ],
)
def test_commands_without_requests_have_their_exit_code(arguments, code, error):
    console = ScriptedConsole()
    assert console.run(*arguments) == code
    assert not console.calls
    assert error is None or error in "\n".join(console.errors)


@pytest.mark.parametrize(
    ("texts", "code", "findings"),
    [
        ([SETTINGS, RESOURCES], ExitCode.OK, []),
        ([SETTINGS + "[log]\nlevle = x"], ExitCode.REFUSED, ["0.ini:5 log.levle: key 'levle' is"]),
        (
            ["[route r]\nservice = x\ndeadline_ms = 5", "[caller b]\nweight = 0"],
            ExitCode.REFUSED,
            ["1.ini:2 caller.b.weight: got 0"],
        ),
        (
            [RESOURCES, "[route r]\nservice = x\ndeadline_ms = 5"],
            ExitCode.REFUSED,
            ["1.ini:2 route.r.service: got service 'x', which does not exist"],
        ),
        ([RESOURCES, RESOURCES], ExitCode.REFUSED, ["0.ini:1 caller.portal: is declared again"]),
    ],
)
def test_check_reports_findings_of_all_files(tmp_path, monkeypatch, texts, code, findings):
    monkeypatch.chdir(tmp_path)
    for number, text in enumerate(texts):
        (tmp_path / f"{number}.ini").write_text(text)
    console = ScriptedConsole()
    assert console.run("check", *(f"{number}.ini" for number in range(len(texts)))) == code
    lines = console.errors[0].split("\n") if findings else []
    assert [line[: len(start)] for line, start in zip(lines, findings, strict=True)] == findings


@pytest.mark.parametrize(
    ("outcomes", "code", "calls"),
    [
        ([ACCEPTED], ExitCode.OK, 1),
        ([UNKNOWN, ACCEPTED], ExitCode.OK, 2),
        ([HttpFailed("reset", True), ACCEPTED], ExitCode.OK, 2),
        ([UNKNOWN] * 5, ExitCode.UNKNOWN, 5),
        ([HttpFailed("refused", False)], ExitCode.UNAVAILABLE, 1),
        ([HttpReplied(409, {})], ExitCode.REFUSED, 1),
        ([HttpReplied(503, {})], ExitCode.UNAVAILABLE, 1),
    ],
)
def test_apply_sends_a_change_with_an_unknown_outcome_again(tmp_path, outcomes, code, calls):
    path = tmp_path / "resources.ini"
    path.write_text(RESOURCES)
    console = ScriptedConsole(*outcomes)
    assert console.run("apply", str(path)) == code
    assert len(console.calls) == calls
    assert len({call.body for call in console.calls}) == 1


def test_prune_deletes_resources_that_are_not_declared(tmp_path):
    path = tmp_path / "resources.ini"
    path.write_text(RESOURCES)
    old = {"kind": "caller", "name": "old"}
    empty = HttpReplied(200, {"items": []})
    # The resources are listed by kind, and callers are the last kind.
    console = ScriptedConsole(empty, empty, empty, HttpReplied(200, {"items": [old]}), ACCEPTED)
    assert console.run("apply", str(path), "--prune") == ExitCode.OK
    assert b'{"delete":{"kind":"caller","name":"old"}}' in console.calls[-1].body


@pytest.mark.parametrize(
    ("arguments", "url"),
    [
        (["get", "caller", "007"], "http://127.0.0.1:8081/v1/resources/caller/007"),
        (["get", "caller", "1e5"], "http://127.0.0.1:8081/v1/resources/caller/1e5"),
        (["get", "caller", "None"], "http://127.0.0.1:8081/v1/resources/caller/None"),
        (["query", "[1]", "--caller", "0x1"], "http://127.0.0.1:8080/v1/searches/%5B1%5D"),
        (["order", "o", "--key", "1e5"], "http://127.0.0.1:8080/v1/routes/o"),
        (["delete", "caller", "a/b"], "http://127.0.0.1:8081/v1/resources/caller/a%2Fb"),
    ],
)
def test_arguments_that_look_like_python_literals_remain_text(arguments, url):
    console = ScriptedConsole(ACCEPTED)
    assert console.run(*arguments) == ExitCode.OK
    assert console.calls[0].url == url
    headers = {value for _, value in console.calls[0].headers}
    assert headers <= {"0x1", "1e5"}


@pytest.mark.parametrize(
    ("outcome", "code"),
    [
        (HttpReplied(200, {"outcome": "answered"}), ExitCode.OK),
        (HttpReplied(404, {"outcome": "refused"}), ExitCode.REFUSED),
        (HttpReplied(503, {"outcome": "refused"}), ExitCode.UNAVAILABLE),
        (HttpReplied(504, {"outcome": "unknown"}), ExitCode.UNKNOWN),
        (HttpFailed("reset", True), ExitCode.UNKNOWN),
        (HttpFailed("refused", False), ExitCode.UNAVAILABLE),
    ],
)
def test_outcomes_of_an_order_have_their_exit_code(outcome, code):
    assert ScriptedConsole(outcome).run("order", "o", "--key", "k1") == code


def test_watch_resumes_after_the_last_generation():
    changes = [{"type": "delete", "kind": "caller", "name": name} for name in ("a", "b")]
    console = ScriptedConsole(
        HttpReplied(200, {"generation": 3, "changes": changes[:1]}),
        HttpReplied(200, {"generation": 3, "changes": []}),
        HttpReplied(200, {"generation": 4, "changes": changes[1:]}),
    )
    assert console.run("watch", "--since", "2", "--count", "2") == ExitCode.OK
    assert [call.url.split("?")[1].split("&")[0] for call in console.calls] == [
        "since=2",
        "since=3",
        "since=3",
    ]
