"""HTTP client of the command line, based on treq."""

import os
import sys
from collections.abc import Generator
from typing import Any

from msgspec import DecodeError, json
from treq import content, request
from twisted.internet.defer import inlineCallbacks
from twisted.internet.error import ConnectError
from twisted.internet.task import react

from savoryarch.cli._http import HttpCall, HttpFailed, HttpOutcome, HttpReplied, RequestSteps

TOKEN_VARIABLE = "SAVORYARCH_TOKEN"


def run_steps(steps: RequestSteps) -> int:
    """Run the steps of a command in a reactor.

    Parameters
    ----------
    steps : RequestSteps
        Generator that yields requests and gets their outcomes. They are sent one after the other.

    Returns
    -------
    exit_code : int
        Exit code that the generator returns; 1 if an error ended it.
    """
    exit_codes: list[int] = []

    @inlineCallbacks
    def run(reactor: object) -> Generator[Any, Any, None]:
        outcome: Any = None
        while True:
            try:
                call = steps.send(outcome)
            except StopIteration as stop:
                exit_codes.append(stop.value)
                return
            outcome = yield _send_request(call)

    # `react` raises SystemExit when `run` has ended; its code is not 0 if `run` has failed.
    try:
        react(run)
    except SystemExit as error:
        if not exit_codes:
            print(f"savoryarch: {error}", file=sys.stderr)
    return exit_codes[0] if exit_codes else 1


@inlineCallbacks
def _send_request(call: HttpCall) -> Generator[Any, Any, HttpOutcome]:
    headers: dict[Any, Any] = dict(call.headers)
    token = os.environ.get(TOKEN_VARIABLE)
    if token:
        headers["authorization"] = f"Bearer {token}"
    try:
        reply = yield request(
            call.method, call.url, data=call.body, headers=headers, timeout=call.timeout_s
        )
        body = yield content(reply)
    except ConnectError as error:
        return HttpFailed(f"cannot connect to {call.url}: {error}", may_have_arrived=False)
    except Exception as error:  # noqa: BLE001
        # The request may have been sent before any other error, such as a timeout.
        detail = str(error) or type(error).__name__
        return HttpFailed(f"no reply from {call.url}: {detail}", may_have_arrived=True)
    try:
        return HttpReplied(reply.code, json.decode(body))
    except (DecodeError, UnicodeDecodeError):
        return HttpReplied(reply.code, body.decode("utf-8", "replace"))
