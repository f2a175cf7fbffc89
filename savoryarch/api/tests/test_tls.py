"""Clients accept the certificate of the operators' API if they trust its authority, and only then.

Without its chain or with the key of another certificate, no client could connect.
"""

from contextlib import suppress

import pytest
from OpenSSL.SSL import TLS_METHOD, VERIFY_PEER, Connection, Context, Error, WantReadError

from savoryarch.api import make_tls_options
from savoryarch.api.tests.authority import Authority


def perform_handshake(client, server):
    for _ in range(10):  # more round trips than a handshake has
        for side, other in ((client, server), (server, client)):
            with suppress(WantReadError):
                side.do_handshake()
            with suppress(WantReadError):
                other.bio_write(side.bio_read(2**16))


@pytest.mark.parametrize(("trusted", "accepted"), [("operators", True), ("stranger", False)])
def test_only_clients_that_trust_the_authority_accept_the_certificate(tmp_path, trusted, accepted):
    authorities = {name: Authority(tmp_path, name) for name in ("operators", "stranger")}
    options = make_tls_options(*map(str, authorities["operators"].make_files()))
    server = Connection(options.getContext(), None)
    server.set_accept_state()
    context = Context(TLS_METHOD)
    context.set_verify(VERIFY_PEER)
    context.load_verify_locations(str(authorities[trusted].path))
    client = Connection(context, None)
    client.set_connect_state()
    if accepted:
        perform_handshake(client, server)
        assert client.get_protocol_version_name() in ("TLSv1.2", "TLSv1.3")
        assert client.get_peer_certificate() is not None
    else:
        with pytest.raises(Error, match="certificate verify failed"):
            perform_handshake(client, server)
