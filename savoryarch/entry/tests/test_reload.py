"""Settings that change while an instance runs, with a signal or without one."""

import pytest
from logbook import TestHandler as Recorder
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


class World:
    """A settings file that is watched."""

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
def test_changed_settings_are_taken_over_if_nothing_is_wrong_in_them(
    tmp_path, signalled, change, line, ratio
):
    world = World(tmp_path)
    with Recorder() as recorder:
        world.path.write_text(TEXT.replace(*change))
        if signalled:
            world.file.reload_if_changed()
        world.clock.advance(CHECK_INTERVAL_S)
        world.clock.advance(CHECK_INTERVAL_S)
    told = [record.message for record in recorder.records]
    assert len(told) == (1 if line else 0)
    assert line is None or line in told[0]
    ratios = [
        event.sections["forwarding"].extra_ratio
        for event in world.events
        if isinstance(event, SettingsReloaded)
    ]
    assert ratios == ([] if ratio is None else [ratio])


def test_a_file_that_comes_back_is_read_again(tmp_path):
    world = World(tmp_path)
    world.path.rename(tmp_path / "away")
    with Recorder() as recorder:
        world.clock.advance(CHECK_INTERVAL_S)
        world.path.write_text(TEXT.replace("0.2", "0.4"))
        world.clock.advance(CHECK_INTERVAL_S)
    assert [event.sections["forwarding"].extra_ratio for event in world.events] == [0.4]
    assert any("settings_unreadable" in record.message for record in recorder.records)
