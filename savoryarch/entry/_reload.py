"""Reloads the settings file when it has changed."""

from collections.abc import Callable
from dataclasses import fields
from pathlib import Path
from typing import Any

from savoryarch.entry._log import log_error, log_event
from savoryarch.exceptions import FindingsError
from savoryarch.model import SettingsReloaded
from savoryarch.settings import Settings, load_settings

# Sections whose components accept new settings while they run.
RELOADED_SECTIONS = ("discovery", "forwarding", "shutdown")
CHECK_INTERVAL_S = 2.0  # the file may change without a signal to the process


class SettingsFile:
    """Watches the settings file of this process.

    Parameters
    ----------
    path : str
        Path of the file; if it is empty, the settings are never reloaded.
    settings : Settings
        The settings that the process started with.
    feed : callable
        Called with `SettingsReloaded` after a reload.
    reactor : IReactorTime provider
        Twisted's reactor.
    """

    def __init__(
        self, path: str, settings: Settings, feed: Callable[[object], None], reactor: Any
    ) -> None:
        self._path = path
        self._settings = settings
        self._feed = feed
        self._reactor = reactor
        # The file may have changed since the settings were loaded.
        self._last_text = ""

    def watch(self) -> None:
        """Check the file for changes now and every `CHECK_INTERVAL_S`."""
        if self._path:
            self._reactor.callLater(CHECK_INTERVAL_S, self.watch)
            self.reload_if_changed()

    def reload_if_changed(self) -> None:
        """Apply the settings if the file has changed and is valid.

        Invalid settings are logged and ignored. Changes outside `RELOADED_SECTIONS` are logged
        and take effect after a restart.
        """
        text = self._read_file()
        if text == self._last_text:
            return
        self._last_text = text
        try:
            settings = load_settings(self._path)
        except FindingsError as error:
            log_error("settings_refused", (("findings", str(error)),))
            return
        changed = [
            item.name
            for item in fields(settings)
            if getattr(settings, item.name) != getattr(self._settings, item.name)
        ]
        if not changed:
            return
        needs_restart = [name for name in changed if name not in RELOADED_SECTIONS]
        self._settings = settings
        self._feed(SettingsReloaded({name: getattr(settings, name) for name in RELOADED_SECTIONS}))
        log_fields = (("changed", ",".join(changed)), ("after_restart", ",".join(needs_restart)))
        log_event("settings_reloaded", log_fields)

    def _read_file(self) -> str:
        if not self._path:
            return ""
        try:
            return Path(self._path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            log_error("settings_unreadable", (("path", self._path), ("error", str(error))))
            return ""
