"""Demonstration of forwarded requests: reads, orders and searches through one instance."""

import signal
import tempfile
from pathlib import Path

from savoryarch_soak._route_table import TOP_RECORDS
from savoryarch_soak._small_deployment import SHARDS, Answer, SmallDeployment, send_request
from savoryarch_standins.forwarded import make_target_body, merge_expected_records, parse_digest

REQUESTS_PER_ROUTE = 20
STOP_TIMEOUT_S = 10.0


def demonstrate_forwarding() -> list[str]:
    """Send reads, orders and searches through an instance, stop it, and return what was wrong."""
    problems: list[str] = []
    with tempfile.TemporaryDirectory(prefix="savoryarch-demo-") as name:
        with SmallDeployment(Path(name)) as deployment:
            entry, connection = deployment.start_entry()
            for number in range(REQUESTS_PER_ROUTE):
                read_name, order_name, search_name = (
                    f"{route}-{number}" for route in ("read", "order", "find")
                )
                problems += _check_reply(
                    read_name, "shop", send_request(connection, "read", read_name)
                )
                problems += _check_reply(
                    order_name, "till", send_request(connection, "order", order_name, "POST")
                )
                problems += check_search_reply(
                    search_name, send_request(connection, "find", search_name)
                )
            connection.close()
            entry.send_signal(signal.SIGTERM)
            exit_code = entry.wait_for_exit(STOP_TIMEOUT_S)
            if exit_code:
                problems.append(
                    f"instance of the forwarded requests: got exit code {exit_code}, expected 0"
                )
    print(
        f"\nforwarded: {REQUESTS_PER_ROUTE} reads, {REQUESTS_PER_ROUTE} orders and "
        f"{REQUESTS_PER_ROUTE} searches for the greatest {TOP_RECORDS} records of "
        f"{len(SHARDS)} shards, {len(problems)} problems"
    )
    return problems


def _check_reply(name: str, service: str, answer: Answer) -> list[str]:
    if answer.status == 200 and answer.body == make_target_body(service, name):
        return []
    return [f"{name}: got status {answer.status}, expected 200 and the body of this request"]


def check_search_reply(name: str, answer: Answer) -> list[str]:
    """Return what is wrong with the answer to a search that ran without faults.

    Without faults the answer has the parts of all shards and the greatest of their records.
    """
    services = {parse_digest(digest).service for digest in answer.digests}
    if answer.status != 200 or services != set(SHARDS):
        return [
            f"{name}: got status {answer.status} and parts of {sorted(services)},"
            " expected status 200 and parts of all shards"
        ]
    if answer.body != merge_expected_records(SHARDS, name, TOP_RECORDS):
        return [f"{name}: got other records than the greatest ones of all shards"]
    return []
