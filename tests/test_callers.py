"""The keys of the orders that process tests send are unique over all tests of a session.

Otherwise an order gets the outcome of another test's order, or, if a kill has cut that one, the
answer that its outcome is unknown.
"""

from tests.process.callers import Callers


def test_callers_that_follow_each_other_send_different_keys(monkeypatch):
    sent_keys = []
    monkeypatch.setattr(Callers, "_post", lambda self, connection, path, key: sent_keys.append(key))
    for _ in range(50):
        Callers("127.0.0.1:1")._send(None, True)
    assert len(set(sent_keys)) == 50
