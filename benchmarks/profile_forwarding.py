"""Where an entry instance spends its processor time on searches: ``make profile``.

A real instance samples its own stack while searches to ten shards are sent to it. Prints the
functions with the largest own and total shares.
"""

import argparse
import json
import signal
import tempfile
from pathlib import Path

from savoryarch_soak._small_deployment import SmallDeployment, send_request

SHOWN_FUNCTIONS = 45
EXIT_TIMEOUT_S = 20.0


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--queries", type=int, default=1000)
    parser.add_argument("--route", default="find")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="savoryarch-profile-") as name:
        samples_path = Path(name) / "samples.json"
        with SmallDeployment(Path(name)) as deployment:
            entry, connection = deployment.start_entry(
                program=("benchmarks._profiled_entry", str(samples_path))
            )
            for number in range(options.queries):
                send_request(connection, options.route, f"q{number}")
            connection.close()
            entry.send_signal(signal.SIGTERM)
            entry.wait_for_exit(EXIT_TIMEOUT_S)
            samples = json.loads(samples_path.read_text(encoding="utf-8"))
    count = sum(samples["own"].values())
    for kind in ("own", "total"):
        print(f"\n{kind} share of {count} samples")
        rows = sorted(samples[kind].items(), key=lambda row: -row[1])
        for function, hits in rows[:SHOWN_FUNCTIONS]:
            print(f"{hits / count:8.1%}  {function}")


if __name__ == "__main__":
    main()
