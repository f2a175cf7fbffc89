"""Measurements of slopes and goals; each module prints one JSON line last."""
