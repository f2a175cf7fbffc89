"""Certificate authority for tests of TLS."""

from datetime import UTC, datetime, timedelta
from ipaddress import ip_address

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.serialization import Encoding, NoEncryption, PrivateFormat
from cryptography.x509.oid import NameOID

SERVER_NAME = "savoryarch"
ALTERNATIVE_NAMES = [x509.DNSName(SERVER_NAME), x509.IPAddress(ip_address("127.0.0.1"))]
VALID_FROM = datetime(2020, 1, 1, tzinfo=UTC)


class Authority:
    """Makes certificates and writes them to files.

    Parameters
    ----------
    folder : Path
        Folder of the files.
    name : str
        Name of the authority, which starts the names of its files.

    Attributes
    ----------
    path : Path
        PEM file with the certificate of the authority.
    """

    def __init__(self, folder, name):
        self.folder, self.name = folder, name
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.certificate = self.make_certificate(self.key, f"{name} authority", True)
        self.path = folder / f"{name}-authority.pem"
        self.path.write_bytes(self.certificate.public_bytes(Encoding.PEM))

    def make_certificate(self, key, name, is_authority):
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        issuer = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, f"{self.name} authority")])
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(issuer)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(VALID_FROM)
            .not_valid_after(VALID_FROM + timedelta(days=36_500))  # tests must not expire
            .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
            .add_extension(x509.SubjectAlternativeName(ALTERNATIVE_NAMES), critical=False)
        )
        return builder.sign(self.key, hashes.SHA256())

    def make_files(self):
        """Make a server certificate and write its files.

        Returns
        -------
        path : Path
            PEM file with the certificate and its private key.
        key_path : Path
            PEM file with the private key only.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self.make_certificate(key, SERVER_NAME, False)
        private = key.private_bytes(Encoding.PEM, PrivateFormat.TraditionalOpenSSL, NoEncryption())
        path = self.folder / f"{self.name}-{x509.random_serial_number()}.pem"
        path.write_bytes(certificate.public_bytes(Encoding.PEM) + private)
        key_path = path.with_suffix(".key")
        key_path.write_bytes(private)
        return path, key_path
