"""Changes of the settings file are applied while an instance runs, with and without a signal."""

import pytest
from logbook import TestHandler as LogRecorder
from twisted.internet.task import Clock

from savoryarch.entry._reload import CHECK_INTERVAL_S, SettingsFile
from savoryarch.model import SettingsReloaded
from savoryarch.settings import load_settings

TEXT = """\
[instance]
instance_id = entry-1
availability_zone = zone-a

[forwarding]
enabled = yes
extra_ratio = 0.2
"""


class WatchedFile:
    """A settings file that is watched, with the events that its changes feed."""

    def __init__(self, folder):
        self.path = folder / "settings.ini"
        self.path.write_text(TEXT)
        self.clock = Clock()
        self.events = []
        settings = load_settings(str(self.path))
        self.file = SettingsFile(str(self.path), settings, self.events.append, self.clock)
        self.file.watch()


@pytest.mark.parametrize("signalled", [True, False])
@pytest.mark.parametrize(
    ("change", "line", "ratio"),
    [
        (("extra_ratio = 0.2", "extra_ratio = 0.3"), "settings_reloaded changed=forwarding", 0.3),
        (("[forwarding]", "[log]\nlevel = error\n[forwarding]"), "after_restart=log", 0.2),
        (("extra_ratio = 0.2", "extra_ratio = x"), "settings_refused", None),
        (("extra_ratio = 0.2", "extra_ratio"), "settings_refused", None),
        (("zone-a", "zone-a"), None, None),
    ],
)
def test_changed_settings_are_applied_only_if_they_are_valid(
    tmp_path, signalled, change, line, ratio
):
    watched = WatchedFile(tmp_path)
    with LogRecorder() as recorder:
        watched.path.write_text(TEXT.replace(*change))
        if signalled:
            watched.file.reload_if_changed()
        watched.clock.advance(CHECK_INTERVAL_S)
        watched.clock.advance(CHECK_INTERVAL_S)
    messages = [record.message for record in recorder.records]
    assert len(messages) == (1 if line else 0)
    assert line is None or line in messages[0]
    ratios = [
        event.sections["forwarding"].extra_ratio
        for event in watched.events
        if isinstance(event, SettingsReloaded)
    ]
    assert ratios == ([] if ratio is None else [ratio])


def test_a_file_that_was_missing_is_read_again(tmp_path):
    watched = WatchedFile(tmp_path)
    watched.path.rename(tmp_path / "away")
    with LogRecorder() as recorder:
        watched.clock.advance(CHECK_INTERVAL_S)
        watched.path.write_text(TEXT.replace("0.2", "0.4"))
        watched.clock.advance(CHECK_INTERVAL_S)
    assert [event.sections["forwarding"].extra_ratio for event in watched.events] == [0.4]
    assert any("settings_unreadable" in record.message for record in recorder.records)
