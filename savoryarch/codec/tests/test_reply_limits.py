"""A target in trouble that sends bytes without end is cut off within fixed limits.

Without them, one connection could use up the memory of the process, or its time: a header value
that arrives in pieces is copied with each piece.
"""

import tracemalloc

import pytest

from savoryarch.codec import MAX_HEAD_BYTES, MAX_REPLY_BYTES, HttpReplyParser
from savoryarch.exceptions import CodecError

STATUS = b"HTTP/1.1 200 OK\r\n"
CHUNKED = STATUS + b"transfer-encoding: chunked\r\n\r\n"
BLOCK = b"x" * 4096


@pytest.mark.parametrize("read_bytes", [1, 700, 65_536])
@pytest.mark.parametrize(
    ("start", "endless", "limit_bytes"),
    [
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n", MAX_HEAD_BYTES),
        (b"", b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n", MAX_HEAD_BYTES),
        (b"", b"\r\n", MAX_HEAD_BYTES),
        (STATUS, b"x-pad: 1\r\n", MAX_HEAD_BYTES),
        (STATUS + b"x-pad: ", BLOCK, MAX_HEAD_BYTES),
        (STATUS, BLOCK, MAX_HEAD_BYTES),
        (b"HTTP/1.1 200 ", BLOCK, MAX_HEAD_BYTES),
        (CHUNKED + b"5\r\nabcde\r\n0\r\n", b"x-trailer: 1\r\n", MAX_HEAD_BYTES),
        (CHUNKED + b"5\r\nabcde\r\n0\r\nx-trailer: ", BLOCK, MAX_HEAD_BYTES),
        (CHUNKED + b"5;", BLOCK, MAX_HEAD_BYTES),
    ],
)
def test_a_head_without_end_is_cut_off(start, endless, limit_bytes, read_bytes):
    parser = HttpReplyParser()
    parser.feed(start)
    repeated = endless * (2 * limit_bytes // len(endless) + 2)
    with pytest.raises(CodecError):
        for position in range(0, len(repeated), read_bytes):
            assert parser.feed(repeated[position : position + read_bytes]) == ()
    assert parser.held_bytes <= limit_bytes + 3 * 65_536


@pytest.mark.parametrize(
    "start", [CHUNKED, STATUS + b"\r\n", STATUS + b"content-length: 99999999999\r\n\r\n"]
)
def test_a_body_without_end_is_cut_off(start):
    parser = HttpReplyParser()
    parser.feed(start)
    piece = b"%x\r\n%s\r\n" % (len(BLOCK) * 16, BLOCK * 16) if start is CHUNKED else BLOCK * 16
    with pytest.raises(CodecError):
        for _ in range(2 * MAX_REPLY_BYTES // len(piece)):
            parser.feed(piece)
    assert parser.held_bytes <= MAX_REPLY_BYTES + 65_536


@pytest.mark.parametrize(
    ("data", "bodies"),
    [
        (STATUS + b"content-length: 2\r\n\r\nok", [b"ok"]),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + STATUS + b"content-length: 2\r\n\r\nok", [b"ok"]),
        ((STATUS + b"content-length: 2\r\n\r\nok") * 3, [b"ok"] * 3),
        (CHUNKED + b"1\r\na\r\n" * 50_000 + b"0\r\n\r\n", [b"a" * 50_000]),
        (STATUS + b"x-pad: %s\r\ncontent-length: 1\r\n\r\nz" % (b"p" * 60_000), [b"z"]),
    ],
)
@pytest.mark.parametrize("read_bytes", [1000, 1_000_000])
def test_ordinary_replies_pass(data, bodies, read_bytes):
    parser = HttpReplyParser()
    replies = []
    for position in range(0, len(data), read_bytes):
        replies += parser.feed(data[position : position + read_bytes])
    assert [reply.body for reply in replies] == bodies
    assert parser.held_bytes == 0


REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nx-refused: 1\r\nContent-Length: 9\r\n\r\nall full\n"
OWN_REPLY = STATUS + b"x-request-id: r2\r\nContent-Length: 2\r\n\r\nok"


@pytest.mark.parametrize("read_bytes", [1, 7, 1000])
@pytest.mark.parametrize("length", range(1, REFUSAL.index(b"\r\n\r\n") + 4))
def test_two_replies_do_not_share_a_head(length, read_bytes):
    """Guards against a false refusal: a head that broke off had the next reply in a header."""
    parser, data = HttpReplyParser(), REFUSAL[:length] + OWN_REPLY
    with pytest.raises(CodecError):
        for position in range(0, len(data), read_bytes):
            assert parser.feed(data[position : position + read_bytes]) == ()


@pytest.mark.parametrize(
    ("data", "headers"),
    [
        (CHUNKED + b"2\r\nok\r\n0\r\nx-refused: 1\r\n\r\n", {"transfer-encoding": "chunked"}),
        (STATUS + b"via: HTTP/1.1 a\r\ncontent-length: 0\r\n\r\n", {"via": "HTTP/1.1 a"}),
    ],
)
def test_trailers_are_no_headers_and_other_headers_pass(data, headers):
    reply = HttpReplyParser().feed(data)[0]
    assert headers.items() <= reply.headers.items()
    assert "x-refused" not in reply.headers


def test_a_reply_that_switches_protocols_is_malformed():
    """Guards against an error that nothing handles."""
    with pytest.raises(CodecError):
        HttpReplyParser().feed(
            b"HTTP/1.1 101 X\r\nUpgrade: a\r\nConnection: upgrade\r\n\r\nrest of it"
        )


PIECES = {
    "chunks of one byte": (CHUNKED, b"1\r\nx\r\n"),
    "chunks of two bytes": (CHUNKED, b"2\r\nxx\r\n"),
    "chunks of 16 bytes": (CHUNKED, b"10\r\n0123456789abcdef\r\n"),
    "chunk extensions": (CHUNKED, b"1;a=b\r\nx\r\n"),
    "short headers": (STATUS, b"a:\r\n"),
    "other headers": (STATUS, None),
    "short trailers": (CHUNKED + b"0\r\n", b"a:\r\n"),
    "interim replies": (b"", b"HTTP/1.1 102 P\r\na:\r\n\r\n"),
    "until the close": (STATUS + b"\r\n", b"x"),
}


@pytest.mark.parametrize("read_bytes", [50, 65_536])
@pytest.mark.parametrize("name", PIECES)
def test_a_reply_takes_no_more_memory_than_is_counted(name, read_bytes):
    """Guards against a process that uses up its memory: small pieces took 20 times as much."""
    start, piece = PIECES[name]
    data = b"".join(b"h%d:\r\n" % number for number in range(80_000)) if piece is None else b""
    data = data or piece * (600_000 // len(piece))
    slack_bytes = 200_000  # the parser itself, one read and the spare room of growing containers
    parsers = [HttpReplyParser() for _ in range(4)]
    tracemalloc.start()
    try:
        for parser in parsers:
            parser.feed(start)
            try:
                for position in range(0, len(data), read_bytes):
                    parser.feed(data[position : position + read_bytes])
            except CodecError:
                assert parser.held_bytes <= MAX_REPLY_BYTES + 65_536
        used_bytes = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert used_bytes <= sum(parser.held_bytes for parser in parsers) + slack_bytes
