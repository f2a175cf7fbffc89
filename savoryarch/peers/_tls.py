"""TLS between entry instances: each proves by its certificate that it belongs to them."""

from dataclasses import dataclass

from pynng import TLSConfig


@dataclass(frozen=True, slots=True)
class PeerTls:
    """Keys of one instance.

    Parameters
    ----------
    certificate_file : str
        Certificate and private key of this instance, PEM.
    authority_file : str
        Certificate of the authority that signed those of all instances, PEM.
    server_name : str
        Name that the certificates of all instances carry.
    """

    certificate_file: str
    authority_file: str
    server_name: str

    def listener_config(self) -> TLSConfig:
        """Return what a listener needs; a peer without a signed certificate is refused."""
        return TLSConfig(
            TLSConfig.MODE_SERVER,
            auth_mode=TLSConfig.AUTH_MODE_REQUIRED,
            ca_files=self.authority_file,
            cert_key_file=self.certificate_file,
        )

    def dialer_config(self) -> TLSConfig:
        """Return what a dialer needs; a listener without a signed certificate is refused."""
        return TLSConfig(
            TLSConfig.MODE_CLIENT,
            server_name=self.server_name,
            auth_mode=TLSConfig.AUTH_MODE_REQUIRED,
            ca_files=self.authority_file,
            cert_key_file=self.certificate_file,
        )
