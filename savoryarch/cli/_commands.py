"""Commands of the program; every argument is passed to them as text."""

import sys
from collections.abc import Callable
from dataclasses import dataclass
from importlib import import_module
from pathlib import Path
from typing import Any
from urllib.parse import quote
from uuid import uuid4

from fire.decorators import SetParseFn

from savoryarch import __version__
from savoryarch.cli._exit_codes import ExitCode
from savoryarch.cli._files import check_files
from savoryarch.cli._http import HttpCall, RequestRunner
from savoryarch.cli._request_steps import (
    apply_steps,
    change_steps,
    format_ini,
    format_json,
    read_steps,
    submit_steps,
    watch_steps,
)
from savoryarch.exceptions import FindingsError
from savoryarch.lifetime import SettingsRefused, begin_start, format_early_ending
from savoryarch.model import ResourceKind, RestoreChoice
from savoryarch.settings import load_settings
from savoryarch.utils import format_findings, format_suggestion

OPERATORS_URL = "http://127.0.0.1:8081"
CALLERS_URL = "http://127.0.0.1:8080"
_TRUE_VALUES = frozenset({"true", "yes", "1"})
_FILE_PREFIX = "@"
_STANDARD_INPUT = "@-"

keep_as_text: Callable[[Callable[..., Any]], Callable[..., Any]] = SetParseFn(str)


def _run_steps(steps: Any) -> int:
    # Importing Twisted's HTTP client takes half a second, which commands on files need not spend.
    return import_module("savoryarch.cli._client").run_steps(steps)


@dataclass(frozen=True, slots=True)
class Console:
    """Input and output of the commands, which tests replace.

    Parameters
    ----------
    run_steps : RequestRunner
        Sends the requests of a command and returns its exit code.
    write : callable
        Writes one text to the standard output.
    write_error : callable
        Writes one text to the standard error output.
    """

    run_steps: RequestRunner = _run_steps
    write: Callable[[str], None] = print
    write_error: Callable[[str], None] = lambda text: print(text, file=sys.stderr)


