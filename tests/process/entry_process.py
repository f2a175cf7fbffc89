"""Starts the program with the command and the settings template of the deploy file.

Processes are spawned without a shell or a wrapper, so that a signal can reach them at any age.
"""

import os
import re
import shutil
import signal
import subprocess
import sys
import sysconfig
import time
import tomllib
from contextlib import suppress
from dataclasses import dataclass
from http.client import HTTPConnection
from pathlib import Path

from savoryarch_soak._process import has_run_first_line

ROOT = Path(__file__).parents[2]
SETTINGS_WORD = "/etc/savoryarch/boot.toml"
ADDRESS_NAMES = ("front", "ready", "peers", "metrics")
GRACE_S = 6.0  # from the first SIGTERM until the platform kills a process
READY_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.02
HTTP_TIMEOUT_S = 2.0
OK = 200


@dataclass(frozen=True, slots=True)
class DeployedProgram:
    """A build of the program, and the command that runs it.

    Parameters
    ----------
    folder : Path
        Folder in place of the root of the repository.
    words : tuple of str
        The command of the deploy file.
    template : str
        Template of its settings.
    """

    folder: Path
    words: tuple[str, ...]
    template: str

    def make_command(self, settings_path):
        """Return the command with this interpreter and absolute paths."""
        paths = {"python3": sys.executable, SETTINGS_WORD: str(settings_path)}
        return [
            paths.get(word) or (str(self.folder / word) if word.startswith("target/") else word)
            for word in self.words
        ]

    def make_environment(self):
        """Return the environment that the platform gives to a process."""
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        return {**kept, "PYTHONPATH": str(self.folder / "target/deps")}


def build_program(folder):
    """Build the program as the deploy file does, with the dependencies of this environment."""
    (role,) = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"].values()
    words = tuple(role["run"].split())
    app, dependencies = folder / "target/app", folder / "target/deps"
    ignored = shutil.ignore_patterns("__pycache__", "tests")
    shutil.copytree(ROOT / "savoryarch", app / "savoryarch", ignore=ignored)
    for name in ("main.py", "class_code.py"):
        shutil.copy(ROOT / "deploy" / name, app)
    dependencies.symlink_to(sysconfig.get_paths()["purelib"])
    program = DeployedProgram(folder, words, (ROOT / role["template"]).read_text())
    environment = program.make_environment()
    for arguments in ([str(app / "main.py"), "store-class-code"], ["-m", "compileall", "-q", app]):
        subprocess.run([sys.executable, *arguments], env=environment, check=True)
    return program


def render_template(template, fields):
    """Fill in the subset of the template language that the template of the settings uses.

    Parameters
    ----------
    template : str
        The template.
    fields : dict of str to str
        Values by dotted name; sections of other names are left out.
    """
    text = re.sub(
        r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}",
        lambda match: match[2] if match[1] in fields else "",
        template,
        flags=re.DOTALL,
    )
    return re.sub(r"\{\{([^}]+)\}\}", lambda match: str(fields[match[1]]), text)


def render_settings(program, name, addresses, store, balancer_lag_ms=300):
    """Return the settings of an instance.

    Parameters
    ----------
    program : DeployedProgram
        The program.
    name : str
        Name of the instance.
    addresses : tuple of Address
        Its addresses in the order of `ADDRESS_NAMES`.
    store : Address
        Address of the store.
    balancer_lag_ms : int
        Time that a stop without open requests lasts, in place of that of the template.
    """
    front, ready, peers, metrics = addresses
    fields = {
        "node-name": name,
        "zone": "zone-a",
        "ip": front.host,
        "listen.front": front,
        "listen.ready": ready,
        "internal-ports.0": peers.port,
        "internal-ports.1": metrics.port,
        "limits.memory-mb": 560,
        "platform.address": store,
        "bounds.grace-s": GRACE_S,
        "bounds.budget-ratio": 0.2,
        "bounds.retry-extra": 58,
        "bounds.budget-window-s": 10,
    }
    text = render_template(program.template, fields)
    return re.sub(r"balancer_lag_ms = \d+", f"balancer_lag_ms = {balancer_lag_ms}", text)


