from contextlib import suppress
from datetime import UTC, datetime, timedelta

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.serialization import Encoding, NoEncryption, PrivateFormat
from cryptography.x509.oid import NameOID
from OpenSSL.SSL import TLS_METHOD, VERIFY_PEER, Connection, Context, Error, WantReadError

from savoryarch.api import make_tls_options


def make_files(folder, name):
    """Write a certificate that signs itself, and its key."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    start = datetime(2020, 1, 1, tzinfo=UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(start)
        .not_valid_after(start + timedelta(days=36_500))
        .add_extension(x509.BasicConstraints(True, None), critical=True)
        .sign(key, hashes.SHA256())
    )
    paths = folder / f"{name}.pem", folder / f"{name}-key.pem"
    paths[0].write_bytes(certificate.public_bytes(Encoding.PEM))
    paths[1].write_bytes(key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption()))
    return paths


def shake_hands(client, server):
    for _ in range(10):
        for side, other in ((client, server), (server, client)):
            with suppress(WantReadError):
                side.do_handshake()
            with suppress(WantReadError):
                other.bio_write(side.bio_read(2**16))


@pytest.mark.parametrize(("trusted", "accepted"), [("operators", True), ("stranger", False)])
def test_handshake(tmp_path, trusted, accepted):
    files = {name: make_files(tmp_path, name) for name in ("operators", "stranger")}
    options = make_tls_options(*map(str, files["operators"]))
    server = Connection(options.getContext(), None)
    server.set_accept_state()
    context = Context(TLS_METHOD)
    context.set_verify(VERIFY_PEER)
    context.load_verify_locations(str(files[trusted][0]))
    client = Connection(context, None)
    client.set_connect_state()
    if accepted:
        shake_hands(client, server)
        assert client.get_protocol_version_name() in ("TLSv1.2", "TLSv1.3")
        assert client.get_peer_certificate() is not None
    else:
        with pytest.raises(Error, match="certificate verify failed"):
            shake_hands(client, server)
