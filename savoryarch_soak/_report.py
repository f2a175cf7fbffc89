"""Report of a soak: the printed table, the JSON file and the plot."""

from collections import Counter
from pathlib import Path

import matplotlib
import msgspec

from savoryarch_soak._checks import CheckResult
from savoryarch_soak._faults import fault_name
from savoryarch_soak._journal import Exchange, Journal
from savoryarch_soak._plan import SoakPlan

matplotlib.use("Agg")
MAX_SHOWN_VIOLATIONS = 3  # per promise
_SIZE_INCHES = (11, 6)
_COLOURS = {"answered": "tab:green", "refused": "tab:orange", "failed": "tab:red"}


def classify_outcome(exchange: Exchange) -> str:
    """Return ``answered``, ``refused`` or ``failed``."""
    match exchange:
        case Exchange(status=200):
            return "answered"
        case Exchange(status=503) | Exchange(failure="refused"):
            return "refused"
        case _:
            return "failed"


def format_report(plan: SoakPlan, journal: Journal, results: tuple[CheckResult, ...]) -> str:
    """Return the counts of faults and requests, and the result of each check, as text."""
    faults = Counter(fault_name(item.fault) for item in journal.injected)
    outcomes = Counter(f"{item.route} {item.status or item.failure}" for item in journal.exchanges)
    lines = [f"seed {plan.seed}: {plan.length_ms / 1000.0:.0f} s, {plan.instances} instances", ""]
    lines += _format_counts("fault", faults) + [""] + _format_counts("request", outcomes) + [""]
    for result in results:
        verdict = f"{len(result.violations)} BROKEN" if result.violations else "held"
        lines.append(f"{result.promise:42}{result.count:8}  {verdict}")
        lines += [f"    {item.detail}" for item in result.violations[:MAX_SHOWN_VIOLATIONS]]
    return "\n".join(lines)


def _format_counts(title: str, counts: Counter[str]) -> list[str]:
    header = [f"{title:42}   count"]
    return header + [f"{name:42}{count:8}" for name, count in sorted(counts.items())]


def write_json(
    plan: SoakPlan, results: tuple[CheckResult, ...], journal: Journal, path: Path
) -> None:
    """Write the plan, the results of the checks and the journal as JSON."""
    report = {"plan": plan, "checked": results, "journal": journal}
    path.write_bytes(msgspec.json.encode(report, enc_hook=str))


def plot_run(plan: SoakPlan, journal: Journal, path: Path) -> None:
    """Write a PNG file of latencies and outcomes over time, with the faults shaded."""
    from matplotlib import pyplot

    figure, (latency, outcomes) = pyplot.subplots(2, 1, figsize=_SIZE_INCHES, sharex=True)
    for name, colour in _COLOURS.items():
        exchanges = [item for item in journal.exchanges if classify_outcome(item) == name]
        sent_at_s = [(item.sent_at_ms - journal.began_at_ms) / 1000.0 for item in exchanges]
        latencies_ms = [max(0.1, item.ended_at_ms - item.sent_at_ms) for item in exchanges]
        latency.scatter(sent_at_s, latencies_ms, s=4, color=colour, label=name)
        outcomes.hist(
            sent_at_s, bins=int(plan.length_ms / 500.0), histtype="step", color=colour, label=name
        )
    for item in journal.injected:
        for axes in (latency, outcomes):
            from_s = (item.from_ms - journal.began_at_ms) / 1000.0
            to_s = (item.to_ms - journal.began_at_ms) / 1000.0
            axes.axvspan(from_s, to_s, color="grey", alpha=0.08)
    latency.set(yscale="log", ylabel="latency, ms", title=f"seed {plan.seed}")
    outcomes.set(xlabel="time, s; grey: faults", ylabel="requests per 0.5 s")
    outcomes.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
