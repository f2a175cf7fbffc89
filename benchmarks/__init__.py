"""Measurements of single parts; each prints its goals as one JSON line at the end."""
