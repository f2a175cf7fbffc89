"""Savoryarch, a query tier between callers and many shards."""

__version__ = "0.1.0"

__all__ = ["__version__"]
