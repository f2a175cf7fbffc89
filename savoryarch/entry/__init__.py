"""The entry process: performs effects and feeds events."""