class EntryProcess:
    """A process of the program.

    Parameters
    ----------
    program : DeployedProgram
        The program.
    settings_path : Path
        Path of its settings.
    addresses : tuple of Address
        Its addresses in the order of `ADDRESS_NAMES`.
    output : int or None
        Descriptor for its standard output and standard error. Without it, both go to a file beside
        the settings.
    closed : tuple of int
        Descriptors that are closed in the process.

    Attributes
    ----------
    sent : list of tuple of (signal.Signals, bool)
        Each signal that was sent, and whether the first line of the program had run before.
    exit_code : int or None
        Exit code, or the negative number of the signal that ended the process; None while it runs.
    """

    def __init__(self, program, settings_path, addresses, output=None, closed=()):
        self.addresses = dict(zip(ADDRESS_NAMES, addresses, strict=True))
        self.sent = []
        self.exit_code = None
        self._ran_program = False
        self.log_path = settings_path.with_suffix(".log")
        command = program.make_command(settings_path)
        with self.log_path.open("ab") as log:
            descriptor = log.fileno() if output is None else output
            actions = [
                (os.POSIX_SPAWN_OPEN, 0, os.devnull, os.O_RDONLY, 0),
                (os.POSIX_SPAWN_DUP2, descriptor, 1),
                (os.POSIX_SPAWN_DUP2, descriptor, 2),
                *((os.POSIX_SPAWN_CLOSE, number) for number in closed),
            ]
            self.started_at_s = time.monotonic()
            # A shell may have started this process with ignored signals, which are inherited.
            self.pid = os.posix_spawn(
                command[0],
                command,
                program.make_environment(),
                file_actions=actions,
                setsigdef=[signal.SIGHUP, signal.SIGINT, signal.SIGTERM],
            )

    def __enter__(self):
        return self

    def __exit__(self, *error):
        if self.is_running():
            os.kill(self.pid, signal.SIGKILL)
            self.wait_for_exit()

    def age_s(self):
        """Return the time since the start of the process."""
        return time.monotonic() - self.started_at_s

    def sleep_until_age(self, age_ms):
        """Sleep until the process is this old."""
        time.sleep(max(0.0, age_ms / 1000.0 - self.age_s()))

    def runs_program(self):
        """Return whether the first line of the program has run."""
        self._ran_program = self._ran_program or has_run_first_line(self.pid)
        return self._ran_program

    def wait_until_program_runs(self):
        """Wait without a pause until the first line of the program has run."""
        while not self.runs_program() and self.is_running():
            pass

    def send(self, number):
        """Send a signal unless the process has ended, and record it."""
        runs_program = self.runs_program()
        if self.is_running():
            os.kill(self.pid, number)
            self.sent.append((number, runs_program))

    def is_running(self):
        """Return whether the process has not ended."""
        if self.exit_code is None:
            pid, status = os.waitpid(self.pid, os.WNOHANG)
            if pid:
                self.exit_code = os.waitstatus_to_exitcode(status)
        return self.exit_code is None

    def wait_for_exit(self, timeout_s=2 * GRACE_S):
        """Wait until the process has ended, and return its `exit_code`.

        Raises
        ------
        TimeoutError
            If it still runs after this time.
        """
        deadline_s = time.monotonic() + timeout_s
        while self.is_running():
            if time.monotonic() > deadline_s:
                raise TimeoutError(f"runs {timeout_s} s after it was to end:\n{self.read_log()}")
            time.sleep(POLL_INTERVAL_S)
        return self.exit_code

    def is_ready(self):
        """Return whether the page for readiness has status 200."""
        address = self.addresses["ready"]
        connection = HTTPConnection(address.host, address.port, timeout=HTTP_TIMEOUT_S)
        with suppress(OSError):
            connection.request("GET", "/ready")
            return connection.getresponse().status == OK
        return False

    def wait_until_ready(self, timeout_s=READY_TIMEOUT_S):
        """Wait until the process is ready or has ended; return whether it is ready.

        Raises
        ------
        TimeoutError
            If neither has happened after this time.
        """
        deadline_s = time.monotonic() + timeout_s
        while self.is_running():
            if self.is_ready():
                return True
            if time.monotonic() > deadline_s:
                raise TimeoutError(f"not ready within {timeout_s} s:\n{self.read_log()}")
            time.sleep(POLL_INTERVAL_S)
        return False

    def read_processor_time_s(self):
        """Return the processor time of all threads."""
        tasks = Path(f"/proc/{self.pid}/task").glob("*/schedstat")
        return sum(int(path.read_text().split()[0]) for path in tasks) / 1e9

    def read_log(self, length=2000):
        """Return the end of the output."""
        return self.log_path.read_text(errors="replace")[-length:]
