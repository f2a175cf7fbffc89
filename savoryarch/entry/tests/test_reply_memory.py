"""Incomplete replies of all targets together hold no more than their share of the memory."""

import pytest

from savoryarch.entry._reply_memory import ReplyMemory, make_reply_memory


class Holder:
    def __init__(self, name):
        self.name = name
        self.failures = []

    def fail_reply(self, detail):
        self.failures.append(detail)


@pytest.mark.parametrize(
    ("updates", "closed", "held_bytes"),
    [
        ([("a", 400), ("b", 500)], [], 900),
        ([("a", 400), ("a", 700), ("a", 0)], [], 0),
        ([("a", 700), ("b", 400)], ["a"], 400),
        ([("a", 700), ("b", 200), ("c", 150)], ["a"], 350),
        # The short reply of a sound target survives beside those that grow without end.
        ([("good", 10), ("a", 600), ("b", 500), ("c", 600)], ["a", "c"], 510),
        ([("a", 2000)], ["a"], 0),
    ],
)
def test_the_largest_reply_is_closed_above_the_limit(updates, closed, held_bytes):
    holders = {name: Holder(name) for name, _ in updates}
    memory = ReplyMemory(1000)
    for name, size in updates:
        memory.update(holders[name], size)
    assert [name for name, holder in holders.items() if holder.failures] == closed
    assert memory.held_bytes == held_bytes


@pytest.mark.parametrize(("memory_mb", "fits_mb"), [(430.0, 80), (0.0, 60)])
def test_the_limit_is_a_share_of_the_memory_of_the_process(memory_mb, fits_mb):
    memory, holder = make_reply_memory(memory_mb), Holder("a")
    memory.update(holder, fits_mb * 1_000_000)
    assert not holder.failures
    memory.update(holder, 2 * fits_mb * 1_000_000)
    assert holder.failures
