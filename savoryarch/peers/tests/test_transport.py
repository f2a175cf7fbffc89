import msgspec
import pynng
import pytest
from twisted.internet.epollreactor import EPollReactor

from savoryarch.exceptions import CodecError
from savoryarch.peers import FrameDropReason, PeerTransport, TransportCallbacks, write_frame
from savoryarch.peers._frame import Frame
from savoryarch.peers._transport import MAX_MESSAGES_PER_READ, SEND_BUFFER_MESSAGES

MAX_ITERATIONS = 2000
ITERATION_S = 0.01


def decode(body):
    try:
        return msgspec.msgpack.decode(body)
    except msgspec.MsgspecError as error:
        raise CodecError(str(error)) from None


class Peer:
    def __init__(self, reactor, instance_id, incarnation=1, tls=None, **limits):
        self.messages, self.sent, self.received, self.dropped = [], [], [], []
        self.instance_id = instance_id
        self.transport = PeerTransport(
            reactor,
            "127.0.0.1",
            0,
            instance_id,
            incarnation,
            lambda peer_id, message: self.messages.append((peer_id, message)),
            msgspec.msgpack.encode,
            decode,
            TransportCallbacks(self.sent.append, self.received.append, self.dropped.append),
            tls,
            **limits,
        )

    def set_address_of(self, other):
        self.transport.set_peer_address(other.instance_id, "127.0.0.1", other.transport.port)


@pytest.fixture
def reactor():
    return EPollReactor()


@pytest.fixture
def peers(reactor):
    made = [Peer(reactor, f"entry-{n}") for n in range(3)]
    for peer in made:
        for other in made:
            peer.set_address_of(other)
    yield made
    for peer in made:
        peer.transport.close()


def run_until(reactor, condition):
    for _ in range(MAX_ITERATIONS):
        if condition():
            return
        reactor.iterate(ITERATION_S)
    raise AssertionError("the condition is still false after the last reactor iteration")


@pytest.mark.parametrize("count", [1, MAX_MESSAGES_PER_READ + 5])
def test_messages_arrive_complete_and_in_order_with_their_sender(reactor, peers, count):
    first, second, third = peers
    for number in range(count):
        run_until(reactor, lambda: len(first.dropped) == 0)
        second.transport.send("entry-0", {"number": number})
        third.transport.send("entry-0", number)
        run_until(reactor, lambda number=number: len(first.messages) >= 2 * (number + 1))
    expected = [{"number": number} for number in range(count)]
    assert [message for peer_id, message in first.messages if peer_id == "entry-1"] == expected
    assert [message for peer_id, message in first.messages if peer_id == "entry-2"] == list(
        range(count)
    )
    assert sum(first.received) == sum(second.sent) + sum(third.sent)


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", FrameDropReason.MALFORMED),
        (b"\xc1garbage", FrameDropReason.MALFORMED),
        (msgspec.msgpack.encode([1, "entry-1", "not a number", b""]), FrameDropReason.MALFORMED),
        (msgspec.msgpack.encode({"version": 1}), FrameDropReason.MALFORMED),
        (write_frame(Frame(9, "entry-1", 1, b"")), FrameDropReason.UNKNOWN_VERSION),
        (write_frame(Frame(1, "entry-1", 1, b"\xc1")), FrameDropReason.UNKNOWN_MESSAGE),
        (write_frame(Frame(1, "entry-1", 0, b"\x01")), FrameDropReason.OLD_INCARNATION),
    ],
)
def test_invalid_frame_is_dropped_and_counted(reactor, peers, data, reason):
    first, second, _ = peers
    second.transport.send("entry-0", "before")
    run_until(reactor, lambda: first.messages)
    with pynng.Push0() as raw_socket:
        raw_socket.dial(f"tcp://127.0.0.1:{first.transport.port}", block=True)
        raw_socket.send(data)
        run_until(reactor, lambda: first.dropped)
    second.transport.send("entry-0", "after")
    run_until(reactor, lambda: len(first.messages) == 2)
    assert first.dropped == [reason.value]


@pytest.mark.parametrize(
    ("messages", "reason"),
    [(SEND_BUFFER_MESSAGES * 4, "send_buffer_full"), (1, "unknown_peer")],
)
def test_sending_to_an_absent_peer_never_blocks(reactor, peers, messages, reason):
    first, second, _ = peers
    second.transport.close()
    if reason == "unknown_peer":
        first.transport.remove_peer("entry-1")
    for number in range(messages):
        first.transport.send("entry-1", number)
    assert set(first.dropped) == {reason}
    assert len(first.sent) + len(first.dropped) == messages


@pytest.mark.parametrize(("message_bytes", "is_sent"), [(900, True), (1100, False)])
def test_a_frame_above_the_limit_is_neither_sent_nor_received(reactor, message_bytes, is_sent):
    small, other = (
        Peer(reactor, "entry-0", max_frame_bytes=1000),
        Peer(reactor, "entry-1"),
    )
    small.set_address_of(other)
    other.set_address_of(small)
    small.transport.send("entry-1", "x" * message_bytes)
    assert small.dropped == ([] if is_sent else ["too_large"])
    other.transport.send("entry-0", "x" * message_bytes)
    if is_sent:
        run_until(reactor, lambda: small.messages and other.messages)
    else:
        other.transport.send("entry-0", "after")
        reactor.iterate(0.5)
        assert ("entry-1", "x" * message_bytes) not in small.messages
    small.transport.close()
    other.transport.close()


def test_messages_go_to_the_new_address_of_a_replaced_peer(reactor, peers):
    first, second, _ = peers
    first.transport.send("entry-1", "old")
    run_until(reactor, lambda: second.messages)
    replacement = Peer(reactor, "entry-1", incarnation=2)
    first.set_address_of(replacement)
    first.transport.send("entry-1", "new")
    run_until(reactor, lambda: replacement.messages)
    replacement.transport.close()
    assert (second.messages, replacement.messages) == ([("entry-0", "old")], [("entry-0", "new")])


def test_idle_connections_are_closed(reactor, peers):
    first, second, _ = peers
    first.transport.send("entry-1", 1)
    run_until(reactor, lambda: second.messages)
    first.transport._close_idle()
    assert first.transport.connection_count() == 1
    first.transport._close_idle()
    assert first.transport.connection_count() == 0
    first.transport.send("entry-1", 2)
    run_until(reactor, lambda: len(second.messages) == 2)
