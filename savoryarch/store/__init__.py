"""Client of the platform's key-value store."""

from savoryarch.store._client import StoreClient
from savoryarch.store._settings import StoreSettings

__all__ = ["StoreClient", "StoreSettings"]
