"""Mutual TLS between peers, and the threads of nng."""

from dataclasses import dataclass
from functools import cache

import pynng

TASK_THREADS = 2


@dataclass(frozen=True, slots=True)
class PeerTls:
    """Files of the mutual TLS between peers.

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


def make_listener_tls(tls: PeerTls) -> pynng.TLSConfig:
    """Make the configuration of a listener that refuses peers without a certificate."""
    return pynng.TLSConfig(
        pynng.TLSConfig.MODE_SERVER,
        auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
        ca_files=tls.authority_file,
        cert_key_file=tls.certificate_file,
    )


def make_dialer_tls(tls: PeerTls) -> pynng.TLSConfig:
    """Make the configuration of a dialer that refuses listeners of another authority or name."""
    return pynng.TLSConfig(
        pynng.TLSConfig.MODE_CLIENT,
        server_name=tls.server_name,
        auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
        ca_files=tls.authority_file,
        cert_key_file=tls.certificate_file,
    )


@cache
def limit_threads() -> None:
    """Have nng start few threads; works once, before the first socket of the process."""
    lib = pynng.lib
    lib.nng_init_set_parameter(lib.NNG_INIT_NUM_TASK_THREADS, TASK_THREADS)
    for parameter in (
        lib.NNG_INIT_NUM_EXPIRE_THREADS,
        lib.NNG_INIT_NUM_POLLER_THREADS,
        lib.NNG_INIT_NUM_RESOLVER_THREADS,
    ):
        lib.nng_init_set_parameter(parameter, 1)
