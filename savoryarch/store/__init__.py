"""Client of the platform's key-value store."""

from savoryarch.store._client import MorePages, StoreClient, StoreHttpReply, StoreHttpRequest
from savoryarch.store._settings import StoreSettings

__all__ = ["MorePages", "StoreClient", "StoreHttpReply", "StoreHttpRequest", "StoreSettings"]
