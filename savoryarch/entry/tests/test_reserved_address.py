"""An address is opened later if the process has no free descriptor for it.

Guards against an instance that runs and never serves, because it did not try again.
"""

import errno
import socket

import pytest
from twisted.internet.error import CannotListenError

from savoryarch.entry._reserved_address import ReservedAddress

EXHAUSTED = OSError(errno.EMFILE, "too many open files")


class Reactor:
    def __init__(self, failures):
        self._failures = failures

    def adoptStreamPort(self, descriptor, family, factory):
        if self._failures:
            raise self._failures.pop()
        return "port"


@pytest.mark.parametrize(
    ("socket_failures", "port_failures"), [([EXHAUSTED] * 2, []), ([], [EXHAUSTED])]
)
def test_an_address_is_opened_when_descriptors_are_free(
    monkeypatch, socket_failures, port_failures
):
    make_socket = socket.socket

    def make_or_fail(*arguments):
        if socket_failures:
            raise socket_failures.pop()
        return make_socket(*arguments)

    monkeypatch.setattr(socket, "socket", make_or_fail)
    reserved = ReservedAddress("127.0.0.1:0")
    reactor = Reactor(port_failures)
    with pytest.raises(CannotListenError):
        reserved.listen(reactor, None, 1)
    assert reserved.listen(reactor, None, 1) == "port"
