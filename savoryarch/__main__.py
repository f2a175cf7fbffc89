"""Runs the program as ``python -m savoryarch``."""

import _signal  # the module `signal` loads others first, which takes as long as the interpreter

# SIGHUP requests to reload the settings. Its default action would end the process.
_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import sys  # noqa: E402

from savoryarch._first_steps import prepare_process  # noqa: E402

if sys.argv[1:2] == ["serve"]:
    prepare_process()

    from savoryarch.lifetime import report_uncaught_exceptions

    report_uncaught_exceptions()

from savoryarch.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
