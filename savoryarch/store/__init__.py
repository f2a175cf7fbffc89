"""Client of the platform's key-value store."""

from savoryarch.store._client import ListPage, StoreClient, StoreHttpReply, StoreHttpRequest
from savoryarch.store._settings import StoreSettings

__all__ = ["ListPage", "StoreClient", "StoreHttpReply", "StoreHttpRequest", "StoreSettings"]
