"""Access control of the operators' API by bearer tokens, whose hashes are in the settings."""

import secrets
from dataclasses import dataclass
from enum import Enum
from hashlib import sha256
from hmac import compare_digest

TOKEN_BYTES = 32
_SCHEME = "Bearer "


class Role(Enum):
    """Permissions of an operator: none, to read, or to read and change."""

    NONE = "none"
    READ = "read"
    WRITE = "write"


@dataclass(frozen=True, slots=True)
class AccessPolicy:
    """The accepted tokens, as hexadecimal SHA-256 hashes.

    Parameters
    ----------
    read_token_hashes : tuple of str
        Hashes of the tokens that give permission to read.
    write_token_hashes : tuple of str
        Hashes of the tokens that give permission to read and change.
    """

    read_token_hashes: tuple[str, ...] = ()
    write_token_hashes: tuple[str, ...] = ()

    @property
    def is_open(self) -> bool:
        """Return whether no token is required, which is the default on the loopback interface."""
        return not self.read_token_hashes and not self.write_token_hashes


@dataclass(frozen=True, slots=True)
class Token:
    """A new token, and its hash for the settings."""

    token: str
    token_hash: str


def make_token() -> Token:
    """Make a random token."""
    token = secrets.token_urlsafe(TOKEN_BYTES)
    return Token(token, hash_token(token))


def hash_token(token: str) -> str:
    """Return the hexadecimal SHA-256 hash of a token.

    The tokens are random, so that neither salt nor a slow hash function is necessary.
    """
    return sha256(token.encode()).hexdigest()


def find_role(policy: AccessPolicy, authorization: str | None) -> Role:
    """Return the role of a request.

    Parameters
    ----------
    policy : AccessPolicy
        The accepted tokens.
    authorization : str or None
        Value of the ``Authorization`` header; None if it is absent.

    Returns
    -------
    role : Role
        Role of the token; `Role.NONE` if the token is missing or unknown.

    Notes
    -----
    The hash is compared with all accepted hashes, each in constant time, so that the duration
    reveals nothing about the accepted tokens.
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
