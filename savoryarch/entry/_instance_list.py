"""Reads the list of instances that the platform serves over HTTP."""

from typing import Any

from msgspec import Struct, json
from treq.client import HTTPClient
from twisted.internet.defer import Deferred
from twisted.web.client import Agent, HTTPConnectionPool

from savoryarch.model import InstanceRole, ListedInstance, ListedState

REQUEST_TIMEOUT_S = 2.0


class _Row(Struct):
    instance_id: str
    role: InstanceRole
    availability_zone: str
    host: str
    port: int
    state: ListedState


class _Body(Struct):
    instances: tuple[_Row, ...]


class InstanceListClient:
    """Client of the platform's instance list.

    Parameters
    ----------
    url : str
        Base URL of the platform's service.
    reactor : IReactorTCP and IReactorTime provider
        Twisted's reactor.
    """

    def __init__(self, url: str, reactor: Any) -> None:
        self._url = url
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor)
        agent: Any = Agent(reactor, connectTimeout=REQUEST_TIMEOUT_S, pool=self._pool)
        self._client = HTTPClient(agent)

    def read(self) -> Deferred:
        """Read the list.

        Returns
        -------
        instances : Deferred
            Fires with a tuple of `ListedInstance`. Fails if the service cannot be reached, does
            not answer within `REQUEST_TIMEOUT_S`, or answers with another status than 200 or a
            malformed body.
        """
        sent: Deferred = self._client.get(f"{self._url}/v1/instances", reactor=self._reactor)
        sent.addCallback(_read_body)
        sent.addTimeout(REQUEST_TIMEOUT_S, self._reactor)
        return sent.addCallback(decode_instances)

    def close(self) -> Deferred:
        """Close the idle connections."""
        return self._pool.closeCachedConnections()


def decode_instances(body: bytes) -> tuple[ListedInstance, ...]:
    """Decode the body of the instance list.

    Raises
    ------
    msgspec.DecodeError
        If the body is not JSON, lacks a field, or has a field of another type.
    """
    rows = json.decode(body, type=_Body).instances
    return tuple(
        ListedInstance(
            row.instance_id, row.role, row.availability_zone, row.host, row.port, row.state
        )
        for row in rows
    )


def _read_body(response: Any) -> Deferred:
    if response.code != 200:
        raise ValueError(f"got status {response.code}, expected 200")
    return response.content()
