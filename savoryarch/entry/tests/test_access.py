"""Tokens and TLS of the operators' address, against a real process."""

from datetime import UTC, datetime, timedelta

import pytest
import requests
from cryptography import x509
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.serialization import Encoding, NoEncryption, PrivateFormat
from cryptography.x509.oid import NameOID

from savoryarch.api import make_token
from savoryarch_standins.harness import start_process

READ, WRITE = make_token(), make_token()
SETTINGS = f"""[instance]
instance_id = entry-1
availability_zone = zone-a
[callers]
port = 0
[operators]
port = 0
read_token_hashes = {READ.token_hash}
write_token_hashes = {WRITE.token_hash}
tls_certificate_file = %(folder)s/certificate.pem
tls_key_file = %(folder)s/key.pem
[peers]
port = 0
[shutdown]
balancer_lag_ms = 0
"""
TIMEOUT_S = 10.0


def write_certificate(folder):
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "savoryarch")])
    now = datetime.now(UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now - timedelta(days=1))
        .not_valid_after(now + timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([x509.DNSName("savoryarch")]), False)
        .sign(key, SHA256())
    )
    pem = key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())
    (folder / "key.pem").write_bytes(pem)
    (folder / "certificate.pem").write_bytes(certificate.public_bytes(Encoding.PEM))


@pytest.fixture(scope="module")
def operators(tmp_path_factory):
    folder = tmp_path_factory.mktemp("entry")
    write_certificate(folder)
    path = folder / "settings.ini"
    path.write_text(SETTINGS % {"folder": folder})
    arguments = ["-m", "savoryarch", "serve", "--settings", str(path)]
    process = start_process("entry-1", arguments, folder)
    yield process.address("operators")
    assert process.stop() == 0


@pytest.mark.filterwarnings("ignore::urllib3.exceptions.InsecureRequestWarning")
@pytest.mark.parametrize(
    ("method", "token", "status"),
    [
        ("GET", "", 401),
        ("GET", "guess", 401),
        ("GET", READ.token, 200),
        ("GET", WRITE.token, 200),
        ("DELETE", "", 401),
        ("DELETE", READ.token, 403),
        ("DELETE", WRITE.token, 404),
    ],
)
def test_tokens_over_tls(operators, method, token, status):
    headers = {"authorization": f"Bearer {token}"} if token else {}
    path = "/v1/status" if method == "GET" else "/v1/resources/search/none"
    url = f"https://{operators}{path}"
    reply = requests.request(method, url, headers=headers, verify=False, timeout=TIMEOUT_S)
    assert reply.status_code == status, reply.text


def test_plain_http_is_not_answered(operators):
    with pytest.raises(requests.ConnectionError):
        requests.get(f"http://{operators}/v1/status", timeout=TIMEOUT_S)
