"""TLS options of the operators' API."""

import re
from pathlib import Path

from OpenSSL.crypto import FILETYPE_PEM
from twisted.internet.ssl import Certificate, CertificateOptions, KeyPair

_CERTIFICATE = re.compile(
    r"-----BEGIN CERTIFICATE-----.+?-----END CERTIFICATE-----", flags=re.DOTALL
)


def make_tls_options(certificate_file: str, key_file: str) -> CertificateOptions:
    """Make the TLS options for ``reactor.listenSSL``.

    Parameters
    ----------
    certificate_file : str
        Path of a PEM file with the certificate, followed by its intermediate certificates.
    key_file : str
        Path of a PEM file with the private key.

    Returns
    -------
    options : CertificateOptions
        Options with the private key and the certificate chain.
    """
    chain = [
        Certificate.loadPEM(text).original
        for text in _CERTIFICATE.findall(Path(certificate_file).read_text(encoding="ascii"))
    ]
    key = KeyPair.load(Path(key_file).read_bytes(), FILETYPE_PEM).original
    return CertificateOptions(privateKey=key, certificate=chain[0], extraCertChain=chain[1:])
