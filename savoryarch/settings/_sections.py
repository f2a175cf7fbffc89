"""Settings sections of the process; the components declare the sections of their own settings."""

from dataclasses import dataclass
from enum import Enum

from savoryarch.utils import (
    NAME,
    PORT,
    URL,
    Boolean,
    IpAddress,
    Number,
    OneOf,
    Text,
    WordList,
    setting,
)

LOOPBACK_HOST = "127.0.0.1"
TOKEN_HASHES = WordList(r"[0-9a-f]{64}", "the token_hash that 'savoryarch token' writes")
SOCKET_ADDRESS = Text(r"[0-9.]+:[0-9]{1,5}", "127.0.0.1:8083")
FILE_PATH = Text(r"\S.*", "/etc/savoryarch/operators.pem")


class LogLevel(Enum):
    """Lowest severity of the events that are logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogStream(Enum):
    """Output stream of the log."""

    STDOUT = "stdout"
    STDERR = "stderr"


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Identity of the instance."""

    instance_id: str = setting(NAME, "name of this instance, unique among live ones")
    availability_zone: str = setting(NAME, "availability zone that it runs in")
    memory_mb: float = setting(
        Number(0.0, 1_000_000.0),
        "memory that the process may use, which bounds the incomplete replies and what clients' "
        "connections hold; 0 if it is not known",
        0.0,
    )


@dataclass(frozen=True, slots=True)
class CallersSettings:
    """Address for callers."""

    enabled: bool = setting(Boolean(), "whether this instance serves searches and routes", True)
    host: str = setting(IpAddress(), "IP number to listen on", LOOPBACK_HOST)
    port: int = setting(PORT, "TCP port for callers; 0 selects a free one", 8080)


@dataclass(frozen=True, slots=True)
class OperatorsSettings:
    """Address of the operators' API, its access tokens and its TLS files."""

    enabled: bool = setting(Boolean(), "whether this instance serves the operators' API", True)
    host: str = setting(IpAddress(), "IP number to listen on", LOOPBACK_HOST)
    port: int = setting(PORT, "TCP port for operators; 0 selects a free one", 8081)
    read_token_hashes: tuple[str, ...] = setting(
        TOKEN_HASHES, "hashes of the tokens that may read", ()
    )
    write_token_hashes: tuple[str, ...] = setting(
        TOKEN_HASHES, "hashes of the tokens that may read and change", ()
    )
    tls_certificate_file: str = setting(FILE_PATH, "certificate chain for HTTPS, PEM", "")
    tls_key_file: str = setting(FILE_PATH, "private key for HTTPS, PEM", "")


@dataclass(frozen=True, slots=True)
class PeersSettings:
    """Address for other instances, and the certificates that authenticate them."""

    host: str = setting(IpAddress(), "IP number to listen on", LOOPBACK_HOST)
    port: int = setting(PORT, "TCP port for peers; 0 selects a free one", 8082)
    private_network: bool = setting(
        Boolean(),
        "whether only entry instances reach this address, so that peers need no certificates",
        False,
    )
    tls_certificate_file: str = setting(
        FILE_PATH, "certificate and private key of this instance in one file, PEM", ""
    )
    tls_authority_file: str = setting(
        FILE_PATH, "certificate of the authority that signed those of all instances, PEM", ""
    )
    tls_server_name: str = setting(
        NAME, "server name in the certificates of all instances", "savoryarch"
    )


@dataclass(frozen=True, slots=True)
class FrontSettings:
    """Addresses for clients whose requests are forwarded, and for readiness probes."""

    address: str = setting(
        SOCKET_ADDRESS, "address that accepts the requests of clients", "127.0.0.1:0"
    )
    ready_address: str = setting(
        SOCKET_ADDRESS, "address that answers readiness probes", "127.0.0.1:0"
    )


@dataclass(frozen=True, slots=True)
class MetricsSettings:
    """Address that serves the metrics in addition to the operators' API."""

    address: str = setting(SOCKET_ADDRESS, "address that answers every GET with the metrics", "")


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """URLs of the platform's services.

    An instance without them runs alone, which is meant for trials.
    """

    store_url: str = setting(URL, "base URL of the key-value store", "")
    instance_list_url: str = setting(URL, "base URL of the instance list", "")


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Severity and output stream of the log."""

    level: LogLevel = setting(
        OneOf(LogLevel), "lowest severity of events that are logged", LogLevel.INFO
    )
    stream: LogStream = setting(OneOf(LogStream), "output stream of the log", LogStream.STDERR)
