"""The sections of a settings file that belong to the process as a whole."""

from dataclasses import dataclass
from enum import Enum

from savoryarch.utils import NAME, PORT, URL, Boolean, IpAddress, OneOf, Text, WordList, setting

LOOPBACK_HOST = "127.0.0.1"
TOKEN_HASHES = WordList(r"[0-9a-f]{64}", "the token_hash that 'savoryarch token' writes")
SOCKET_ADDRESS = Text(r"[0-9.]+:[0-9]{1,5}", "127.0.0.1:8083")
FILE_PATH = Text(r"\S.*", "/etc/savoryarch/operators.pem")


class LogLevel(Enum):
    """Least severe events that are logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogStream(Enum):
    """Where log lines go."""

    STDOUT = "stdout"
    STDERR = "stderr"


@dataclass(frozen=True, slots=True)
class InstanceSettings:
    """Who this instance is."""

    instance_id: str = setting(NAME, "name of this instance, unique among live ones")
    availability_zone: str = setting(NAME, "availability zone that it runs in")


@dataclass(frozen=True, slots=True)
class CallersSettings:
    """Where callers reach this instance."""

    enabled: bool = setting(Boolean(), "whether searches and routes are served here", True)
    host: str = setting(IpAddress(), "IP number to listen on", LOOPBACK_HOST)
    port: int = setting(PORT, "TCP port for callers; 0 takes a free one", 8080)


@dataclass(frozen=True, slots=True)
class OperatorsSettings:
    """Where operators reach this instance, and who may do what."""

    enabled: bool = setting(Boolean(), "whether the operators' API is served", True)
    host: str = setting(IpAddress(), "IP number to listen on", LOOPBACK_HOST)
    port: int = setting(PORT, "TCP port for operators; 0 takes a free one", 8081)
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
    """Where other instances reach this instance, and how they prove who they are."""

    host: str = setting(IpAddress(), "IP number to listen on", LOOPBACK_HOST)
    port: int = setting(PORT, "TCP port for peers; 0 takes a free one", 8082)
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
        NAME, "name that the certificates of all instances carry", "savoryarch"
    )


@dataclass(frozen=True, slots=True)
class FrontSettings:
    """Where clients whose requests are forwarded reach this instance."""

    address: str = setting(SOCKET_ADDRESS, "where clients' requests are taken", "127.0.0.1:0")
    ready_address: str = setting(
        SOCKET_ADDRESS, "where questions of readiness are taken", "127.0.0.1:0"
    )


@dataclass(frozen=True, slots=True)
class MetricsSettings:
    """Where metrics are read, besides the operators' API."""

    address: str = setting(SOCKET_ADDRESS, "address that answers every GET with the metrics", "")


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Where the platform's services are; without them the instance runs alone, for a trial."""

    store_url: str = setting(URL, "base URL of the key-value store", "")
    instance_list_url: str = setting(URL, "base URL of the instance list", "")


@dataclass(frozen=True, slots=True)
class LogSettings:
    """What is logged."""

    level: LogLevel = setting(OneOf(LogLevel), "least severe events that are logged", LogLevel.INFO)
    stream: LogStream = setting(OneOf(LogStream), "where lines are written", LogStream.STDERR)
