"""Mutual TLS between peers, and the number of threads of nng."""

from dataclasses import dataclass
from functools import cache

import pynng

NNG_TASK_THREADS = 2


@dataclass(frozen=True, slots=True)
class PeerTls:
    """Files for mutual TLS between peers.

    Parameters
    ----------
    certificate_file : str
        PEM file with the certificate and private key of this instance.
    authority_file : str
        PEM file with the certificate of the authority that signed the certificates of all
        instances.
    server_name : str
        Host name in the certificates of all instances.
    """

    certificate_file: str
    authority_file: str
    server_name: str


def make_listener_tls(tls: PeerTls) -> pynng.TLSConfig:
    """Make a TLS configuration with which a listener requires a certificate of the authority."""
    return pynng.TLSConfig(
        pynng.TLSConfig.MODE_SERVER,
        auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
        ca_files=tls.authority_file,
        cert_key_file=tls.certificate_file,
    )


def make_dialer_tls(tls: PeerTls) -> pynng.TLSConfig:
    """Make a TLS configuration with which a dialer checks the listener's authority and name."""
    return pynng.TLSConfig(
        pynng.TLSConfig.MODE_CLIENT,
        server_name=tls.server_name,
        auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
        ca_files=tls.authority_file,
        cert_key_file=tls.certificate_file,
    )


@cache
def limit_nng_threads() -> None:
    """Limit the threads that nng starts.

    The limits apply only if they are set before the first socket of the process is opened. Calls
    after the first have no effect.
    """
    lib = pynng.lib
    lib.nng_init_set_parameter(lib.NNG_INIT_NUM_TASK_THREADS, NNG_TASK_THREADS)
    for parameter in (
        lib.NNG_INIT_NUM_EXPIRE_THREADS,
        lib.NNG_INIT_NUM_POLLER_THREADS,
        lib.NNG_INIT_NUM_RESOLVER_THREADS,
    ):
        lib.nng_init_set_parameter(parameter, 1)
