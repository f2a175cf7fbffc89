"""Command that runs a soak: ``python -m savoryarch_soak --seed N --seconds S --instances K``."""

import sys
import tempfile
from pathlib import Path
from typing import Any

from fire import Fire
from twisted.internet import reactor as default_reactor
from twisted.python.failure import Failure

from savoryarch.utils import make_monotonic_clock, set_reactor_clock
from savoryarch_soak._checks import check_journal
from savoryarch_soak._journal import Journal
from savoryarch_soak._plan import RECOVERY_MS, WARM_UP_MS, draw_plan
from savoryarch_soak._report import format_report, plot_run, write_json
from savoryarch_soak._run import SoakRun

reactor: Any = default_reactor


def soak(
    seed: int = 1,
    seconds: float = 20.0,
    instances: int = 4,
    requests_per_s: float = 60.0,
    minutes: float = 0.0,
    out: str = "",
    show_plan: bool = False,
) -> None:
    """Run the schedule of one seed; exits with status 1 if a promise was broken.

    Parameters
    ----------
    seed : int
        Seed of the schedule of faults.
    seconds, minutes : float
        Length of the run; `minutes` overrides `seconds` unless it is 0.
    instances : int
        Number of entry instances.
    requests_per_s : float
        Rate at which clients send requests, over all instances.
    out : str
        Folder for the logs, the JSON report and the plot. If it is empty, the logs go to a
        temporary folder, and neither report nor plot is written.
    show_plan : bool
        Whether to print the schedule before the run.
    """
    length_s = minutes * 60.0 or seconds
    min_length_s = (WARM_UP_MS + RECOVERY_MS) / 1000.0
    if length_s <= min_length_s:
        sys.exit(f"--seconds: got {length_s:g}, expected more than {min_length_s:g}")
    plan = draw_plan(seed, length_s, instances, requests_per_s)
    if show_plan:
        print("\n".join(map(str, plan.faults)))
    with tempfile.TemporaryDirectory(prefix="savoryarch-soak-") as temporary:
        folder = Path(out or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        journal = _run_until_done(SoakRun(plan, folder, reactor, make_monotonic_clock()))
        results = check_journal(journal)
        print(format_report(plan, journal, results), flush=True)
        if out:
            write_json(plan, results, journal, folder / "report.json")
            plot_run(plan, journal, folder / "report.png")
    sys.exit(1 if any(result.violations for result in results) else 0)


def _run_until_done(run: SoakRun) -> Journal:
    """Run the reactor until the soak has ended, and return its journal or raise its error."""
    set_reactor_clock(reactor, make_monotonic_clock())
    results: list[Journal | Failure] = []

    def stop(result: Journal | Failure) -> None:
        results.append(result)
        reactor.stop()

    reactor.callWhenRunning(lambda: run.run().addBoth(stop))
    reactor.run()
    if not results:
        sys.exit("interrupted")
    if isinstance(results[0], Failure):
        results[0].raiseException()
    assert isinstance(results[0], Journal)
    return results[0]


if __name__ == "__main__":
    Fire(soak)
