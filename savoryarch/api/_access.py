"""Who may do what: bearer tokens of operators, kept as hashes in the settings."""

import secrets
from dataclasses import dataclass
from enum import Enum
from hashlib import sha256
from hmac import compare_digest

TOKEN_BYTES = 32
_SCHEME = "Bearer "


class Role(Enum):
    """What an operator may do."""

    NONE = "none"
    READ = "read"
    WRITE = "write"


@dataclass(frozen=True, slots=True)
class AccessPolicy:
    """The tokens that are accepted, as hexadecimal SHA-256 hashes.

    Parameters
    ----------
    read_token_hashes : tuple of str
        Tokens that may read.
    write_token_hashes : tuple of str
        Tokens that may read and change.
    """

    read_token_hashes: tuple[str, ...] = ()
    write_token_hashes: tuple[str, ...] = ()

    @property
    def is_open(self) -> bool:
        """Return whether no token is needed, as by default on the loopback interface."""
        return not self.read_token_hashes and not self.write_token_hashes


@dataclass(frozen=True, slots=True)
class Token:
    """A new token and the hash of it for the settings."""

    token: str
    token_hash: str


def make_token() -> Token:
    """Make a random token."""
    token = secrets.token_urlsafe(TOKEN_BYTES)
    return Token(token, hash_token(token))


def hash_token(token: str) -> str:
    """Return the hash of a token; the tokens are random, so that a plain hash is enough."""
    return sha256(token.encode()).hexdigest()


def find_role(policy: AccessPolicy, authorization: str | None) -> Role:
    """Return the role that an ``Authorization`` header gives.

    Every hash is compared, each in constant time, so that the time tells nothing of the tokens.
    """
    if policy.is_open:
        return Role.WRITE
    if authorization is None or not authorization.startswith(_SCHEME):
        return Role.NONE
    presented_hash = hash_token(authorization.removeprefix(_SCHEME).strip())
    write_matches = [compare_digest(presented_hash, known) for known in policy.write_token_hashes]
    read_matches = [compare_digest(presented_hash, known) for known in policy.read_token_hashes]
    if any(write_matches):
        return Role.WRITE
    return Role.READ if any(read_matches) else Role.NONE