class Commands:
    """Commands of the program; fire makes each public method a command.

    Their docstrings are the help texts. Each command returns its exit code.

    Parameters
    ----------
    console : Console, optional
        Input and output of the commands.
    """

    def __init__(self, console: Console | None = None) -> None:
        self._console = console or Console()

    @keep_as_text
    def serve(self, settings: str) -> int:
        """Run one entry instance until it is stopped.

        Parameters
        ----------
        settings
            Path of the settings file, INI.
        """
        steps = begin_start()
        try:
            loaded_settings = load_settings(settings)
        except FindingsError as error:
            self._console.write_error(str(error))
            self._console.write_error(format_early_ending(SettingsRefused(str(error))))
            return ExitCode.REFUSED
        steps.end("settings")
        entry = import_module("savoryarch.entry")
        steps.end("imports")
        return entry.leave_process(entry.run_entry(loaded_settings, settings, steps))

    @keep_as_text
    def check(self, *files: str) -> int:
        """Check settings files and resource files.

        Resources may refer to resources of other files. Writes all findings with file, line and
        dotted path; exits with 1 if there are any.
        """
        if not files:
            return self._report_usage_error("check needs at least one file")
        checked = check_files(files)
        if checked.findings:
            self._console.write_error(format_findings(checked.findings))
            self._console.write_error(f"{len(checked.findings)} findings")
            return ExitCode.REFUSED
        self._console.write(
            f"{len(files)} files, {checked.settings_count} with settings, "
            f"{len(checked.resources)} resources: no findings"
        )
        return ExitCode.OK

    @keep_as_text
    def apply(
        self,
        *files: str,
        operators: str = OPERATORS_URL,
        prune: str = "no",
        change_id: str = "",
    ) -> int:
        """Apply the resources of one or more files as one change.

        Parameters
        ----------
        operators
            URL of the operators' API of any instance.
        prune
            Also delete all resources that the files do not declare.
        change_id
            Id of this change; a change that is sent again with its id gets the same outcome.
        """
        if not files:
            return self._report_usage_error("apply needs at least one file")
        checked = check_files(files)
        if checked.findings:
            self._console.write_error(format_findings(checked.findings))
            return ExitCode.REFUSED
        resources = [item.resource for item in checked.resources]
        if not resources:
            return self._report_usage_error("the files declare no resource")
        steps = apply_steps(
            operators, resources, _is_true(prune), change_id or uuid4().hex, self._console.write
        )
        return self._console.run_steps(steps)

    @keep_as_text
    def get(
        self, kind: str, name: str = "", operators: str = OPERATORS_URL, output: str = "json"
    ) -> int:
        """Write one resource, or all of a kind, as in force on an instance.

        Parameters
        ----------
        kind
            service, search, route or caller.
        name
            Name of the resource; without it, all resources of the kind are written.
        operators
            URL of the operators' API of any instance.
        output
            json, or ini for text that 'apply' accepts.
        """
        kinds = tuple(item.value for item in ResourceKind)
        if kind not in kinds:
            return self._report_usage_error(
                f"kind {kind!r} is unknown{format_suggestion(kind, kinds)}; "
                f"kinds are {', '.join(kinds)}"
            )
        if output not in ("json", "ini"):
            return self._report_usage_error(f"got --output {output!r}, expected json or ini")
        path = f"/v1/resources/{kind}" + (f"/{quote(name, safe='')}" if name else "")
        format_value = format_ini if output == "ini" else format_json
        return self._console.run_steps(
            read_steps(operators, path, self._console.write, format_value)
        )

    @keep_as_text
    def delete(
        self, kind: str, name: str, operators: str = OPERATORS_URL, expected_revision: str = ""
    ) -> int:
        """Delete one resource.

        Parameters
        ----------
        kind
            service, search, route or caller.
        name
            Name of the resource.
        operators
            URL of the operators' API of any instance.
        expected_revision
            Delete the resource only if it has this revision.
        """
        query = f"?expected_revision={quote(expected_revision)}" if expected_revision else ""
        url = f"{operators}/v1/resources/{quote(kind, safe='')}/{quote(name, safe='')}{query}"
        return self._console.run_steps(change_steps(HttpCall("DELETE", url), self._console.write))

    @keep_as_text
    def watch(self, since: str = "0", count: str = "0", operators: str = OPERATORS_URL) -> int:
        """Write each change of a resource as a line of JSON.

        Parameters
        ----------
        since
            Generation after which changes are written.
        count
            Exit after this many changes; 0 continues until the command is stopped.
        operators
            URL of the operators' API of any instance.
        """
        if not (since.isdigit() and count.isdigit()):
            return self._report_usage_error("--since and --count take whole numbers")
        steps = watch_steps(operators, int(since), int(count), self._console.write)
        return self._console.run_steps(steps)

    @keep_as_text
    def status(self, operators: str = OPERATORS_URL) -> int:
        """Write the generation in force on each instance, and its last contact."""
        return self._console.run_steps(read_steps(operators, "/v1/status", self._console.write))

    @keep_as_text
    def notices(self, operators: str = OPERATORS_URL) -> int:
        """Write the open notices: problems that need a decision, and the choices."""
        return self._console.run_steps(read_steps(operators, "/v1/notices", self._console.write))

    @keep_as_text
    def restore(self, choice: str, operators: str = OPERATORS_URL) -> int:
        """Decide which configuration applies after a restore of the store.

        Parameters
        ----------
        choice
            keep-in-force for the configuration that the instances use, or take-stored for the
            older one in the store.
        operators
            URL of the operators' API of any instance.
        """
        choices = tuple(item.value for item in RestoreChoice)
        if choice not in choices:
            return self._report_usage_error(f"got {choice!r}, expected one of {', '.join(choices)}")
        call = HttpCall("POST", f"{operators}/v1/restore", b'{"choice": "%s"}' % choice.encode())
        return self._console.run_steps(change_steps(call, self._console.write))

    @keep_as_text
    def query(
        self, search: str, query: str = "{}", callers: str = CALLERS_URL, caller: str = ""
    ) -> int:
        """Send one search, like a caller, and write its outcome.

        Parameters
        ----------
        search
            Name of the declared search.
        query
            The query, JSON; '@FILE' reads it from a file, '@-' from the standard input.
        callers
            URL of the callers' address of any instance, or of the load balancer.
        caller
            Name of the declared caller.
        """
        headers = (("x-caller", caller),) if caller else ()
        url = f"{callers}/v1/searches/{quote(search, safe='')}"
        call = HttpCall("POST", url, _read_body_argument(query), headers)
        return self._console.run_steps(submit_steps(call, self._console.write))

    @keep_as_text
    def order(
        self,
        route: str,
        body: str = "{}",
        key: str = "",
        callers: str = CALLERS_URL,
        caller: str = "",
    ) -> int:
        """Send one request of a route, like a caller, and write its outcome.

        Parameters
        ----------
        route
            Name of the declared route.
        body
            Body of the request, JSON; '@FILE' reads it from a file, '@-' from the standard input.
        key
            The idempotency key. If the exit code is 4, send the request again with the same key.
        callers
            URL of the callers' address of any instance, or of the load balancer.
        caller
            Name of the declared caller.
        """
        headers = tuple(
            (name, value)
            for name, value in (("idempotency-key", key), ("x-caller", caller))
            if value
        )
        url = f"{callers}/v1/routes/{quote(route, safe='')}"
        call = HttpCall("POST", url, _read_body_argument(body), headers)
        return self._console.run_steps(submit_steps(call, self._console.write))

    @keep_as_text
    def replay(self, *traces: str) -> int:
        """Replay recorded traces, and write the effects that differ."""
        if not traces:
            return self._report_usage_error("replay needs at least one trace file")
        return import_module("savoryarch.replay").replay_files(traces, self._console.write)

    @keep_as_text
    def explain(self, request_id: str, *logs: str) -> int:
        """Write the log lines of one request, from log files of several instances.

        For each instance, its last log lines about its own state and about the targets of the
        request are added.

        Parameters
        ----------
        request_id
            The client's id of the request.
        """
        if not logs:
            return self._report_usage_error("explain needs at least one log file")
        module = import_module("savoryarch.cli._explain")
        try:
            lines = module.read_logs(logs)
        except FindingsError as error:
            self._console.write_error(str(error))
            return ExitCode.REFUSED
        for text in module.explain_request(request_id, lines):
            self._console.write(text)
        return ExitCode.OK

    def token(self) -> int:
        """Make a random token for an operator, and its hash for the settings file."""
        new_token = import_module("savoryarch.api").make_token()
        self._console.write(f"token = {new_token.token}\ntoken_hash = {new_token.token_hash}")
        return ExitCode.OK

    def version(self) -> int:
        """Write the version of the program."""
        self._console.write(f"savoryarch {__version__}")
        return ExitCode.OK

    def _report_usage_error(self, message: str) -> int:
        self._console.write_error(f"savoryarch: {message}; see savoryarch --help")
        return ExitCode.USAGE


def _read_body_argument(text: str) -> bytes:
    if text == _STANDARD_INPUT:
        return sys.stdin.buffer.read()
    if text.startswith(_FILE_PREFIX):
        return Path(text.removeprefix(_FILE_PREFIX)).read_bytes()
    return text.encode()


def _is_true(text: str) -> bool:
    return text.lower() in _TRUE_VALUES
