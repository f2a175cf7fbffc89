from datetime import UTC, datetime, timedelta

import pynng
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from twisted.internet.epollreactor import EPollReactor

from savoryarch.peers import PeerTls
from savoryarch.peers.tests.test_transport import Peer, run_until

SERVER_NAME = "savoryarch"


def make_certificate(name, authority=None):
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    issuer, signing_key = (authority[0].subject, authority[1]) if authority else (subject, key)
    now = datetime.now(UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - timedelta(days=1))
        .not_valid_after(now + timedelta(days=1))
        .add_extension(x509.BasicConstraints(ca=authority is None, path_length=None), critical=True)
        .add_extension(x509.SubjectAlternativeName([x509.DNSName(name)]), critical=False)
        .sign(signing_key, hashes.SHA256())
    )
    return certificate, key


def encode_pem(certificate, key=None):
    text = certificate.public_bytes(serialization.Encoding.PEM)
    if key is not None:
        text += key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.TraditionalOpenSSL,
            serialization.NoEncryption(),
        )
    return text


@pytest.fixture(scope="module")
def files(tmp_path_factory):
    """Write the files of two authorities, ``ours`` and ``theirs``, and of certificates by each."""
    folder = tmp_path_factory.mktemp("tls")
    for name in ("ours", "theirs"):
        authority = make_certificate(f"{name} authority")
        (folder / f"{name}-authority.pem").write_bytes(encode_pem(authority[0]))
        (folder / f"{name}.pem").write_bytes(encode_pem(*make_certificate(SERVER_NAME, authority)))
        other = make_certificate("another-name", authority)
        (folder / f"{name}-other.pem").write_bytes(encode_pem(*other))
    return folder


def make_tls(files, certificate, authority):
    return PeerTls(
        str(files / f"{certificate}.pem"), str(files / f"{authority}-authority.pem"), SERVER_NAME
    )


@pytest.fixture
def listening(files):
    reactor = EPollReactor()
    peer = Peer(reactor, "entry-0", tls=make_tls(files, "ours", "ours"))
    yield reactor, peer
    peer.transport.close()


def test_peers_with_certificates_of_one_authority_exchange_messages(listening, files):
    reactor, first = listening
    second = Peer(reactor, "entry-1", tls=make_tls(files, "ours", "ours"))
    second.set_address_of(first)
    first.set_address_of(second)
    second.transport.send("entry-0", "hello")
    run_until(reactor, lambda: first.messages)
    first.transport.send("entry-1", "hello yourself")
    run_until(reactor, lambda: second.messages)
    second.transport.close()
    assert (first.messages, second.messages) == (
        [("entry-1", "hello")],
        [("entry-0", "hello yourself")],
    )


@pytest.mark.parametrize(
    "sender",
    # `tls` names the certificate of the sender, None without one, and the authority that it trusts.
    [
        {"tls_config": None, "scheme": "tcp"},
        {"tls": ("theirs", "ours"), "scheme": "tls+tcp"},
        {"tls": ("ours", "theirs"), "scheme": "tls+tcp"},
        {"tls": (None, "ours"), "scheme": "tls+tcp"},
    ],
)
def test_messages_of_unauthenticated_senders_are_not_received(listening, files, sender):
    reactor, first = listening
    config = None
    if "tls" in sender:
        certificate, authority = sender["tls"]
        config = pynng.TLSConfig(
            pynng.TLSConfig.MODE_CLIENT,
            server_name=SERVER_NAME,
            auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
            ca_files=str(files / f"{authority}-authority.pem"),
            cert_key_file=str(files / f"{certificate}.pem") if certificate else None,
        )
    with pynng.Push0(tls_config=config, send_timeout=300) as socket:
        socket.dial(f"{sender['scheme']}://127.0.0.1:{first.transport.port}", block=False)
        with pytest.raises(pynng.Timeout):
            socket.send(b"hello")
    authenticated = Peer(reactor, "entry-1", tls=make_tls(files, "ours", "ours"))
    authenticated.set_address_of(first)
    authenticated.transport.send("entry-0", "after")
    run_until(reactor, lambda: first.messages)
    authenticated.transport.close()
    assert first.messages == [("entry-1", "after")]
    assert not first.dropped


@pytest.mark.parametrize("certificate", ["ours-other", "theirs"])
def test_no_message_is_sent_to_an_unauthenticated_listener(listening, files, certificate):
    reactor, first = listening
    unauthenticated = Peer(reactor, "entry-1", tls=make_tls(files, certificate, "ours"))
    authenticated = Peer(reactor, "entry-2", tls=make_tls(files, "ours", "ours"))
    for peer in (unauthenticated, authenticated):
        first.set_address_of(peer)
        first.transport.send(peer.instance_id, "secret")
    run_until(reactor, lambda: authenticated.messages)
    for peer in (unauthenticated, authenticated):
        peer.transport.close()
    assert not unauthenticated.messages
