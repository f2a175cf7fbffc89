"""Settings that are placed while the process starts."""

import pytest

from savoryarch.exceptions import FindingsError
from savoryarch.settings import _load, await_settings

TEXT = "[instance]\ninstance_id = entry-1\navailability_zone = zone-a\n"


@pytest.mark.parametrize(
    ("contents", "loaded", "reports"),
    [
        ((TEXT,), True, 0),
        ((None, None, TEXT), True, 1),
        (("", TEXT), True, 1),
        ((TEXT[:30], TEXT), True, 1),
        ((None, "unknown", TEXT[:20], TEXT), True, 1),
        ((None,), False, 1),
        ((TEXT + "[unknown]\n",), False, 1),
    ],
)
def test_settings_that_are_not_there_yet_are_awaited(
    tmp_path, monkeypatch, contents, loaded, reports
):
    """Guards against processes that end because the platform places their settings late."""
    path = tmp_path / "settings.ini"
    pending = list(contents)
    found = []

    def place_next(duration_ms=0.0):
        content = pending.pop(0) if len(pending) > 1 else pending[0]
        if content is not None:
            path.write_text(content)

    place_next()
    monkeypatch.setattr(_load, "sleep", place_next)
    if loaded:
        settings = await_settings(path, 1000.0, found.append)
        assert settings.instance.instance_id == "entry-1"
    else:
        with pytest.raises(FindingsError):
            await_settings(path, 1000.0, found.append)
    assert len(found) == reports
