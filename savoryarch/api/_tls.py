"""TLS of the operators' address."""

import re
from pathlib import Path

from OpenSSL.crypto import FILETYPE_PEM
from twisted.internet.ssl import Certificate, CertificateOptions, KeyPair

_CERTIFICATE = re.compile(
    r"-----BEGIN CERTIFICATE-----.+?-----END CERTIFICATE-----", flags=re.DOTALL
)


def make_tls_options(certificate_file: str, key_file: str) -> CertificateOptions:
    """Make what ``reactor.listenSSL`` needs.

    Parameters
    ----------
    certificate_file : str
        Certificate and those that lead to the authority, PEM.
    key_file : str
        Private key, PEM.
    """
    chain = [
        Certificate.loadPEM(text).original
        for text in _CERTIFICATE.findall(Path(certificate_file).read_text(encoding="ascii"))
    ]
    key = KeyPair.load(Path(key_file).read_bytes(), FILETYPE_PEM).original
    return CertificateOptions(privateKey=key, certificate=chain[0], extraCertChain=chain[1:])
