"""Entry point of the program."""

import sys
from collections.abc import Callable, Sequence
from inspect import Parameter, getdoc, getmembers, isroutine, signature

import fire

from savoryarch.cli._commands import Commands, Console
from savoryarch.cli._exit_codes import EXIT_CODE_HELP, ExitCode
from savoryarch.utils import format_suggestion

_HELP_OPTIONS = frozenset({"--help", "-h"})
_HELP_HEADER = """savoryarch: a query tier between callers and many shards.

usage: savoryarch COMMAND [ARGUMENT...] [--OPTION VALUE...]
       savoryarch COMMAND --help

commands:"""
_EXAMPLES = """
examples:
  savoryarch check settings.ini resources.ini
  savoryarch serve --settings settings.ini
  savoryarch apply resources.ini --operators http://127.0.0.1:8081
  savoryarch query counter '{"hinge": "H-12"}' --callers http://127.0.0.1:8080

If the instance requires a token, set SAVORYARCH_TOKEN to the operator's token.
"""


def main(arguments: Sequence[str] | None = None, console: Console | None = None) -> int:
    """Run the command of a command line.

    Parameters
    ----------
    arguments : sequence of str, optional
        Command line without the name of the program; by default that of this process.
    console : Console, optional
        Input and output of the command.

    Returns
    -------
    exit_code : int
        Value of an `ExitCode`.
    """
    words = list(sys.argv[1:] if arguments is None else arguments)
    console = console or Console()
    if not words or words[0] in _HELP_OPTIONS:
        console.write(make_help())
        return ExitCode.OK if words else ExitCode.USAGE
    if words[0] in _commands() and _HELP_OPTIONS & set(words[1:]):
        console.write(make_command_help(words[0]))
        return ExitCode.OK
    if usage_error := check_arguments(words):
        console.write_error(f"savoryarch: {usage_error}; see savoryarch --help")
        return ExitCode.USAGE
    try:
        code = fire.Fire(Commands(console), words, name="savoryarch", serialize=lambda result: None)
    except SystemExit as error:
        return int(error.code or ExitCode.OK)
    except BrokenPipeError:
        return ExitCode.OK
    return int(code)


def make_help() -> str:
    """Return the help text of the program: usage, commands, exit codes and examples."""
    rows = [f"  {name:<10}{_summary(command)}" for name, command in _commands().items()]
    codes = [f"  {code.value}  {meaning}" for code, meaning in EXIT_CODE_HELP]
    return "\n".join([_HELP_HEADER, *rows, "\nexit codes:", *codes]) + "\n" + _EXAMPLES


def make_command_help(name: str) -> str:
    """Return the help text of one command, which is made from its signature and docstring."""
    command = _commands()[name]
    summary, _, parameter_help = (getdoc(command) or "").partition("Parameters\n----------\n")
    words = [f"usage: savoryarch {name}"]
    options: list[str] = []
    for key, item in signature(command).parameters.items():
        if item.kind is Parameter.VAR_POSITIONAL:
            words.append(f"{key.upper()}...")
        elif item.default is Parameter.empty:
            words.append(key.upper())
        else:
            options.append(f"  --{key.replace('_', '-')} (default {item.default!r})")
    if options:
        words.append("[--OPTION VALUE...]")
    parts = [" ".join(words), summary.rstrip()]
    if parameter_help:
        parts.append(parameter_help.rstrip())
    if options:
        parts.append("options:\n" + "\n".join(options))
    return "\n\n".join(parts)


def check_arguments(arguments: Sequence[str]) -> str:
    """Return the first error in a command line, or an empty string if it is valid.

    This check is necessary because fire reports an unknown option only after it has run the
    command.
    """
    commands = _commands()
    name, *rest = arguments
    if name not in commands:
        return f"command {name!r} is unknown{format_suggestion(name, tuple(commands))}"
    parameters = signature(commands[name]).parameters
    takes_files = any(item.kind is Parameter.VAR_POSITIONAL for item in parameters.values())
    options = tuple(
        key for key, item in parameters.items() if item.kind is not Parameter.VAR_POSITIONAL
    )
    positional_count = 0
    words = iter(rest)
    for word in words:
        if not word.startswith("--"):
            positional_count += 1
            continue
        option, has_value, _ = word[2:].partition("=")
        if option.replace("-", "_") not in options:
            known_options = tuple(f"--{item.replace('_', '-')}" for item in options)
            return f"{name} has no option {word!r}{format_suggestion(word, known_options)}"
        if not has_value and option != "prune" and next(words, "--").startswith("--"):
            return f"option {word!r} needs a value"
    if not takes_files and positional_count > len(options):
        return f"{name} takes at most {len(options)} arguments, got {positional_count}"
    return ""


def _commands() -> dict[str, Callable[..., int]]:
    members = getmembers(Commands(), isroutine)
    return {name: member for name, member in members if not name.startswith("_")}


def _summary(command: Callable[..., int]) -> str:
    return (getdoc(command) or "").split("\n")[0]
