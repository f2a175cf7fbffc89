"""The part of the demonstration that sends forwarded requests."""

import signal
import tempfile
from pathlib import Path

from savoryarch_soak._route_table import TOP_RECORDS
from savoryarch_soak._small_deployment import SHARDS, Answer, SmallDeployment, send_request
from savoryarch_standins.forwarded import make_target_body, merge_expected_records, parse_digest

REQUESTS_PER_ROUTE = 20
STOP_TIMEOUT_S = 10.0


def demonstrate_forwarding() -> list[str]:
    """Send reads, orders and searches through an instance; returns what was wrong."""
    problems: list[str] = []
    with tempfile.TemporaryDirectory(prefix="savoryarch-demo-") as name:
        with SmallDeployment(Path(name)) as deployment:
            entry, connection = deployment.start_entry()
            for number in range(REQUESTS_PER_ROUTE):
                read, order, find = (f"{route}-{number}" for route in ("read", "order", "find"))
                problems += _check_reply(read, "shop", send_request(connection, "read", read))
                problems += _check_reply(
                    order, "till", send_request(connection, "order", order, "POST")
                )
                problems += check_search_reply(find, send_request(connection, "find", find))
            connection.close()
            entry.send_signal(signal.SIGTERM)
            exit_code = entry.wait_for_exit(STOP_TIMEOUT_S)
            if exit_code:
                problems.append(f"the instance of forwarded requests ended with {exit_code}")
    print(
        f"\nforwarded: {REQUESTS_PER_ROUTE} reads, {REQUESTS_PER_ROUTE} orders and "
        f"{REQUESTS_PER_ROUTE} searches for the greatest {TOP_RECORDS} records of "
        f"{len(SHARDS)} shards, {len(problems)} problems"
    )
    return problems


def _check_reply(name: str, service: str, answer: Answer) -> list[str]:
    if answer.status == 200 and answer.body == make_target_body(service, name):
        return []
    return [f"{name} got status {answer.status} or another body than its own"]


def check_search_reply(name: str, answer: Answer) -> list[str]:
    """Return what is wrong with the answer to a search that no fault can have touched."""
    services = {parse_digest(digest).service for digest in answer.digests}
    if answer.status != 200 or services != set(SHARDS):
        return [f"{name} got status {answer.status} and parts of {sorted(services)}"]
    if answer.body != merge_expected_records(SHARDS, name, TOP_RECORDS):
        return [f"{name} got other records than the greatest"]
    return []
