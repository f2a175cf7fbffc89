"""A closed parser releases its memory at once.

The parser and that of httptools refer to each other. Guards against bodies of up to 16 MiB that
stay until a full garbage collection, which an instance hardly ever runs.
"""

import gc
import weakref

import pytest

from savoryarch.codec._reply_parser import HttpReplyParser

HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n"


@pytest.mark.parametrize("received", [b"", HEAD[:20], HEAD, HEAD + b"hel", HEAD + b"hello"])
def test_a_closed_parser_needs_no_garbage_collection(received):
    gc.disable()
    try:
        parser = HttpReplyParser()
        parser.feed(received)
        reference = weakref.ref(parser)
        parser.close()
        del parser
        assert reference() is None
    finally:
        gc.enable()
