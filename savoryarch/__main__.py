"""Runs the program as ``python -m savoryarch``."""

import _signal  # the module `signal` loads others first, which takes as long as the interpreter

# Signals wait until they have handlers, as their default action would end the process. SIGHUP,
# which requests to reload the settings, is ignored until the settings are loaded.
_signal.pthread_sigmask(_signal.SIG_BLOCK, (_signal.SIGHUP, _signal.SIGTERM, _signal.SIGINT))
_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import sys  # noqa: E402

from savoryarch._first_steps import deliver_signals, prepare_process  # noqa: E402

if sys.argv[1:2] == ["serve"]:
    prepare_process()

    from savoryarch.lifetime import report_uncaught_exceptions

    report_uncaught_exceptions()
else:
    deliver_signals()

from savoryarch.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
