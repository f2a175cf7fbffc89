"""Entry point on the platform; the build copies it beside the package and compiles both.

The machines have a read-only checkout, on which a start could not store compiled modules.

    main.py serve --settings FILE    run an entry instance
    main.py store-class-code         called by the build; see `class_code`
"""

import _signal  # the module `signal` loads others first, which takes as long as the interpreter

# Signals wait until they have handlers, as their default action would end the process. SIGHUP,
# which requests to reload the settings, is ignored until the settings are loaded.
_signal.pthread_sigmask(_signal.SIG_BLOCK, (_signal.SIGHUP, _signal.SIGTERM, _signal.SIGINT))
_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import gc  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402

# A build may replace the links to the program and its dependencies while this process loads them.
sys.path = [os.path.realpath(path) for path in sys.path]

# Imported modules are never garbage; collections during the import take a tenth of the start time.
gc.disable()

from savoryarch._first_steps import prepare_process  # noqa: E402

prepare_process()

from class_code import store_code, use_stored_code  # noqa: E402

compiled = use_stored_code()

from savoryarch.lifetime import (  # noqa: E402
    SettingsRefused,
    UsageError,
    begin_start,
    format_early_ending,
    report_uncaught_exceptions,
)

report_uncaught_exceptions()
steps = begin_start()

from savoryarch.entry import leave_process, run_entry  # noqa: E402
from savoryarch.exceptions import FindingsError  # noqa: E402
from savoryarch.settings import await_settings  # noqa: E402

steps.end("imports")

# The exit codes of the command line, whose module would load its library.
REFUSED_EXIT_CODE, USAGE_EXIT_CODE = 1, 2
SETTINGS_TIMEOUT_MS = 10_000.0  # the platform may place the file while the process starts


def report_wait(error: FindingsError) -> None:
    """Write a log line about settings that are not there yet."""
    findings = str(error).replace('"', "'").replace("\n", "; ")
    print(f'event=settings_awaited findings="{findings}"', file=sys.stderr)


def main(arguments: list[str]) -> int:
    """Run the command; the command line's library is not loaded, which would delay each start."""
    match arguments:
        case ["serve", "--settings", path]:
            try:
                settings = await_settings(path, SETTINGS_TIMEOUT_MS, report_wait)
            except FindingsError as error:
                print(error, file=sys.stderr)
                print(format_early_ending(SettingsRefused(str(error))), file=sys.stderr)
                return REFUSED_EXIT_CODE
            steps.end("settings")
            return leave_process(run_entry(settings, path, steps))
        case ["store-class-code"]:
            store_code(compiled)
            return 0
        case _:
            print(__doc__, file=sys.stderr)
            print(format_early_ending(UsageError()), file=sys.stderr)
            return USAGE_EXIT_CODE


sys.exit(main(sys.argv[1:]))
