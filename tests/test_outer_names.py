"""A rename or another change of the code must not change names and bytes that leave the process."""

import pytest

from tests.outer_names import FOLDER, SECTIONS, collect


@pytest.mark.parametrize("section", SECTIONS)
def test_outer_names_match_the_recorded_ones(section):
    recorded = (FOLDER / f"{section}.txt").read_text(encoding="utf-8")
    assert collect(section).splitlines() == recorded.splitlines()


def test_each_recorded_section_is_compared():
    assert {path.stem for path in FOLDER.iterdir()} == set(SECTIONS)
