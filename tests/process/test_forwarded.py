"""Forwarded requests through real processes, without any fault; `test_soak.py` adds the faults."""

import pytest

from savoryarch_bench._forwarded_demo import demonstrate_forwarding


@pytest.mark.process
def test_forwarded_requests_get_whole_answers_and_a_planned_stop_is_clean():
    assert demonstrate_forwarding() == []
