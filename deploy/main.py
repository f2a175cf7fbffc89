"""Entry point on the platform; the build copies it beside the package and compiles both.

The machines have a read-only checkout, on which a start could not store compiled modules.
"""

import gc
import signal
import sys

# The program reloads its settings on SIGHUP. Before it has set its handler, the default action
# would end the process, so that the signal is ignored until then.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# Imported modules are never garbage; collections during the import take a tenth of the start time.
gc.disable()

from savoryarch.cli import main  # noqa: E402

sys.exit(main())
