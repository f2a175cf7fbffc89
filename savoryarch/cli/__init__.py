"""Command line of the program ``savoryarch``."""

from savoryarch.cli._commands import Commands, Console
from savoryarch.cli._exit_codes import ExitCode
from savoryarch.cli._http import HttpCall, HttpFailed, HttpReplied
from savoryarch.cli._main import check_arguments, main, make_help

__all__ = [
    "Commands",
    "Console",
    "ExitCode",
    "HttpCall",
    "HttpFailed",
    "HttpReplied",
    "check_arguments",
    "main",
    "make_help",
]
