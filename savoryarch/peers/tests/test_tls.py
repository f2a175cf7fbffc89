import msgspec
import pytest
from twisted.internet.epollreactor import EPollReactor

from savoryarch.peers import PeerTls, PeerTransport
from savoryarch.peers.tests.authority import SERVER_NAME, Authority

WAKE_UP_S = 0.01
MAX_WAKE_UPS = 100


@pytest.fixture
def authorities(tmp_path):
    return {name: Authority(tmp_path, name) for name in ("fleet", "stranger")}


@pytest.mark.parametrize(
    ("sender", "accepted"),
    [("fleet", True), ("stranger", False), ("stranger that trusts the fleet", False), ("", False)],
)
def test_only_signed_peers_are_heard(authorities, sender, accepted):
    fleet, stranger = authorities["fleet"], authorities["stranger"]
    keys = {
        "fleet": make_keys(fleet, fleet),
        "stranger": make_keys(stranger, stranger),
        "stranger that trusts the fleet": make_keys(stranger, fleet),
        "": None,
    }
    reactor = EPollReactor()
    got = []
    receiver = make_transport(reactor, "entry-1", make_keys(fleet, fleet), got)
    other = make_transport(reactor, "entry-2", keys[sender], [])
    try:
        other.connect("entry-1", "127.0.0.1", receiver.port)
        for _ in range(MAX_WAKE_UPS):
            if got:
                break
            other.send("entry-1", "hello")
            reactor.iterate(WAKE_UP_S)
        assert bool(got) is accepted
    finally:
        receiver.close()
        other.close()


def make_keys(signer, trusted):
    return PeerTls(str(signer.make_files()[0]), str(trusted.path), SERVER_NAME)


def make_transport(reactor, instance_id, tls, got):
    return PeerTransport(
        reactor,
        "127.0.0.1",
        0,
        instance_id,
        1,
        lambda peer_id, message: got.append((peer_id, message)),
        msgspec.msgpack.encode,
        msgspec.msgpack.decode,
        tls=tls,
    )
