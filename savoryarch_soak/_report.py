"""What a soak prints and writes at its end."""

from collections import Counter
from pathlib import Path

import matplotlib
import msgspec

from savoryarch_soak._checks import Checked
from savoryarch_soak._faults import describe
from savoryarch_soak._journal import Exchange, Journal
from savoryarch_soak._plan import SoakPlan

matplotlib.use("Agg")
MAX_SHOWN = 3  # violations of one promise
_SIZE_INCHES = (11, 6)
_COLOURS = {"answered": "tab:green", "refused": "tab:orange", "failed": "tab:red"}


def outcome_of(exchange: Exchange) -> str:
    """Return how a request ended, in one word."""
    match exchange:
        case Exchange(status=200):
            return "answered"
        case Exchange(status=503) | Exchange(failure="refused"):
            return "refused"
        case _:
            return "failed"


def format_report(plan: SoakPlan, journal: Journal, checked: tuple[Checked, ...]) -> str:
    """Return the table of a run."""
    faults = Counter(describe(item.fault) for item in journal.injected)
    outcomes = Counter(f"{item.route} {item.status or item.failure}" for item in journal.exchanges)
    lines = [f"seed {plan.seed}: {plan.length_ms / 1000.0:.0f} s, {plan.instances} instances", ""]
    lines += _columns("fault", faults) + [""] + _columns("request", outcomes) + [""]
    for row in checked:
        word = f"{len(row.violations)} BROKEN" if row.violations else "held"
        lines.append(f"{row.promise:42}{row.count:8}  {word}")
        lines += [f"    {item.detail}" for item in row.violations[:MAX_SHOWN]]
    return "\n".join(lines)


def _columns(title: str, counts: Counter[str]) -> list[str]:
    rows = [f"{title:42}   count"]
    return rows + [f"{name:42}{count:8}" for name, count in sorted(counts.items())]


def write_json(plan: SoakPlan, checked: tuple[Checked, ...], journal: Journal, path: Path) -> None:
    """Write the plan, the journal and what was checked."""
    report = {"plan": plan, "checked": checked, "journal": journal}
    path.write_bytes(msgspec.json.encode(report, enc_hook=str))


def plot_run(plan: SoakPlan, journal: Journal, path: Path) -> None:
    """Write a PNG file of latencies and outcomes over time, with the faults marked."""
    from matplotlib import pyplot

    figure, (latency, outcomes) = pyplot.subplots(2, 1, figsize=_SIZE_INCHES, sharex=True)
    for name, colour in _COLOURS.items():
        rows = [item for item in journal.exchanges if outcome_of(item) == name]
        at_s = [(item.sent_at_ms - journal.began_at_ms) / 1000.0 for item in rows]
        took_ms = [max(0.1, item.ended_at_ms - item.sent_at_ms) for item in rows]
        latency.scatter(at_s, took_ms, s=4, color=colour, label=name)
        outcomes.hist(
            at_s, bins=int(plan.length_ms / 500.0), histtype="step", color=colour, label=name
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
